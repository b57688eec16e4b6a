/** Backoff for upstreams that this instance cannot reach. */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** Backoff after the first failure; a reset or refused connection often means only a restart. */
const initialBackoffMs = 500;
/** Maximum backoff; a recovered upstream is tried again within this time. */
const maxBackoffMs = 4_000;

interface Backoff {
    untilMs: number;
    durationMs: number;
}

/**
 * Backs off exponentially from upstreams after a timeout, reset or refused connection. The cause may be the network
 * path from this instance, so the backoff applies to this instance only.
 *
 * @example
 * backoff.recordFailure(upstream);
 * backoff.isBackingOff(upstream); // true for half a second
 */
export class PathBackoff {
    readonly #clock: Clock;
    readonly #backoffs = new Map<UpstreamId, Backoff>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    isBackingOff(upstream: UpstreamId): boolean {
        const backoff = this.#backoffs.get(upstream);
        return backoff !== undefined && this.#clock.monotonicMs() < backoff.untilMs;
    }

    recordSuccess(upstream: UpstreamId): void {
        this.#backoffs.delete(upstream);
    }

    recordFailure(upstream: UpstreamId): void {
        const nowMs = this.#clock.monotonicMs();
        const previous = this.#backoffs.get(upstream);
        // Failures of concurrent requests count once.
        if (previous !== undefined && nowMs < previous.untilMs) {
            return;
        }
        const durationMs = Math.min(maxBackoffMs, previous === undefined ? initialBackoffMs : previous.durationMs * 2);
        this.#backoffs.set(upstream, { untilMs: nowMs + durationMs, durationMs });
    }
}
