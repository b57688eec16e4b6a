/** Settings of the choice of upstreams and of the queues. */

/** Settings of the balance module; durations in milliseconds. */
export interface BalanceSettings {
    /**
     * `permits`: the coordinator of a service grants its slots, so that all instances together never exceed them, at
     * the cost of one more round trip. `local`: each instance chooses by itself, and upstreams shed excess requests.
     */
    readonly mode: "permits" | "local";
    /** Maximum number of requests in one queue. */
    readonly maxQueued: number;
    /** Longest wait at the coordinator before the slot is requested again, so that a lost coordinator is detected. */
    readonly slotRequestWaitMs: number;
    /** Time allowed for the round trip of a slot request, in addition to the wait. */
    readonly slotRequestMarginMs: number;
    /** Time for which an instance chooses by itself after the coordinator has not replied. */
    readonly fallbackMs: number;
    /** Time after the route's timeout at which the coordinator frees a permit whose release was lost. */
    readonly permitMarginMs: number;
    /** Minimum pause in the use of an upstream after it has shed a request. */
    readonly shedPauseMs: number;
    /** Maximum pause, also if the upstream states a longer one. */
    readonly maxShedPauseMs: number;
    /** Share of requests that may be retried, and retries per second that are always allowed. */
    readonly retryShare: number;
    readonly minRetriesPerSecond: number;
    /** Slot time that an organisation gets in each turn. */
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
