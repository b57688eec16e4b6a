/** Limits the requests to upstreams that recently sent far more than a response. */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** Time after the last excess for which an upstream is on trial, unless a whole response arrives before. */
const trialMs = 10_000;

interface Trial {
    endsMs: number;
    isInFlight: boolean;
}

/**
 * While an upstream is on trial, it gets one request at a time. Otherwise all requests that are sent before the waste of
 * the first one is known would be answered without end.
 *
 * @example
 * const end = trials.tryBegin(upstream);
 * if (end !== undefined) {
 *     await send(request).finally(end);
 * }
 */
export class TrialRequests {
    readonly #clock: Clock;
    readonly #trials = new Map<UpstreamId, Trial>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Starts the trial of an upstream, or prolongs it. */
    recordExcess(upstream: UpstreamId): void {
        const endsMs = this.#clock.monotonicMs() + trialMs;
        const trial = this.#trials.get(upstream);
        if (trial === undefined) {
            this.#trials.set(upstream, { endsMs, isInFlight: false });
        }
        else {
            trial.endsMs = endsMs;
        }
    }

    /** Ends the trial of an upstream, as it sent a whole response. */
    recordWhole(upstream: UpstreamId): void {
        this.#trials.delete(upstream);
    }

    /** Returns a function that ends the request; undefined if it may not be sent now. */
    tryBegin(upstream: UpstreamId): (() => void) | undefined {
        const trial = this.#trials.get(upstream);
        if (trial === undefined || trial.endsMs <= this.#clock.monotonicMs()) {
            this.#trials.delete(upstream);
            return () => {};
        }
        if (trial.isInFlight) {
            return undefined;
        }
        trial.isInFlight = true;
        return () => {
            trial.isInFlight = false;
        };
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#trials.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => {
            this.#trials.delete(upstream);
        });
    }
}
