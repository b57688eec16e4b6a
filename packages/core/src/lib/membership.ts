/** Who is in the fleet, who is home of a key, and whether this instance is current. */
import type { InstanceId, InstanceInfo, SeatId, ZoneId } from "./types.js";

/** A position of the roster and its holder. */
export interface Seat {
    readonly id: SeatId;
    /** Rises each time the seat gets another holder. */
    readonly epoch: number;
    /** Undefined while the seat is vacant. */
    readonly holder: InstanceId | undefined;
    /** Zone of the holder; a vacant seat keeps the last one. */
    readonly zone: ZoneId | undefined;
}

/** The roster: one versioned object of the platform. */
export interface Roster {
    readonly version: number;
    readonly seats: readonly Seat[];
}

/** Right to act as home of a key, without interruption since `startedAtMs` of the monotonic clock. */
export interface CoordinatorTerm {
    /** Another id than before means that another instance may have been home in between: drop the state. */
    readonly id: string;
    readonly startedAtMs: number;
    /** Epoch of the seat whose holder stopped by its own word right before, if no other instance was home in between. */
    readonly predecessorEpoch?: number | undefined;
}

/** What other modules ask of membership. Every answer is worked out at the moment of the call. */
export interface Membership {
    readonly self: InstanceId;
    readonly zone: ZoneId;
    /** The last accepted roster. */
    roster(): Roster;
    /** Whether this instance may do guarded work now. Ask again right before each dispatch. */
    isCurrent(): boolean;
    /** The instance believed to be home of the key: where to send messages. */
    coordinatorOf(key: string): InstanceId | undefined;
    /** This instance's right to act as home of the key now; undefined if it has none. */
    coordinatorTerm(key: string): CoordinatorTerm | undefined;
    /** Seats that hold replicated state of the key: `count` by rendezvous, in distinct zones where there are enough. */
    replicaSeats(key: string, count: number): readonly Seat[];
    /** Known instances that are heard and not leaving. */
    liveInstances(): readonly InstanceInfo[];
    /** Whether a quorum excludes the instance or it has left: it can do no guarded work any more. */
    isGone(instance: InstanceId): boolean;
    /** Called after a change of roster, of holders or of exclusions. */
    onChange(listener: () => void): void;
}
