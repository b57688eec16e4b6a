export * from "./fair-upstream-chooser.js";
export * from "./settings.js";
