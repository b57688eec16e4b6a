export * from "./fake-http-platform.js";
