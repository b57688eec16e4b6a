/** Counts events over a sliding window. */
import type { Clock } from "@sniperoad/core";

/** Length of a bucket; the window slides by this step. */
const bucketMs = 100;

/**
 * A count over the last `windowMs`, in buckets of 100 ms. An event counts for the window and up to one bucket longer.
 *
 * @example
 * const admitted = new UsageWindow(clock, 5_000);
 * admitted.add(1);
 * admitted.total();
 */
export class SlidingWindowCounter {
    readonly #clock: Clock;
    readonly #buckets: number[];
    #newest: number;
    #total = 0;

    constructor(clock: Clock, windowMs: number) {
        this.#clock = clock;
        this.#buckets = new Array<number>(Math.ceil(windowMs / bucketMs) + 1).fill(0);
        this.#newest = Math.floor(clock.monotonicMs() / bucketMs);
    }

    add(count: number): void {
        this.#advance();
        this.#buckets[this.#newest % this.#buckets.length]! += count;
        this.#total += count;
    }

    total(): number {
        this.#advance();
        return this.#total;
    }

    #advance(): void {
        const now = Math.floor(this.#clock.monotonicMs() / bucketMs);
        const steps = Math.min(now - this.#newest, this.#buckets.length);
        for (let step = 1; step <= steps; step++) {
            const index = (now - steps + step) % this.#buckets.length;
            this.#total -= this.#buckets[index]!;
            this.#buckets[index] = 0;
        }
        this.#newest = Math.max(now, this.#newest);
    }
}
