/** The drawing side of the fleet-wide rate limits. */
import type { InstanceContext } from "../context.js";
import type { Timer } from "../ports.js";
import type { RateDecision, RateLimiter } from "../stages.js";
import type { OrganisationId } from "../types.js";
import {
    requestTokensMethod,
    returnTokensMethod,
    type TokenReply,
    type TokenRequest,
    type TokenUsageReport,
} from "./messages.js";
import {
    defaultRateOptions,
    type OrganisationLimit,
    type RateOptions,
    shareCount,
    shareKey,
    type UnsafeRateOptions,
} from "./options.js";
import { OrganisationIndex } from "./organisation-index.js";
import type { RateCoordinator } from "./rate-coordinator.js";
import { ShareStatus } from "./share-status.js";
import { TokenPool } from "./token-pool.js";
import { UsageEstimate } from "./usage-estimate.js";

interface Waiter {
    readonly resolve: (decision: RateDecision) => void;
    readonly timer: Timer;
}

/** State of one organisation at this instance while it is in use. */
interface Entry {
    readonly organisation: OrganisationId;
    readonly pool: TokenPool;
    readonly use: UsageEstimate;
    /** In order of arrival. */
    readonly waiters: Set<Waiter>;
    shares: ShareStatus[];
    retry: Timer | undefined;
    /** No draw ahead before this time. */
    aheadFromMs: number;
}

/** Largest draw; it keeps one message and one loss small. */
const maxDraw = 1_000;

/**
 * Gets tokens from the homes of an organisation's shares, in small batches ahead of need where use is frequent and one
 * by one where it is rare.
 *
 * @example
 * const limiter = new DrawingRateLimiter(context, new RateHome(context));
 * const decision = await limiter.acquire(organisation, deadlineMs);
 * if (decision.kind === "granted" && decision.token.spend()) {
 *     // dispatch in the same turn of the event loop
 * }
 */
export class DistributedRateLimiter implements RateLimiter {
    readonly #context: InstanceContext;
    readonly #home: RateCoordinator;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #organisations: OrganisationIndex;
    readonly #entries = new Map<OrganisationId, Entry>();
    #nextDraw = 0;
    #sweep: Timer | undefined;

    /** `home` is the home side of the same instance; draws on it need no message. */
    constructor(
        context: InstanceContext,
        home: RateCoordinator,
        options: Partial<RateOptions & UnsafeRateOptions> = {},
    ) {
        this.#context = context;
        this.#home = home;
        this.#options = { ...defaultRateOptions, ...options };
        this.#organisations = new OrganisationIndex(context.config);
        // A new home may answer where the former one did not.
        context.membership.onChange(() => this.#entries.forEach(entry => this.#askUnreachableAgain(entry)));
    }

    /** Number of organisations with state in memory, for metrics. */
    get entryCount(): number {
        return this.#entries.size;
    }

    acquire(id: OrganisationId, deadlineMs: number): Promise<RateDecision> {
        const organisation = this.#organisations.get(id);
        if (organisation === undefined) {
            return Promise.resolve({ kind: "refused", retryAfterMs: 1_000, reason: "home-unavailable" });
        }
        const nowMs = this.#context.clock.monotonicMs();
        const entry = this.#entry(organisation);
        entry.use.count(nowMs);
        const token = entry.waiters.size === 0 ? entry.pool.take(nowMs) : undefined;
        if (token !== undefined) {
            this.#pump(entry);
            return Promise.resolve({ kind: "granted", token });
        }
        const { maxWaitMs } = this.#options;
        // More waiters than the whole rate and burst can serve within the wait are refused at once.
        const maxWaiters = organisation.burst + organisation.ratePerSecond * maxWaitMs / 1_000;
        const waitMs = Math.min(maxWaitMs, deadlineMs - nowMs);
        if (waitMs <= 0 || entry.waiters.size >= maxWaiters) {
            return Promise.resolve(this.#refusal(entry));
        }
        return new Promise(resolve => {
            const waiter: Waiter = {
                resolve,
                timer: this.#context.clock.after(waitMs, () => {
                    entry.waiters.delete(waiter);
                    resolve(this.#refusal(entry));
                }),
            };
            entry.waiters.add(waiter);
            this.#pump(entry);
        });
    }

    #entry(organisation: OrganisationLimit): Entry {
        let entry = this.#entries.get(organisation.id);
        if (entry === undefined) {
            const created: Entry = {
                organisation: organisation.id,
                pool: new TokenPool(this.#context.clock, this.#options, () => this.#pump(created)),
                use: new UsageEstimate(this.#options.usageWindowMs),
                waiters: new Set(),
                shares: [],
                retry: undefined,
                aheadFromMs: 0,
            };
            entry = created;
            this.#entries.set(organisation.id, entry);
            this.#sweep ??= this.#context.clock.after(this.#options.sweepIntervalMs, () => this.#sweepAll());
        }
        const shares = shareCount(organisation);
        if (entry.shares.length !== shares) {
            entry.shares = Array.from(
                { length: shares },
                (_, share) => entry.shares[share] ?? new ShareStatus(share, this.#options, this.#context.random),
            );
        }
        return entry;
    }

    /** Serves waiters and starts the draws that are missing. */
    #pump(entry: Entry): void {
        const nowMs = this.#context.clock.monotonicMs();
        this.#serve(entry, nowMs);
        const isDrawing = entry.shares.some(share => share.isDrawing);
        const expected = entry.shares.reduce((sum, share) => sum + share.need + share.reserved(nowMs), 0);
        const unplaced = Math.max(0, entry.waiters.size - expected);
        const ahead = isDrawing ? 0 : this.#ahead(entry, nowMs);
        const due = entry.shares.filter(share => share.isReady(nowMs));
        // Requests with a place at one share take a token of another one, if it is likely to have any.
        const isElsewhere = !isDrawing && due.some(share => share.level(nowMs, 0) >= 1);
        const need = isElsewhere ? entry.waiters.size : unplaced;
        // Where no share is due, a place in the queue of one that is not can still be extended.
        const ready = due.length > 0 || need === 0 ? due : entry.shares.filter(share => share.extensibleAtMs <= nowMs);
        if (need + ahead > 0 && ready.length > 0) {
            this.#drawFrom(entry, ready, need, ahead, nowMs);
        }
        this.#retryLater(entry, nowMs);
    }

    #drawFrom(entry: Entry, ready: ShareStatus[], need: number, ahead: number, nowMs: number): void {
        if (ahead > 0) {
            // A home that is short of tokens grants none ahead; asking it at once again would change nothing.
            entry.aheadFromMs = nowMs + this.#options.prefetchMs / 4;
        }
        // The fullest share first; larger needs are divided, so that no share stays full and stops refilling.
        ready.sort((left, right) => right.level(nowMs, this.#rate(entry)) - left.level(nowMs, this.#rate(entry)));
        const chosen = need + ahead >= 2 * ready.length ? ready : ready.slice(0, 1);
        chosen.forEach((share, index) => {
            const part = (total: number) =>
                Math.min(maxDraw, Math.floor((total + chosen.length - 1 - index) / chosen.length));
            void this.#draw(entry, share, part(need) + share.reserved(nowMs), part(ahead));
        });
    }

    #serve(entry: Entry, nowMs: number): void {
        for (const waiter of entry.waiters) {
            const token = entry.pool.take(nowMs);
            if (token === undefined) {
                return;
            }
            entry.waiters.delete(waiter);
            waiter.timer.cancel();
            waiter.resolve({ kind: "granted", token });
        }
    }

    /** Tokens to draw ahead: the recent use of `aheadMs`, drawn when half of it is left. */
    #ahead(entry: Entry, nowMs: number): number {
        if (nowMs < entry.aheadFromMs) {
            return 0;
        }
        const target = Math.floor(entry.use.perSecond(nowMs) * this.#options.prefetchMs / 1_000);
        const available = entry.pool.available(nowMs);
        return available * 2 <= target ? target - available : 0;
    }

    async #draw(entry: Entry, share: ShareStatus, need: number, ahead: number): Promise<void> {
        if (need + ahead === 0) {
            return;
        }
        const sentAtMs = this.#context.clock.monotonicMs();
        const draw = this.#nextDraw++;
        share.begin(need, sentAtMs);
        const reply = await this.#ask(entry, {
            organisation: entry.organisation,
            share: share.index,
            draw,
            need,
            ahead,
            reports: entry.pool.takeReports(share.index),
        });
        const nowMs = this.#context.clock.monotonicMs();
        share.end(reply, need, nowMs);
        if (reply !== undefined && reply.granted > 0) {
            const isScarce = reply.level < this.#rate(entry) * this.#options.batchTtlMs / 1_000;
            entry.pool.add({ share: share.index, draw, sentAtMs, granted: reply.granted, isScarce });
        }
        this.#pump(entry);
    }

    /** Sends a draw; undefined: no home answered. */
    async #ask(entry: Entry, request: TokenRequest): Promise<TokenReply | undefined> {
        const { membership, peers } = this.#context;
        const home = membership.coordinatorOf(shareKey(request.organisation, request.share));
        if (home === undefined) {
            return undefined;
        }
        if (home === membership.self) {
            return this.#home.draw(home, request);
        }
        try {
            return await peers.call(home, requestTokensMethod, request, this.#options.drawTimeoutMs);
        }
        catch {
            // The reply may be lost or late. It is ignored from here on, so all its tokens can go back.
            this.#report(entry.organisation, request.share, [
                { draw: request.draw, used: 0, returned: request.need + request.ahead },
            ]);
            return undefined;
        }
    }

    #report(organisation: OrganisationId, share: number, reports: readonly TokenUsageReport[]): void {
        const { membership, peers } = this.#context;
        const home = membership.coordinatorOf(shareKey(organisation, share));
        const notice = { organisation, share, reports: [...reports] };
        if (home === membership.self) {
            this.#home.return(home, notice);
        }
        else if (home !== undefined && reports.length > 0) {
            peers.notify(home, returnTokensMethod, notice);
        }
    }

    /** Sets the timer for the next share that is due or, for requests without a place, that can be extended. */
    #retryLater(entry: Entry, nowMs: number): void {
        entry.retry?.cancel();
        entry.retry = undefined;
        if (entry.waiters.size === 0) {
            return;
        }
        const expected = entry.shares.reduce((sum, share) => sum + share.need + share.reserved(nowMs), 0);
        const isUnplaced = entry.waiters.size > expected;
        const times = entry.shares.filter(share => !share.isDrawing).flatMap(share =>
            isUnplaced ? [share.readyAtMs, share.extensibleAtMs] : [share.readyAtMs]
        );
        const nextMs = Math.min(...times.filter(timeMs => timeMs > nowMs));
        if (Number.isFinite(nextMs)) {
            entry.retry = this.#context.clock.after(nextMs - nowMs, () => {
                entry.retry = undefined;
                this.#pump(entry);
            });
        }
    }

    #askUnreachableAgain(entry: Entry): void {
        entry.shares.forEach(share => share.forgetUnreachable());
        this.#pump(entry);
    }

    /** Tokens per second of one share. */
    #rate(entry: Entry): number {
        return (this.#organisations.get(entry.organisation)?.ratePerSecond ?? 0) / entry.shares.length;
    }

    #refusal(entry: Entry): RateDecision {
        const ratePerSecond = this.#organisations.get(entry.organisation)?.ratePerSecond ?? 1;
        const refillMs = (entry.waiters.size + 1) * 1_000 / ratePerSecond;
        const isReached = entry.shares.some(share => share.isReached);
        return {
            kind: "refused",
            retryAfterMs: Math.ceil(Math.max(refillMs, ...entry.shares.map(share => share.waitMs))),
            reason: isReached ? "over-rate" : "home-unavailable",
        };
    }

    #sweepAll(): void {
        this.#sweep = undefined;
        const nowMs = this.#context.clock.monotonicMs();
        for (const [id, entry] of this.#entries) {
            for (const share of entry.pool.sweep(nowMs)) {
                this.#report(id, share, entry.pool.takeReports(share));
            }
            const isBusy = entry.waiters.size > 0 || !entry.pool.isEmpty || entry.shares.some(share => share.isDrawing);
            if (!isBusy && entry.use.isStale(nowMs)) {
                entry.retry?.cancel();
                this.#entries.delete(id);
            }
        }
        if (this.#entries.size > 0) {
            this.#sweep = this.#context.clock.after(this.#options.sweepIntervalMs, () => this.#sweepAll());
        }
    }
}
