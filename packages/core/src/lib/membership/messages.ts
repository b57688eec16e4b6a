/** Messages of membership between instances. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import type { FleetSeat } from "./seats.js";
import { fleetSeatSchema } from "./seats.js";

const count = z.number().int().min(0);
const text = z.string().min(1).max(200);

const instanceInfoSchema: z.ZodType<InstanceInfo> = z.strictObject({
    id: text.transform(value => value as InstanceId),
    zone: text.transform(value => value as ZoneId),
    address: text,
    peerAddress: text,
    state: z.enum(["live", "leaving"]),
});

/** Body of `membership.heartbeat`. Absent fields save bytes in the usual case. */
export interface Heartbeat {
    readonly sequence: number;
    /** The receiver's last sequence number that reached the sender. */
    readonly echo?: number | undefined;
    /** Epoch of the receiver's seat for which the sender grants a lease, from the echoed message on. */
    readonly grant?: number | undefined;
    /** Epoch of the sender's seat, sent with votes: they count for this seat only, even if the sender has another later. */
    readonly voter?: number | undefined;
    /** Epoch of the sender's seat, after it has stopped acting under it for good; see {@link StoppedNotice}. */
    readonly stopped?: number | undefined;
    readonly roster: number;
    /** Digest of the epochs, see `rosterDigest`. */
    readonly digest: number;
    readonly revision: number;
    readonly withdrawals: number;
    /** Age of the sender's own platform confirmation; absent without a recent one. */
    readonly confirmedMs?: number | undefined;
    /**
     * Epochs of the seats that the sender excludes; an epoch names one holder of one seat. Each is a promise not to grant
     * the seat a lease for one lease period.
     */
    readonly excludes?: readonly number[] | undefined;
    /** Load in hundredths. */
    readonly load: number;
    readonly leaving?: boolean | undefined;
    /** The sender is not current; the directory does not name it. */
    readonly stale?: boolean | undefined;
    /** Sent until the receiver is known to have it. */
    readonly about?: InstanceInfo | undefined;
}

const heartbeatSchema: z.ZodType<Heartbeat> = z.strictObject({
    sequence: count,
    echo: count.optional(),
    grant: count.optional(),
    voter: count.optional(),
    stopped: count.optional(),
    roster: count,
    digest: count,
    revision: count,
    withdrawals: count,
    confirmedMs: count.optional(),
    excludes: z.array(count).max(64).optional(),
    load: count.max(100),
    leaving: z.boolean().optional(),
    stale: z.boolean().optional(),
    about: instanceInfoSchema.optional(),
});

/** Sent by each instance to each instance it knows, once per heartbeat interval. */
export const heartbeatMethod: PeerMethod<Heartbeat, void> = {
    name: "membership.heartbeat",
    request: heartbeatSchema,
    reply: z.void(),
};

/** A seat that its leaving holder hands over, with the epoch already raised. */
export interface SeatOffer {
    readonly index: number;
    readonly seat: FleetSeat;
}

/** Asks the joining instance to accept a seat, then tells all others. The reply says whether the seat is taken over. */
export const seatMethod: PeerMethod<SeatOffer, { readonly isAccepted: boolean; }> = {
    name: "membership.seat",
    request: z.strictObject({ index: count.max(63), seat: fleetSeatSchema }) as unknown as z.ZodType<SeatOffer>,
    reply: z.strictObject({ isAccepted: z.boolean() }),
};

/**
 * The word of a leaving holder that it has stopped acting as home under this epoch for good. It names the epoch, since an
 * epoch belongs to one holder of one seat, so the word stays true however late it arrives.
 */
export interface StoppedNotice {
    readonly index: number;
    readonly epoch: number;
    /** Sequence number of the receiver's last heartbeat that had arrived when the sender stopped; absent without one. */
    readonly lastHeard?: number | undefined;
}

/** Tells each peer that the sender has stopped; the reply acknowledges it. Heartbeats repeat the epoch. */
export const stoppedMethod: PeerMethod<StoppedNotice, Record<string, never>> = {
    name: "membership.stopped",
    request: z.strictObject({ index: count.max(63), epoch: count, lastHeard: count.optional() }),
    reply: z.strictObject({}),
};

/** What an instance knows of the roster and of the other instances' addresses. */
export interface RosterReply {
    /** 0 while the sender holds no roster. */
    readonly version: number;
    readonly seats: readonly FleetSeat[];
    readonly members: readonly InstanceInfo[];
}

/** Fetches the roster from an instance that holds a newer one. */
export const rosterMethod: PeerMethod<Record<string, never>, RosterReply> = {
    name: "membership.roster",
    request: z.strictObject({}),
    reply: z.strictObject({
        version: count,
        seats: z.array(fleetSeatSchema).max(64),
        members: z.array(instanceInfoSchema),
    }) as unknown as z.ZodType<RosterReply>,
};
