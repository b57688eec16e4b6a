/** The fleet's configuration: what operators declare. */
import * as z from "zod";
import type { KeyId, OrganisationId, RouteId, ServiceId } from "./types.js";

const name = z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,63}$/,
    "use 1 to 64 lower-case letters, digits, dots, dashes or underscores",
);
const branded = <T extends string>() => name.transform(text => text as T);

/** A key of an organisation. Only the hash of the secret is kept. */
export const keyConfigSchema = z.strictObject({
    id: branded<KeyId>(),
    secretSha256: z.string().regex(/^[0-9a-f]{64}$/, "use the SHA-256 of the secret as 64 lower-case hex digits"),
});

/** An organisation with its keys and its rate over the whole fleet. */
export const organisationConfigSchema = z.strictObject({
    id: branded<OrganisationId>(),
    keys: z.array(keyConfigSchema),
    ratePerSecond: z.number().positive().max(1_000_000),
    burst: z.number().int().min(1).max(1_000_000),
});

/** A service with the floor below which ejection never takes its healthy slots. */
export const serviceConfigSchema = z.strictObject({
    id: branded<ServiceId>(),
    slotsPerUpstream: z.number().int().min(1).max(1_000),
    floorSlots: z.number().int().min(0),
});

/** A route. Path segments that start with ":" match any one segment; a last "*" matches the rest. */
export const routeConfigSchema = z.strictObject({
    id: branded<RouteId>(),
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    path: z.string().startsWith("/"),
    service: branded<ServiceId>(),
    idempotent: z.boolean(),
    timeoutMs: z.number().int().min(1).max(600_000),
    /** Organisations that may use the route; absent: every organisation with a key. */
    organisations: z.array(branded<OrganisationId>()).optional(),
});

/** The whole configuration. */
export const fleetConfigSchema = z.strictObject({
    /** Rises by one with each accepted change. */
    revision: z.number().int().min(0),
    /** Recent operation ids, newest last, by which a repeated change is recognised. */
    operations: z.array(z.string().min(1).max(100)).max(200),
    /** Seats of the roster when it is created. */
    seats: z.number().int().min(1).max(64),
    organisations: z.array(organisationConfigSchema),
    services: z.array(serviceConfigSchema),
    routes: z.array(routeConfigSchema),
});

export type KeyConfig = z.output<typeof keyConfigSchema>;
export type OrganisationConfig = z.output<typeof organisationConfigSchema>;
export type ServiceConfig = z.output<typeof serviceConfigSchema>;
export type RouteConfig = z.output<typeof routeConfigSchema>;
export type FleetConfig = z.output<typeof fleetConfigSchema>;

/** The configuration in force at one instance. */
export interface ConfigView {
    /** The newest configuration that this instance holds; undefined before it has got one. */
    current(): FleetConfig | undefined;
    /** Whether a key has been withdrawn, by the configuration or by the withdrawal set. */
    isWithdrawn(key: KeyId): boolean;
    /** Calls the listener after each change; the previous configuration is undefined at first. */
    onChange(listener: (next: FleetConfig, previous: FleetConfig | undefined) => void): void;
}
