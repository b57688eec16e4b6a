/** Coordinator side of the fleet-wide rate limits. */
import type { InstanceContext } from "../context.js";
import type { CoordinatorTerm } from "../membership.js";
import type { Timer } from "../ports.js";
import type { InstanceId, OrganisationId } from "../types.js";
import {
    type Handover,
    type HandoverBucket,
    handOverBucketsMethod,
    requestTokensMethod,
    type ReturnNotice,
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
    shareLimit,
    stricterLimit,
    type UnsafeRateOptions,
} from "./options.js";
import { ShareBucket } from "./share-bucket.js";
import { ShareLimits } from "./share-limits.js";

/** Bucket of a share whose coordinator is this instance. */
interface HeldBucket {
    readonly organisation: OrganisationId;
    readonly share: number;
    /** Term for which the state is valid. */
    readonly termId: string;
    readonly bucket: ShareBucket;
}

/** Bucket that a former coordinator handed over, until a term uses it. */
interface ReceivedBucket {
    readonly state: HandoverBucket;
    readonly receivedAtMs: number;
}

const cleanupIntervalMs = 1_000;
const bucketsPerHandover = 200;
const handoverTimeoutMs = 500;
const notCoordinatorReply: TokenReply = { isHome: false, granted: 0, level: 0, waitMs: 0 };

/**
 * Grants the tokens of the shares whose coordinator is this instance, and hands its buckets over on a graceful leave.
 *
 * @example
 * const coordinator = new RateCoordinator(context);
 * // On a graceful leave, before the seat is handed over:
 * await coordinator.handOver(() => successor);
 */
export class RateCoordinator {
    readonly #context: InstanceContext;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #limits: ShareLimits;
    readonly #buckets = new Map<string, HeldBucket>();
    readonly #received = new Map<string, ReceivedBucket>();
    #cleanupTimer: Timer | undefined;
    #isStopped = false;

    constructor(context: InstanceContext, options: Partial<RateOptions & UnsafeRateOptions> = {}) {
        this.#context = context;
        this.#options = { ...defaultRateOptions, ...options };
        this.#limits = new ShareLimits(context, this.#options);
        this.#limits.onChange({
            beforeChange: organisation => this.#beforeChange(organisation),
            afterChange: (id, next) => this.#afterChange(id, next),
        });
        context.peers.handle(requestTokensMethod, (from, request) => this.draw(from, request));
        context.peers.handle(returnTokensMethod, (from, notice) => this.returnTokens(from, notice));
        context.peers.handle(handOverBucketsMethod, (_from, handover) => this.#receiveHandover(handover));
    }

    /** Number of buckets in memory, for metrics. */
    get bucketCount(): number {
        return this.#buckets.size;
    }

    /**
     * Answers a token request. The debit is made before this returns. An instance that is the coordinator itself calls
     * it directly.
     */
    draw(from: InstanceId, request: TokenRequest): TokenReply {
        const bucket = this.#bucket(request.organisation, request.share);
        if (bucket === undefined) {
            return notCoordinatorReply;
        }
        const nowMs = this.#context.clock.monotonicMs();
        this.#report(bucket, from, request.reports, nowMs);
        const { granted, level, waitMs } = bucket.draw(from, request.draw, request.need, request.ahead, nowMs);
        return { isHome: true, granted, level, waitMs };
    }

    /** Takes back unused tokens and counts reported uses. */
    returnTokens(from: InstanceId, notice: ReturnNotice): void {
        // A bucket that does not exist has no open grants.
        if (this.#buckets.has(shareKey(notice.organisation, notice.share))) {
            const bucket = this.#bucket(notice.organisation, notice.share);
            if (bucket !== undefined) {
                this.#report(bucket, from, notice.reports, this.#context.clock.monotonicMs());
            }
        }
    }

    /**
     * Stops acting as coordinator permanently and hands each bucket over to the next coordinator of its key. Call it on
     * a graceful leave while the seat is still held, and stop membership in the same turn: the state is taken before
     * this returns. If a message is lost, its buckets start empty at the next coordinator.
     *
     * @param nextCoordinatorOf Returns the instance that becomes coordinator of a key.
     * @param epoch Epoch of the seat, if membership announces that its holder stopped; undefined if the seat is handed
     * over.
     * @returns The number of buckets that were accepted.
     */
    async handOver(nextCoordinatorOf: (key: string) => InstanceId | undefined, epoch?: number): Promise<number> {
        const nowMs = this.#context.clock.monotonicMs();
        const held = this.#isStopped
            ? []
            : [...this.#buckets].filter(([, entry]) => this.#isActing(entry) && entry.bucket.hasStarted(nowMs));
        this.#isStopped = true;
        const byCoordinator = new Map<InstanceId, HandoverBucket[]>();
        for (const [key, { organisation, share, bucket }] of held) {
            const coordinator = nextCoordinatorOf(key);
            if (coordinator !== undefined) {
                const state = {
                    organisation,
                    share,
                    ...(epoch === undefined ? {} : { epoch }),
                    ...bucket.handOver(nowMs),
                };
                byCoordinator.set(coordinator, [...(byCoordinator.get(coordinator) ?? []), state]);
            }
        }
        this.#buckets.clear();
        const accepted = await Promise.all(
            [...byCoordinator].map(([coordinator, buckets]) => this.#send(coordinator, buckets)),
        );
        const total = accepted.reduce((sum, count) => sum + count, 0);
        this.#context.log.event("rate-handover", { homes: byCoordinator.size, buckets: held.length, accepted: total });
        return total;
    }

    async #send(coordinator: InstanceId, buckets: readonly HandoverBucket[]): Promise<number> {
        let accepted = 0;
        for (let start = 0; start < buckets.length; start += bucketsPerHandover) {
            const chunk = { buckets: buckets.slice(start, start + bucketsPerHandover) };
            accepted += await this.#context.peers.call(coordinator, handOverBucketsMethod, chunk, handoverTimeoutMs)
                .catch(
                    () => 0,
                );
        }
        return accepted;
    }

    #isActing(entry: HeldBucket): boolean {
        return this.#term(shareKey(entry.organisation, entry.share))?.id === entry.termId;
    }

    /**
     * The current term, if this instance may act. An instance that is not current may lack a configuration that others
     * already use.
     */
    #term(key: string): CoordinatorTerm | undefined {
        const { membership } = this.#context;
        return this.#isStopped || !membership.isCurrent() ? undefined : membership.coordinatorTerm(key);
    }

    #report(bucket: ShareBucket, from: InstanceId, reports: readonly TokenUsageReport[], nowMs: number): void {
        reports.forEach(report => bucket.report(from, report, nowMs));
    }

    /**
     * Returns the bucket of a share in the current term, and creates it if necessary. Undefined if this instance may
     * not act as coordinator, or if the current configuration does not contain the share.
     */
    #bucket(id: OrganisationId, share: number): ShareBucket | undefined {
        const key = shareKey(id, share);
        const organisation = this.#limits.get(id);
        const shareCountsKnownAtMs = this.#limits.shareCountsKnownAtMs();
        if (organisation === undefined || shareCountsKnownAtMs === undefined || share >= shareCount(organisation)) {
            return undefined;
        }
        const term = this.#term(key);
        const held = this.#buckets.get(key);
        if (term !== undefined && held?.termId === term.id) {
            return held.bucket;
        }
        if (term === undefined) {
            return undefined;
        }
        const bucket = this.#restore(key, organisation, term)
            ?? this.#create(organisation, share, term, shareCountsKnownAtMs);
        this.#buckets.set(key, { organisation: id, share, termId: term.id, bucket });
        this.#cleanupTimer ??= this.#context.clock.after(cleanupIntervalMs, () => this.#clean());
        return bucket;
    }

    #create(
        organisation: OrganisationLimit,
        share: number,
        term: CoordinatorTerm,
        shareCountsKnownAtMs: number,
    ): ShareBucket {
        const target = shareLimit(organisation, share);
        const { batchTtlMs, clockDrift } = this.#options;
        // The former coordinator may have granted its whole burst right before the term, for use until the batches
        // expire.
        const startsAtMs = Math.max(term.startedAtMs + batchTtlMs * (1 + clockDrift), shareCountsKnownAtMs);
        const change = this.#limits.shareCountChange(organisation.id);
        const isKept = change === undefined || share < change.keptShares;
        const bucket = new ShareBucket(
            target,
            isKept ? startsAtMs : Math.max(startsAtMs, change.untilMs),
            this.#options,
        );
        const nowMs = this.#context.clock.monotonicMs();
        if (isKept && change?.transitionLimit !== undefined && nowMs < change.untilMs) {
            bucket.changeLater(stricterLimit(target, change.transitionLimit), target, change.untilMs, nowMs);
        }
        return bucket;
    }

    /**
     * Restores the bucket that the former coordinator handed over, if this term directly follows the term of that
     * coordinator.
     */
    #restore(key: string, organisation: OrganisationLimit, term: CoordinatorTerm): ShareBucket | undefined {
        const received = this.#received.get(key);
        if (received === undefined) {
            return undefined;
        }
        this.#received.delete(key);
        const { state, receivedAtMs } = received;
        if (!this.#isDirectSuccessor(received, term)) {
            return undefined;
        }
        const bucket = ShareBucket.restore(state, receivedAtMs, this.#options);
        const target = shareLimit(organisation, state.share);
        if (target.ratePerSecond !== state.ratePerSecond || target.burst !== state.burst) {
            // One of the two coordinators has an older configuration, or the former one was within a change of the
            // number of shares.
            const untilMs = receivedAtMs + this.#options.currentWindowMs;
            bucket.changeLater(stricterLimit(target, state), target, untilMs, receivedAtMs);
        }
        return bucket;
    }

    /** Whether no other coordinator can have acted between the stop of the sender and the start of the term. */
    #isDirectSuccessor({ state, receivedAtMs }: ReceivedBucket, term: CoordinatorTerm): boolean {
        if (state.epoch !== undefined) {
            return term.predecessorEpoch === state.epoch;
        }
        // A seat that is handed over has no such epoch. It cannot have had another holder in between, because voters
        // need longer than this window to exclude one.
        const delayMs = term.startedAtMs - receivedAtMs;
        return delayMs >= 0 && delayMs <= this.#options.handoverWindowMs;
    }

    #receiveHandover(handover: Handover): number {
        const receivedAtMs = this.#context.clock.monotonicMs();
        for (const state of handover.buckets) {
            this.#received.set(shareKey(state.organisation, state.share), { state, receivedAtMs });
        }
        this.#cleanupTimer ??= this.#context.clock.after(cleanupIntervalMs, () => this.#clean());
        return handover.buckets.length;
    }

    /**
     * Creates the buckets of an organisation before a change, so that the refill until then counts at the previous
     * rate.
     */
    #beforeChange(organisation: OrganisationLimit): void {
        for (let share = 0; share < shareCount(organisation); share++) {
            this.#bucket(organisation.id, share);
        }
    }

    #afterChange(id: OrganisationId, next: OrganisationLimit | undefined): void {
        const nowMs = this.#context.clock.monotonicMs();
        const change = this.#limits.shareCountChange(id);
        for (const [key, { organisation, share, bucket }] of this.#bucketsOf(id)) {
            if (next === undefined || share >= shareCount(next)) {
                this.#buckets.delete(key);
                continue;
            }
            const target = shareLimit(next, share);
            if (change?.transitionLimit !== undefined && nowMs < change.untilMs) {
                const during = stricterLimit(bucket.limit(nowMs), change.transitionLimit);
                bucket.changeLater(during, target, change.untilMs, nowMs);
            }
            else {
                bucket.change(target, nowMs);
            }
            this.#context.log.event("rate-change", { organisation, share, ...target, delayed: change !== undefined });
        }
    }

    /** Buckets of an organisation. It has three shares or fewer, of which any may lack a bucket. */
    #bucketsOf(id: OrganisationId): readonly (readonly [string, HeldBucket])[] {
        const found: [string, HeldBucket][] = [];
        for (let share = 0, missing = 0; missing < 3; share++) {
            const key = shareKey(id, share);
            const held = this.#buckets.get(key);
            if (held === undefined) {
                missing++;
            }
            else {
                found.push([key, held]);
            }
        }
        return found;
    }

    /**
     * Deletes the buckets of idle organisations, and adopts handed-over buckets whose term has begun. Only a full
     * bucket may be deleted within its term, because a bucket that is created again fills as if it had not been used
     * since the start of the term.
     */
    #clean(): void {
        this.#cleanupTimer = undefined;
        const nowMs = this.#context.clock.monotonicMs();
        for (const [key, entry] of this.#buckets) {
            if (entry.bucket.isIdle(nowMs)) {
                this.#buckets.delete(key);
            }
        }
        for (const [key, { state, receivedAtMs }] of this.#received) {
            this.#bucket(state.organisation, state.share);
            if (nowMs - receivedAtMs > this.#options.handoverWindowMs) {
                this.#received.delete(key);
            }
        }
        if (this.#buckets.size > 0 || this.#received.size > 0) {
            this.#cleanupTimer = this.#context.clock.after(cleanupIntervalMs, () => this.#clean());
        }
    }
}
