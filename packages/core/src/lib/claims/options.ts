/** Options of claims. */

/** Limits and durations of claims; every instance of a fleet must use the same durations. */
export interface ClaimOptions {
    /** How far the time in an idempotency key may be ahead of the fleet's time. */
    readonly keyAheadMs: number;
    /** Age at which an idempotency key is refused and its claim removed. */
    readonly retentionMs: number;
    /** Largest difference between the wall clocks of two instances. */
    readonly clockDifferenceMs: number;
    /** Time after which an instance that has lost its seat has stopped acting: `currentWindowMs` plus clock drift. */
    readonly formerHolderStopMs: number;
    /** How long the entry instance waits for the holders of a claim. */
    readonly recordTimeoutMs: number;
    /** Longest wait of `complete` for the holders; sending continues in the background. */
    readonly resolveWaitMs: number;
    /** Attempts to send a release or an outcome to one holder. */
    readonly resolveAttempts: number;
    /** Largest response, as bytes of body and header fields, that is stored for retries. */
    readonly responseLimitBytes: number;
    /** Maximum number of claims that one holder stores. */
    readonly maxClaims: number;
    /** Maximum bytes of responses that one holder stores. */
    readonly maxResponseBytes: number;
    /** Maximum number of claims in one synchronisation page. */
    readonly pageClaims: number;
    /** Maximum bytes of responses in one page; a peer frame holds 1 MiB. */
    readonly pageBytes: number;
    /** Initial delay between synchronisation rounds while claims are missing. */
    readonly syncRetryMs: number;
    /** Records needed before dispatch, given the number of holder seats. */
    readonly neededRecords: (holderSeats: number) => number;
    /**
     * Whether the records of a holder count as complete for every key. Unsafe; tests set it to show that they detect
     * the resulting double runs.
     */
    readonly assumesCompleteRecords: boolean;
}

/** More than half of the holder seats, so that two claims of one key always share a seat. */
export const majority = (holderSeats: number): number => Math.floor(holderSeats / 2) + 1;

export const defaultClaimOptions: ClaimOptions = {
    keyAheadMs: 5_000,
    retentionMs: 15 * 60_000,
    clockDifferenceMs: 1_000,
    // 3,000 ms window, 1% clock drift, and a margin for a check made one turn of the event loop earlier.
    formerHolderStopMs: 3_200,
    recordTimeoutMs: 300,
    resolveWaitMs: 50,
    resolveAttempts: 4,
    responseLimitBytes: 64 * 1024,
    maxClaims: 40_000,
    maxResponseBytes: 8 * 1024 * 1024,
    pageClaims: 256,
    pageBytes: 256 * 1024,
    syncRetryMs: 1_000,
    neededRecords: majority,
    assumesCompleteRecords: false,
};

/**
 * Time between a change of holder and the first key time for which the records of the new holder are complete without
 * synchronisation. Whichever clocks differ, an earlier attempt with such a key started after the former holder had
 * stopped acting.
 */
export const completenessMarginMs = (options: ClaimOptions): number =>
    options.keyAheadMs + 2 * options.clockDifferenceMs + options.formerHolderStopMs;
