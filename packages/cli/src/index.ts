export * from "./lib/commands.js";
export * from "./lib/platform-command.js";
