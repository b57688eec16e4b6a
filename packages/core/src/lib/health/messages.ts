/** Messages between instances and the coordinator of a service. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { RouteId, ServiceId, UpstreamId, ZoneId } from "../types.js";

const branded = <T extends string>() => z.string().min(1).max(200).transform(text => text as T);
const count = z.number().int().min(0);
const durationMs = z.number().min(0);

/** Results of one upstream on one route at one instance since its last digest. */
export const digestEntrySchema = z.object({
    upstream: branded<UpstreamId>(),
    route: branded<RouteId>(),
    /** Complete responses that are not server errors. */
    succeeded: count,
    /** Server errors, timeouts, resets and refused connections. */
    failed: count,
    /** Truncated responses and responses to another request. */
    wrong: count,
    /** Requests that the upstream shed. */
    shed: count,
    /** Sum over `succeeded`; failures are excluded because fast failures would mask slowness. */
    latencySumMs: durationMs,
    /** Ages of the requests in flight, oldest first. */
    agesMs: z.array(durationMs).max(64),
});

/** An ejection and its current weight. */
export const ejectionSchema = z.object({
    upstream: branded<UpstreamId>(),
    /** Absent for an ejection from all routes. */
    route: branded<RouteId>().optional(),
    /** Share of the normal load: 0 while ejected, then rising during the return. */
    weight: z.number().min(0).max(1),
    /** Number of earlier ejections, which lengthen this one. */
    level: count,
});

export const probeResultSchema = z.object({ upstream: branded<UpstreamId>(), isGood: z.boolean() });

export const digestSchema = z.object({
    service: branded<ServiceId>(),
    zone: branded<ZoneId>(),
    /** Increases with each digest of the instance for the service. */
    sequence: count,
    /** Term that the receiver named in its last reply to this instance. */
    heardTerm: z.string().optional(),
    entries: z.array(digestEntrySchema),
    /** Unexpired ejections at this instance. */
    inUse: z.array(ejectionSchema),
    /** Upstreams whose drain announcement this instance received itself. */
    draining: z.array(branded<UpstreamId>()),
    probes: z.array(probeResultSchema),
});

export const decisionsSchema = z.object({
    term: z.string(),
    /** Increases with each change within a term. */
    version: count,
    ejections: z.array(ejectionSchema),
    draining: z.array(branded<UpstreamId>()),
});

export const digestReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("not-home") }),
    z.object({
        kind: z.literal("decisions"),
        decisions: decisionsSchema,
        /** Requests in flight by upstream, summed over all instances; zeros are omitted. */
        load: z.array(z.object({ upstream: branded<UpstreamId>(), inFlight: count })),
        /** Upstreams that the instance should probe once. */
        probes: z.array(branded<UpstreamId>()),
    }),
]);

export const ejectionsSchema = z.object({
    service: branded<ServiceId>(),
    /**
     * Sequence number of the last digest that the coordinator received from the receiver of this notice. Leases count
     * from the time at which that digest was sent.
     */
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

/** Reports evidence to the coordinator; the reply carries the coordinator's decisions. */
export const digestMethod: PeerMethod<Digest, DigestReply> = {
    name: "health.digest",
    request: digestSchema,
    reply: digestReplySchema,
};

/** Notifies every instance of changed decisions. */
export const ejectionsMethod: PeerMethod<EjectionsNotice, void> = {
    name: "health.ejections",
    request: ejectionsSchema,
    reply: z.any(),
};

/** Passes a drain announcement on to the other instances when the coordinator has not accepted it. */
export const drainMethod: PeerMethod<DrainNotice, void> = {
    name: "health.drain",
    request: drainSchema,
    reply: z.any(),
};

/** Map key of the target of an ejection. */
export const targetKey = (target: Pick<Ejection, "upstream" | "route">): string =>
    `${target.upstream}|${target.route ?? ""}`;
