/** Estimate of recent use. */

/**
 * An exponentially decaying count of uses.
 *
 * @example
 * const use = new UseEstimate(500);
 * use.count(nowMs);
 * use.perSecond(nowMs);
 */
export class UsageEstimate {
    readonly #windowMs: number;
    #weight = 0;
    #atMs = 0;

    constructor(windowMs: number) {
        this.#windowMs = windowMs;
    }

    count(nowMs: number): void {
        this.#weight = this.#decayed(nowMs) + 1;
        this.#atMs = nowMs;
    }

    perSecond(nowMs: number): number {
        return this.#decayed(nowMs) * 1_000 / this.#windowMs;
    }

    /** Whether the last use was so long ago that the estimate has no meaning. */
    isStale(nowMs: number): boolean {
        return nowMs - this.#atMs > 4 * this.#windowMs;
    }

    #decayed(nowMs: number): number {
        return this.#weight * Math.exp((this.#atMs - nowMs) / this.#windowMs);
    }
}
