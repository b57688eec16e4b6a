/** Stores claims for a seat: handles records, outcomes and the requests of other holders. */
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

/** Interval at which expired claims are removed. */
const expiryIntervalMs = 30_000;
/** Delay after a membership change, so that changes in quick succession cause one pass over the table. */
const membershipChangeDelayMs = 100;

/**
 * Stores the claims of this instance's seat.
 *
 * @example
 * const holder = new ClaimHolder(context, defaultClaimOptions);
 * holder.start(); // handles claim.record and the other methods
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

    /** Registers the message handlers and subscribes to membership changes. Call it once. */
    start(): void {
        const { membership } = this.#context;
        this.#registerHandler(claimRecord, body => this.record(body));
        this.#registerHandler(claimResolve, body => this.resolve(body));
        this.#registerHandler(claimRelease, body => this.release(body));
        this.#registerHandler(claimSync, body => this.sync(body));
        this.#registerHandler(claimHandover, body => this.acceptHandover(body));
        membership.onChange(() => this.#onMembershipChange());
        this.observe();
        this.#scheduleExpiry();
    }

    /** The handler of a method, for calls from this instance to itself. */
    handlerOf<Request, Reply>(method: PeerMethod<Request, Reply>): ((body: Request) => Reply) | undefined {
        return this.#handlers.get(method.name) as ((body: Request) => Reply) | undefined;
    }

    /** Calls the listener when the seat or the layout has changed. */
    onSeatChange(listener: () => void): void {
        this.#changeListeners.push(listener);
    }

    /** Reads the roster again, so that no decision depends on a change notification that was missed. */
    observe(): void {
        const { clock, membership } = this.#context;
        if (this.completeness.observe(membership.roster(), clock.now().getTime(), clock.monotonicMs())) {
            this.#changeListeners.forEach(listener => listener());
        }
    }

    /** Stops acting as a holder permanently; a leaving instance calls it before it hands over its claims. */
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

    /** Handles `claim.record`. Checks and insertion share one turn of the event loop, so no pause can separate them. */
    record(request: RecordRequest): RecordReply {
        const isActing = this.isActing();
        const record = this.table.get(request.organisation, request.key);
        if (record?.state === "complete") {
            return this.#existingReply(record, request);
        }
        const timeMs = keyTimeMs(request.key);
        if (!isActing) {
            return { kind: "refused", reason: "not-acting" };
        }
        if (timeMs === undefined || !this.#isKeyTimeAccepted(timeMs)) {
            return { kind: "refused", reason: "key-time" };
        }
        const seats = holderSeats(this.#context.membership.roster(), request.organisation, request.key);
        if (!this.#isSameView(request, seats)) {
            return { kind: "refused", reason: "view" };
        }
        if (record !== undefined && record.state !== "released") {
            const isSameAttempt = record.attempt === request.attempt && record.isGranted && record.state === "recorded";
            return isSameAttempt ? { kind: "recorded" } : this.#existingReply(record, request);
        }
        if (record?.released.includes(request.attempt) === true) {
            return { kind: "refused", reason: "released" };
        }
        if (!this.#hasCompleteRecords(request, timeMs, seats)) {
            return { kind: "unvouched" };
        }
        this.table.grant(request, seatSetKey(seats));
        return { kind: "recorded" };
    }

    /** Handles `claim.resolve`. An outcome is final, so it is stored even if this instance does not act as a holder. */
    resolve(request: ResolveRequest): DoneReply {
        const { organisation, key } = request;
        this.table.resolve(request, this.table.get(organisation, key)?.seats || this.#seatSetKey(organisation, key));
        return { isDone: true };
    }

    /** Handles `claim.release`. */
    release(request: ReleaseRequest): DoneReply {
        this.table.release(request.organisation, request.key, request.attempt);
        return { isDone: true };
    }

    /**
     * Handles `claim.sync`, sent by the new holder of a seat. From the first page on, records that name the former
     * holder of that seat are refused, so that no entry instance with an older roster relies on a claim that the pages
     * lack.
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

    #registerHandler<Request, Reply>(method: PeerMethod<Request, Reply>, handler: (body: Request) => Reply): void {
        this.#handlers.set(method.name, handler as (body: never) => unknown);
        this.#context.peers.handle(method, (_, body) => handler(body));
    }

    #hasCompleteRecords(
        { organisation, key, isFirst }: RecordRequest,
        timeMs: number,
        seats: readonly Seat[],
    ): boolean {
        // Without an earlier attempt, there is no earlier claim that this holder could lack.
        if (isFirst === true) {
            return true;
        }
        return this.#options.assumesCompleteRecords
            || this.table.isRetained(organisation, timeMs)
                && this.completeness.isCompleteFor(organisation, key, timeMs, seats);
    }

    /** Whether the entry instance's roster has the same holder seats, and no epoch of them that is outdated. */
    #isSameView(request: RecordRequest, seats: readonly Seat[]): boolean {
        const own = request.view.find(entry => entry.seat === this.completeness.seat?.id);
        return own !== undefined && own.epoch === this.completeness.seat?.epoch
            && request.view.map(entry => entry.seat).sort().join(" ") === seatSetKey(seats)
            && !this.completeness.isFenced(request.view);
    }

    #existingReply(record: ClaimRecord, request: RecordRequest): RecordReply {
        this.#markUnknownIfOwnerGone(record);
        return {
            kind: "exists",
            state: record.state === "released" ? "unknown" : record.state,
            // After a conflict between copies, the attempt is undefined and the fingerprint may be of either request.
            isSameRequest: record.fingerprint === request.fingerprint || record.attempt === undefined,
            answer: record.answer,
        };
    }

    #markUnknownIfOwnerGone(record: ClaimRecord): void {
        const { membership } = this.#context;
        if (record.state === "recorded" && record.owner !== undefined && membership.isGone(record.owner)) {
            record.state = "unknown";
        }
    }

    /** Checks the limits again although the entry instance has done so: its clock may be wrong. */
    #isKeyTimeAccepted(timeMs: number): boolean {
        const nowMs = this.#context.clock.now().getTime();
        const { keyAheadMs, retentionMs, clockDifferenceMs } = this.#options;
        return timeMs <= nowMs + keyAheadMs + clockDifferenceMs && timeMs >= nowMs - retentionMs - clockDifferenceMs;
    }

    #seatSetKey(organisation: OrganisationId, key: IdempotencyKey): string {
        return seatSetKey(holderSeats(this.#context.membership.roster(), organisation, key));
    }

    #onMembershipChange(): void {
        this.observe();
        if (this.#isChangePending) {
            return;
        }
        this.#isChangePending = true;
        this.#context.clock.after(membershipChangeDelayMs, () => {
            this.#isChangePending = false;
            this.#markGoneOwners();
        });
    }

    #markGoneOwners(): void {
        const { membership, log, metrics } = this.#context;
        const isGoneByOwner = new Map<InstanceId, boolean>();
        const count = this.table.markUnknown(owner => {
            const isGone = isGoneByOwner.get(owner) ?? membership.isGone(owner);
            isGoneByOwner.set(owner, isGone);
            return isGone;
        });
        if (count > 0) {
            metrics.increment("sniperoad.claims.owner_gone");
            log.event("claims-of-gone-owners-unknown", { claims: count });
        }
    }

    #scheduleExpiry(): void {
        const { clock, metrics } = this.#context;
        clock.after(expiryIntervalMs, () => {
            const { retentionMs, clockDifferenceMs } = this.#options;
            const throughMs = clock.now().getTime() - retentionMs - 2 * clockDifferenceMs;
            this.table.expire(throughMs);
            this.completeness.prune(throughMs - completenessMarginMs(this.#options));
            this.#markGoneOwners();
            metrics.gauge("sniperoad.claims.kept", this.table.size);
            metrics.gauge("sniperoad.claims.answer_bytes", this.table.responseBytes);
            this.#scheduleExpiry();
        });
    }
}
