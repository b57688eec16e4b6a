/** The token bucket of one share at its home. */
import type { HandoverBucket, TokenUsageReport } from "./messages.js";
import type { RateOptions, TokenBucketLimit, UnsafeRateOptions } from "./options.js";
import { TokenRequestQueue } from "./token-request-queue.js";

/** Tokens of one draw that may still be used. */
interface OpenDraw {
    readonly count: number;
    used: number;
    returned: number;
    readonly expiresAtMs: number;
}

/** Answer to a draw. */
export interface TokenGrantResult {
    readonly granted: number;
    /** Tokens left, less those that instances wait for. */
    readonly level: number;
    /** Time until the next token for this drawing instance, if it got fewer than it needs. */
    readonly waitMs: number;
}

/** Tokens drawn ahead come only from the upper half of a bucket, a quarter of it at a time. */
const aheadFloor = 0.5;
const aheadFraction = 0.25;

/**
 * A token bucket that holds its share to rate and burst at the time of dispatch, not of debit.
 *
 * A debited token may be dispatched at any time until its batch expires. It is therefore kept as open and lowers what
 * can be drawn, but is taken from the level only when its use is reported or its batch expires, which is never before
 * its dispatch. For every start of a window, the tokens that can be dispatched from then on are at most the burst plus
 * what has been refilled since. This lowers the capacity by the tokens that are out, where a fixed reduction (rate times
 * the lifetime of a batch) would refuse a part of every full burst. A returned token was never dispatched, so it leaves
 * no debit.
 *
 * Times are monotonic milliseconds of the home and must not decrease between calls.
 */
export class ShareBucket {
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #queue = new TokenRequestQueue();
    readonly #open = new Map<string, OpenDraw>();
    #openCount = 0;
    #level: number;
    #atMs: number;
    #entitlement: TokenBucketLimit;
    #pending: { readonly atMs: number; readonly entitlement: TokenBucketLimit; } | undefined;
    #usedAtMs: number;

    /** An empty bucket that begins to fill at `startsAtMs`. */
    constructor(entitlement: TokenBucketLimit, startsAtMs: number, options: RateOptions & UnsafeRateOptions) {
        this.#entitlement = entitlement;
        this.#options = options;
        this.#level = 0;
        this.#atMs = startsAtMs;
        this.#usedAtMs = startsAtMs;
    }

    /** A bucket with the state that another home handed over at `receivedAtMs`. */
    static restore(
        handed: HandoverBucket,
        receivedAtMs: number,
        options: RateOptions & UnsafeRateOptions,
    ): ShareBucket {
        const bucket = new ShareBucket(handed, receivedAtMs, options);
        bucket.#level = Math.min(handed.level, handed.burst);
        for (const { draw, count, used, returned, expiresInMs } of handed.open) {
            bucket.#open.set(draw, { count, used, returned, expiresAtMs: receivedAtMs + expiresInMs });
            bucket.#openCount += count - used - returned;
        }
        return bucket;
    }

    /** Debits up to `need` tokens, and some of `ahead` while the bucket is well filled. */
    draw(drawer: string, draw: number, need: number, ahead: number, nowMs: number): TokenGrantResult {
        this.#settle(nowMs);
        this.#usedAtMs = nowMs;
        const available = this.#available(nowMs);
        const { forNeed, spare } = this.#queue.take(drawer, need, available, nowMs);
        const spareAhead = (spare - this.#entitlement.burst * aheadFloor) * aheadFraction;
        const wanted = forNeed + Math.max(0, Math.floor(Math.min(ahead, spareAhead)));
        const granted = this.#open.has(drawKey(drawer, draw)) ? 0 : wanted;
        if (granted > 0) {
            this.#debit(drawKey(drawer, draw), granted, nowMs);
        }
        const left = available - granted;
        const maxQueue = this.#entitlement.ratePerSecond * this.#options.maxWaitMs / 1_000;
        const next = this.#queue.reserve(drawer, Math.max(0, need - granted), maxQueue);
        this.#queue.schedule(drawer, tokens => nowMs + this.#waitMs(tokens - left, nowMs));
        return {
            granted,
            level: left - this.#queue.total,
            waitMs: next === undefined ? 0 : this.#waitMs(next - left, nowMs),
        };
    }

    /** Time until a token can be drawn. */
    waitMs(nowMs: number): number {
        this.#settle(nowMs);
        return this.#waitMs(1 - this.#available(nowMs), nowMs);
    }

    /** Counts uses and takes tokens back. Reports of draws that are not open change nothing. */
    report(drawer: string, report: TokenUsageReport, nowMs: number): void {
        this.#settle(nowMs);
        const open = this.#open.get(drawKey(drawer, report.draw));
        if (open === undefined) {
            return;
        }
        const used = Math.max(0, Math.min(report.used, open.count - open.returned) - open.used);
        // An instance that got no reply returns all that it asked for, which may be more than was granted.
        const returned = Math.max(0, Math.min(report.returned, open.count - open.used - used) - open.returned);
        open.used += used;
        open.returned += returned;
        this.#level -= used;
        this.#openCount -= used + returned;
        if (open.used + open.returned >= open.count) {
            this.#open.delete(drawKey(drawer, report.draw));
        }
    }

    /** Applies another entitlement now. */
    change(entitlement: TokenBucketLimit, nowMs: number): void {
        this.#settle(nowMs);
        this.#pending = undefined;
        this.#apply(entitlement);
    }

    /** Applies `during` now and `after` from `untilMs` on. */
    changeLater(during: TokenBucketLimit, after: TokenBucketLimit, untilMs: number, nowMs: number): void {
        this.change(during, nowMs);
        this.#pending = { atMs: untilMs, entitlement: after };
    }

    /** The entitlement in force. */
    entitlement(nowMs: number): TokenBucketLimit {
        this.#settle(nowMs);
        return this.#entitlement;
    }

    /** Whether the bucket has begun to fill. */
    hasStarted(nowMs: number): boolean {
        return this.#atMs <= nowMs;
    }

    /** Whether the bucket equals one that was never used, so that it can be dropped. */
    isIdle(nowMs: number): boolean {
        this.#settle(nowMs);
        return nowMs - this.#usedAtMs >= this.#options.idleTtlMs && this.#pending === undefined && this.#open.size === 0
            && this.#level >= this.#entitlement.burst;
    }

    /** The state for another home. Do not draw from this bucket afterwards. */
    handOver(nowMs: number): Omit<HandoverBucket, "organisation" | "share" | "epoch"> {
        this.#settle(nowMs);
        return {
            level: this.#level,
            ...this.#entitlement,
            open: [...this.#open].map(([draw, { count, used, returned, expiresAtMs }]) => ({
                draw,
                count,
                used,
                returned,
                // Lengthened because the successor's clock may run faster.
                expiresInMs: (expiresAtMs - nowMs) * (1 + this.#options.clockDrift),
            })),
        };
    }

    #waitMs(missing: number, nowMs: number): number {
        if (missing <= 0) {
            return 0;
        }
        // A full level refills nothing, so the next token comes after the next open draw has expired.
        const [oldest] = this.#open.values();
        const isFull = this.#level >= this.#entitlement.burst;
        const startMs = isFull && oldest !== undefined ? oldest.expiresAtMs : this.#atMs;
        return Math.max(0, startMs - nowMs) + missing * 1_000 / this.#entitlement.ratePerSecond;
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
        return nowMs < this.#atMs ? 0 : Math.max(0, this.#level - this.#openCount);
    }

    /** Counts the open tokens of expired draws as used at their expiry. Draws expire in the order of their debits. */
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
            this.#apply(pending.entitlement);
        }
        this.#refill(toMs);
    }

    #refill(toMs: number): void {
        if (toMs > this.#atMs) {
            const refilled = this.#level + (toMs - this.#atMs) * this.#entitlement.ratePerSecond / 1_000;
            this.#level = Math.min(this.#entitlement.burst, refilled);
            this.#atMs = toMs;
        }
    }

    #apply(entitlement: TokenBucketLimit): void {
        this.#entitlement = entitlement;
        this.#level = Math.min(this.#level, entitlement.burst);
    }
}

const drawKey = (drawer: string, draw: number): string => `${drawer}/${draw}`;
