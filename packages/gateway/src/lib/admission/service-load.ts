/** Estimates how much room the upstreams of a service have. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import type { ListedUpstream } from "../model.js";
import type { KnownUpstream } from "../store/upstream-registry.js";

/** Fraction of an upstream's slots that are counted while it warms up. */
export const warmupSlotFraction = 0.5;

/** What the room of an upstream depends on. */
export interface UpstreamState {
    /** Requests in flight to the upstream from all instances. */
    readonly inFlight: (upstream: UpstreamId) => number;
    /** Probability that it fails most of its requests, from 0 to 1. */
    readonly grayProbability: (upstream: UpstreamId) => number;
    /** Whether this instance cannot reach it at present. */
    readonly isBackingOff: (upstream: UpstreamId) => boolean;
    /** Requests per second that it takes from all instances; undefined: as many as its slots serve. */
    readonly limitPerSecond: (listed: ListedUpstream) => number | undefined;
    /** Typical time of an answer of the service; undefined if it is not known. */
    readonly answerTimeMs: number | undefined;
}

/**
 * Slots of an upstream that serve requests in time.
 *
 * @example
 * slotsOf(upstream, clock.monotonicMs());
 */
export const slotsOf = ({ listed, warmupEndMs }: KnownUpstream, nowMs: number): number =>
    warmupEndMs > nowMs ? listed.slots * warmupSlotFraction : listed.slots;

/** Slots that requests at the limit of an upstream keep in use. */
const limitedSlots = ({ listed }: KnownUpstream, { limitPerSecond, answerTimeMs }: UpstreamState): number => {
    const limit = limitPerSecond(listed);
    return limit === undefined || answerTimeMs === undefined ? Infinity : limit * answerTimeMs / 1_000;
};

/** Requests in flight and slots of the upstreams of a service that serve requests. */
export interface ServiceLoad {
    readonly inFlight: number;
    readonly slots: number;
    /** Slots in use. */
    readonly busy: number;
}

/**
 * Sums up the upstreams of a service that serve requests.
 *
 * @example
 * const { inFlight, slots } = loadOf(candidates, state, clock);
 */
export const loadOf = (candidates: readonly KnownUpstream[], state: UpstreamState, clock: Clock): ServiceLoad => {
    const nowMs = clock.monotonicMs();
    const reachable = candidates.filter(({ listed }) => !state.isBackingOff(listed.id));
    let [slots, inFlight, busy] = [0, 0, 0];
    for (const upstream of reachable) {
        const healthyShare = 1 - state.grayProbability(upstream.listed.id);
        const usable = Math.min(slotsOf(upstream, nowMs), limitedSlots(upstream, state));
        const count = state.inFlight(upstream.listed.id);
        slots += usable * healthyShare;
        inFlight += count * healthyShare;
        busy += Math.min(count, usable) * healthyShare;
    }
    return { inFlight, slots, busy };
};

/**
 * Requests in flight per slot over the upstreams of a service that serve requests: 1 means that all slots are in use,
 * and more that requests wait at the upstreams. It answers for load that exceeds a service as a whole, which no choice
 * among its upstreams can avoid. Returns 0 for a service without upstreams, which is refused for that reason.
 *
 * @example
 * if (utilizationOf(candidates, state, clock) < 1) { hedge }
 */
export const utilizationOf = (candidates: readonly KnownUpstream[], state: UpstreamState, clock: Clock): number => {
    const { inFlight, slots } = loadOf(candidates, state, clock);
    return slots > 0 ? inFlight / slots : 0;
};
