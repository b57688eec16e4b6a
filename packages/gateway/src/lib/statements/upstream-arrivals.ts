/** Counts the requests that upstreams get from all instances. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import { limitWindowMs } from "./limit-gate.js";

interface Arrivals {
    readonly own: SlidingWindowCounter;
    readonly remote: SlidingWindowCounter;
}

/** Options of {@link UpstreamArrivals}. */
export interface UpstreamArrivalsOptions {
    readonly clock: Clock;
    /** Requests in flight from the other instances to an upstream. */
    readonly remoteInFlight: (upstream: UpstreamId) => number;
}

/**
 * Counts requests over the window of the limits. Those of other instances are counted when they are reported in flight,
 * and from then on by their outcomes, which instances share for the detection of gray failures anyway.
 *
 * @example
 * arrivals.recordOwn(upstream);
 * arrivals.own(upstream) + arrivals.remote(upstream);
 */
export class UpstreamArrivals {
    readonly #options: UpstreamArrivalsOptions;
    readonly #byUpstream = new Map<UpstreamId, Arrivals>();

    constructor(options: UpstreamArrivalsOptions) {
        this.#options = options;
    }

    /** Counts a request that this instance sends. */
    recordOwn(upstream: UpstreamId): void {
        this.#arrivalsOf(upstream).own.add(1);
    }

    /** Counts requests of other instances that have ended. */
    recordRemote(upstream: UpstreamId, count: number): void {
        this.#arrivalsOf(upstream).remote.add(count);
    }

    /** Requests of this instance within the window. */
    own(upstream: UpstreamId): number {
        return this.#byUpstream.get(upstream)?.own.total() ?? 0;
    }

    /** Requests of the other instances within the window, as far as they are reported. */
    remote(upstream: UpstreamId): number {
        return (this.#byUpstream.get(upstream)?.remote.total() ?? 0) + this.#options.remoteInFlight(upstream);
    }

    /** Removes the counts of upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#byUpstream.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#byUpstream.delete(upstream)
        );
    }

    #arrivalsOf(upstream: UpstreamId): Arrivals {
        const found = this.#byUpstream.get(upstream);
        if (found !== undefined) {
            return found;
        }
        const { clock } = this.#options;
        const created = {
            own: new SlidingWindowCounter(clock, limitWindowMs),
            remote: new SlidingWindowCounter(clock, limitWindowMs),
        };
        this.#byUpstream.set(upstream, created);
        return created;
    }
}
