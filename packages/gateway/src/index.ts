export * from "./lib/errors.js";
export type { DirectoryAnswer } from "./lib/fleet/directory.js";
export * from "./lib/gateway.js";
export * from "./lib/model.js";
export * from "./lib/observe/bounded-log.js";
export * from "./lib/observe/line-writer.js";
export * from "./lib/request/ports.js";
export * from "./lib/settings.js";
export * from "./lib/store/ports.js";
