/** A membership whose state is set by tests. */
import type { CoordinatorTerm, Membership, Roster, Seat } from "../membership.js";
import { rankSeats } from "../rendezvous.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";

/** The fleet state shared by all instances of a test. */
export interface StaticFleet {
    roster: Roster;
    /** Excluded instances; the holders of the next seats become coordinators of their keys. */
    readonly excluded: Set<InstanceId>;
    /** Instances that are not current. */
    readonly stale: Set<InstanceId>;
    /** Increment it to start new coordinator terms at all instances. */
    term: number;
    /** Start of the current terms on the monotonic clock. */
    termStartedAtMs: number;
}

/**
 * Membership for tests of other modules. All instances share one view, which the test changes.
 *
 * @example
 * const fleet = staticFleet(["i1", "i2", "i3"], ["z1", "z2", "z3"]);
 * const membership = new StaticMembership(id<InstanceId>("i1"), fleet);
 */
export class StaticMembership implements Membership {
    readonly self: InstanceId;
    readonly #fleet: StaticFleet;
    readonly #listeners: (() => void)[] = [];

    constructor(self: InstanceId, fleet: StaticFleet) {
        this.self = self;
        this.#fleet = fleet;
    }

    get zone(): ZoneId {
        return this.#fleet.roster.seats.find(seat => seat.holder === this.self)!.zone!;
    }

    roster(): Roster {
        return this.#fleet.roster;
    }

    isCurrent(): boolean {
        return !this.#fleet.stale.has(this.self);
    }

    coordinatorOf(key: string): InstanceId | undefined {
        return rankSeats(this.#fleet.roster.seats, key).find(seat => this.#isActive(seat))?.holder;
    }

    coordinatorTerm(key: string): CoordinatorTerm | undefined {
        if (this.coordinatorOf(key) !== this.self) {
            return undefined;
        }
        return { id: `${this.self}/${this.#fleet.term}`, startedAtMs: this.#fleet.termStartedAtMs };
    }

    replicaSeats(key: string, count: number): readonly Seat[] {
        return distinctZones(rankSeats(this.#fleet.roster.seats, key), count);
    }

    liveInstances(): readonly InstanceInfo[] {
        return this.#fleet.roster.seats.filter(seat => this.#isActive(seat)).map(seat => ({
            id: seat.holder!,
            zone: seat.zone!,
            address: "127.0.0.1:1",
            peerAddress: "127.0.0.1:2",
            state: "live",
        }));
    }

    isGone(instance: InstanceId): boolean {
        return this.#fleet.excluded.has(instance);
    }

    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Notifies the listeners after the test has changed the fleet. */
    notifyListeners(): void {
        this.#listeners.forEach(listener => listener());
    }

    #isActive(seat: Seat): boolean {
        return seat.holder !== undefined && !this.#fleet.excluded.has(seat.holder);
    }
}

/** Seats in rank order: first the best of each zone, then the rest. */
const distinctZones = (ranked: readonly Seat[], count: number): readonly Seat[] => {
    const zones = new Set<ZoneId | undefined>();
    const first = ranked.filter(seat => !zones.has(seat.zone) && zones.add(seat.zone));
    return [...first, ...ranked.filter(seat => !first.includes(seat))].slice(0, count);
};

/** Creates a fleet with one seat for each instance; zones are assigned in turn. */
export const staticFleet = (instances: readonly string[], zones: readonly string[]): StaticFleet => ({
    roster: {
        version: 1,
        seats: instances.map((instance, index) => ({
            id: `s${index}` as Seat["id"],
            epoch: 1,
            holder: instance as InstanceId,
            zone: zones[index % zones.length] as ZoneId,
        })),
    },
    excluded: new Set(),
    stale: new Set(),
    term: 1,
    termStartedAtMs: 0,
});
