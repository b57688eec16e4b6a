/** Schemas of the state that instances send each other, which is checked like what the store sends. */
import { id } from "@sniperoad/core";
import type { OrganisationId, RouteId, ServiceId, UpstreamId, ZoneId } from "@sniperoad/core";
import * as z from "zod";
import type { Evacuation, GatewayConfig, KeyHash, ListedUpstream } from "../model.js";

const nonNegative = z.number().min(0);
const positive = z.number().positive();
const service = z.string().transform(name => id<ServiceId>(name));

const routeSchema = z.object({
    id: z.string().transform(name => id<RouteId>(name)),
    host: z.string(),
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    isIdempotent: z.boolean(),
    isOpen: z.boolean(),
    timeoutMs: positive,
    targetLatencyMs: positive,
    priority: z.number(),
    maxAttempts: z.number().int().min(1),
    destinations: z.array(z.object({ service, weight: nonNegative })).min(1),
});

const organisationSchema = z.object({
    id: z.string().transform(name => id<OrganisationId>(name)),
    keys: z.array(z.string().transform(hash => hash as KeyHash)),
    priority: z.number().optional(),
    ratePerSecond: nonNegative,
    burst: nonNegative,
}).transform(organisation => ({ ...organisation, priority: organisation.priority }));

const serviceSchema = z.object({
    id: service,
    warmupMs: nonNegative,
    warmupRequestsPerSecond: positive.optional(),
}).transform(declared => ({ ...declared, warmupRequestsPerSecond: declared.warmupRequestsPerSecond }));

const configSchema = z.object({
    version: z.number().int().min(1),
    routes: z.array(routeSchema),
    organisations: z.array(organisationSchema),
    /** Absent in states of earlier releases. */
    services: z.array(serviceSchema).default([]),
    limits: z.object({
        maxHeaderBytes: positive,
        maxBodyBytes: positive,
        headerTimeoutMs: positive,
        idleTimeoutMs: positive,
    }),
});

const upstreamSchema = z.object({
    id: z.string().min(1).transform(name => id<UpstreamId>(name)),
    service,
    zone: z.string().transform(name => id<ZoneId>(name)),
    address: z.string().min(1),
    state: z.enum(["live", "leaving"]),
    slots: z.number().int().min(1),
    warmupLeftMs: nonNegative,
    startedMs: z.number(),
    entryRevision: z.number().int().min(0).optional(),
});

/**
 * Decodes a configuration of another instance.
 *
 * @throws ZodError that names the invalid fields
 */
export const decodeSharedConfig = (value: unknown): GatewayConfig => configSchema.parse(value);

/**
 * Decodes an upstream of another instance.
 *
 * @throws ZodError that names the invalid fields
 */
export const decodeSharedUpstream = (value: unknown): ListedUpstream => upstreamSchema.parse(value);

/**
 * Decodes a list of upstreams of another instance.
 *
 * @throws ZodError that names the invalid fields
 */
export const decodeSharedUpstreams = (value: unknown): readonly ListedUpstream[] =>
    z.object({ upstreams: z.array(upstreamSchema) }).parse(value).upstreams;

const evacuationSchema = z.object({ zone: z.string().min(1).transform(name => id<ZoneId>(name)) });

/**
 * Decodes a list of evacuations of another instance.
 *
 * @throws ZodError that names the invalid fields
 */
export const decodeSharedEvacuations = (value: unknown): readonly Evacuation[] =>
    z.object({ evacuations: z.array(evacuationSchema) }).parse(value).evacuations;
