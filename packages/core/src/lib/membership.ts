/** The interface of cluster membership: the roster, the coordinators of keys, and whether this instance is current. */
import type { InstanceId, InstanceInfo, SeatId, ZoneId } from "./types.js";

/** A position in the roster and its holder. */
export interface Seat {
    readonly id: SeatId;
    /** Increases each time the seat gets another holder. */
    readonly epoch: number;
    /** Undefined while the seat is vacant. */
    readonly holder: InstanceId | undefined;
    /** Zone of the holder; a vacant seat keeps the zone of its last holder. */
    readonly zone: ZoneId | undefined;
}

/** The roster, stored as one versioned object on the platform. */
export interface Roster {
    readonly version: number;
    readonly seats: readonly Seat[];
}

/** An uninterrupted term as coordinator of a key, which started at `startedAtMs` on the monotonic clock. */
export interface CoordinatorTerm {
    /** If the id has changed, another instance may have been coordinator in between, so the state must be discarded. */
    readonly id: string;
    readonly startedAtMs: number;
    /** Epoch of the seat whose holder was the previous coordinator, if this term directly follows its stop notice. */
    readonly predecessorEpoch?: number | undefined;
}

/** The membership interface for other modules. Every method evaluates the state at the time of the call. */
export interface Membership {
    readonly self: InstanceId;
    readonly zone: ZoneId;
    /** The last accepted roster. */
    roster(): Roster;
    /**
     * Whether this instance may do guarded work now: it has the newest known configuration, and recent contact with the
     * platform or a quorum. Check it immediately before each dispatch.
     */
    isCurrent(): boolean;
    /** The presumed coordinator of the key, to which messages about the key are sent; undefined if there is none. */
    coordinatorOf(key: string): InstanceId | undefined;
    /** This instance's current term as coordinator of the key; undefined if it may not act as coordinator. */
    coordinatorTerm(key: string): CoordinatorTerm | undefined;
    /**
     * The `count` seats that hold replicated state of the key, by rendezvous hashing, in distinct zones if possible.
     */
    replicaSeats(key: string, count: number): readonly Seat[];
    /** Instances with recent heartbeats that are not leaving. */
    liveInstances(): readonly InstanceInfo[];
    /** Whether a quorum excludes the instance or it has left, so that it can no longer do guarded work. */
    isGone(instance: InstanceId): boolean;
    /** Calls the listener after a change of the roster, the holders or the exclusions. */
    onChange(listener: () => void): void;
}
