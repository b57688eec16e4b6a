/** Which instance is home of a key, as one instance may conclude it from its rights. */
import type { CoordinatorTerm } from "../membership.js";
import { rankSeats } from "../rendezvous.js";
import type { InstanceId } from "../types.js";
import type { Rights } from "./rights.js";
import type { FleetRoster } from "./seats.js";

interface CachedHome {
    readonly ranking: readonly number[];
    term: CoordinatorTerm | undefined;
}

/** Rankings are kept for this many keys and then worked out anew. */
const cachedKeys = 20_000;

/** Answers for one roster at a time. The seats of a fleet never change, so rankings outlive a roster. */
export class Coordinators {
    readonly #self: InstanceId;
    readonly #rights: Rights;
    readonly #homes = new Map<string, CachedHome>();

    constructor(self: InstanceId, rights: Rights) {
        this.#self = self;
        this.#rights = rights;
    }

    /** The first seat in order that may have a home; its holder is where to send messages. */
    homeOf(roster: FleetRoster, key: string, nowMs: number): InstanceId | undefined {
        return this.#first(roster, key, nowMs, () => true);
    }

    /** The home once this instance has stopped: the first seat in order besides its own. */
    nextHome(
        roster: FleetRoster,
        key: string,
        nowMs: number,
        isUsable: (holder: InstanceId) => boolean,
    ): InstanceId | undefined {
        return this.#first(roster, key, nowMs, holder => holder !== this.#self && isUsable(holder));
    }

    /** This instance's right to act as home through the seat `ownIndex`. */
    homeTerm(roster: FleetRoster, ownIndex: number, key: string, nowMs: number): CoordinatorTerm | undefined {
        const ownSinceMs = this.#rights.ownSinceMs(nowMs);
        if (ownSinceMs === undefined) {
            return undefined;
        }
        const home = this.#home(roster, key);
        const before = home.ranking.slice(0, home.ranking.indexOf(ownIndex));
        const sinces: number[] = [ownSinceMs];
        for (const index of before) {
            const sinceMs = this.#rights.excludedSinceMs(index, nowMs);
            if (sinceMs === undefined) {
                return undefined;
            }
            sinces.push(sinceMs);
        }
        const startedAtMs = Math.max(...sinces);
        // Any interruption of one of the rights moves its start, and with it the start of the term.
        const id = `${this.#self}/${roster.seats[ownIndex]!.epoch}/${startedAtMs}`;
        if (home.term?.id !== id) {
            home.term = { id, startedAtMs, ...this.#follows(roster, before, sinces) };
        }
        return home.term;
    }

    /**
     * The home that stopped right before this term. Its stop must be the newest of the rights that the term needs, and
     * all the others must have held since before it: then no other seat had the right to act in between.
     */
    #follows(
        roster: FleetRoster,
        before: readonly number[],
        sinces: readonly number[],
    ): Pick<CoordinatorTerm, "predecessorEpoch"> {
        const stopped = before.findIndex((index, position) => {
            const stoppedFromMs = this.#rights.stoppedFromMs(index);
            return stoppedFromMs !== undefined
                && sinces.every((sinceMs, other) => other === position + 1 || sinceMs < stoppedFromMs);
        });
        return stopped < 0 ? {} : { predecessorEpoch: roster.seats[before[stopped]!]!.epoch };
    }

    #first(
        roster: FleetRoster,
        key: string,
        nowMs: number,
        isUsable: (holder: InstanceId) => boolean,
    ): InstanceId | undefined {
        const index = this.#home(roster, key).ranking.find(candidate => {
            const { holder } = roster.seats[candidate]!;
            return holder !== undefined && isUsable(holder)
                && this.#rights.excludedSinceMs(candidate, nowMs) === undefined;
        });
        return index === undefined ? undefined : roster.seats[index]!.holder;
    }

    #home({ seats }: FleetRoster, key: string): CachedHome {
        const cached = this.#homes.get(key);
        if (cached !== undefined) {
            return cached;
        }
        if (this.#homes.size >= cachedKeys) {
            this.#homes.clear();
        }
        const positions = new Map(seats.map((seat, index) => [seat.id, index]));
        const home = { ranking: rankSeats(seats, key).map(seat => positions.get(seat.id)!), term: undefined };
        this.#homes.set(key, home);
        return home;
    }
}
