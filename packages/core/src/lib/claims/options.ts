/** Options of claims. */

/** Limits and durations of claims; every instance of a fleet must use the same durations. */
export interface ClaimOptions {
    /** Maximum time by which an idempotency key may be ahead of the clock of the entry instance. */
    readonly keyAheadMs: number;
    /** Age at which an idempotency key is refused and its claim removed. */
    readonly retentionMs: number;
    /** Maximum difference between the wall clocks of two instances. */
    readonly clockDifferenceMs: number;
    /** Time after which an instance that has lost its seat has stopped acting: `currentWindowMs` plus clock drift. */
    readonly formerHolderStopMs: number;
    /** Maximum time for which the entry instance waits until the holders have recorded a claim. */
    readonly recordTimeoutMs: number;
    /** Maximum time for which the claim gate waits until the holders have stored an outcome or release. */
    readonly resolveWaitMs: number;
    /** Maximum number of attempts to send a release or an outcome to one holder. */
    readonly resolveAttempts: number;
    /** Maximum size of a response that is stored for retries, as bytes of body and header fields. */
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
