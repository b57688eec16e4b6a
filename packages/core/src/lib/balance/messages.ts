/** Messages between an instance and the coordinator that grants a service's slots. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId, RouteId, ServiceId, UpstreamId, ZoneId } from "../types.js";

const branded = <T extends string>() => z.string().min(1).max(200).transform(text => text as T);

export const slotRequestSchema = z.object({
    service: branded<ServiceId>(),
    /** Number of the request and of its permit, unique for the sender. */
    ask: z.number().int().min(0),
    route: branded<RouteId>(),
    organisation: branded<OrganisationId>(),
    zone: branded<ZoneId>(),
    /** Upstreams to skip while there are others: already tried, or unreachable for the sender. */
    tried: z.array(branded<UpstreamId>()).max(64),
    /** How long the request may wait. */
    waitMs: z.number().min(0),
    /** Longest use of the permit. */
    holdMs: z.number().min(0),
    /** Expected slot time, used for the fair order. */
    costMs: z.number().min(0),
});

export const slotReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted"), upstream: branded<UpstreamId>() }),
    z.object({ kind: z.literal("refused"), reason: z.enum(["queue-full", "waited", "no-upstream"]) }),
    z.object({ kind: z.literal("not-home") }),
]);

export const slotReleaseSchema = z.object({ service: branded<ServiceId>(), ask: z.number().int().min(0) });

export type SlotRequest = z.output<typeof slotRequestSchema>;
export type SlotReply = z.output<typeof slotReplySchema>;
export type SlotRelease = z.output<typeof slotReleaseSchema>;

/** Requests a slot from the coordinator, where the request waits until one is free. */
export const requestSlotMethod: PeerMethod<SlotRequest, SlotReply> = {
    name: "slots.ask",
    request: slotRequestSchema,
    reply: slotReplySchema,
};

/** Releases a slot, or withdraws a request that is still waiting. */
export const releaseSlotMethod: PeerMethod<SlotRelease, void> = {
    name: "slots.release",
    request: slotReleaseSchema,
    reply: z.any(),
};
