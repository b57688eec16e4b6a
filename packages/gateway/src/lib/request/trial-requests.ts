/** Limits the requests to upstreams that recently sent far more than a response. */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** Time after the last excess for which an upstream is on trial, unless a whole response arrives before. */
const trialMs = 10_000;
/** Time after an excess until the next request, which doubles with each further excess. */
const firstPauseMs = 250;
const maxPauseMs = 4_000;

interface Trial {
    endsMs: number;
    pauseMs: number;
    pausedUntilMs: number;
    isInFlight: boolean;
}

/**
 * While an upstream is on trial, it gets one request at a time, with a pause after each excess. Otherwise all requests
 * that are sent before the waste of the first one is known would be answered without end.
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
        const nowMs = this.#clock.monotonicMs();
        const earlier = this.#trials.get(upstream);
        // Requests that were sent before the trial are no further evidence.
        if (earlier !== undefined && nowMs < earlier.pausedUntilMs) {
            return;
        }
        const pauseMs = earlier === undefined ? firstPauseMs : Math.min(maxPauseMs, earlier.pauseMs * 2);
        const isInFlight = earlier?.isInFlight ?? false;
        this.#trials.set(upstream, { endsMs: nowMs + trialMs, pauseMs, pausedUntilMs: nowMs + pauseMs, isInFlight });
    }

    /** Ends the trial of an upstream, as it sent a whole response. */
    recordWhole(upstream: UpstreamId): void {
        this.#trials.delete(upstream);
    }

    /** Returns a function that ends the request; undefined if it may not be sent now. */
    tryBegin(upstream: UpstreamId): (() => void) | undefined {
        const nowMs = this.#clock.monotonicMs();
        const trial = this.#trials.get(upstream);
        if (trial === undefined || trial.endsMs <= nowMs) {
            this.#trials.delete(upstream);
            return () => {};
        }
        if (trial.isInFlight || nowMs < trial.pausedUntilMs) {
            return undefined;
        }
        trial.isInFlight = true;
        return () => {
            const current = this.#trials.get(upstream);
            if (current !== undefined) {
                current.isInFlight = false;
            }
        };
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#trials.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => {
            this.#trials.delete(upstream);
        });
    }
}
