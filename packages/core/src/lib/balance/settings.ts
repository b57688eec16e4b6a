/** Numbers that govern the choice of upstreams and the queues. */

/** Settings of the balance module; durations in milliseconds. */
export interface BalanceSettings {
    /**
     * `permits`: the service's home hands out slots, so instances together never exceed them; one more round trip.
     * `local`: each instance chooses by itself, and upstreams shed what is too much.
     */
    readonly mode: "permits" | "local";
    /** Requests that may wait in one queue. */
    readonly maxQueued: number;
    /** Longest wait at the home before the instance asks again, so that a lost home is noticed. */
    readonly slotRequestWaitMs: number;
    /** Round trip allowed for an ask on top of the wait. */
    readonly slotRequestMarginMs: number;
    /** How long an instance chooses by itself after the home has not answered. */
    readonly fallbackMs: number;
    /** How long a permit outlives the route's timeout at the home when its release is lost. */
    readonly permitMarginMs: number;
    /** An upstream that shed gets nothing more from this instance for this long, unless it said longer. */
    readonly shedPauseMs: number;
    readonly maxShedPauseMs: number;
    /** Share of requests that may be retried, and the retries a second that are always allowed. */
    readonly retryShare: number;
    readonly minRetriesPerSecond: number;
    /** Slot time that each organisation gets in its turn. */
    readonly quantumMs: number;
}

export const defaultBalanceSettings: BalanceSettings = {
    mode: "permits",
    maxQueued: 500,
    slotRequestWaitMs: 400,
    slotRequestMarginMs: 100,
    fallbackMs: 1_000,
    permitMarginMs: 1_000,
    shedPauseMs: 5,
    maxShedPauseMs: 1_000,
    retryShare: 0.2,
    minRetriesPerSecond: 3,
    quantumMs: 20,
};
