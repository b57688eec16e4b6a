export * from "./distributed-rate-limiter.js";
export * from "./messages.js";
export * from "./options.js";
export * from "./rate-coordinator.js";
export * from "./static-split.js";
