/** Derives this instance's own lease and the set of excluded seats from the votes of the seat holders. */
import type { FleetRoster } from "./seats.js";
import type { MembershipSettings } from "./settings.js";
import { leaseWithDriftMs, quorumOf } from "./settings.js";

/** The interval for which a quorum's votes are valid. */
interface QuorumInterval {
    /** Start of the current interval without interruption. */
    sinceMs: number;
    untilMs: number;
}

/** Votes that one seat holder has cast. */
interface Votes {
    epoch: number;
    grantUntilMs: number;
    readonly exclusionUntilMs: number[];
}

/** When a quorum was first known to have adopted the roster version that last changed a seat. */
interface VersionAdoption {
    changedVersion: number;
    adoptedMs: number | undefined;
}

/** A seat holder's notice that it has stopped acting under its epoch. */
interface StopRecord {
    /** Time from which the seat counts as excluded. */
    readonly sinceMs: number;
    /** A time at which the holder had certainly not stopped; undefined if a quorum excluded it after that time. */
    readonly lastActiveMs: number | undefined;
}

/** Maximum number of stop notices kept for epochs that are not in the roster yet; the lowest are dropped first. */
const maxPendingStops = 256;

/**
 * Collects grants and exclusions. Intervals are updated when votes arrive, and validity is evaluated on each query, so
 * no timer is needed.
 */
export class VoteTally {
    readonly #settings: MembershipSettings;
    readonly #exclusionQuorum: (seats: number) => number;
    #roster: FleetRoster | undefined;
    #ownIndex: number | undefined;
    #ownLease: QuorumInterval = expiredInterval();
    #exclusions: QuorumInterval[] = [];
    #votes: Votes[] = [];
    #adoptions: VersionAdoption[] = [];
    /** Indexed by seat, for the seat's epoch in the held roster. */
    #stops: (StopRecord | undefined)[] = [];
    readonly #pendingStops = new Set<number>();

    constructor(settings: MembershipSettings, exclusionQuorum: (seats: number) => number = quorumOf) {
        this.#settings = settings;
        this.#exclusionQuorum = exclusionQuorum;
    }

    /** Sets the roster. Discards votes cast by former holders and exclusions of former holders. */
    setRoster(roster: FleetRoster, ownIndex: number | undefined, nowMs: number): void {
        const previous = this.#roster;
        const isChanged = roster.seats.map((seat, index) => previous?.seats[index]?.epoch !== seat.epoch);
        const keepsOwnSeat = this.#ownIndex === ownIndex && ownIndex !== undefined && !isChanged[ownIndex];
        this.#roster = roster;
        this.#ownIndex = ownIndex;
        this.#votes = roster.seats.map((seat, index) =>
            isChanged[index] || seat.holder === undefined
                ? {
                    epoch: seat.epoch,
                    // This instance always grants itself the lease of its own seat.
                    grantUntilMs: index === ownIndex ? Infinity : -Infinity,
                    exclusionUntilMs: roster.seats.map(() => -Infinity),
                }
                : this.#votes[index]!
        );
        this.#votes.forEach(votes =>
            isChanged.forEach((changed, index) => {
                votes.exclusionUntilMs[index] = changed ? -Infinity : votes.exclusionUntilMs[index]!;
            })
        );
        this.#adoptions = roster.seats.map(({ changedVersion }, index) => {
            const known = this.#adoptions[index];
            return known?.changedVersion === changedVersion ? known : { changedVersion, adoptedMs: undefined };
        });
        this.#ownLease = keepsOwnSeat ? this.#ownLease : expiredInterval();
        this.#exclusions = roster.seats.map((_, index) =>
            isChanged[index] ? expiredInterval() : this.#exclusions[index]!
        );
        this.#stops = roster.seats.map((_, index) => isChanged[index] ? undefined : this.#stops[index]);
        this.#updateOwnLease(nowMs);
        roster.seats.forEach((_, index) => this.#updateExclusion(index, nowMs));
        roster.seats.filter(seat => this.#pendingStops.has(seat.epoch)).forEach(({ epoch }) =>
            this.addStop(epoch, -Infinity, nowMs)
        );
    }

    /**
     * Records a holder's notice that it has stopped acting under an epoch. It counts as a permanent exclusion without
     * votes.
     *
     * This is safe because only the holder may act under its epoch, it stops before it sends the notice, and a process
     * never resumes acting after it has stopped. The notice therefore stays true if it is delayed or repeated, or if
     * the sender pauses. After a notice, the seat gets its next epoch only through a version that vacates it and one
     * that assigns it, because a holder that has sent a notice does not hand over its seat. An instance that has not
     * received the assignment loses its own lease before the new holder acts, because a quorum at the newer version no
     * longer grants it one (see `ownLeaseSinceMs`). The notice may therefore arrive before, between or after these
     * versions. It affects neither grants nor the promises of voters. If it is lost, a quorum excludes the seat as
     * usual.
     *
     * @param lastActiveMs a time at which the holder had certainly not stopped; -Infinity if none is known.
     */
    addStop(epoch: number, lastActiveMs: number, nowMs: number): void {
        const index = this.#roster?.seats.findIndex(seat => seat.epoch === epoch && epoch > 0) ?? -1;
        if (index < 0) {
            this.#pendingStops.add(epoch);
            if (this.#pendingStops.size > maxPendingStops) {
                this.#pendingStops.delete(Math.min(...this.#pendingStops));
            }
            return;
        }
        if (index === this.#ownIndex || this.#stops[index] !== undefined) {
            return;
        }
        // After an exclusion later than `lastActiveMs`, this instance may have been coordinator before the notice
        // arrived.
        const isUninterrupted = lastActiveMs > -Infinity && this.#exclusions[index]!.untilMs <= lastActiveMs
            && this.excludedByVotesSinceMs(index, nowMs) === undefined;
        this.#stops[index] = {
            sinceMs: this.excludedByVotesSinceMs(index, nowMs) ?? nowMs,
            lastActiveMs: isUninterrupted ? lastActiveMs : undefined,
        };
    }

    /** A time before the seat's holder stopped and sent its notice, if no quorum has excluded it since that time. */
    lastActiveBeforeStopMs(index: number): number | undefined {
        return this.#stops[index]?.lastActiveMs;
    }

    /** Records a voter's grant for the epoch that this instance holds. */
    addGrant(voter: number, untilMs: number, nowMs: number): void {
        const votes = this.#votes[voter]!;
        votes.grantUntilMs = Math.max(votes.grantUntilMs, untilMs);
        this.#updateOwnLease(nowMs);
    }

    /** Records the epochs that a voter excludes. Unknown epochs belong to other holders and are ignored. */
    addExclusions(voter: number, epochs: readonly number[], untilMs: number, nowMs: number): void {
        const votes = this.#votes[voter]!;
        for (const epoch of epochs) {
            const index = this.#roster!.seats.findIndex(seat => seat.epoch === epoch && epoch > 0);
            if (index >= 0) {
                votes.exclusionUntilMs[index] = Math.max(votes.exclusionUntilMs[index]!, untilMs);
                this.#updateExclusion(index, nowMs);
            }
        }
    }

    /** Sets the roster version that each seat's holder is known to hold, in seat order. */
    setHeldVersions(versions: readonly number[], nowMs: number): void {
        const quorumVersion = nthLargest(versions, quorumOf(versions.length));
        for (const adoption of this.#adoptions) {
            if (adoption.adoptedMs === undefined && adoption.changedVersion <= quorumVersion) {
                adoption.adoptedMs = nowMs;
            }
        }
    }

    /** Whether a quorum is known to have adopted the version that last changed the seat. */
    isAdoptedByQuorum(index: number): boolean {
        return this.#adoptions[index]?.adoptedMs !== undefined;
    }

    /** Start of this instance's own lease; undefined if it has none. */
    ownLeaseSinceMs(nowMs: number): number | undefined {
        if (this.#ownIndex === undefined || nowMs >= this.#ownLease.untilMs) {
            return undefined;
        }
        // Instances at a version before the assignment may act for this seat's keys until their leases have expired.
        const effectiveMs = this.#changeEffectiveMs(this.#ownIndex);
        return nowMs >= effectiveMs ? Math.max(this.#ownLease.sinceMs, effectiveMs) : undefined;
    }

    /** Time since which no holder of the seat can act as coordinator; undefined if one may. */
    excludedSinceMs(index: number, nowMs: number): number | undefined {
        return this.#stops[index]?.sinceMs ?? this.excludedByVotesSinceMs(index, nowMs);
    }

    /** Like {@link excludedSinceMs}, but by votes or an effective vacancy only, without stop notices. */
    excludedByVotesSinceMs(index: number, nowMs: number): number | undefined {
        const seat = this.#roster!.seats[index]!;
        const exclusion = this.#exclusions[index]!;
        if (seat.holder === undefined) {
            if (seat.epoch === 0) {
                return 0;
            }
            const effectiveMs = this.#changeEffectiveMs(index);
            if (nowMs >= effectiveMs) {
                const isContinuous = exclusion.sinceMs <= effectiveMs && exclusion.untilMs >= effectiveMs;
                return isContinuous ? exclusion.sinceMs : effectiveMs;
            }
        }
        return nowMs < exclusion.untilMs ? exclusion.sinceMs : undefined;
    }

    /**
     * When the last change of the seat takes effect: one lease after a quorum adopted it, when all leases granted under
     * older versions have expired.
     */
    #changeEffectiveMs(index: number): number {
        return (this.#adoptions[index]!.adoptedMs ?? Infinity) + leaseWithDriftMs(this.#settings);
    }

    #updateOwnLease(nowMs: number): void {
        updateInterval(
            this.#ownLease,
            this.#votes.map(votes => votes.grantUntilMs),
            quorumOf(this.#votes.length),
            nowMs,
        );
    }

    #updateExclusion(index: number, nowMs: number): void {
        // An effective vacancy needs no votes; later votes must not move the start of the exclusion.
        if (this.#roster!.seats[index]!.holder !== undefined || nowMs < this.#changeEffectiveMs(index)) {
            const expirations = this.#votes.map(votes => votes.exclusionUntilMs[index]!);
            updateInterval(this.#exclusions[index]!, expirations, this.#exclusionQuorum(expirations.length), nowMs);
        }
    }
}

const expiredInterval = (): QuorumInterval => ({ sinceMs: -Infinity, untilMs: -Infinity });

/**
 * Returns the value at a rank, where rank 1 is the largest; -Infinity if there are fewer values. Compares the values
 * instead of subtracting them, because the difference of two infinite values is NaN.
 */
const nthLargest = (values: readonly number[], rank: number): number =>
    [...values].sort((left, right) => left < right ? 1 : left > right ? -1 : 0)[rank - 1] ?? -Infinity;

/** Sets the end of an interval to the time until which a quorum's votes are valid; starts a new one after a gap. */
const updateInterval = (
    interval: QuorumInterval,
    expirations: readonly number[],
    quorum: number,
    nowMs: number,
): void => {
    const untilMs = nthLargest(expirations, quorum);
    if (nowMs >= interval.untilMs && nowMs < untilMs) {
        interval.sinceMs = nowMs;
    }
    interval.untilMs = untilMs;
};
