/** Counts events over a sliding window. */
import type { Clock } from "@sniperoad/core";

/** Duration of a bucket, the step by which the window slides. */
const bucketMs = 100;

/**
 * Counts events of the last `windowMs` in buckets of 100 ms. An event is counted for up to one bucket longer than that.
 *
 * @example
 * const admitted = new SlidingWindowCounter(clock, 5_000);
 * admitted.add(1);
 * admitted.total();
 */
export class SlidingWindowCounter {
    readonly #clock: Clock;
    readonly #buckets: number[];
    #newestBucket: number;
    #total = 0;

    constructor(clock: Clock, windowMs: number) {
        this.#clock = clock;
        this.#buckets = new Array<number>(Math.ceil(windowMs / bucketMs) + 1).fill(0);
        this.#newestBucket = Math.floor(clock.monotonicMs() / bucketMs);
    }

    add(count: number): void {
        this.#advance();
        this.#buckets[this.#newestBucket % this.#buckets.length]! += count;
        this.#total += count;
    }

    total(): number {
        this.#advance();
        return this.#total;
    }

    #advance(): void {
        const nowBucket = Math.floor(this.#clock.monotonicMs() / bucketMs);
        const steps = Math.min(nowBucket - this.#newestBucket, this.#buckets.length);
        for (let step = 1; step <= steps; step++) {
            const index = (nowBucket - steps + step) % this.#buckets.length;
            this.#total -= this.#buckets[index]!;
            this.#buckets[index] = 0;
        }
        this.#newestBucket = Math.max(nowBucket, this.#newestBucket);
    }
}
