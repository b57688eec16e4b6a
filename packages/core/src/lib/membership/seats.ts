/** The roster as the platform and peers keep it, and the changes to it. */
import * as z from "zod";
import type { Roster, Seat } from "../membership.js";
import { hash32 } from "../rendezvous.js";
import type { InstanceId, SeatId, ZoneId } from "../types.js";

/** A seat with the version that last assigned or vacated it. */
export interface FleetSeat extends Seat {
    /** 0 for a seat that was never held. A hand-over between instances keeps it. */
    readonly changedVersion: number;
}

/** A roster of {@link FleetSeat}. */
export interface FleetRoster extends Roster {
    readonly seats: readonly FleetSeat[];
}

const text = <T extends string>() => z.string().min(1).max(200).transform(value => value as T);
const count = z.number().int().min(0);

/** One seat on the wire. */
export const fleetSeatSchema = z.strictObject({
    id: text<SeatId>(),
    epoch: count,
    holder: text<InstanceId>().optional(),
    zone: text<ZoneId>().optional(),
    changedVersion: count,
}).transform((seat): FleetSeat => ({ ...seat, holder: seat.holder, zone: seat.zone }));

/** Value of the platform object `roster`; the object's version is the roster's version. */
export const rosterValueSchema = z.strictObject({ seats: z.array(fleetSeatSchema).min(1).max(64) });

/**
 * An assignment at version v gives epoch v * 1,000, and hand-overs without the platform add 1. So a hand-over that the
 * platform has not seen never takes the epoch of a later assignment.
 */
export const epochsPerVersion = 1_000;

/** A roster with vacant seats only. */
export const vacantSeats = (seats: number): readonly FleetSeat[] =>
    Array.from({ length: seats }, (_, index) => ({
        id: `s${index}` as SeatId,
        epoch: 0,
        holder: undefined,
        zone: undefined,
        changedVersion: 0,
    }));

const replaced = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    roster.seats.map((old, position) => position === index ? seat : old);

/** Seats of the next version, with a vacant seat given to an instance. */
export const assignSeat = (
    roster: FleetRoster,
    index: number,
    holder: InstanceId,
    zone: ZoneId,
): readonly FleetSeat[] => {
    const version = roster.version + 1;
    const { id } = roster.seats[index]!;
    return replaced(roster, index, { id, epoch: version * epochsPerVersion, holder, zone, changedVersion: version });
};

/** Seats of the next version, with a seat vacated. `seat` may be a hand-over that the platform has not seen. */
export const vacateSeat = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    replaced(roster, index, { ...seat, holder: undefined, changedVersion: roster.version + 1 });

/** Seats of the next version, with a hand-over recorded that was made while the platform was away. */
export const recordHandover = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    replaced(roster, index, seat);

/** The seat after a hand-over; undefined when the seat has no epoch left for one. */
export const handedOver = (seat: FleetSeat, holder: InstanceId, zone: ZoneId): FleetSeat | undefined =>
    (seat.epoch + 1) % epochsPerVersion === 0 ? undefined : { ...seat, epoch: seat.epoch + 1, holder, zone };

/** The roster with one seat handed over. */
export const withSeat = (roster: FleetRoster, index: number, seat: FleetSeat): FleetRoster => ({
    version: roster.version,
    seats: replaced(roster, index, seat),
});

/** Whether the left seat follows from the right one by hand-overs alone. */
export const isHandoverOf = (later: FleetSeat, earlier: FleetSeat): boolean =>
    later.holder !== undefined && earlier.holder !== undefined && later.epoch > earlier.epoch
    && Math.floor(later.epoch / epochsPerVersion) === Math.floor(earlier.epoch / epochsPerVersion);

/**
 * The roster to hold after another one was seen. Lower versions are ignored. Hand-overs survive a newer version that
 * left their seat alone; a newer version that vacated or assigned the seat wins.
 */
export const mergeRosters = (held: FleetRoster | undefined, seen: FleetRoster): FleetRoster => {
    if (held === undefined) {
        return seen;
    }
    if (seen.version < held.version || seen.seats.length !== held.seats.length) {
        return held;
    }
    const seats = seen.seats.map((seat, index) => isHandoverOf(held.seats[index]!, seat) ? held.seats[index]! : seat);
    const isSame = seen.version === held.version
        && seats.every((seat, index) => seat.epoch === held.seats[index]!.epoch);
    return isSame ? held : { version: seen.version, seats };
};

/** Short digest by which peers at one version notice hand-overs that one of them has missed. */
export const rosterDigest = (roster: FleetRoster): number => hash32(roster.seats.map(seat => seat.epoch).join(","));

/** Position of the seat that an instance holds; undefined without one. */
export const seatIndexOf = (roster: FleetRoster | undefined, holder: InstanceId): number | undefined => {
    const index = roster?.seats.findIndex(seat => seat.holder === holder) ?? -1;
    return index < 0 ? undefined : index;
};
