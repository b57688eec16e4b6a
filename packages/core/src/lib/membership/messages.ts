/** Membership messages between instances. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import type { FleetSeat } from "./seats.js";
import { fleetSeatSchema } from "./seats.js";

const countSchema = z.number().int().min(0);
const textSchema = z.string().min(1).max(200);

const instanceInfoSchema: z.ZodType<InstanceInfo> = z.strictObject({
    id: textSchema.transform(value => value as InstanceId),
    zone: textSchema.transform(value => value as ZoneId),
    address: textSchema,
    peerAddress: textSchema,
    state: z.enum(["live", "leaving"]),
});

/** Body of `membership.heartbeat`. Fields without a value are omitted to keep messages small. */
export interface Heartbeat {
    readonly sequence: number;
    /** The receiver's last sequence number that the sender has received. */
    readonly echo?: number | undefined;
    /** Epoch of the receiver's seat for which the sender grants a lease from the send time of the echoed message. */
    readonly grant?: number | undefined;
    /**
     * Epoch of the sender's own seat, sent if the heartbeat has a vote (`grant` or `excludes`). The votes count for
     * this seat only, even if the sender changes seats.
     */
    readonly voter?: number | undefined;
    /** Epoch under which the sender has permanently stopped acting; see {@link StoppedNotice}. */
    readonly stopped?: number | undefined;
    /** Version of the sender's roster; 0 if it has none. */
    readonly roster: number;
    /** Digest of the epochs; see `rosterDigest`. */
    readonly digest: number;
    /** Revision of the sender's configuration; 0 if it has none. */
    readonly revision: number;
    /** Number of withdrawn keys that the sender has. */
    readonly withdrawals: number;
    /**
     * Time since the sender itself last read roster and configuration from the platform; absent if that was not recent.
     */
    readonly confirmedMs?: number | undefined;
    /**
     * Epochs of the seats that the sender excludes; an epoch identifies one holder of one seat. Each is a promise not
     * to grant the seat a lease for one lease period.
     */
    readonly excludes?: readonly number[] | undefined;
    /** Load in percent. */
    readonly load: number;
    readonly leaving?: boolean | undefined;
    /** The sender is not current, so the directory does not list it. */
    readonly stale?: boolean | undefined;
    /** Information about the sender, sent until the receiver is known to have it. */
    readonly about?: InstanceInfo | undefined;
}

const heartbeatSchema: z.ZodType<Heartbeat> = z.strictObject({
    sequence: countSchema,
    echo: countSchema.optional(),
    grant: countSchema.optional(),
    voter: countSchema.optional(),
    stopped: countSchema.optional(),
    roster: countSchema,
    digest: countSchema,
    revision: countSchema,
    withdrawals: countSchema,
    confirmedMs: countSchema.optional(),
    excludes: z.array(countSchema).max(64).optional(),
    load: countSchema.max(100),
    leaving: z.boolean().optional(),
    stale: z.boolean().optional(),
    about: instanceInfoSchema.optional(),
});

/** Sent by each instance to every peer in its peer table, once per heartbeat interval. */
export const heartbeatMethod: PeerMethod<Heartbeat, void> = {
    name: "membership.heartbeat",
    request: heartbeatSchema,
    reply: z.void(),
};

/** A seat that its leaving holder hands over, with the epoch already incremented. */
export interface SeatOffer {
    readonly index: number;
    readonly seat: FleetSeat;
}

/**
 * Offers a seat to a joining instance; `isAccepted` states whether the receiver has taken the seat. Once the joining
 * instance has accepted, the same message is sent to the other peers to inform them; they reply with
 * `isAccepted: false`.
 */
export const seatMethod: PeerMethod<SeatOffer, { readonly isAccepted: boolean; }> = {
    name: "membership.seat",
    request: z.strictObject({ index: countSchema.max(63), seat: fleetSeatSchema }) as unknown as z.ZodType<SeatOffer>,
    reply: z.strictObject({ isAccepted: z.boolean() }),
};

/**
 * Notice of a leaving holder that it has permanently stopped acting as coordinator under this epoch. An epoch
 * identifies one holder of one seat, so the notice stays true however late it arrives.
 */
export interface StoppedNotice {
    readonly index: number;
    readonly epoch: number;
    /**
     * Sequence number of the receiver's last heartbeat that the sender had received when it stopped; absent if none.
     */
    readonly lastHeard?: number | undefined;
}

/** Notifies each peer that the sender has stopped; the reply acknowledges it. Heartbeats repeat the epoch. */
export const stoppedMethod: PeerMethod<StoppedNotice, Record<string, never>> = {
    name: "membership.stopped",
    request: z.strictObject({ index: countSchema.max(63), epoch: countSchema, lastHeard: countSchema.optional() }),
    reply: z.strictObject({}),
};

/** The sender's roster, and the instances that the sender considers live. */
export interface RosterReply {
    /** 0 if the sender holds no roster. */
    readonly version: number;
    readonly seats: readonly FleetSeat[];
    readonly members: readonly InstanceInfo[];
}

/** Requests the roster from an instance that holds a newer one. */
export const rosterMethod: PeerMethod<Record<string, never>, RosterReply> = {
    name: "membership.roster",
    request: z.strictObject({}),
    reply: z.strictObject({
        version: countSchema,
        seats: z.array(fleetSeatSchema).max(64),
        members: z.array(instanceInfoSchema),
    }) as unknown as z.ZodType<RosterReply>,
};
