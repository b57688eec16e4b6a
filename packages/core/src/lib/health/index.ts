export * from "./fleet-health.js";
export type { Observation } from "./local-observer.js";
export { type RunProbe, serviceCoordinatorKey } from "./service-health-client.js";
export * from "./settings.js";
