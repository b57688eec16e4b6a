export * from "./entry-instance.js";
export * from "./upstream-list.js";
