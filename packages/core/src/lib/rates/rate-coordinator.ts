/** The home side of the fleet-wide rate limits. */
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

interface HeldBucket {
    readonly organisation: OrganisationId;
    readonly share: number;
    /** The term for which the state counts. */
    readonly termId: string;
    readonly bucket: ShareBucket;
}

interface ReceivedBucket {
    readonly handed: HandoverBucket;
    readonly receivedAtMs: number;
}

const cleanupMs = 1_000;
const handoverChunk = 200;
const handoverTimeoutMs = 500;
const notHome: TokenReply = { isHome: false, granted: 0, level: 0, waitMs: 0 };

/**
 * Keeps the buckets of the shares whose home this instance is, and answers draws on them.
 *
 * Every draw asks membership anew for the right to act. State counts only for the term in which it was made.
 *
 * @example
 * const home = new RateHome(context);
 * // On a graceful leave, before the seat is handed over:
 * await home.handOver(() => successor);
 */
export class RateCoordinator {
    readonly #context: InstanceContext;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #entitlements: ShareLimits;
    readonly #buckets = new Map<string, HeldBucket>();
    readonly #received = new Map<string, ReceivedBucket>();
    #cleanup: Timer | undefined;
    #isStopped = false;

    constructor(context: InstanceContext, options: Partial<RateOptions & UnsafeRateOptions> = {}) {
        this.#context = context;
        this.#options = { ...defaultRateOptions, ...options };
        this.#entitlements = new ShareLimits(context, this.#options);
        this.#entitlements.onChange({
            beforeChange: organisation => this.#beforeChange(organisation),
            afterChange: (id, next) => this.#afterChange(id, next),
        });
        context.peers.handle(requestTokensMethod, (from, request) => this.draw(from, request));
        context.peers.handle(returnTokensMethod, (from, notice) => this.return(from, notice));
        context.peers.handle(handOverBucketsMethod, (_from, handover) => this.#receive(handover));
    }

    /** Number of buckets in memory, for metrics. */
    get bucketCount(): number {
        return this.#buckets.size;
    }

    /** Answers a draw. The debit is made before this returns. Instances that are their own home call it directly. */
    draw(from: InstanceId, request: TokenRequest): TokenReply {
        const bucket = this.#bucket(request.organisation, request.share);
        if (bucket === undefined) {
            return notHome;
        }
        const nowMs = this.#context.clock.monotonicMs();
        this.#report(bucket, from, request.reports, nowMs);
        const { granted, level, waitMs } = bucket.draw(from, request.draw, request.need, request.ahead, nowMs);
        return { isHome: true, granted, level, waitMs };
    }

    /** Takes back unused tokens and counts reported uses. */
    return(from: InstanceId, notice: ReturnNotice): void {
        // A bucket that does not exist has no open draws.
        if (this.#buckets.has(shareKey(notice.organisation, notice.share))) {
            const bucket = this.#bucket(notice.organisation, notice.share);
            if (bucket !== undefined) {
                this.#report(bucket, from, notice.reports, this.#context.clock.monotonicMs());
            }
        }
    }

    /**
     * Stops acting as home for good and passes each bucket to the next home of its key. Call it on a graceful leave while
     * the seat is still held, and let membership stop in the same turn: the state is taken before this returns. Buckets
     * whose message is lost start empty at the next home.
     *
     * @param nextHomeOf the instance that becomes home of a key.
     * @param epoch of the seat, if membership says that its holder stopped; undefined if the seat is handed over.
     * @returns the number of buckets that were accepted.
     */
    async handOver(nextHomeOf: (key: string) => InstanceId | undefined, epoch?: number): Promise<number> {
        const nowMs = this.#context.clock.monotonicMs();
        const held = this.#isStopped
            ? []
            : [...this.#buckets].filter(([, entry]) => this.#isActing(entry) && entry.bucket.hasStarted(nowMs));
        this.#isStopped = true;
        const byHome = new Map<InstanceId, HandoverBucket[]>();
        for (const [key, { organisation, share, bucket }] of held) {
            const home = nextHomeOf(key);
            if (home !== undefined) {
                const handed = {
                    organisation,
                    share,
                    ...(epoch === undefined ? {} : { epoch }),
                    ...bucket.handOver(nowMs),
                };
                byHome.set(home, [...(byHome.get(home) ?? []), handed]);
            }
        }
        this.#buckets.clear();
        const accepted = await Promise.all([...byHome].map(([home, buckets]) => this.#send(home, buckets)));
        const total = accepted.reduce((sum, count) => sum + count, 0);
        this.#context.log.event("rate-handover", { homes: byHome.size, buckets: held.length, accepted: total });
        return total;
    }

    async #send(home: InstanceId, buckets: readonly HandoverBucket[]): Promise<number> {
        let accepted = 0;
        for (let start = 0; start < buckets.length; start += handoverChunk) {
            const chunk = { buckets: buckets.slice(start, start + handoverChunk) };
            accepted += await this.#context.peers.call(home, handOverBucketsMethod, chunk, handoverTimeoutMs).catch(
                () => 0,
            );
        }
        return accepted;
    }

    #isActing(entry: HeldBucket): boolean {
        return this.#term(shareKey(entry.organisation, entry.share))?.id === entry.termId;
    }

    /** The right to act now. An instance that is not current may lack a configuration that others act on. */
    #term(key: string): CoordinatorTerm | undefined {
        const { membership } = this.#context;
        return this.#isStopped || !membership.isCurrent() ? undefined : membership.coordinatorTerm(key);
    }

    #report(bucket: ShareBucket, from: InstanceId, reports: readonly TokenUsageReport[], nowMs: number): void {
        reports.forEach(report => bucket.report(from, report, nowMs));
    }

    #bucket(id: OrganisationId, share: number): ShareBucket | undefined {
        const key = shareKey(id, share);
        const organisation = this.#entitlements.get(id);
        const knownFromMs = this.#entitlements.knownFromMs();
        if (organisation === undefined || knownFromMs === undefined || share >= shareCount(organisation)) {
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
        const bucket = this.#restore(key, organisation, term) ?? this.#create(organisation, share, term, knownFromMs);
        this.#buckets.set(key, { organisation: id, share, termId: term.id, bucket });
        this.#cleanup ??= this.#context.clock.after(cleanupMs, () => this.#clean());
        return bucket;
    }

    #create(organisation: OrganisationLimit, share: number, term: CoordinatorTerm, knownFromMs: number): ShareBucket {
        const target = shareLimit(organisation, share);
        const { batchTtlMs, clockDrift } = this.#options;
        // The former home may have granted its whole burst right before the term, for use until the batches expire.
        const startsAtMs = Math.max(term.startedAtMs + batchTtlMs * (1 + clockDrift), knownFromMs);
        const move = this.#entitlements.move(organisation.id);
        const isKept = move === undefined || share < move.keptShares;
        const bucket = new ShareBucket(target, isKept ? startsAtMs : Math.max(startsAtMs, move.untilMs), this.#options);
        const nowMs = this.#context.clock.monotonicMs();
        if (isKept && move?.limit !== undefined && nowMs < move.untilMs) {
            bucket.changeLater(stricterLimit(target, move.limit), target, move.untilMs, nowMs);
        }
        return bucket;
    }

    /** The bucket that the former home handed over, if this term follows that home's directly. */
    #restore(key: string, organisation: OrganisationLimit, term: CoordinatorTerm): ShareBucket | undefined {
        const received = this.#received.get(key);
        if (received === undefined) {
            return undefined;
        }
        this.#received.delete(key);
        const { handed, receivedAtMs } = received;
        if (!this.#isDirect(received, term)) {
            return undefined;
        }
        const bucket = ShareBucket.restore(handed, receivedAtMs, this.#options);
        const target = shareLimit(organisation, handed.share);
        if (target.ratePerSecond !== handed.ratePerSecond || target.burst !== handed.burst) {
            // One of the two homes holds an older configuration, or the former one was within a change of shares.
            const untilMs = receivedAtMs + this.#options.currentWindowMs;
            bucket.changeLater(stricterLimit(target, handed), target, untilMs, receivedAtMs);
        }
        return bucket;
    }

    /** Whether no other home can have acted between the stop of the sender and the start of the term. */
    #isDirect({ handed, receivedAtMs }: ReceivedBucket, term: CoordinatorTerm): boolean {
        if (handed.epoch !== undefined) {
            return term.predecessorEpoch === handed.epoch;
        }
        // A seat that is handed over has no such proof. Voters need longer than this to exclude it in between.
        const delayMs = term.startedAtMs - receivedAtMs;
        return delayMs >= 0 && delayMs <= this.#options.handoverWindowMs;
    }

    #receive(handover: Handover): number {
        const receivedAtMs = this.#context.clock.monotonicMs();
        for (const handed of handover.buckets) {
            this.#received.set(shareKey(handed.organisation, handed.share), { handed, receivedAtMs });
        }
        this.#cleanup ??= this.#context.clock.after(cleanupMs, () => this.#clean());
        return handover.buckets.length;
    }

    /** Makes sure that the refill before a change is counted at the former rate. */
    #beforeChange(organisation: OrganisationLimit): void {
        for (let share = 0; share < shareCount(organisation); share++) {
            this.#bucket(organisation.id, share);
        }
    }

    #afterChange(id: OrganisationId, next: OrganisationLimit | undefined): void {
        const nowMs = this.#context.clock.monotonicMs();
        const move = this.#entitlements.move(id);
        for (const [key, { organisation, share, bucket }] of this.#sharesOf(id)) {
            if (next === undefined || share >= shareCount(next)) {
                this.#buckets.delete(key);
                continue;
            }
            const target = shareLimit(next, share);
            if (move?.limit !== undefined && nowMs < move.untilMs) {
                const during = stricterLimit(bucket.entitlement(nowMs), move.limit);
                bucket.changeLater(during, target, move.untilMs, nowMs);
            }
            else {
                bucket.change(target, nowMs);
            }
            this.#context.log.event("rate-change", { organisation, share, ...target, delayed: move !== undefined });
        }
    }

    #sharesOf(id: OrganisationId): readonly (readonly [string, HeldBucket])[] {
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
     * Drops the buckets of idle organisations and adopts handed buckets whose term has begun. Only a full bucket can be
     * dropped within its term, since a bucket that is made anew counts as never used since the term began.
     */
    #clean(): void {
        this.#cleanup = undefined;
        const nowMs = this.#context.clock.monotonicMs();
        for (const [key, entry] of this.#buckets) {
            if (entry.bucket.isIdle(nowMs)) {
                this.#buckets.delete(key);
            }
        }
        for (const [key, { handed, receivedAtMs }] of this.#received) {
            this.#bucket(handed.organisation, handed.share);
            if (nowMs - receivedAtMs > this.#options.handoverWindowMs) {
                this.#received.delete(key);
            }
        }
        if (this.#buckets.size > 0 || this.#received.size > 0) {
            this.#cleanup = this.#context.clock.after(cleanupMs, () => this.#clean());
        }
    }
}
