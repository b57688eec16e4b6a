export * from "./fingerprint.js";
export * from "./fleet-crash-guard.js";
export * from "./suspicion-table.js";
