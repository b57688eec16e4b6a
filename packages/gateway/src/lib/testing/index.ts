export * from "./config-days.js";
export * from "./day-writes.js";
export * from "./fixtures.js";
export * from "./memory-datagrams.js";
export * from "./memory-store.js";
export * from "./random-days.js";
export * from "./test-fleet.js";
