/** Voting by a seat holder: which holders it grants leases and which it excludes. */
import type { InstanceId } from "../types.js";
import type { FleetRoster, FleetSeat } from "./seats.js";
import type { MembershipSettings } from "./settings.js";
import { leaseWithDriftMs } from "./settings.js";

/** What this instance has granted and promised for one seat. */
interface SeatVote {
    epoch: number;
    /** When this instance first accepted a roster with the epoch. */
    learnedMs: number;
    /** When this instance accepted the vacancy of the seat; undefined for a held seat. */
    vacatedMs: number | undefined;
    /**
     * Arrival of the newest heartbeat that was echoed with a grant; the granted lease expires within `leaseMs` of it.
     */
    lastGrantMs: number;
    /**
     * End of the promise not to grant the seat a lease. The promise applies to the seat, even if its holder changes.
     */
    promisedUntilMs: number;
}

/** Times of contact with a seat's holder. */
export interface HolderContact {
    /** Arrival of the last heartbeat. */
    readonly receivedMs: number;
    /** Send time of the last heartbeat from this instance that the holder echoed. */
    readonly contactMs: number;
}

/**
 * Maximum age of two-way contact for a grant, as a share of the lease. Limits how long a one-way failure goes
 * undetected.
 */
const maxContactAgeShare = 0.6;
/**
 * Number of leases for which voters exclude a vacated seat, so that the next coordinator's term continues until all
 * instances hold the roster version that vacates the seat.
 */
const vacatedSeatLeases = 5;

/**
 * Tracks the grants and exclusions that this instance has issued. A grant expires at most `leaseWithDriftMs` after the
 * arrival of the echoed heartbeat, and an exclusion `leaseWithDriftMs` after it was sent. Neither starts before the
 * other has expired.
 */
export class Voter {
    readonly #settings: MembershipSettings;
    readonly #leaseWithDriftMs: number;
    #votes: SeatVote[] = [];
    #ownIndex: number | undefined;
    #ownEpoch = -1;
    #canVoteFromMs = Infinity;
    #isStopped = false;

    constructor(settings: MembershipSettings) {
        this.#settings = settings;
        this.#leaseWithDriftMs = leaseWithDriftMs(settings);
    }

    /**
     * Sets the roster. A new holder does not vote for one lease, because the former holder's votes may still be valid.
     */
    setRoster(roster: FleetRoster, ownIndex: number | undefined, nowMs: number): void {
        this.#votes = roster.seats.map((seat, index) => nextVote(this.#votes[index], seat, nowMs));
        const ownEpoch = ownIndex === undefined ? -1 : roster.seats[ownIndex]!.epoch;
        if (ownEpoch !== this.#ownEpoch) {
            this.#canVoteFromMs = ownIndex === undefined ? Infinity : nowMs + this.#leaseWithDriftMs;
        }
        this.#ownEpoch = ownEpoch;
        this.#ownIndex = ownIndex;
    }

    /** Stops voting permanently. A leaving holder calls it before it names its successor. */
    stop(): void {
        this.#isStopped = true;
    }

    /** Returns the epochs of the seats to exclude in heartbeats composed at `nowMs`. Each call renews the promises. */
    exclude(
        roster: FleetRoster,
        contactOf: (holder: InstanceId) => HolderContact | undefined,
        nowMs: number,
    ): readonly number[] {
        if (!this.#isVoting(nowMs)) {
            return [];
        }
        const excluded: number[] = [];
        this.#votes.forEach((vote, index) => {
            const { holder } = roster.seats[index]!;
            const contactMs = holder === undefined ? -Infinity : contactOf(holder)?.contactMs ?? -Infinity;
            if (index !== this.#ownIndex && this.#mayExclude(vote, contactMs, nowMs)) {
                vote.promisedUntilMs = nowMs + this.#leaseWithDriftMs;
                excluded.push(vote.epoch);
            }
        });
        return excluded;
    }

    /** Returns the epoch to grant to a seat's holder with the echo of its last heartbeat; undefined for no grant. */
    grant(index: number, contact: HolderContact, nowMs: number): number | undefined {
        const vote = this.#votes[index];
        const isInContact = nowMs - contact.contactMs < this.#settings.leaseMs * maxContactAgeShare;
        if (vote === undefined || !this.#isVoting(nowMs) || nowMs < vote.promisedUntilMs || !isInContact) {
            return undefined;
        }
        vote.lastGrantMs = Math.max(vote.lastGrantMs, contact.receivedMs);
        return vote.epoch;
    }

    #isVoting(nowMs: number): boolean {
        return !this.#isStopped && nowMs >= this.#canVoteFromMs;
    }

    #mayExclude(vote: SeatVote, contactMs: number, nowMs: number): boolean {
        if (vote.epoch === 0) {
            return false;
        }
        if (vote.vacatedMs !== undefined && nowMs - vote.vacatedMs > vacatedSeatLeases * this.#settings.leaseMs) {
            return false;
        }
        return nowMs >= Math.max(contactMs, vote.lastGrantMs, vote.learnedMs) + this.#leaseWithDriftMs;
    }
}

const nextVote = (vote: SeatVote | undefined, seat: FleetSeat, nowMs: number): SeatVote => {
    const vacatedMs = seat.holder === undefined ? nowMs : undefined;
    if (vote?.epoch === seat.epoch) {
        return { ...vote, vacatedMs: vacatedMs === undefined ? undefined : vote.vacatedMs ?? vacatedMs };
    }
    return {
        epoch: seat.epoch,
        learnedMs: nowMs,
        vacatedMs,
        lastGrantMs: vote?.lastGrantMs ?? -Infinity,
        promisedUntilMs: vote?.promisedUntilMs ?? -Infinity,
    };
};
