/** The baseline for comparison: each instance limits on its own. */
import type { InstanceContext } from "../context.js";
import type { RateDecision, RateLimiter } from "../stages.js";
import type { OrganisationId } from "../types.js";
import { defaultRateOptions } from "./options.js";
import { OrganisationIndex } from "./organisation-index.js";
import { ShareBucket } from "./share-bucket.js";

interface SplitEntry {
    readonly key: string;
    readonly bucket: ShareBucket;
}

/**
 * Gives each of the roster's seats the same fixed part of rate and burst. It needs no messages, and refuses callers that
 * use few instances. A burst below the number of seats leaves each instance less than one token, so nothing is granted.
 *
 * @example
 * const limiter: RateLimiter = new StaticSplitLimiter(context);
 */
export class StaticSplitLimiter implements RateLimiter {
    readonly #context: InstanceContext;
    readonly #organisations: OrganisationIndex;
    readonly #entries = new Map<OrganisationId, SplitEntry>();
    readonly #maxWaitMs: number;
    #nextDraw = 0;

    constructor(context: InstanceContext, maxWaitMs: number = defaultRateOptions.maxWaitMs) {
        this.#context = context;
        this.#organisations = new OrganisationIndex(context.config);
        this.#maxWaitMs = maxWaitMs;
    }

    async acquire(id: OrganisationId, deadlineMs: number): Promise<RateDecision> {
        const { clock } = this.#context;
        const endMs = Math.min(deadlineMs, clock.monotonicMs() + this.#maxWaitMs);
        for (;;) {
            const nowMs = clock.monotonicMs();
            const bucket = this.#bucket(id, nowMs);
            const draw = this.#nextDraw++;
            if (bucket !== undefined && bucket.draw("", draw, 1, 0, nowMs).granted === 1) {
                return { kind: "granted", token: this.#token(bucket, draw) };
            }
            const waitMs = bucket?.waitMs(nowMs) ?? Number.POSITIVE_INFINITY;
            if (!Number.isFinite(waitMs) || nowMs + waitMs >= endMs) {
                const retryAfterMs = Number.isFinite(waitMs) ? Math.ceil(waitMs) : 1_000;
                return { kind: "refused", retryAfterMs, reason: "over-rate" };
            }
            await new Promise<void>(resolve => clock.after(Math.max(1, waitMs), resolve));
        }
    }

    #bucket(id: OrganisationId, nowMs: number): ShareBucket | undefined {
        const organisation = this.#organisations.get(id);
        if (organisation === undefined) {
            return undefined;
        }
        const seats = this.#context.membership.roster().seats.length;
        const key = `${organisation.ratePerSecond}/${organisation.burst}/${seats}`;
        let entry = this.#entries.get(id);
        if (entry?.key !== key) {
            const part = { ratePerSecond: organisation.ratePerSecond / seats, burst: organisation.burst / seats };
            entry = { key, bucket: new ShareBucket(part, nowMs, defaultRateOptions) };
            this.#entries.set(id, entry);
        }
        return entry.bucket;
    }

    #token(bucket: ShareBucket, draw: number) {
        const { clock } = this.#context;
        const expiresAtMs = clock.monotonicMs() + defaultRateOptions.batchTtlMs;
        let isOver = false;
        const end = (used: number, returned: number): boolean => {
            const nowMs = clock.monotonicMs();
            const isValid = !isOver && nowMs < expiresAtMs;
            isOver = true;
            if (isValid) {
                bucket.report("", { draw, used, returned }, nowMs);
            }
            return isValid;
        };
        return { consume: () => end(1, 0), release: () => void end(0, 1) };
    }
}
