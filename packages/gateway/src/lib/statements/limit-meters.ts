/**
 * Meters the requests to upstreams that have named a limit. It answers for instances that decide apart from each other: a
 * share of the requests that fits on average exceeds a limit of few requests per second by chance.
 */
import type { Clock, Random, UpstreamId } from "@sniperoad/core";
import type { FleetSize } from "../rates/fleet-rate-limiter.js";
import type { ColdUpstream } from "./cold-upstreams.js";
import { LeakyBucket } from "./leaky-bucket.js";

/** Lowest limit that is applied, in requests per second. An upstream that gets no request could not raise its limit. */
const minLimitPerSecond = 0.1;
/** Requests that an upstream may get at once, however low its limit is. */
const minBurst = 2;
/** Time at the limit whose requests an upstream may get at once in addition, as requests arrive at random. */
const burstSeconds = 0.6;
/** Keeps a bucket of size 1 from taking one request too many in a second at a whole number of requests per second. */
const ratePrecision = 1e-6;

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

interface Meter {
    /** Requests of all instances. */
    readonly fleet: LeakyBucket;
    /** Requests of this instance. */
    readonly own: LeakyBucket;
}

/** Options of {@link LimitMeters}. */
export interface LimitMetersOptions {
    readonly clock: Clock;
    /** Requests in flight from the other instances to an upstream. */
    readonly remoteInFlight: (upstream: UpstreamId) => number;
    readonly reach: () => FleetSize;
}

/**
 * Counts requests from when an upstream first names a limit: what it got before is not beyond it. Requests of other
 * instances are counted while they are reported in flight, and from then on by their outcomes, which instances share for
 * the detection of gray failures anyway.
 *
 * @example
 * meters.room(upstream, 5); // 5 requests; less after each
 */
export class LimitMeters {
    readonly #options: LimitMetersOptions;
    readonly #meters = new Map<UpstreamId, Meter>();
    /** Requests of this instance to cold upstreams. */
    readonly #permits = new Map<UpstreamId, LeakyBucket>();

    constructor(options: LimitMetersOptions) {
        this.#options = options;
    }

    /** Counts a request that this instance sends. */
    recordOwn(upstream: UpstreamId): void {
        const meter = this.#meters.get(upstream);
        meter?.fleet.add(1);
        meter?.own.add(1);
        this.#permits.get(upstream)?.add(1);
    }

    /** Counts requests of other instances that have ended. */
    recordRemote(upstream: UpstreamId, count: number): void {
        this.#meters.get(upstream)?.fleet.add(count);
    }

    /**
     * Requests that an upstream with a limit can get now. Instances that are not heard are taken to use their parts of the
     * limit, and an instance that hears less than half of the others keeps to its own part.
     */
    room(upstream: UpstreamId, limitPerSecond: number): number {
        const { live, known } = this.#options.reach();
        const limit = Math.max(minLimitPerSecond, limitPerSecond);
        const { fleet, own } = this.#meterOf(upstream);
        const ownLevel = own.level(limit / Math.max(1, known));
        const fleetLevel = fleet.level(limit * live / Math.max(1, known)) + this.#options.remoteInFlight(upstream);
        return live * 2 < known ? 1 - ownLevel : minBurst + burstSeconds * limit - fleetLevel;
    }

    /**
     * Requests that this instance can send to a cold upstream now, by its own permits only, as those of the others may be
     * reported late or not at all. In any second it sends at most one request for each permit, and in the long run its
     * part of the tolerated rate.
     */
    permitRoom(upstream: UpstreamId, cold: ColdUpstream, random: Random): number {
        const { clock } = this.#options;
        if (cold.permits === 0 || clock.monotonicMs() < cold.heldUntilMs) {
            return 0;
        }
        const ratePerSecond = Math.min(
            cold.toleratedPerSecond * cold.permits / cold.fleetPermits,
            cold.permits - ratePrecision,
        );
        const size = Math.max(1, cold.permits - ratePerSecond);
        const found = this.#permits.get(upstream);
        const bucket = found ?? new LeakyBucket(clock);
        if (found === undefined) {
            // Otherwise the instances with a permit would all send at once.
            bucket.add(size * random());
            this.#permits.set(upstream, bucket);
        }
        return size - bucket.level(ratePerSecond);
    }

    /** Forgets what was sent to upstreams that are no longer cold. */
    retainPermits(isCold: (upstream: UpstreamId) => boolean): void {
        [...this.#permits.keys()].filter(upstream => !isCold(upstream)).forEach(upstream =>
            this.#permits.delete(upstream)
        );
    }

    /** Forgets upstreams that name no limit or are no longer listed. */
    retain(isLimited: (upstream: UpstreamId) => boolean): void {
        [...this.#meters.keys()].filter(upstream => !isLimited(upstream)).forEach(upstream =>
            this.#meters.delete(upstream)
        );
    }

    #meterOf(upstream: UpstreamId): Meter {
        const { clock } = this.#options;
        const meter = this.#meters.get(upstream) ?? { fleet: new LeakyBucket(clock), own: new LeakyBucket(clock) };
        this.#meters.set(upstream, meter);
        return meter;
    }
}
