/**
 * Keeps the requests to upstreams within the limits that they have named. It answers for instances that decide apart from
 * each other: a share of the requests that fits on average exceeds a limit of few requests per second by chance.
 */
import type { Random } from "@sniperoad/core";

/** Window over which requests to an upstream are counted. */
export const limitWindowMs = 4_000;
/**
 * Lowest limit that is applied, in requests per second. An upstream that gets no request could not raise its limit.
 */
const minLimitPerSecond = 0.1;
/**
 * Share of a limit by which a window may exceed it, as requests arrive at random. Without it, upstreams would get a tenth
 * less than they take on average.
 */
const randomShare = 0.12;

/** What the room of an upstream with a limit depends on. */
export interface LimitedUpstream {
    readonly limitPerSecond: number;
    /** Requests that this instance has sent to it within {@link limitWindowMs}. */
    readonly own: number;
    /** Requests that the other instances are known to have sent to it within {@link limitWindowMs}. */
    readonly remote: number;
}

/** The fleet as this instance sees it. */
export interface FleetReach {
    /** Instances that are heard, this one included. */
    readonly live: number;
    /** Instances that were heard in the last minute. */
    readonly known: number;
}

/**
 * Requests that an upstream can still get within the window. An instance that hears less than half of the others keeps to
 * its part of the limit; otherwise those that are not heard are taken to use their parts.
 *
 * @example
 * roomOf({ limitPerSecond: 5, own: 2, remote: 15 }, { live: 44, known: 44 }); // 5.4
 */
export const roomOf = ({ limitPerSecond, own, remote }: LimitedUpstream, { live, known }: FleetReach): number => {
    const mean = Math.max(minLimitPerSecond, limitPerSecond) * limitWindowMs / 1_000;
    const part = mean / Math.max(1, known);
    return live * 2 < known
        ? part - own
        : mean * (1 + randomShare) - own - remote - (known - live) * part;
};

/**
 * Decides whether a request may use a room. All instances see the same room, so each takes only a part of it if the
 * requests that are not reported yet may exceed it.
 *
 * @param unreported requests that other instances are likely to send into it before this one hears of them
 */
export const mayReceive = (room: number, unreported: number, random: Random): boolean => {
    const needed = unreported + 1;
    return room >= needed || random() * needed < room;
};
