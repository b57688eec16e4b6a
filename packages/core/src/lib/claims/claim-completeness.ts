/** Tracks from which key time on a holder has every claim of its seat. */
import type { Roster, Seat } from "../membership.js";
import type { Sha256 } from "../ports.js";
import type { IdempotencyKey, InstanceId, OrganisationId, SeatId } from "../types.js";
import { LayoutHistory } from "./holder-seats.js";
import type { HandoverRequest, SeatEpoch } from "./messages.js";
import { type ClaimOptions, completenessMarginMs } from "./options.js";

/** Later than the time of any key; sent while the records are complete for no key. */
export const unreachableKeyTimeMs = Number.MAX_SAFE_INTEGER;

type InheritedSeat = NonNullable<HandoverRequest["seat"]>;

/**
 * Tracks the seat of this instance and the keys for which its records are complete. A holder has every claim of a key
 * if one of these conditions holds:
 *
 * - the key is newer than the seat's change to this holder by {@link completenessMarginMs};
 * - it has pulled the claims that its seat shares with each other holder seat of the key;
 * - it has inherited the claims of the former holder during a graceful shutdown.
 *
 * In addition, the key must have had the same holder seats since before its time.
 */
export class ClaimCompleteness {
    readonly #self: InstanceId;
    readonly #options: ClaimOptions;
    readonly #layouts: LayoutHistory;
    /** Highest known epoch of each seat. */
    readonly #fences = new Map<SeatId, number>();
    /** By other seat: key time from which its claims have been pulled. */
    readonly #syncedSinceMs = new Map<SeatId, number>();
    #roster: Roster | undefined;
    #seat: Seat | undefined;
    /** Wall-clock time since which this instance has its seat. */
    #seatSinceMs = Infinity;
    #seatSinceMonotonicMs = Infinity;
    /** Key time from which the former holder handed over every claim. */
    #inheritedSinceMs = Infinity;
    /** State of a leaving holder, until the roster shows this instance as its successor. */
    #pendingInheritance: InheritedSeat | undefined;

    constructor(self: InstanceId, options: ClaimOptions, sha256: Sha256) {
        this.#self = self;
        this.#options = options;
        this.#layouts = new LayoutHistory(sha256);
    }

    /** The seat of this instance; undefined if it holds none. */
    get seat(): Seat | undefined {
        return this.#seat;
    }

    get layout(): string {
        return this.#layouts.hash;
    }

    get isLayoutEstablished(): boolean {
        return this.#layouts.isEstablished;
    }

    /** Whether the former holder of the seat has certainly stopped acting, so that claims may be pulled. */
    hasFormerHolderStopped(monotonicMs: number): boolean {
        return monotonicMs >= this.#seatSinceMonotonicMs + this.#options.formerHolderStopMs;
    }

    /** Reads the roster; call it before each decision. Returns whether the seat or the layout has changed. */
    observe(roster: Roster, nowMs: number, monotonicMs: number): boolean {
        if (roster === this.#roster) {
            return false;
        }
        this.#roster = roster;
        const formerLayout = this.#layouts.hash;
        const isContinued = this.#layouts.observe(roster);
        roster.seats.forEach(seat => this.raiseFence({ seat: seat.id, epoch: seat.epoch }));
        const seat = roster.seats.find(candidate => candidate.holder === this.#self);
        if (seat?.id !== this.#seat?.id || seat?.epoch !== this.#seat?.epoch || !isContinued) {
            this.#seat = seat;
            this.#seatSinceMs = nowMs;
            this.#seatSinceMonotonicMs = monotonicMs;
            this.#syncedSinceMs.clear();
            this.#inheritedSinceMs = Infinity;
            this.#applyInheritance();
            return true;
        }
        this.#seat = seat;
        return formerLayout !== this.#layouts.hash;
    }

    /** From now on, refuses records that name an older epoch of the seat. */
    raiseFence(fence: SeatEpoch): void {
        this.#fences.set(fence.seat, Math.max(fence.epoch, this.#fences.get(fence.seat) ?? 0));
    }

    /** Whether one of these epochs is older than the highest known epoch of its seat. */
    isFenced(view: readonly SeatEpoch[]): boolean {
        return view.some(entry => entry.epoch < (this.#fences.get(entry.seat) ?? 0));
    }

    /** Highest known epoch of each seat; records that name an older one are refused. */
    get fences(): SeatEpoch[] {
        return [...this.#fences].map(([seat, epoch]) => ({ seat, epoch }));
    }

    /** Marks the newest layout as established: a quorum of seats has it. */
    establishLayout(nowMs: number): void {
        this.#layouts.establish(nowMs);
    }

    /** Records that every claim shared with another seat has been pulled, from a key time on. */
    setSynced(seat: SeatId, completeSinceMs: number): void {
        this.#syncedSinceMs.set(seat, Math.min(completeSinceMs, this.syncedSinceMs(seat)));
    }

    /** Key time from which another seat's claims have been pulled; Infinity if they have not. */
    syncedSinceMs(seat: SeatId): number {
        return this.#syncedSinceMs.get(seat) ?? Infinity;
    }

    /** Other seats whose claims still have to be pulled to cover all keys from `horizonMs` on. */
    missingSeats(horizonMs: number): readonly Seat[] {
        if (this.#seat === undefined || Math.min(this.#formerHolderCutoffMs(), this.#inheritedSinceMs) <= horizonMs) {
            return [];
        }
        return this.otherSeats().filter(seat => this.syncedSinceMs(seat.id) > horizonMs);
    }

    /** Seats of the newest roster that other instances hold. */
    otherSeats(): readonly Seat[] {
        return this.#roster?.seats.filter(seat => seat.holder !== undefined && seat.holder !== this.#self) ?? [];
    }

    /** Whether `others` other seats and the own one form a quorum of all seats. */
    isQuorum(others: number): boolean {
        const own = this.#seat === undefined ? 0 : 1;
        return others + own > (this.#roster?.seats.length ?? Infinity) / 2;
    }

    /** Adopts the state of a leaving holder, now or once the roster shows this instance as its successor. */
    inherit(seat: InheritedSeat): void {
        this.#pendingInheritance = seat;
        this.#applyInheritance();
    }

    /** Whether this instance would have a record of any earlier claim of the key. */
    isCompleteFor(organisation: OrganisationId, key: IdempotencyKey, timeMs: number, seats: readonly Seat[]): boolean {
        const sameSeatsSinceMs = this.#layouts.sameSeatsSince(organisation, key);
        if (sameSeatsSinceMs === undefined || timeMs <= sameSeatsSinceMs + completenessMarginMs(this.#options)) {
            return false;
        }
        if (timeMs > this.#formerHolderCutoffMs() || timeMs >= this.#inheritedSinceMs) {
            return true;
        }
        const others = seats.filter(seat => seat.id !== this.#seat?.id);
        return others.length > 0 && others.every(seat => timeMs >= this.syncedSinceMs(seat.id));
    }

    /** Key time from which this holder has every claim of its seat; {@link unreachableKeyTimeMs} if none. */
    completeSinceMs(): number {
        const changeMs = this.#layouts.lastChangeAtMs;
        if (changeMs === undefined || this.#seat === undefined) {
            return unreachableKeyTimeMs;
        }
        const others = this.#roster!.seats.filter(seat => seat.id !== this.#seat!.id);
        const syncedMs = others.length === 0
            ? Infinity
            : Math.max(...others.map(seat => this.syncedSinceMs(seat.id)));
        const sinceMs = Math.max(
            changeMs + completenessMarginMs(this.#options),
            Math.min(this.#formerHolderCutoffMs() + 1, this.#inheritedSinceMs, syncedMs),
        );
        return Math.min(sinceMs, unreachableKeyTimeMs);
    }

    /** Removes layouts that were superseded before `beforeMs`. */
    prune(beforeMs: number): void {
        this.#layouts.prune(beforeMs);
    }

    /** Key time after which no key can have been claimed at the former holder. */
    #formerHolderCutoffMs(): number {
        const establishedMs = this.#layouts.firstEstablishedAtMs ?? Infinity;
        return Math.max(this.#seatSinceMs, establishedMs) + completenessMarginMs(this.#options);
    }

    #applyInheritance(): void {
        const inherited = this.#pendingInheritance;
        // With another layout, some keys have holder seats that the former holder did not take into account.
        if (
            inherited === undefined || inherited.id !== this.#seat?.id || this.#seat.epoch !== inherited.epoch + 1
            || inherited.layout !== this.layout
        ) {
            return;
        }
        inherited.fences.forEach(fence => this.raiseFence(fence));
        this.#inheritedSinceMs = inherited.completeSinceMs;
        this.#pendingInheritance = undefined;
    }
}
