export * from "./baseline-stages.js";
export * from "./fake-network.js";
export * from "./fake-platform.js";
export * from "./memory-log.js";
export * from "./seeded-random.js";
export * from "./static-membership.js";
export * from "./virtual-clock.js";
