/** Limits retries, so that a failing service does not get a multiple of its load. */
import type { Clock } from "../ports.js";
import type { BalanceSettings } from "./settings.js";

/**
 * A bucket that each request fills by a share and time fills at a least rate.
 *
 * @example
 * budget.noteRequest();
 * if (budget.tryRetry()) { send again }
 */
export class RetryBudget {
    readonly #clock: Clock;
    readonly #settings: BalanceSettings;
    #credit: number;
    #filledMs: number;

    constructor(clock: Clock, settings: BalanceSettings) {
        this.#clock = clock;
        this.#settings = settings;
        this.#credit = settings.minRetriesPerSecond;
        this.#filledMs = clock.monotonicMs();
    }

    recordRequest(): void {
        this.#fill(this.#settings.retryShare);
    }

    tryRetry(): boolean {
        this.#fill(0);
        if (this.#credit < 1) {
            return false;
        }
        this.#credit--;
        return true;
    }

    #fill(amount: number): void {
        const nowMs = this.#clock.monotonicMs();
        const { minRetriesPerSecond, retryShare } = this.#settings;
        const earned = (nowMs - this.#filledMs) * minRetriesPerSecond / 1_000;
        this.#filledMs = nowMs;
        // Credit for more than a burst of 50 requests would allow a storm after a quiet time.
        const limit = Math.max(minRetriesPerSecond, 50 * retryShare);
        this.#credit = Math.min(limit, this.#credit + amount + earned);
    }
}
