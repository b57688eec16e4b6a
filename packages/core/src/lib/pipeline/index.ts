export * from "./admission.js";
export * from "./attempts.js";
export * from "./pipeline.js";
export * from "./refusals.js";
export * from "./request-rules.js";
export * from "./upstream-headers.js";
