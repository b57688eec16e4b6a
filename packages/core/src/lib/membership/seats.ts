/** The roster as stored on the platform and held by instances, and the changes to it. */
import * as z from "zod";
import type { Roster, Seat } from "../membership.js";
import { hash32 } from "../rendezvous.js";
import type { InstanceId, SeatId, ZoneId } from "../types.js";

/** A seat with the version that last assigned or vacated it. */
export interface FleetSeat extends Seat {
    /** 0 for a seat that was never held. A handover between instances leaves it unchanged. */
    readonly changedVersion: number;
}

/** A roster whose seats are {@link FleetSeat}. */
export interface FleetRoster extends Roster {
    readonly seats: readonly FleetSeat[];
}

const textSchema = <T extends string>() => z.string().min(1).max(200).transform(value => value as T);
const countSchema = z.number().int().min(0);

/** Schema of one seat on the wire. */
export const fleetSeatSchema = z.strictObject({
    id: textSchema<SeatId>(),
    epoch: countSchema,
    holder: textSchema<InstanceId>().optional(),
    zone: textSchema<ZoneId>().optional(),
    changedVersion: countSchema,
}).transform((seat): FleetSeat => ({ ...seat, holder: seat.holder, zone: seat.zone }));

/** Schema of the platform object `roster`. The object's version is the roster's version. */
export const rosterValueSchema = z.strictObject({ seats: z.array(fleetSeatSchema).min(1).max(64) });

/**
 * An assignment at version v sets epoch v * 1,000, and each handover without the platform adds 1. A handover that the
 * platform has not recorded therefore never has the epoch of a later assignment.
 */
export const epochsPerVersion = 1_000;

/** Creates the vacant seats of a new roster. */
export const createVacantSeats = (seats: number): readonly FleetSeat[] =>
    Array.from({ length: seats }, (_, index) => ({
        id: `s${index}` as SeatId,
        epoch: 0,
        holder: undefined,
        zone: undefined,
        changedVersion: 0,
    }));

const replaceSeat = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    roster.seats.map((current, position) => position === index ? seat : current);

/** Seats of the next version, with a vacant seat assigned to an instance. */
export const assignSeat = (
    roster: FleetRoster,
    index: number,
    holder: InstanceId,
    zone: ZoneId,
): readonly FleetSeat[] => {
    const version = roster.version + 1;
    const { id } = roster.seats[index]!;
    return replaceSeat(roster, index, { id, epoch: version * epochsPerVersion, holder, zone, changedVersion: version });
};

/** Seats of the next version, with a seat vacated. `seat` may include a handover that the platform has not recorded. */
export const vacateSeat = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    replaceSeat(roster, index, { ...seat, holder: undefined, changedVersion: roster.version + 1 });

/** Seats of the next version, including a handover that was made while the platform was unavailable. */
export const recordHandover = (roster: FleetRoster, index: number, seat: FleetSeat): readonly FleetSeat[] =>
    replaceSeat(roster, index, seat);

/** The seat after a handover; undefined if the seat's version has no epoch left for one. */
export const seatAfterHandover = (seat: FleetSeat, holder: InstanceId, zone: ZoneId): FleetSeat | undefined =>
    (seat.epoch + 1) % epochsPerVersion === 0 ? undefined : { ...seat, epoch: seat.epoch + 1, holder, zone };

/** The roster with one seat replaced. */
export const withSeat = (roster: FleetRoster, index: number, seat: FleetSeat): FleetRoster => ({
    version: roster.version,
    seats: replaceSeat(roster, index, seat),
});

/** Whether `later` results from `earlier` through handovers only. */
export const isHandoverOf = (later: FleetSeat, earlier: FleetSeat): boolean =>
    later.holder !== undefined && earlier.holder !== undefined && later.epoch > earlier.epoch
    && Math.floor(later.epoch / epochsPerVersion) === Math.floor(earlier.epoch / epochsPerVersion);

/**
 * Merges a received roster into the held one. Lower versions are ignored. A handover is kept if the newer version did
 * not change its seat. If the newer version vacated or assigned the seat, that change takes precedence.
 */
export const mergeRosters = (held: FleetRoster | undefined, received: FleetRoster): FleetRoster => {
    if (held === undefined) {
        return received;
    }
    if (received.version < held.version || received.seats.length !== held.seats.length) {
        return held;
    }
    const seats = received.seats.map((seat, index) =>
        isHandoverOf(held.seats[index]!, seat) ? held.seats[index]! : seat
    );
    const isUnchanged = received.version === held.version
        && seats.every((seat, index) => seat.epoch === held.seats[index]!.epoch);
    return isUnchanged ? held : { version: received.version, seats };
};

/** Short digest by which peers at the same version detect a missed handover. */
export const rosterDigest = (roster: FleetRoster): number => hash32(roster.seats.map(seat => seat.epoch).join(","));

/** Index of the seat that an instance holds in a roster; undefined if it holds none. */
export const seatIndexOf = (roster: FleetRoster | undefined, holder: InstanceId): number | undefined => {
    const index = roster?.seats.findIndex(seat => seat.holder === holder) ?? -1;
    return index < 0 ? undefined : index;
};
