/** Pulls claims from the other holders after a seat change, and pushes them during a graceful shutdown. */
import type { InstanceContext } from "../context.js";
import type { Seat } from "../membership.js";
import type { InstanceId, SeatId } from "../types.js";
import { unreachableKeyTimeMs } from "./claim-completeness.js";
import type { ClaimHolder } from "./claim-holder.js";
import type { ClaimRecord } from "./claim-table.js";
import { claimHandover, claimSync, type HandoverRequest, type SyncReply } from "./messages.js";
import type { ClaimOptions } from "./options.js";

/** Maximum number of concurrent pulls, which limits the pages that arrive at the same time after a restart. */
const maxConcurrentPulls = 4;
const callTimeoutMs = 1_000;
/** Maximum delay between rounds. Claims that are missing after several rounds are usually at no live instance. */
const maxRetryDelayMs = 30_000;
/** Position after every claim: the reply then contains only the sender's `completeSinceMs`. */
const endPosition = Number.MAX_SAFE_INTEGER;
/** Maximum number of attempts to send one handover page; after that, the handover has failed. */
const maxSendAttempts = 3;

/** Synchronises the claims of this instance's seat with the other holders. */
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

    /** Schedules a synchronisation round unless one is scheduled or running; each round schedules the next itself. */
    #schedule(delayMs: number): void {
        if (this.#isScheduled || this.#isRunning) {
            return;
        }
        this.#isScheduled = true;
        this.#context.clock.after(delayMs, () => {
            this.#isScheduled = false;
            this.#isRunning = true;
            this.#runRound().catch(() => true).then(isIncomplete => {
                this.#isRunning = false;
                if (isIncomplete && !this.#holder.isStopped) {
                    this.#schedule(Math.min(maxRetryDelayMs, this.#options.syncRetryMs * 2 ** this.#rounds));
                }
            });
        });
    }

    /** Runs one synchronisation round and returns whether another is needed. */
    async #runRound(): Promise<boolean> {
        const { clock } = this.#context;
        this.#holder.observe();
        const { completeness } = this.#holder;
        const seat = completeness.seat;
        if (seat === undefined || this.#holder.isStopped) {
            return false;
        }
        if (!completeness.isLayoutEstablished) {
            await this.#establishLayout(seat);
        }
        if (completeness.hasFormerHolderStopped(clock.monotonicMs())) {
            this.#rounds++;
            const missingSeats = [...completeness.missingSeats(this.#horizonMs())];
            const pull = async () => {
                for (let from = missingSeats.shift(); from !== undefined; from = missingSeats.shift()) {
                    await this.#pull(seat, from).catch(() => undefined);
                }
            };
            await Promise.all(Array.from({ length: maxConcurrentPulls }, pull));
        }
        return !completeness.isLayoutEstablished || completeness.missingSeats(this.#horizonMs()).length > 0;
    }

    /** Key time up to which every entry instance rejects keys. */
    #horizonMs(): number {
        const { retentionMs, clockDifferenceMs } = this.#options;
        return this.#context.clock.now().getTime() - retentionMs - clockDifferenceMs;
    }

    async #establishLayout(seat: Seat): Promise<void> {
        const { clock, peers } = this.#context;
        const { completeness } = this.#holder;
        const layout = completeness.layout;
        const replies = await Promise.all(
            completeness.otherSeats().map(other =>
                peers.call(other.holder!, claimSync, { seat: seat.id, epoch: seat.epoch, layout }, callTimeoutMs)
                    .then(reply => reply.isSameLayout, () => false)
            ),
        );
        this.#holder.observe();
        if (layout === completeness.layout && completeness.isQuorum(replies.filter(Boolean).length)) {
            completeness.establishLayout(clock.now().getTime());
        }
    }

    async #pull(seat: Seat, from: Seat): Promise<void> {
        const { peers, log } = this.#context;
        const { completeness, table } = this.#holder;
        const layout = completeness.layout;
        const fetchPage = async (after: number) => {
            const request = { seat: seat.id, epoch: seat.epoch, layout, after };
            const reply = await peers.call(from.holder!, claimSync, request, callTimeoutMs);
            const isSameSeat = completeness.seat?.id === seat.id && completeness.seat.epoch === seat.epoch;
            return isSameSeat && layout === completeness.layout ? reply.page : undefined;
        };
        const syncedSinceMs = completeness.syncedSinceMs(from.id);
        // Pulling again is useless until the other holder's records reach further back.
        if (
            syncedSinceMs < Infinity && ((await fetchPage(endPosition))?.completeSinceMs ?? Infinity) >= syncedSinceMs
        ) {
            return;
        }
        let completeSinceMs = -Infinity;
        let claims = 0;
        for (let after: number | undefined = 0; after !== undefined;) {
            const pulled: SyncReply["page"] = await fetchPage(after);
            if (pulled === undefined) {
                return;
            }
            pulled.claims.forEach(claim => table.merge(claim));
            claims += pulled.claims.length;
            completeSinceMs = Math.max(completeSinceMs, pulled.completeSinceMs);
            after = pulled.next;
        }
        if (completeSinceMs < unreachableKeyTimeMs) {
            completeness.setSynced(from.id, completeSinceMs);
        }
        log.event("claims-pulled", { seat: seat.id, from: from.holder, claims, completeSinceMs });
    }

    /**
     * Transfers the claims during a graceful shutdown; membership calls it before it releases the seat. This instance
     * first stops acting as a holder. A successor receives all claims and the key time from which they are complete.
     * Without a successor, each claim goes to its other holders. Returns whether every page was accepted.
     */
    async handOver(successor: InstanceId | undefined): Promise<boolean> {
        this.#holder.observe();
        this.#holder.stop();
        const { completeness } = this.#holder;
        const seat = completeness.seat;
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
                    layout: completeness.layout,
                    completeSinceMs: this.#holder.completeSinceMs(),
                    fences: completeness.fences,
                },
            });
        }
        const results = await Promise.all(
            completeness.otherSeats().map(other => this.#push(other.holder!, record => sharesSeat(record, other.id))),
        );
        return results.every(Boolean);
    }

    async #push(to: InstanceId, filter: (record: ClaimRecord) => boolean): Promise<boolean> {
        const { pageClaims, pageBytes } = this.#options;
        for (let after: number | undefined = 0; after !== undefined;) {
            const { claims, next }: { claims: HandoverRequest["claims"]; next: number | undefined; } = this.#holder
                .table
                .page(after, filter, pageClaims, pageBytes);
            if (claims.length > 0 && !await this.#send(to, { claims })) {
                return false;
            }
            after = next;
        }
        return true;
    }

    async #send(to: InstanceId, request: HandoverRequest): Promise<boolean> {
        for (let attempt = 0; attempt < maxSendAttempts; attempt++) {
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
