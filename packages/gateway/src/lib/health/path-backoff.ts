/** Upstreams that this instance cannot reach, as far as it can tell by itself. */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** Pause after the first failure of the path; a reset or refusal often lasts only as long as a restart. */
const firstPauseMs = 500;
/** Longest pause; an upstream that is back is found within this time. */
const maxPauseMs = 4_000;

interface Pause {
    untilMs: number;
    lengthMs: number;
}

/**
 * Pauses upstreams after a timeout, reset or refused connection, longer with each failure in a row. Such a failure may
 * be the path's, so it counts at this instance only.
 *
 * @example
 * paths.noteFailure(upstream);
 * paths.isPaused(upstream); // true for half a second
 */
export class PathBackoff {
    readonly #clock: Clock;
    readonly #pauses = new Map<UpstreamId, Pause>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    isBackingOff(upstream: UpstreamId): boolean {
        const pause = this.#pauses.get(upstream);
        return pause !== undefined && this.#clock.monotonicMs() < pause.untilMs;
    }

    recordSuccess(upstream: UpstreamId): void {
        this.#pauses.delete(upstream);
    }

    recordFailure(upstream: UpstreamId): void {
        const nowMs = this.#clock.monotonicMs();
        const previous = this.#pauses.get(upstream);
        // Failures of requests that were sent together count once.
        if (previous !== undefined && nowMs < previous.untilMs) {
            return;
        }
        const lengthMs = Math.min(maxPauseMs, previous === undefined ? firstPauseMs : previous.lengthMs * 2);
        this.#pauses.set(upstream, { untilMs: nowMs + lengthMs, lengthMs });
    }
}
