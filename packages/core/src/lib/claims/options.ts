/** Limits and durations of claims. */

/** Limits of claims; every instance of a fleet must use the same durations. */
export interface ClaimOptions {
    /** How far the time in an idempotency key may be ahead of the fleet's time. */
    readonly keyAheadMs: number;
    /** Age of an idempotency key after which it is refused and its claim forgotten. */
    readonly retentionMs: number;
    /** Largest difference between the wall clocks of two instances. */
    readonly clockDifferenceMs: number;
    /** Time after which an instance that has lost its seat has stopped acting (`currentWindowMs` with drift). */
    readonly formerHolderStopMs: number;
    /** How long the entry side waits for the holders of a claim. */
    readonly recordTimeoutMs: number;
    /** How long `complete` waits for holders at most; sending goes on in the background. */
    readonly resolveWaitMs: number;
    /** Sends of a release or result to one holder before giving up. */
    readonly resolveAttempts: number;
    /** Largest answer, body and header fields, that is kept for repeats. */
    readonly answerLimitBytes: number;
    /** Claims that one holder keeps. */
    readonly maxClaims: number;
    /** Bytes of answers that one holder keeps. */
    readonly maxAnswerBytes: number;
    /** Claims in one page of synchronisation. */
    readonly pageClaims: number;
    /** Bytes of answers in one page; a peer frame holds 1 MiB. */
    readonly pageBytes: number;
    /** Pause between rounds of synchronisation while a holder is missing. */
    readonly syncRetryMs: number;
    /** Records needed before dispatch, given the number of holder seats. */
    readonly neededRecords: (holderSeats: number) => number;
    /** Whether a holder vouches for every key. Unsafe; tests set it to show that they detect the resulting double runs. */
    readonly assumesCompleteRecords: boolean;
}

/** More than half of the holder seats, so that two claims of one key always share a seat. */
export const majority = (holderSeats: number): number => Math.floor(holderSeats / 2) + 1;

export const defaultClaimOptions: ClaimOptions = {
    keyAheadMs: 5_000,
    retentionMs: 15 * 60_000,
    clockDifferenceMs: 1_000,
    // 3,000 ms window, 1% drift, and a reserve for a check that is one turn of the event loop old.
    formerHolderStopMs: 3_200,
    recordTimeoutMs: 300,
    resolveWaitMs: 50,
    resolveAttempts: 4,
    answerLimitBytes: 64 * 1024,
    maxClaims: 40_000,
    maxAnswerBytes: 8 * 1024 * 1024,
    pageClaims: 256,
    pageBytes: 256 * 1024,
    syncRetryMs: 1_000,
    neededRecords: majority,
    assumesCompleteRecords: false,
};

/**
 * Time between the change of a holder and the first key time that it vouches for without synchronisation. An earlier
 * attempt under such a key started after the former holder had stopped acting, whichever clocks were off.
 */
export const completenessMarginMs = (options: ClaimOptions): number =>
    options.keyAheadMs + 2 * options.clockDifferenceMs + options.formerHolderStopMs;
