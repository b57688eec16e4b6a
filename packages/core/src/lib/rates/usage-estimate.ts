/** Estimated rate of recent use. */

/**
 * An exponentially decaying count of uses.
 *
 * @example
 * const usage = new UsageEstimate(500);
 * usage.count(nowMs);
 * usage.perSecond(nowMs);
 */
export class UsageEstimate {
    readonly #windowMs: number;
    #decayedCount = 0;
    #lastUseMs = 0;

    constructor(windowMs: number) {
        this.#windowMs = windowMs;
    }

    count(nowMs: number): void {
        this.#decayedCount = this.#decayedCountAt(nowMs) + 1;
        this.#lastUseMs = nowMs;
    }

    perSecond(nowMs: number): number {
        return this.#decayedCountAt(nowMs) * 1_000 / this.#windowMs;
    }

    /** Whether the last use is so old that the estimate has decayed to less than 2% of its value at that time. */
    isStale(nowMs: number): boolean {
        return nowMs - this.#lastUseMs > 4 * this.#windowMs;
    }

    #decayedCountAt(nowMs: number): number {
        return this.#decayedCount * Math.exp((this.#lastUseMs - nowMs) / this.#windowMs);
    }
}
