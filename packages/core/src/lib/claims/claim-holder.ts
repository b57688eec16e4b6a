/** The holder side of claims: records, outcomes and the answers to other holders. */
import type { InstanceContext } from "../context.js";
import type { Seat } from "../membership.js";
import type { PeerMethod } from "../ports.js";
import type { IdempotencyKey, InstanceId, OrganisationId } from "../types.js";
import { ClaimCompleteness } from "./claim-completeness.js";
import { type ClaimRecord, ClaimTable } from "./claim-table.js";
import { holderSeats, seatSetKey } from "./holder-seats.js";
import { keyTimeMs } from "./idempotency-key.js";
import type {
    DoneReply,
    HandoverRequest,
    RecordReply,
    RecordRequest,
    ReleaseRequest,
    ResolveRequest,
    SyncReply,
    SyncRequest,
} from "./messages.js";
import { claimHandover, claimRecord, claimRelease, claimResolve, claimSync } from "./messages.js";
import { type ClaimOptions, completenessMarginMs } from "./options.js";

/** Interval at which expired claims are dropped. */
const expiryIntervalMs = 30_000;
/** Collects changes of membership that follow each other closely into one pass over the table. */
const changeDelayMs = 100;

/**
 * Keeps claims for the seat of this instance.
 *
 * @example
 * const holder = new ClaimHolder(context, defaultClaimOptions);
 * holder.listen(); // answers claim.record and the other methods
 */
export class ClaimHolder {
    readonly table: ClaimTable;
    readonly completeness: ClaimCompleteness;
    readonly #context: InstanceContext;
    readonly #options: ClaimOptions;
    readonly #changeListeners: (() => void)[] = [];
    readonly #handlers = new Map<string, (body: never) => unknown>();
    #isStopped = false;
    #isChangePending = false;

    constructor(context: InstanceContext, options: ClaimOptions) {
        this.#context = context;
        this.#options = options;
        this.table = new ClaimTable(options);
        this.completeness = new ClaimCompleteness(context.membership.self, options, context.sha256);
    }

    /** Registers the message handlers and follows membership. Call it once. */
    listen(): void {
        const { membership } = this.#context;
        this.#handle(claimRecord, body => this.record(body));
        this.#handle(claimResolve, body => this.resolve(body));
        this.#handle(claimRelease, body => this.release(body));
        this.#handle(claimSync, body => this.sync(body));
        this.#handle(claimHandover, body => this.acceptHandover(body));
        membership.onChange(() => this.#afterChange());
        this.observe();
        this.#expireLater();
    }

    /** The handler of a method, for messages of this instance to itself. */
    handlerOf<Request, Reply>(method: PeerMethod<Request, Reply>): ((body: Request) => Reply) | undefined {
        return this.#handlers.get(method.name) as ((body: Request) => Reply) | undefined;
    }

    /** Calls the listener when the seat or the layout has changed. */
    onSeatChange(listener: () => void): void {
        this.#changeListeners.push(listener);
    }

    /** Reads the roster again, so that a decision never rests on a missed notification. */
    observe(): void {
        const { clock, membership } = this.#context;
        if (this.completeness.observe(membership.roster(), clock.now().getTime(), clock.monotonicMs())) {
            this.#changeListeners.forEach(listener => listener());
        }
    }

    /** Stops acting as a holder for good; a leaving instance calls it before it hands its claims over. */
    stop(): void {
        this.#isStopped = true;
    }

    get isStopped(): boolean {
        return this.#isStopped;
    }

    /** Whether this instance may act as holder of its seat at this moment. */
    isActing(): boolean {
        this.observe();
        return !this.#isStopped && this.completeness.seat !== undefined && this.#context.membership.isCurrent();
    }

    /** Handles `claim.record`. The checks and the record are one turn of the event loop, so no pause can part them. */
    record(request: RecordRequest): RecordReply {
        const isActing = this.isActing();
        const record = this.table.get(request.organisation, request.key);
        if (record?.state === "complete") {
            return this.#existing(record, request);
        }
        const timeMs = keyTimeMs(request.key);
        if (!isActing) {
            return { kind: "refused", reason: "not-acting" };
        }
        if (timeMs === undefined || !this.#isTimely(timeMs)) {
            return { kind: "refused", reason: "key-time" };
        }
        const seats = holderSeats(this.#context.membership.roster(), request.organisation, request.key);
        if (!this.#isSameView(request, seats)) {
            return { kind: "refused", reason: "view" };
        }
        if (record !== undefined && record.state !== "released") {
            const isOwn = record.attempt === request.attempt && record.isGranted && record.state === "recorded";
            return isOwn ? { kind: "recorded" } : this.#existing(record, request);
        }
        if (record?.released.includes(request.attempt) === true) {
            return { kind: "refused", reason: "released" };
        }
        if (!this.#isVouchedFor(request, timeMs, seats)) {
            return { kind: "unvouched" };
        }
        this.table.grant(request, seatSetKey(seats));
        return { kind: "recorded" };
    }

    /** Handles `claim.resolve`. An outcome is a fact, so it is stored whether or not this instance acts as holder. */
    resolve(request: ResolveRequest): DoneReply {
        const { organisation, key } = request;
        this.table.resolve(request, this.table.get(organisation, key)?.seats || this.#seatSet(organisation, key));
        return { isDone: true };
    }

    /** Handles `claim.release`. */
    release(request: ReleaseRequest): DoneReply {
        this.table.release(request.organisation, request.key, request.attempt);
        return { isDone: true };
    }

    /**
     * Handles `claim.sync`. The new holder of a seat asks; from the first page on, records that name its predecessor are
     * refused, so nothing can be missing from the pages that an entry instance with an older roster still relies on.
     */
    sync(request: SyncRequest): SyncReply {
        const isActing = this.isActing();
        const isSameLayout = request.layout === this.completeness.layout;
        if (request.after === undefined || !isActing || !isSameLayout) {
            return { isSameLayout };
        }
        this.completeness.raiseFence(request);
        const { pageClaims, pageBytes } = this.#options;
        const page = this.table.page(
            request.after,
            record => record.seats.split(" ").includes(request.seat),
            pageClaims,
            pageBytes,
        );
        return { isSameLayout, page: { ...page, completeSinceMs: this.completeSinceMs() } };
    }

    /** Handles `claim.handover`. */
    acceptHandover(request: HandoverRequest): DoneReply {
        request.claims.forEach(claim => this.table.merge(claim));
        this.observe();
        if (request.seat !== undefined) {
            this.completeness.inherit(request.seat);
        }
        return { isDone: true };
    }

    /** Key time from which this holder has every claim of its seat. */
    completeSinceMs(): number {
        return Math.max(this.completeness.completeSinceMs(), this.table.evictedThroughMs + 1);
    }

    #handle<Request, Reply>(method: PeerMethod<Request, Reply>, handler: (body: Request) => Reply): void {
        this.#handlers.set(method.name, handler as (body: never) => unknown);
        this.#context.peers.handle(method, (_, body) => handler(body));
    }

    #isVouchedFor({ organisation, key, isFirst }: RecordRequest, timeMs: number, seats: readonly Seat[]): boolean {
        // Without an earlier attempt there is no earlier claim that this holder could lack.
        if (isFirst === true) {
            return true;
        }
        return this.#options.assumesCompleteRecords
            || this.table.isRetained(organisation, timeMs)
                && this.completeness.isCompleteFor(organisation, key, timeMs, seats);
    }

    /** Whether the entry side sees the same holder seats, and no older holder of any of them. */
    #isSameView(request: RecordRequest, seats: readonly Seat[]): boolean {
        const own = request.view.find(entry => entry.seat === this.completeness.seat?.id);
        return own !== undefined && own.epoch === this.completeness.seat?.epoch
            && request.view.map(entry => entry.seat).sort().join(" ") === seatSetKey(seats)
            && !this.completeness.isFenced(request.view);
    }

    #existing(record: ClaimRecord, request: RecordRequest): RecordReply {
        this.#checkOwner(record);
        return {
            kind: "exists",
            state: record.state === "released" ? "unknown" : record.state,
            // A conflict of copies has no known request.
            isSameRequest: record.fingerprint === request.fingerprint || record.attempt === undefined,
            answer: record.answer,
        };
    }

    #checkOwner(record: ClaimRecord): void {
        const { membership } = this.#context;
        if (record.state === "recorded" && record.owner !== undefined && membership.isGone(record.owner)) {
            record.state = "unknown";
        }
    }

    /** Keys outside of these limits are refused although the entry side checks them: its clock may be wrong. */
    #isTimely(timeMs: number): boolean {
        const nowMs = this.#context.clock.now().getTime();
        const { keyAheadMs, retentionMs, clockDifferenceMs } = this.#options;
        return timeMs <= nowMs + keyAheadMs + clockDifferenceMs && timeMs >= nowMs - retentionMs - clockDifferenceMs;
    }

    #seatSet(organisation: OrganisationId, key: IdempotencyKey): string {
        return seatSetKey(holderSeats(this.#context.membership.roster(), organisation, key));
    }

    #afterChange(): void {
        this.observe();
        if (this.#isChangePending) {
            return;
        }
        this.#isChangePending = true;
        this.#context.clock.after(changeDelayMs, () => {
            this.#isChangePending = false;
            this.#markGoneOwners();
        });
    }

    #markGoneOwners(): void {
        const { membership, log, metrics } = this.#context;
        const known = new Map<InstanceId, boolean>();
        const count = this.table.markUnknown(owner => {
            const isGone = known.get(owner) ?? membership.isGone(owner);
            known.set(owner, isGone);
            return isGone;
        });
        if (count > 0) {
            metrics.increment("sniperoad.claims.owner_gone");
            log.event("claims-of-gone-owners-unknown", { claims: count });
        }
    }

    #expireLater(): void {
        const { clock, metrics } = this.#context;
        clock.after(expiryIntervalMs, () => {
            const { retentionMs, clockDifferenceMs } = this.#options;
            const throughMs = clock.now().getTime() - retentionMs - 2 * clockDifferenceMs;
            this.table.expire(throughMs);
            this.completeness.prune(throughMs - completenessMarginMs(this.#options));
            this.#markGoneOwners();
            metrics.gauge("sniperoad.claims.kept", this.table.size);
            metrics.gauge("sniperoad.claims.answer_bytes", this.table.answerBytes);
            this.#expireLater();
        });
    }
}
