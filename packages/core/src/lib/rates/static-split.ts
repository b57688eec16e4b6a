/** Baseline for comparison: a static split of each limit over the instances. */
import type { InstanceContext } from "../context.js";
import type { RateDecision, RateLimiter } from "../stages.js";
import type { OrganisationId } from "../types.js";
import { defaultRateOptions } from "./options.js";
import { OrganisationIndex } from "./organisation-index.js";
import { ShareBucket } from "./share-bucket.js";

interface LocalBucket {
    /** Rate, burst and number of seats for which the bucket was created. */
    readonly key: string;
    readonly bucket: ShareBucket;
}

/**
 * Gives each seat of the roster the same fixed part of rate and burst. It needs no messages, but a caller that uses only
 * a few instances is refused below its organisation's rate. With a burst below the number of seats, each instance has
 * less than one token and grants nothing.
 *
 * @example
 * const limiter: RateLimiter = new StaticSplitLimiter(context);
 */
export class StaticSplitLimiter implements RateLimiter {
    readonly #context: InstanceContext;
    readonly #organisations: OrganisationIndex;
    readonly #entries = new Map<OrganisationId, LocalBucket>();
    readonly #maxWaitMs: number;
    #nextRequestNumber = 0;

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
            const requestNumber = this.#nextRequestNumber++;
            // The empty instance id stands for the only user of the bucket.
            if (bucket !== undefined && bucket.draw("", requestNumber, 1, 0, nowMs).granted === 1) {
                return { kind: "granted", token: this.#token(bucket, requestNumber) };
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

    #token(bucket: ShareBucket, requestNumber: number) {
        const { clock } = this.#context;
        const expiresAtMs = clock.monotonicMs() + defaultRateOptions.batchTtlMs;
        let isEnded = false;
        const end = (used: number, returned: number): boolean => {
            const nowMs = clock.monotonicMs();
            const isValid = !isEnded && nowMs < expiresAtMs;
            isEnded = true;
            if (isValid) {
                bucket.report("", { draw: requestNumber, used, returned }, nowMs);
            }
            return isValid;
        };
        return { consume: () => end(1, 0), release: () => void end(0, 1) };
    }
}
