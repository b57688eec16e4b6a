export * from "./directory.js";
export { FleetMembership } from "./fleet-membership.js";
export * from "./messages.js";
export type { ConfigurationState, HandoverHook, MembershipOptions } from "./options.js";
export { rosterObject } from "./platform-sync.js";
export type { FleetRoster, FleetSeat } from "./seats.js";
export { rosterValueSchema } from "./seats.js";
export * from "./settings.js";
