export * from "./config-days.js";
export * from "./fixtures.js";
export * from "./memory-datagrams.js";
export * from "./memory-store.js";
export * from "./test-fleet.js";
