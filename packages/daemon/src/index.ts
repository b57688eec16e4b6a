export * from "./lib/event-log.js";
export * from "./lib/frames.js";
export * from "./lib/http-server.js";
export * from "./lib/http-upstream.js";
export * from "./lib/settings.js";
export * from "./lib/statsd-metrics.js";
export * from "./lib/system-ports.js";
export * from "./lib/tcp-peers.js";
