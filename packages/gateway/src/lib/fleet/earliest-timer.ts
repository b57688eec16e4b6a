/** A timer for an action that several causes may want at different times. */
import type { Clock, Timer } from "@sniperoad/core";

/**
 * Runs an action once at the earliest time for which it was scheduled.
 *
 * @example
 * const timer = new EarliestTimer(clock, () => send());
 * timer.schedule(clock.monotonicMs() + 100);
 * timer.schedule(clock.monotonicMs() + 40); // runs once, after 40 ms
 */
export class EarliestTimer {
    readonly #clock: Clock;
    readonly #run: () => void;
    #pending: { readonly timer: Timer; readonly dueMs: number; } | undefined;
    #isCancelled = false;

    constructor(clock: Clock, run: () => void) {
        this.#clock = clock;
        this.#run = run;
    }

    /** Schedules the action; a monotonic time in the past means now. */
    schedule(dueMs: number): void {
        const nowMs = this.#clock.monotonicMs();
        const effectiveMs = Math.max(nowMs, dueMs);
        if (this.#isCancelled || this.#pending !== undefined && this.#pending.dueMs <= effectiveMs) {
            return;
        }
        this.#pending?.timer.cancel();
        const timer = this.#clock.after(effectiveMs - nowMs, () => {
            this.#pending = undefined;
            this.#run();
        });
        this.#pending = { timer, dueMs: effectiveMs };
    }

    /** Cancels the action for good. */
    cancel(): void {
        this.#isCancelled = true;
        this.#pending?.timer.cancel();
    }
}
