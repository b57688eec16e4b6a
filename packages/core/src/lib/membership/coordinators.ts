/** Determines the coordinator of a key from the lease and the exclusions that this instance has counted. */
import type { CoordinatorTerm } from "../membership.js";
import { rankSeats } from "../rendezvous.js";
import type { InstanceId } from "../types.js";
import type { FleetRoster } from "./seats.js";
import type { VoteTally } from "./vote-tally.js";

interface CachedKey {
    /** Seat indexes, highest rank first. */
    readonly ranking: readonly number[];
    /** The last term that was determined; returned again as long as its id is unchanged. */
    term: CoordinatorTerm | undefined;
}

/** Maximum number of cached keys; a full cache is cleared. */
const maxCachedKeys = 20_000;

/** Determines coordinators. Rankings are cached across rosters, because the set of seats of a fleet never changes. */
export class Coordinators {
    readonly #self: InstanceId;
    readonly #tally: VoteTally;
    readonly #cache = new Map<string, CachedKey>();

    constructor(self: InstanceId, tally: VoteTally) {
        this.#self = self;
        this.#tally = tally;
    }

    /**
     * The instance to which messages about the key are sent: the holder of the highest-ranked seat that is not
     * excluded. Undefined if there is none.
     */
    coordinatorOf(roster: FleetRoster, key: string, nowMs: number): InstanceId | undefined {
        return this.#firstActive(roster, key, nowMs, () => true);
    }

    /**
     * The coordinator after this instance has stopped: the usable holder of the highest-ranked seat that is neither
     * excluded nor held by this instance. Undefined if there is none.
     */
    nextCoordinator(
        roster: FleetRoster,
        key: string,
        nowMs: number,
        isUsable: (holder: InstanceId) => boolean,
    ): InstanceId | undefined {
        return this.#firstActive(roster, key, nowMs, holder => holder !== this.#self && isUsable(holder));
    }

    /** This instance's term as coordinator of the key through the seat `ownIndex`; undefined if it may not act. */
    coordinatorTerm(roster: FleetRoster, ownIndex: number, key: string, nowMs: number): CoordinatorTerm | undefined {
        const ownLeaseSinceMs = this.#tally.ownLeaseSinceMs(nowMs);
        if (ownLeaseSinceMs === undefined) {
            return undefined;
        }
        const entry = this.#cachedKey(roster, key);
        const higherRanked = entry.ranking.slice(0, entry.ranking.indexOf(ownIndex));
        const startTimesMs: number[] = [ownLeaseSinceMs];
        for (const index of higherRanked) {
            const sinceMs = this.#tally.excludedSinceMs(index, nowMs);
            if (sinceMs === undefined) {
                return undefined;
            }
            startTimesMs.push(sinceMs);
        }
        const startedAtMs = Math.max(...startTimesMs);
        // Any interruption of the lease or of an exclusion moves its start, and therefore the start of the term.
        const id = `${this.#self}/${roster.seats[ownIndex]!.epoch}/${startedAtMs}`;
        if (entry.term?.id !== id) {
            entry.term = { id, startedAtMs, ...this.#predecessor(roster, higherRanked, startTimesMs) };
        }
        return entry.term;
    }

    /**
     * The epoch of the coordinator whose stop directly preceded this term; empty if there is none. The stop must be the
     * last condition of the term to be met: all the others must have held since before the stop, so that no other seat
     * can have acted in between. `startTimesMs` starts with the own lease, followed by the higher-ranked seats.
     */
    #predecessor(
        roster: FleetRoster,
        higherRanked: readonly number[],
        startTimesMs: readonly number[],
    ): Pick<CoordinatorTerm, "predecessorEpoch"> {
        const predecessor = higherRanked.findIndex((index, position) => {
            const lastActiveMs = this.#tally.lastActiveBeforeStopMs(index);
            return lastActiveMs !== undefined
                && startTimesMs.every((sinceMs, other) => other === position + 1 || sinceMs < lastActiveMs);
        });
        return predecessor < 0 ? {} : { predecessorEpoch: roster.seats[higherRanked[predecessor]!]!.epoch };
    }

    #firstActive(
        roster: FleetRoster,
        key: string,
        nowMs: number,
        isUsable: (holder: InstanceId) => boolean,
    ): InstanceId | undefined {
        const index = this.#cachedKey(roster, key).ranking.find(candidate => {
            const { holder } = roster.seats[candidate]!;
            return holder !== undefined && isUsable(holder)
                && this.#tally.excludedSinceMs(candidate, nowMs) === undefined;
        });
        return index === undefined ? undefined : roster.seats[index]!.holder;
    }

    #cachedKey({ seats }: FleetRoster, key: string): CachedKey {
        const cached = this.#cache.get(key);
        if (cached !== undefined) {
            return cached;
        }
        if (this.#cache.size >= maxCachedKeys) {
            this.#cache.clear();
        }
        const positions = new Map(seats.map((seat, index) => [seat.id, index]));
        const entry = { ranking: rankSeats(seats, key).map(seat => positions.get(seat.id)!), term: undefined };
        this.#cache.set(key, entry);
        return entry;
    }
}
