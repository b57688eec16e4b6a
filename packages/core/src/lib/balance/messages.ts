/** Messages between an instance and the home that hands out a service's slots. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId, RouteId, ServiceId, UpstreamId, ZoneId } from "../types.js";

const branded = <T extends string>() => z.string().min(1).max(200).transform(text => text as T);

export const slotRequestSchema = z.object({
    service: branded<ServiceId>(),
    /** Names the ask and the permit among those of the sender. */
    ask: z.number().int().min(0),
    route: branded<RouteId>(),
    organisation: branded<OrganisationId>(),
    zone: branded<ZoneId>(),
    /** Upstreams to pass over while there are others: already tried, or out of the asker's reach. */
    tried: z.array(branded<UpstreamId>()).max(64),
    /** How long the ask may wait. */
    waitMs: z.number().min(0),
    /** How long the permit is used at most. */
    holdMs: z.number().min(0),
    /** Expected slot time, for the fair order. */
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

/** Asks the home for a slot; waits there until one is free. */
export const requestSlotMethod: PeerMethod<SlotRequest, SlotReply> = {
    name: "slots.ask",
    request: slotRequestSchema,
    reply: slotReplySchema,
};

/** Gives a slot back, or withdraws an ask that still waits. */
export const releaseSlotMethod: PeerMethod<SlotRelease, void> = {
    name: "slots.release",
    request: slotReleaseSchema,
    reply: z.any(),
};
