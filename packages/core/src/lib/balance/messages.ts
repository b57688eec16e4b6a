/** Messages between an instance and the coordinator that grants a service's slots. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId, RouteId, ServiceId, UpstreamId, ZoneId } from "../types.js";

const branded = <T extends string>() => z.string().min(1).max(200).transform(text => text as T);

/** Request for a slot. The coordinator grants it by a permit, which holds one slot of an upstream. */
export const slotRequestSchema = z.object({
    service: branded<ServiceId>(),
    /** Identifies the request and its permit; unique per sender. */
    ask: z.number().int().min(0),
    route: branded<RouteId>(),
    organisation: branded<OrganisationId>(),
    zone: branded<ZoneId>(),
    /** Upstreams to use only if no other is available: those already tried and those that the sender cannot reach. */
    tried: z.array(branded<UpstreamId>()).max(64),
    /** Maximum time that the request waits at the coordinator. */
    waitMs: z.number().min(0),
    /** Maximum time for which the slot may be held. */
    holdMs: z.number().min(0),
    /** Expected time in the slot, by which the queue divides slot time fairly among organisations. */
    costMs: z.number().min(0),
});

/** `waited`: the request was not granted within `waitMs`, or was withdrawn. */
export const slotReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted"), upstream: branded<UpstreamId>() }),
    z.object({ kind: z.literal("refused"), reason: z.enum(["queue-full", "waited", "no-upstream"]) }),
    /** The receiver is not the coordinator of the service. */
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
