/** Messages between instances and the home of a service. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { RouteId, ServiceId, UpstreamId, ZoneId } from "../types.js";

const branded = <T extends string>() => z.string().min(1).max(200).transform(text => text as T);
const count = z.number().int().min(0);
const durationMs = z.number().min(0);

/** What one instance saw of one upstream on one route since its last digest. */
export const digestEntrySchema = z.object({
    upstream: branded<UpstreamId>(),
    route: branded<RouteId>(),
    /** Whole answers that are not server errors. */
    succeeded: count,
    /** Server errors, timeouts, resets and refused connections. */
    failed: count,
    /** Truncated or crossed answers. */
    wrong: count,
    shed: count,
    /** Sum over `succeeded`; failures are left out because a fast failure would hide slowness. */
    latencySumMs: durationMs,
    /** Ages of the requests in flight, the oldest first. */
    agesMs: z.array(durationMs).max(64),
});

/** One ejection as it is in force or about to end. */
export const ejectionSchema = z.object({
    upstream: branded<UpstreamId>(),
    /** Absent: ejected for all routes. */
    route: branded<RouteId>().optional(),
    /** Share of normal load: 0 while ejected, rising on return. */
    weight: z.number().min(0).max(1),
    /** Number of earlier ejections that count towards the wait. */
    level: count,
});

export const probeResultSchema = z.object({ upstream: branded<UpstreamId>(), isGood: z.boolean() });

export const digestSchema = z.object({
    service: branded<ServiceId>(),
    zone: branded<ZoneId>(),
    /** Rises with each digest of the instance for the service. */
    sequence: count,
    /** The last home term that the instance heard from the receiver. */
    heardTerm: z.string().optional(),
    entries: z.array(digestEntrySchema),
    inUse: z.array(ejectionSchema),
    /** Upstreams that the instance itself saw announce a drain. */
    draining: z.array(branded<UpstreamId>()),
    probes: z.array(probeResultSchema),
});

export const decisionsSchema = z.object({
    term: z.string(),
    /** Rises with each change within a term. */
    version: count,
    ejections: z.array(ejectionSchema),
    draining: z.array(branded<UpstreamId>()),
});

export const digestReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("not-home") }),
    z.object({
        kind: z.literal("decisions"),
        decisions: decisionsSchema,
        /** Requests in flight over all instances, where there are any. */
        load: z.array(z.object({ upstream: branded<UpstreamId>(), inFlight: count })),
        /** Upstreams that the instance is to probe once. */
        probes: z.array(branded<UpstreamId>()),
    }),
]);

export const ejectionsSchema = z.object({
    service: branded<ServiceId>(),
    /** The receiver's last digest that the home has got; the receiver dates leases by its own sending time of it. */
    echoSequence: count.optional(),
    decisions: decisionsSchema,
});

export const drainSchema = z.object({ service: branded<ServiceId>(), upstream: branded<UpstreamId>() });

export type DigestEntry = z.output<typeof digestEntrySchema>;
export type Ejection = z.output<typeof ejectionSchema>;
export type ProbeResult = z.output<typeof probeResultSchema>;
export type Digest = z.output<typeof digestSchema>;
export type Decisions = z.output<typeof decisionsSchema>;
export type DigestReply = z.output<typeof digestReplySchema>;
export type EjectionsNotice = z.output<typeof ejectionsSchema>;
export type DrainNotice = z.output<typeof drainSchema>;

/** Evidence from an instance to the home, with the home's decisions as reply. */
export const digestMethod: PeerMethod<Digest, DigestReply> = {
    name: "health.digest",
    request: digestSchema,
    reply: digestReplySchema,
};

/** Changed decisions from the home to every instance. */
export const ejectionsMethod: PeerMethod<EjectionsNotice, void> = {
    name: "health.ejections",
    request: ejectionsSchema,
    reply: z.any(),
};

/** A drain sign spread directly, used when the home cannot be reached. */
export const drainMethod: PeerMethod<DrainNotice, void> = {
    name: "health.drain",
    request: drainSchema,
    reply: z.any(),
};

/** What an ejection applies to, as a map key. */
export const targetKey = (target: Pick<Ejection, "upstream" | "route">): string =>
    `${target.upstream}|${target.route ?? ""}`;
