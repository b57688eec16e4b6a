/** A level that rises with each event and sinks at a rate. */
import type { Clock } from "@sniperoad/core";

/**
 * The classic meter for a rate with bursts: events conform to the rate as long as the level stays below a size.
 *
 * @example
 * const bucket = new LeakyBucket(clock);
 * bucket.add(3);
 * bucket.level(2); // 1 after a second
 */
export class LeakyBucket {
    readonly #clock: Clock;
    #level = 0;
    #drainedMs: number;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#drainedMs = clock.monotonicMs();
    }

    add(count: number): void {
        this.#level += count;
    }

    /** The level after it has sunk at a rate, in events per second, since the last call. */
    level(ratePerSecond: number): number {
        const nowMs = this.#clock.monotonicMs();
        this.#level = Math.max(0, this.#level - ratePerSecond * (nowMs - this.#drainedMs) / 1_000);
        this.#drainedMs = nowMs;
        return this.#level;
    }
}
