/** Token bucket of one share at its coordinator. */
import type { HandoverBucket, TokenUsageReport } from "./messages.js";
import type { RateOptions, TokenBucketLimit, UnsafeRateOptions } from "./options.js";
import { TokenRequestQueue } from "./token-request-queue.js";

/** Tokens of one grant that may still be used. */
interface OpenGrant {
    readonly count: number;
    used: number;
    returned: number;
    readonly expiresAtMs: number;
}

/** Result of a token request. */
export interface TokenGrantResult {
    readonly granted: number;
    /** Tokens left, less those that instances are waiting for. */
    readonly level: number;
    /** Time until the next token for this instance, if it got fewer than it needs. */
    readonly waitMs: number;
}

/** Fraction of the burst that must stay in the bucket when tokens are granted in advance. */
const minAheadFillRatio = 0.5;
/** Maximum fraction of the tokens above that level which one request may get in advance. */
const aheadFraction = 0.25;

/**
 * A token bucket that limits its share to rate and burst at the time of dispatch, not of the grant.
 *
 * A granted token may be dispatched until its batch expires. It is therefore kept as open: it reduces the tokens that
 * can be granted, but is subtracted from the level only when its use is reported or its batch expires, which is never
 * before its dispatch. For every start of a window, the tokens that can be dispatched from then on are at most the
 * burst plus what has been refilled since. This reduces the capacity only by the open tokens, whereas a fixed reduction
 * (the rate times the lifetime of a batch) would refuse a part of every full burst. A returned token was never
 * dispatched, so it leaves no debit.
 *
 * Times are monotonic milliseconds of the coordinator and must not decrease between calls.
 */
export class ShareBucket {
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #queue = new TokenRequestQueue();
    readonly #open = new Map<string, OpenGrant>();
    /** Tokens of open grants that are neither used nor returned. */
    #openCount = 0;
    /** Tokens in the bucket, including those of open grants. */
    #level: number;
    /** Time of the last refill, or in the future the time at which the bucket starts to fill. */
    #refilledAtMs: number;
    #limit: TokenBucketLimit;
    /** Limit that applies later. */
    #pending: { readonly atMs: number; readonly limit: TokenBucketLimit; } | undefined;
    #lastRequestAtMs: number;

    /** Creates an empty bucket that starts to fill at `startsAtMs`. */
    constructor(limit: TokenBucketLimit, startsAtMs: number, options: RateOptions & UnsafeRateOptions) {
        this.#limit = limit;
        this.#options = options;
        this.#level = 0;
        this.#refilledAtMs = startsAtMs;
        this.#lastRequestAtMs = startsAtMs;
    }

    /** Creates a bucket from the state that another coordinator handed over, received at `receivedAtMs`. */
    static restore(
        state: HandoverBucket,
        receivedAtMs: number,
        options: RateOptions & UnsafeRateOptions,
    ): ShareBucket {
        const bucket = new ShareBucket(state, receivedAtMs, options);
        bucket.#level = Math.min(state.level, state.burst);
        for (const { draw, count, used, returned, expiresInMs } of state.open) {
            bucket.#open.set(draw, { count, used, returned, expiresAtMs: receivedAtMs + expiresInMs });
            bucket.#openCount += count - used - returned;
        }
        return bucket;
    }

    /**
     * Grants up to `need` tokens, and some of `ahead` while the bucket is more than half full. Grants none if a grant
     * with the same request number is still open.
     */
    draw(instance: string, draw: number, need: number, ahead: number, nowMs: number): TokenGrantResult {
        this.#settle(nowMs);
        this.#lastRequestAtMs = nowMs;
        const available = this.#available(nowMs);
        const { forNeed, spare } = this.#queue.take(instance, need, available, nowMs);
        const spareAhead = (spare - this.#limit.burst * minAheadFillRatio) * aheadFraction;
        const wanted = forNeed + Math.max(0, Math.floor(Math.min(ahead, spareAhead)));
        const granted = this.#open.has(grantKey(instance, draw)) ? 0 : wanted;
        if (granted > 0) {
            this.#debit(grantKey(instance, draw), granted, nowMs);
        }
        const left = available - granted;
        const maxQueue = this.#limit.ratePerSecond * this.#options.maxWaitMs / 1_000;
        const next = this.#queue.reserve(instance, Math.max(0, need - granted), maxQueue);
        this.#queue.schedule(instance, tokens => nowMs + this.#waitMs(tokens - left, nowMs));
        return {
            granted,
            level: left - this.#queue.total,
            waitMs: next === undefined ? 0 : this.#waitMs(next - left, nowMs),
        };
    }

    /** Time until a token is available, without regard to the queue. */
    waitMs(nowMs: number): number {
        this.#settle(nowMs);
        return this.#waitMs(1 - this.#available(nowMs), nowMs);
    }

    /** Counts used tokens and takes returned ones back. Reports about grants that are not open are ignored. */
    report(instance: string, report: TokenUsageReport, nowMs: number): void {
        this.#settle(nowMs);
        const open = this.#open.get(grantKey(instance, report.draw));
        if (open === undefined) {
            return;
        }
        const used = Math.max(0, Math.min(report.used, open.count - open.returned) - open.used);
        // An instance that got no reply returns all that it requested, which may be more than was granted.
        const returned = Math.max(0, Math.min(report.returned, open.count - open.used - used) - open.returned);
        open.used += used;
        open.returned += returned;
        this.#level -= used;
        this.#openCount -= used + returned;
        if (open.used + open.returned >= open.count) {
            this.#open.delete(grantKey(instance, report.draw));
        }
    }

    /** Applies another limit immediately. */
    change(limit: TokenBucketLimit, nowMs: number): void {
        this.#settle(nowMs);
        this.#pending = undefined;
        this.#applyLimit(limit);
    }

    /** Applies `during` immediately and `after` from `untilMs` on. */
    changeLater(during: TokenBucketLimit, after: TokenBucketLimit, untilMs: number, nowMs: number): void {
        this.change(during, nowMs);
        this.#pending = { atMs: untilMs, limit: after };
    }

    /** The limit in force. */
    limit(nowMs: number): TokenBucketLimit {
        this.#settle(nowMs);
        return this.#limit;
    }

    /** Whether the bucket has started to fill. */
    hasStarted(nowMs: number): boolean {
        return this.#refilledAtMs <= nowMs;
    }

    /** Whether the bucket has been idle for `idleTtlMs` and is full, so that it can be deleted. */
    isIdle(nowMs: number): boolean {
        this.#settle(nowMs);
        return nowMs - this.#lastRequestAtMs >= this.#options.idleTtlMs && this.#pending === undefined
            && this.#open.size === 0
            && this.#level >= this.#limit.burst;
    }

    /** Returns the state for the next coordinator. Do not use this bucket afterwards. */
    handOver(nowMs: number): Omit<HandoverBucket, "organisation" | "share" | "epoch"> {
        this.#settle(nowMs);
        return {
            level: this.#level,
            ...this.#limit,
            open: [...this.#open].map(([draw, { count, used, returned, expiresAtMs }]) => ({
                draw,
                count,
                used,
                returned,
                // Extended because the successor's clock may run faster.
                expiresInMs: (expiresAtMs - nowMs) * (1 + this.#options.clockDrift),
            })),
        };
    }

    #waitMs(missing: number, nowMs: number): number {
        if (missing <= 0) {
            return 0;
        }
        // A full bucket is not refilled, so the next token comes after the next open grant has expired.
        const [oldest] = this.#open.values();
        const isFull = this.#level >= this.#limit.burst;
        const startMs = isFull && oldest !== undefined ? oldest.expiresAtMs : this.#refilledAtMs;
        return Math.max(0, startMs - nowMs) + missing * 1_000 / this.#limit.ratePerSecond;
    }

    #debit(key: string, count: number, nowMs: number): void {
        if (this.#options.countAtDebit === true) {
            this.#level -= count;
            return;
        }
        const { batchTtlMs, clockDrift } = this.#options;
        this.#open.set(key, {
            count,
            used: 0,
            returned: 0,
            expiresAtMs: nowMs + batchTtlMs * (1 + clockDrift),
        });
        this.#openCount += count;
    }

    #available(nowMs: number): number {
        return nowMs < this.#refilledAtMs ? 0 : Math.max(0, this.#level - this.#openCount);
    }

    /**
     * Counts the open tokens of expired grants as used at their expiry. Grants expire in the order in which they were
     * made.
     */
    #settle(nowMs: number): void {
        for (const [key, open] of this.#open) {
            if (open.expiresAtMs > nowMs) {
                break;
            }
            this.#advance(open.expiresAtMs);
            const left = open.count - open.used - open.returned;
            this.#level -= left;
            this.#openCount -= left;
            this.#open.delete(key);
        }
        this.#advance(nowMs);
    }

    #advance(toMs: number): void {
        const pending = this.#pending;
        if (pending !== undefined && pending.atMs <= toMs) {
            this.#pending = undefined;
            this.#refill(pending.atMs);
            this.#applyLimit(pending.limit);
        }
        this.#refill(toMs);
    }

    #refill(toMs: number): void {
        if (toMs > this.#refilledAtMs) {
            const refilled = this.#level + (toMs - this.#refilledAtMs) * this.#limit.ratePerSecond / 1_000;
            this.#level = Math.min(this.#limit.burst, refilled);
            this.#refilledAtMs = toMs;
        }
    }

    #applyLimit(limit: TokenBucketLimit): void {
        this.#limit = limit;
        this.#level = Math.min(this.#level, limit.burst);
    }
}

const grantKey = (instance: string, requestNumber: number): string => `${instance}/${requestNumber}`;
