export * from "./lib/caller-client.js";
export * from "./lib/directory.js";
export * from "./lib/idempotency-key.js";
