/** Settings of the fleet-wide rate limits, and how an organisation's rate is divided into shares. */
import type { OrganisationConfig } from "../config.js";
import type { OrganisationId } from "../types.js";

/** Settings of {@link RateHome} and {@link DrawingRateLimiter}; they must be the same at all instances. */
export interface RateOptions {
    /** Lifetime of drawn tokens, counted from the time at which the drawing instance sent its request. */
    readonly batchTtlMs: number;
    /** Allowance for the difference between two monotonic clocks, as a fraction. */
    readonly clockDrift: number;
    /** Tokens are drawn ahead for this much of an instance's recent use. */
    readonly prefetchMs: number;
    /** Unused tokens of this age are returned to the home. */
    readonly returnAfterMs: number;
    /** Interval at which a drawing instance looks for tokens to return and uses to report. */
    readonly sweepIntervalMs: number;
    /** A request waits this long for a token before it is refused. */
    readonly maxWaitMs: number;
    /** A home that has not answered a draw for this long counts as unreachable. */
    readonly drawTimeoutMs: number;
    /** Shortest pause before a share that was empty or unreachable is asked again. */
    readonly retryPauseMs: number;
    /** Time constant of the estimate of recent use. */
    readonly usageWindowMs: number;
    /** State of an organisation without use for this long is dropped. */
    readonly idleTtlMs: number;
    /** Time after which every reachable instance has adopted a configuration (section 5 of the design). */
    readonly currentWindowMs: number;
    /** A handover counts only for a term that starts this soon after it arrived. */
    readonly handoverWindowMs: number;
}

/**
 * The settings in use.
 *
 * `maxWaitMs` exceeds `batchTtlMs` plus a few message delays: the home counts a use at the latest when its batch
 * expires, so a caller that keeps to its rate right after a full burst waits for this delay and is not refused.
 * `batchTtlMs` stays above the pauses that garbage collection causes, and far below the burst time of a usual
 * organisation (2 s for a burst of twice the rate).
 */
export const defaultRateOptions: RateOptions = {
    batchTtlMs: 120,
    clockDrift: 0.01,
    prefetchMs: 60,
    returnAfterMs: 60,
    sweepIntervalMs: 25,
    maxWaitMs: 500,
    drawTimeoutMs: 50,
    retryPauseMs: 5,
    usageWindowMs: 500,
    idleTtlMs: 60_000,
    currentWindowMs: 3_000,
    handoverWindowMs: 1_000,
};

/** Checks that tests switch off to show that the guarantee depends on them. Never set them elsewhere. */
export interface UnsafeRateOptions {
    /** The home counts a token as used when it debits it, as if no token were used late. */
    readonly countAtDebit?: boolean;
    /** {@link DrawingRateLimiter} spends expired tokens. */
    readonly ignoreExpiry?: boolean;
}

/** Rate and burst of one share. */
export interface TokenBucketLimit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * An organisation below these has one share. Dividing costs refusals, because tokens of one share cannot serve requests
 * that wait at another one: of conforming Poisson-like requests at 44 instances, an organisation with 30 tokens a second
 * was refused 8% with three shares and none with one.
 */
const minSplitRatePerSecond = 300;
const minSplitBurst = 300;
const splitShares = 3;

/**
 * Number of shares of an organisation: three, so that the loss of one home leaves two thirds of the rate and the draws are
 * divided among homes, or one when rate or burst is too small to divide.
 *
 * @example
 * shareCount({ ratePerSecond: 400, burst: 800 }); // 3
 */
export const shareCount = (organisation: TokenBucketLimit): number =>
    organisation.ratePerSecond >= minSplitRatePerSecond && organisation.burst >= minSplitBurst ? splitShares : 1;

/**
 * Rate and burst of one share. The shares of an organisation add up to exactly its rate and burst.
 *
 * @example
 * shareEntitlement({ ratePerSecond: 300, burst: 601 }, 0); // { ratePerSecond: 100, burst: 201 }
 */
export const shareLimit = (organisation: TokenBucketLimit, share: number): TokenBucketLimit => {
    const shares = shareCount(organisation);
    const rest = organisation.burst % shares;
    return {
        ratePerSecond: organisation.ratePerSecond / shares,
        burst: Math.floor(organisation.burst / shares) + (share < rest ? 1 : 0),
    };
};

/** The smaller rate and the smaller burst of two entitlements. */
export const stricterLimit = (left: TokenBucketLimit, right: TokenBucketLimit): TokenBucketLimit => ({
    ratePerSecond: Math.min(left.ratePerSecond, right.ratePerSecond),
    burst: Math.min(left.burst, right.burst),
});

/** Key under which membership chooses the home of a share. */
export const shareKey = (organisation: OrganisationId, share: number): string => `rate/${organisation}/${share}`;

/** What the rates need to know of an organisation's configuration. */
export type OrganisationLimit = Pick<OrganisationConfig, "id" | "ratePerSecond" | "burst">;
