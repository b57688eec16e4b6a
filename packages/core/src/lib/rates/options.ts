/** Settings of the fleet-wide rate limits, and the division of an organisation's limit into shares. */
import type { OrganisationConfig } from "../config.js";
import type { OrganisationId } from "../types.js";

/** Settings of {@link RateCoordinator} and {@link DistributedRateLimiter}; they must be the same at all instances. */
export interface RateOptions {
    /** Lifetime of granted tokens, counted from the time at which the requesting instance sent its request. */
    readonly batchTtlMs: number;
    /** Allowance for the difference between two monotonic clocks, as a fraction. */
    readonly clockDrift: number;
    /** Tokens are requested in advance for this duration, at the recent rate of use of the instance. */
    readonly prefetchMs: number;
    /** Age at which unused tokens are returned to the coordinator. */
    readonly returnAfterMs: number;
    /** Interval at which a requesting instance returns unused tokens and reports uses. */
    readonly sweepIntervalMs: number;
    /** Maximum time that a caller's request waits for a token before it is refused. */
    readonly maxWaitMs: number;
    /** Timeout of a token request, after which the coordinator counts as unreachable. */
    readonly requestTimeoutMs: number;
    /** Minimum pause before the next token request to a share that granted too few tokens or was unreachable. */
    readonly retryPauseMs: number;
    /** Time constant of the estimate of recent use. */
    readonly usageWindowMs: number;
    /** Idle time after which a coordinator deletes a full bucket. */
    readonly idleTtlMs: number;
    /**
     * Time after which every reachable instance has adopted a configuration (docs/design.md, "Membership, leases and
     * currency").
     */
    readonly currentWindowMs: number;
    /** Maximum time between the arrival of a handover without an epoch and the start of the term that may use it. */
    readonly handoverWindowMs: number;
}

/**
 * Default settings.
 *
 * `maxWaitMs` exceeds `batchTtlMs` plus a few message delays. The coordinator counts a use no later than the expiry of
 * its batch, so a caller that keeps to its rate right after a full burst waits for that delay and is not refused.
 * `batchTtlMs` stays above the pauses of garbage collection, and far below the burst time of a typical organisation (2
 * s for a burst of twice the rate).
 */
export const defaultRateOptions: RateOptions = {
    batchTtlMs: 120,
    clockDrift: 0.01,
    prefetchMs: 60,
    returnAfterMs: 60,
    sweepIntervalMs: 25,
    maxWaitMs: 500,
    requestTimeoutMs: 50,
    retryPauseMs: 5,
    usageWindowMs: 500,
    idleTtlMs: 60_000,
    currentWindowMs: 3_000,
    handoverWindowMs: 1_000,
};

/** Disables checks in tests that show that the guarantee depends on them. Never set these elsewhere. */
export interface UnsafeRateOptions {
    /** The coordinator counts a token as used when it grants the token, although it may be dispatched later. */
    readonly countAtDebit?: boolean;
    /** {@link DistributedRateLimiter} uses expired tokens. */
    readonly ignoreExpiry?: boolean;
}

/** Rate and burst of a token bucket. */
export interface TokenBucketLimit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * Minimum rate and burst of an organisation for more than one share. Dividing a limit costs refusals, because the
 * tokens of one share cannot serve requests that wait for another: of conforming Poisson-like requests at 44 instances,
 * an organisation with 30 tokens a second had 8% refused with three shares and none with one.
 */
const minSplitRatePerSecond = 300;
const minSplitBurst = 300;
const splitShares = 3;

/**
 * Number of shares of an organisation. Three shares leave two thirds of the rate when a coordinator is lost, and spread
 * the token requests over several coordinators; an organisation whose rate or burst is too small to divide has one
 * share.
 *
 * @example
 * shareCount({ ratePerSecond: 400, burst: 800 }); // 3
 */
export const shareCount = (organisation: TokenBucketLimit): number =>
    organisation.ratePerSecond >= minSplitRatePerSecond && organisation.burst >= minSplitBurst ? splitShares : 1;

/**
 * Rate and burst of one share. The shares of an organisation add up exactly to its rate and burst.
 *
 * @example
 * shareLimit({ ratePerSecond: 300, burst: 601 }, 0); // { ratePerSecond: 100, burst: 201 }
 */
export const shareLimit = (organisation: TokenBucketLimit, share: number): TokenBucketLimit => {
    const shares = shareCount(organisation);
    const rest = organisation.burst % shares;
    return {
        ratePerSecond: organisation.ratePerSecond / shares,
        burst: Math.floor(organisation.burst / shares) + (share < rest ? 1 : 0),
    };
};

/** The smaller rate and the smaller burst of two limits. */
export const stricterLimit = (left: TokenBucketLimit, right: TokenBucketLimit): TokenBucketLimit => ({
    ratePerSecond: Math.min(left.ratePerSecond, right.ratePerSecond),
    burst: Math.min(left.burst, right.burst),
});

/** Key by which membership selects the coordinator of a share. */
export const shareKey = (organisation: OrganisationId, share: number): string => `rate/${organisation}/${share}`;

/** Part of an organisation's configuration that limits its rate. */
export type OrganisationLimit = Pick<OrganisationConfig, "id" | "ratePerSecond" | "burst">;
