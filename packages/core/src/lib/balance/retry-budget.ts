/** Limits retries, so that they do not multiply the load of a failing service. */
import type { Clock } from "../ports.js";
import type { BalanceSettings } from "./settings.js";

/**
 * Token bucket for retries. Each request earns `retryShare` of a retry, and each second `minRetriesPerSecond`.
 *
 * @example
 * budget.recordRequest();
 * if (budget.tryAcquire()) { send again }
 */
export class RetryBudget {
    readonly #clock: Clock;
    readonly #settings: BalanceSettings;
    #credit: number;
    #lastRefillMs: number;

    constructor(clock: Clock, settings: BalanceSettings) {
        this.#clock = clock;
        this.#settings = settings;
        this.#credit = settings.minRetriesPerSecond;
        this.#lastRefillMs = clock.monotonicMs();
    }

    recordRequest(): void {
        this.#refill(this.#settings.retryShare);
    }

    /** Returns whether a retry is allowed, and if so, counts it. */
    tryAcquire(): boolean {
        this.#refill(0);
        if (this.#credit < 1) {
            return false;
        }
        this.#credit--;
        return true;
    }

    #refill(amount: number): void {
        const nowMs = this.#clock.monotonicMs();
        const { minRetriesPerSecond, retryShare } = this.#settings;
        const earned = (nowMs - this.#lastRefillMs) * minRetriesPerSecond / 1_000;
        this.#lastRefillMs = nowMs;
        // More credit than that of 50 requests would allow a retry storm after an idle period.
        const limit = Math.max(minRetriesPerSecond, 50 * retryShare);
        this.#credit = Math.min(limit, this.#credit + amount + earned);
    }
}
