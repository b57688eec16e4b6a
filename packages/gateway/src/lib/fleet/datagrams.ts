/** What instances send each other in datagrams, and how it is written. */
import type { InstanceId } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import { match } from "ts-pattern";
import * as z from "zod";
import type { LoadReport } from "../balance/fleet-load.js";
import { decodeInFlight, encodeInFlight } from "./heartbeat-codec.js";
import type { EncodedHeartbeat } from "./heartbeat-codec.js";
import { DatagramError, readBoolean, readBytes, readCount, readList, readText } from "./wire-read.js";

/** Instances of another version do not understand each other's datagrams. */
export const datagramVersion = 2;

/** Most addresses in one datagram of members; it stays within the payload that usual links pass unfragmented. */
export const maxMemberAddresses = 50;
/** Most beats, or reports, in one datagram. */
const maxBeats = 500;
const maxNameLength = 200;
const maxAddressLength = 64;

/** A change of the list of upstreams; the value is a `ListedUpstream`, undefined when it is gone. */
export interface UpstreamChange {
    readonly name: string;
    readonly value?: unknown;
}

/**
 * How far the receiver passes beats on: not at all, to the instances of its zone, or to these and to one instance of
 * each other zone, which passes them on in its zone.
 */
export type RelayScope = "none" | "zone" | "fleet";

/** Beats of one or several instances. */
export interface HeartbeatsDatagram {
    readonly kind: "beats";
    /** Peer address of the instance that sent the datagram, which may be a relay. */
    readonly sender: string;
    readonly scope: RelayScope;
    /** Whether a relay passes them on without gathering further ones. */
    readonly isUrgent: boolean;
    readonly beats: readonly EncodedHeartbeat[];
}

/** What instances send each other. */
export type Datagram =
    | HeartbeatsDatagram
    /** `mustForward`: the receiver passes the reports on to the instances of its zone. */
    | { readonly kind: "loads"; readonly mustForward: boolean; readonly reports: readonly LoadReport[]; }
    /** Peer addresses of the instances that the sender hears. */
    | { readonly kind: "members"; readonly addresses: readonly string[]; }
    | {
        readonly kind: "upstreams";
        readonly fromRevision: number;
        readonly toRevision: number;
        readonly changes: readonly UpstreamChange[];
    };

/** Scopes in the order of their numbers on the wire. */
const scopes: readonly RelayScope[] = ["none", "zone", "fleet"];
const revision = z.number().int().min(0);

const seldomWire = z.union([
    z.tuple([z.literal("members"), z.array(z.string().max(maxAddressLength)).max(maxMemberAddresses)])
        .transform(([kind, addresses]): Datagram => ({ kind, addresses })),
    z.tuple([
        z.literal("upstreams"),
        revision,
        revision,
        z.array(z.object({ name: z.string().max(maxNameLength), value: z.unknown() })).max(100),
    ]).transform(([kind, fromRevision, toRevision, changes]): Datagram => ({
        kind,
        fromRevision,
        toRevision,
        changes,
    })),
]);

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Bytes of a datagram, for {@link decodeDatagram}. */
export const encodeDatagram = (datagram: Datagram): Buffer => {
    const body = match(datagram)
        .with({ kind: "beats" }, ({ kind, sender, scope, isUrgent, beats }) => [
            kind,
            sender,
            scopes.indexOf(scope),
            isUrgent,
            beats.map(({ id, sequence, bytes }) => [id, sequence, bytes]),
        ])
        .with({ kind: "loads" }, ({ kind, mustForward, reports }) => [
            kind,
            mustForward,
            reports.map(({ id, sequence, inFlight }) => [id, sequence, encodeInFlight(inFlight)]),
        ])
        .with({ kind: "members" }, ({ kind, addresses }) => [kind, addresses])
        .with({ kind: "upstreams" }, ({ kind, fromRevision, toRevision, changes }) => [
            kind,
            fromRevision,
            toRevision,
            changes,
        ])
        .exhaustive();
    return codec.encode([datagramVersion, body]);
};

/**
 * Reads a datagram. The beats in it stay in their wire form.
 *
 * @throws DatagramError when it is not one of this version
 */
export const decodeDatagram = (bytes: Uint8Array): Datagram => {
    let value: unknown;
    try {
        value = codec.decode(bytes);
    }
    catch (cause) {
        throw new DatagramError("a datagram is not valid CBOR; check that only instances send to this port", { cause });
    }
    if (!Array.isArray(value) || value[0] !== datagramVersion) {
        throw new DatagramError(`a datagram is not of version ${datagramVersion}; run the same release everywhere`);
    }
    const body = value[1] as unknown;
    if (Array.isArray(body) && body[0] === "beats") {
        return readBeats(body);
    }
    if (Array.isArray(body) && body[0] === "loads") {
        return readLoads(body);
    }
    const parsed = seldomWire.safeParse(body);
    if (!parsed.success) {
        throw new DatagramError("a datagram breaks the schema; run the same release on all instances");
    }
    return parsed.data;
};

const readBeats = (body: readonly unknown[]): HeartbeatsDatagram => {
    const [, sender, scope, isUrgent, beats] = readList(body, { length: 5 });
    return {
        kind: "beats",
        sender: readText(sender, maxAddressLength),
        scope: scopes[readCount(scope, scopes.length - 1)]!,
        isUrgent: readBoolean(isUrgent),
        beats: readList(beats, { maxLength: maxBeats }).map(entry => {
            const [id, sequence, beat] = readList(entry, { length: 3 });
            return {
                id: readText<InstanceId>(id, maxNameLength),
                sequence: readCount(sequence),
                bytes: readBytes(beat),
            };
        }),
    };
};

const readLoads = (body: readonly unknown[]): Datagram => {
    const [, mustForward, reports] = readList(body, { length: 3 });
    return {
        kind: "loads",
        mustForward: readBoolean(mustForward),
        reports: readList(reports, { maxLength: maxBeats }).map(entry => {
            const [id, sequence, inFlight] = readList(entry, { length: 3 });
            return {
                id: readText<InstanceId>(id, maxNameLength),
                sequence: readCount(sequence),
                inFlight: decodeInFlight(inFlight),
            };
        }),
    };
};
