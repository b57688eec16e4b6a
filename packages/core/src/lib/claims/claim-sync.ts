/** Pulls claims from the other holders after a change of seat, and pushes them on a graceful leave. */
import type { InstanceContext } from "../context.js";
import type { Seat } from "../membership.js";
import type { InstanceId, SeatId } from "../types.js";
import { unreachableKeyTimeMs } from "./claim-completeness.js";
import type { ClaimHolder } from "./claim-holder.js";
import type { ClaimRecord } from "./claim-table.js";
import { claimHandover, claimSync, type HandoverRequest, type SyncReply } from "./messages.js";
import type { ClaimOptions } from "./options.js";

/** Holders asked at the same time, so that a restart does not bring all pages at once. */
const parallelPulls = 4;
const callTimeoutMs = 1_000;
/** Longest pause between rounds; what is missing after some rounds is mostly held by no living instance. */
const maxRetryMs = 30_000;
/** A position after every claim: the reply tells only from when on the sender is complete. */
const afterAll = Number.MAX_SAFE_INTEGER;
/** Sends of one page of a handover before the receiver counts as lost. */
const pushAttempts = 3;

/** Keeps the claims of this instance's seat complete. */
export class ClaimSync {
    readonly #context: InstanceContext;
    readonly #options: ClaimOptions;
    readonly #holder: ClaimHolder;
    #rounds = 0;
    #isScheduled = false;
    #isRunning = false;

    constructor(context: InstanceContext, options: ClaimOptions, holder: ClaimHolder) {
        this.#context = context;
        this.#options = options;
        this.#holder = holder;
        holder.onSeatChange(() => {
            this.#rounds = 0;
            this.#schedule(0);
        });
    }

    start(): void {
        this.#schedule(0);
    }

    /** Runs a round of synchronisation later, unless one is planned or running; a round plans the next one itself. */
    #schedule(delayMs: number): void {
        if (this.#isScheduled || this.#isRunning) {
            return;
        }
        this.#isScheduled = true;
        this.#context.clock.after(delayMs, () => {
            this.#isScheduled = false;
            this.#isRunning = true;
            this.#round().catch(() => true).then(isMissing => {
                this.#isRunning = false;
                if (isMissing && !this.#holder.isStopped) {
                    this.#schedule(Math.min(maxRetryMs, this.#options.syncRetryMs * 2 ** this.#rounds));
                }
            });
        });
    }

    /** Returns whether another round is needed. */
    async #round(): Promise<boolean> {
        const { clock } = this.#context;
        this.#holder.observe();
        const { completeness: vouching } = this.#holder;
        const seat = vouching.seat;
        if (seat === undefined || this.#holder.isStopped) {
            return false;
        }
        if (!vouching.isLayoutEstablished) {
            await this.#establishLayout(seat);
        }
        if (vouching.hasFormerHolderStopped(clock.monotonicMs())) {
            this.#rounds++;
            const missing = [...vouching.missingSeats(this.#horizonMs())];
            const pull = async () => {
                for (let from = missing.shift(); from !== undefined; from = missing.shift()) {
                    await this.#pull(seat, from).catch(() => undefined);
                }
            };
            await Promise.all(Array.from({ length: parallelPulls }, pull));
        }
        return !vouching.isLayoutEstablished || vouching.missingSeats(this.#horizonMs()).length > 0;
    }

    /** Keys up to this time are refused by every entry instance. */
    #horizonMs(): number {
        const { retentionMs, clockDifferenceMs } = this.#options;
        return this.#context.clock.now().getTime() - retentionMs - clockDifferenceMs;
    }

    async #establishLayout(seat: Seat): Promise<void> {
        const { clock, peers } = this.#context;
        const { completeness: vouching } = this.#holder;
        const layout = vouching.layout;
        const replies = await Promise.all(
            vouching.otherSeats().map(other =>
                peers.call(other.holder!, claimSync, { seat: seat.id, epoch: seat.epoch, layout }, callTimeoutMs)
                    .then(reply => reply.isSameLayout, () => false)
            ),
        );
        this.#holder.observe();
        if (layout === vouching.layout && vouching.isQuorum(replies.filter(Boolean).length)) {
            vouching.establishLayout(clock.now().getTime());
        }
    }

    async #pull(seat: Seat, from: Seat): Promise<void> {
        const { peers, log } = this.#context;
        const { completeness: vouching, table } = this.#holder;
        const layout = vouching.layout;
        const page = async (after: number) => {
            const request = { seat: seat.id, epoch: seat.epoch, layout, after };
            const reply = await peers.call(from.holder!, claimSync, request, callTimeoutMs);
            const isSame = vouching.seat?.id === seat.id && vouching.seat.epoch === seat.epoch;
            return isSame && layout === vouching.layout ? reply.page : undefined;
        };
        const formerMs = vouching.syncedSinceMs(from.id);
        // Pulling again gains nothing before the other holder itself knows more.
        if (formerMs < Infinity && ((await page(afterAll))?.completeSinceMs ?? Infinity) >= formerMs) {
            return;
        }
        let completeSinceMs = -Infinity;
        let claims = 0;
        for (let after: number | undefined = 0; after !== undefined;) {
            const pulled: SyncReply["page"] = await page(after);
            if (pulled === undefined) {
                return;
            }
            pulled.claims.forEach(claim => table.merge(claim));
            claims += pulled.claims.length;
            completeSinceMs = Math.max(completeSinceMs, pulled.completeSinceMs);
            after = pulled.next;
        }
        if (completeSinceMs < unreachableKeyTimeMs) {
            vouching.setSynced(from.id, completeSinceMs);
        }
        log.event("claims-pulled", { seat: seat.id, from: from.holder, claims, completeSinceMs });
    }

    /**
     * Hands the claims over on a graceful leave; membership calls it before it gives the seat away. This instance stops
     * acting as a holder first. With a successor, it gets all claims and what this holder vouched for. Without one, each
     * claim goes to its other holders. Returns whether every page was accepted.
     */
    async handOver(successor: InstanceId | undefined): Promise<boolean> {
        this.#holder.observe();
        this.#holder.stop();
        const { completeness: vouching } = this.#holder;
        const seat = vouching.seat;
        if (seat === undefined) {
            return true;
        }
        if (successor !== undefined) {
            const isPushed = await this.#push(successor, () => true);
            return isPushed && this.#send(successor, {
                claims: [],
                seat: {
                    id: seat.id,
                    epoch: seat.epoch,
                    layout: vouching.layout,
                    completeSinceMs: this.#holder.completeSinceMs(),
                    fences: vouching.fences,
                },
            });
        }
        const results = await Promise.all(
            vouching.otherSeats().map(other => this.#push(other.holder!, record => sharesSeat(record, other.id))),
        );
        return results.every(Boolean);
    }

    async #push(to: InstanceId, wanted: (record: ClaimRecord) => boolean): Promise<boolean> {
        const { pageClaims, pageBytes } = this.#options;
        for (let after: number | undefined = 0; after !== undefined;) {
            const { claims, next }: { claims: HandoverRequest["claims"]; next: number | undefined; } = this.#holder
                .table
                .page(after, wanted, pageClaims, pageBytes);
            if (claims.length > 0 && !await this.#send(to, { claims })) {
                return false;
            }
            after = next;
        }
        return true;
    }

    async #send(to: InstanceId, request: HandoverRequest): Promise<boolean> {
        for (let attempt = 0; attempt < pushAttempts; attempt++) {
            const isDone = await this.#context.peers.call(to, claimHandover, request, callTimeoutMs)
                .then(reply => reply.isDone, () => false);
            if (isDone) {
                return true;
            }
        }
        return false;
    }
}

const sharesSeat = (record: ClaimRecord, seat: SeatId): boolean => record.seats.split(" ").includes(seat);
