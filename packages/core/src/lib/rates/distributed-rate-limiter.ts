/** Requesting side of the fleet-wide rate limits. */
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

/** A call of `acquire` that waits for a token. */
interface PendingAcquisition {
    readonly resolve: (decision: RateDecision) => void;
    readonly timer: Timer;
}

/** State of one organisation at this instance while it is in use. */
interface OrganisationState {
    readonly organisation: OrganisationId;
    readonly pool: TokenPool;
    readonly usage: UsageEstimate;
    /** In order of arrival. */
    readonly waiters: Set<PendingAcquisition>;
    shares: ShareStatus[];
    retryTimer: Timer | undefined;
    /** Time before which no tokens are requested in advance. */
    nextPrefetchMs: number;
}

/** Maximum number of tokens in a request, which limits the size of a message and of the loss with it. */
const maxTokensPerRequest = 1_000;

/**
 * Requests tokens from the coordinators of an organisation's shares: in small batches in advance where use is frequent,
 * one by one where it is rare.
 *
 * @example
 * const limiter = new DistributedRateLimiter(context, new RateCoordinator(context));
 * const decision = await limiter.acquire(organisation, deadlineMs);
 * if (decision.kind === "granted" && decision.token.consume()) {
 *     // dispatch in the same turn of the event loop
 * }
 */
export class DistributedRateLimiter implements RateLimiter {
    readonly #context: InstanceContext;
    readonly #coordinator: RateCoordinator;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #organisations: OrganisationIndex;
    readonly #entries = new Map<OrganisationId, OrganisationState>();
    #nextRequestNumber = 0;
    #sweepTimer: Timer | undefined;

    /**
     * @param coordinator Coordinator side of the same instance, which is called without a message.
     */
    constructor(
        context: InstanceContext,
        coordinator: RateCoordinator,
        options: Partial<RateOptions & UnsafeRateOptions> = {},
    ) {
        this.#context = context;
        this.#coordinator = coordinator;
        this.#options = { ...defaultRateOptions, ...options };
        this.#organisations = new OrganisationIndex(context.config);
        // A share may have another coordinator now, so the backoff after an unreachable one is reset.
        context.membership.onChange(() => this.#entries.forEach(entry => this.#retryUnreachable(entry)));
    }

    /** Number of organisations with state in memory, for metrics. */
    get organisationCount(): number {
        return this.#entries.size;
    }

    acquire(id: OrganisationId, deadlineMs: number): Promise<RateDecision> {
        const organisation = this.#organisations.get(id);
        if (organisation === undefined) {
            return Promise.resolve({ kind: "refused", retryAfterMs: 1_000, reason: "coordinator-unavailable" });
        }
        const nowMs = this.#context.clock.monotonicMs();
        const entry = this.#entry(organisation);
        entry.usage.count(nowMs);
        const token = entry.waiters.size === 0 ? entry.pool.take(nowMs) : undefined;
        if (token !== undefined) {
            this.#process(entry);
            return Promise.resolve({ kind: "granted", token });
        }
        const { maxWaitMs } = this.#options;
        // Refuses at once if there are more waiters than rate and burst can serve within the wait.
        const maxWaiters = organisation.burst + organisation.ratePerSecond * maxWaitMs / 1_000;
        const waitMs = Math.min(maxWaitMs, deadlineMs - nowMs);
        if (waitMs <= 0 || entry.waiters.size >= maxWaiters) {
            return Promise.resolve(this.#refusal(entry));
        }
        return new Promise(resolve => {
            const waiter: PendingAcquisition = {
                resolve,
                timer: this.#context.clock.after(waitMs, () => {
                    entry.waiters.delete(waiter);
                    resolve(this.#refusal(entry));
                }),
            };
            entry.waiters.add(waiter);
            this.#process(entry);
        });
    }

    #entry(organisation: OrganisationLimit): OrganisationState {
        let entry = this.#entries.get(organisation.id);
        if (entry === undefined) {
            const created: OrganisationState = {
                organisation: organisation.id,
                pool: new TokenPool(this.#context.clock, this.#options, () => this.#process(created)),
                usage: new UsageEstimate(this.#options.usageWindowMs),
                waiters: new Set(),
                shares: [],
                retryTimer: undefined,
                nextPrefetchMs: 0,
            };
            entry = created;
            this.#entries.set(organisation.id, entry);
            this.#sweepTimer ??= this.#context.clock.after(this.#options.sweepIntervalMs, () => this.#sweepAll());
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

    /** Serves waiters and sends the token requests that are needed. */
    #process(entry: OrganisationState): void {
        const nowMs = this.#context.clock.monotonicMs();
        this.#serve(entry, nowMs);
        const isRequesting = entry.shares.some(share => share.isRequesting);
        // Tokens for the waiters that are already requested, or reserved in the queue of a coordinator.
        const expected = entry.shares.reduce((sum, share) => sum + share.need + share.reserved(nowMs), 0);
        const unreserved = Math.max(0, entry.waiters.size - expected);
        const ahead = isRequesting ? 0 : this.#prefetchCount(entry, nowMs);
        const due = entry.shares.filter(share => share.isReady(nowMs));
        // If another share probably has tokens, they are requested also for waiters with a queue entry elsewhere.
        const hasTokensElsewhere = !isRequesting && due.some(share => share.level(nowMs, 0) >= 1);
        const need = hasTokensElsewhere ? entry.waiters.size : unreserved;
        // If no share is due, more tokens can still be reserved in the queue of a share that granted too few.
        const ready = due.length > 0 || need === 0 ? due : entry.shares.filter(share => share.extendableAtMs <= nowMs);
        if (need + ahead > 0 && ready.length > 0) {
            this.#requestFrom(entry, ready, need, ahead, nowMs);
        }
        this.#scheduleRetry(entry, nowMs);
    }

    #requestFrom(entry: OrganisationState, ready: ShareStatus[], need: number, ahead: number, nowMs: number): void {
        if (ahead > 0) {
            // A coordinator that is short of tokens grants none in advance; another request immediately afterwards
            // would change nothing.
            entry.nextPrefetchMs = nowMs + this.#options.prefetchMs / 4;
        }
        // The fullest share comes first. Larger needs are divided, so that no share stays full and stops refilling.
        ready.sort((left, right) =>
            right.level(nowMs, this.#ratePerShare(entry)) - left.level(nowMs, this.#ratePerShare(entry))
        );
        const chosen = need + ahead >= 2 * ready.length ? ready : ready.slice(0, 1);
        chosen.forEach((share, index) => {
            const part = (total: number) =>
                Math.min(maxTokensPerRequest, Math.floor((total + chosen.length - 1 - index) / chosen.length));
            void this.#requestTokens(entry, share, part(need) + share.reserved(nowMs), part(ahead));
        });
    }

    #serve(entry: OrganisationState, nowMs: number): void {
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

    /**
     * Number of tokens to request in advance. The target is the recent use during `prefetchMs`; none are requested
     * while more than half of the target is available.
     */
    #prefetchCount(entry: OrganisationState, nowMs: number): number {
        if (nowMs < entry.nextPrefetchMs) {
            return 0;
        }
        const target = Math.floor(entry.usage.perSecond(nowMs) * this.#options.prefetchMs / 1_000);
        const available = entry.pool.available(nowMs);
        return available * 2 <= target ? target - available : 0;
    }

    async #requestTokens(entry: OrganisationState, share: ShareStatus, need: number, ahead: number): Promise<void> {
        if (need + ahead === 0) {
            return;
        }
        const sentAtMs = this.#context.clock.monotonicMs();
        const draw = this.#nextRequestNumber++;
        share.startRequest(need, sentAtMs);
        const reply = await this.#sendRequest(entry, {
            organisation: entry.organisation,
            share: share.index,
            draw,
            need,
            ahead,
            reports: entry.pool.takeReports(share.index),
        });
        const nowMs = this.#context.clock.monotonicMs();
        share.finishRequest(reply, need, nowMs);
        if (reply !== undefined && reply.granted > 0) {
            const isScarce = reply.level < this.#ratePerShare(entry) * this.#options.batchTtlMs / 1_000;
            entry.pool.add({ share: share.index, draw, sentAtMs, granted: reply.granted, isScarce });
        }
        this.#process(entry);
    }

    /** Sends a token request. Returns undefined if no coordinator answered. */
    async #sendRequest(entry: OrganisationState, request: TokenRequest): Promise<TokenReply | undefined> {
        const { membership, peers } = this.#context;
        const coordinator = membership.coordinatorOf(shareKey(request.organisation, request.share));
        if (coordinator === undefined) {
            return undefined;
        }
        if (coordinator === membership.self) {
            return this.#coordinator.draw(coordinator, request);
        }
        try {
            return await peers.call(coordinator, requestTokensMethod, request, this.#options.requestTimeoutMs);
        }
        catch {
            // The reply may be lost or late and is ignored from here on, so all of its tokens are returned.
            this.#report(entry.organisation, request.share, [
                { draw: request.draw, used: 0, returned: request.need + request.ahead },
            ]);
            return undefined;
        }
    }

    #report(organisation: OrganisationId, share: number, reports: readonly TokenUsageReport[]): void {
        const { membership, peers } = this.#context;
        const coordinator = membership.coordinatorOf(shareKey(organisation, share));
        const notice = { organisation, share, reports: [...reports] };
        if (coordinator === membership.self) {
            this.#coordinator.returnTokens(coordinator, notice);
        }
        else if (coordinator !== undefined && reports.length > 0) {
            peers.notify(coordinator, returnTokensMethod, notice);
        }
    }

    /**
     * Sets a timer for the next time at which a share is due or, if there are waiters without a queue entry, at which
     * more tokens can be reserved.
     */
    #scheduleRetry(entry: OrganisationState, nowMs: number): void {
        entry.retryTimer?.cancel();
        entry.retryTimer = undefined;
        if (entry.waiters.size === 0) {
            return;
        }
        const expected = entry.shares.reduce((sum, share) => sum + share.need + share.reserved(nowMs), 0);
        const hasUnreserved = entry.waiters.size > expected;
        const times = entry.shares.filter(share => !share.isRequesting).flatMap(share =>
            hasUnreserved ? [share.readyAtMs, share.extendableAtMs] : [share.readyAtMs]
        );
        const nextMs = Math.min(...times.filter(timeMs => timeMs > nowMs));
        if (Number.isFinite(nextMs)) {
            entry.retryTimer = this.#context.clock.after(nextMs - nowMs, () => {
                entry.retryTimer = undefined;
                this.#process(entry);
            });
        }
    }

    #retryUnreachable(entry: OrganisationState): void {
        entry.shares.forEach(share => share.resetBackoff());
        this.#process(entry);
    }

    /** Tokens per second of one share. */
    #ratePerShare(entry: OrganisationState): number {
        return (this.#organisations.get(entry.organisation)?.ratePerSecond ?? 0) / entry.shares.length;
    }

    #refusal(entry: OrganisationState): RateDecision {
        const ratePerSecond = this.#organisations.get(entry.organisation)?.ratePerSecond ?? 1;
        const refillMs = (entry.waiters.size + 1) * 1_000 / ratePerSecond;
        const isReached = entry.shares.some(share => share.isReached);
        return {
            kind: "refused",
            retryAfterMs: Math.ceil(Math.max(refillMs, ...entry.shares.map(share => share.waitMs))),
            reason: isReached ? "over-rate" : "coordinator-unavailable",
        };
    }

    #sweepAll(): void {
        this.#sweepTimer = undefined;
        const nowMs = this.#context.clock.monotonicMs();
        for (const [id, entry] of this.#entries) {
            for (const share of entry.pool.sweep(nowMs)) {
                this.#report(id, share, entry.pool.takeReports(share));
            }
            const isBusy = entry.waiters.size > 0 || !entry.pool.isEmpty
                || entry.shares.some(share => share.isRequesting);
            if (!isBusy && entry.usage.isStale(nowMs)) {
                entry.retryTimer?.cancel();
                this.#entries.delete(id);
            }
        }
        if (this.#entries.size > 0) {
            this.#sweepTimer = this.#context.clock.after(this.#options.sweepIntervalMs, () => this.#sweepAll());
        }
    }
}
