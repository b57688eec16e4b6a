/** The fleet's configuration as declared by operators. */
import * as z from "zod";
import type { KeyId, OrganisationId, RouteId, ServiceId } from "./types.js";

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,63}$/,
    "use 1 to 64 lower-case letters, digits, dots, dashes or underscores",
);
const brandedNameSchema = <T extends string>() => nameSchema.transform(text => text as T);

/** A key of an organisation. Only the hash of its secret is stored. */
export const keyConfigSchema = z.strictObject({
    id: brandedNameSchema<KeyId>(),
    secretSha256: z.string().regex(/^[0-9a-f]{64}$/, "use the SHA-256 of the secret as 64 lower-case hex digits"),
});

/** An organisation with its keys and its rate limit across the whole fleet. */
export const organisationConfigSchema = z.strictObject({
    id: brandedNameSchema<OrganisationId>(),
    keys: z.array(keyConfigSchema),
    ratePerSecond: z.number().positive().max(1_000_000),
    burst: z.number().int().min(1).max(1_000_000),
});

/** A service. Ejections never reduce its healthy slots below `floorSlots`. */
export const serviceConfigSchema = z.strictObject({
    id: brandedNameSchema<ServiceId>(),
    slotsPerUpstream: z.number().int().min(1).max(1_000),
    floorSlots: z.number().int().min(0),
});

/**
 * A route. A path segment that starts with ":" matches any single segment; a final "*" matches the rest of the path.
 */
export const routeConfigSchema = z.strictObject({
    id: brandedNameSchema<RouteId>(),
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    path: z.string().startsWith("/"),
    service: brandedNameSchema<ServiceId>(),
    idempotent: z.boolean(),
    timeoutMs: z.number().int().min(1).max(600_000),
    /** Organisations that may use the route; default: every organisation with a key. */
    organisations: z.array(brandedNameSchema<OrganisationId>()).optional(),
});

/** The whole configuration. */
export const fleetConfigSchema = z.strictObject({
    /** Incremented with each accepted change. */
    revision: z.number().int().min(0),
    /** Ids of recent operations, newest last, for detecting repeated changes. */
    operations: z.array(z.string().min(1).max(100)).max(200),
    /** Number of seats of a new roster. */
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

/** The active configuration of one instance. */
export interface ConfigView {
    /** The newest configuration that this instance holds; undefined before it has received one. */
    current(): FleetConfig | undefined;
    /** Whether a key has been withdrawn through the configuration or the withdrawal set. */
    isWithdrawn(key: KeyId): boolean;
    /** Calls the listener after each change. The previous configuration is undefined for the first one. */
    onChange(listener: (next: FleetConfig, previous: FleetConfig | undefined) => void): void;
}
