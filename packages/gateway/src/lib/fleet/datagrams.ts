/** Datagrams between instances and their wire format. */
import type { InstanceId } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import { match } from "ts-pattern";
import * as z from "zod";
import type { LoadReport } from "../balance/fleet-load.js";
import { decodeInFlight, encodeInFlight } from "./heartbeat-codec.js";
import type { EncodedHeartbeat } from "./heartbeat-codec.js";
import { DatagramError, readBoolean, readBytes, readCount, readList, readText } from "./wire-read.js";

/** Version of the wire format; datagrams of any other version are rejected. */
export const datagramVersion = 2;

/** Maximum number of addresses in a `members` datagram; the datagram then fits into a packet of common links. */
export const maxMemberAddresses = 50;
/** Maximum number of heartbeats or load reports in a datagram. */
const maxDatagramEntries = 500;
/** Maximum length of the name of an instance or upstream, in characters. */
const maxNameLength = 200;
/** Maximum length of an address, in characters. */
const maxAddressLength = 64;

/** A change of the upstream list. The value is a `ListedUpstream`, or undefined if the upstream was removed. */
export interface UpstreamChange {
    readonly name: string;
    readonly value?: unknown;
}

/**
 * How far the receiver forwards heartbeats: not at all, to the instances of its zone, or also to one instance of each
 * other zone, which forwards them within that zone.
 */
export type RelayScope = "none" | "zone" | "fleet";

/** Heartbeats of one or more instances. */
export interface HeartbeatsDatagram {
    readonly kind: "beats";
    /** Peer address of the instance that sent the datagram, which may be a relay. */
    readonly sender: string;
    readonly scope: RelayScope;
    /** Whether a relay forwards the heartbeats without waiting for more to batch. */
    readonly isUrgent: boolean;
    readonly beats: readonly EncodedHeartbeat[];
}

/** Any datagram between instances. */
export type Datagram =
    | HeartbeatsDatagram
    /** In-flight counts. `mustForward`: whether the receiver forwards the reports to the instances of its zone. */
    | { readonly kind: "loads"; readonly mustForward: boolean; readonly reports: readonly LoadReport[]; }
    /** Peer addresses of the instances that the sender considers live. */
    | { readonly kind: "members"; readonly addresses: readonly string[]; }
    /** Changes of the upstream list between two store revisions, from an instance that read them from the store. */
    | {
        readonly kind: "upstreams";
        readonly fromRevision: number;
        readonly toRevision: number;
        readonly changes: readonly UpstreamChange[];
    };

/** Relay scopes, indexed by their number on the wire. */
const relayScopes: readonly RelayScope[] = ["none", "zone", "fleet"];
const revisionSchema = z.number().int().min(0);

/** Schema of the kinds that are sent rarely; the frequent kinds are decoded without the cost of a general schema. */
const infrequentDatagramSchema = z.union([
    z.tuple([z.literal("members"), z.array(z.string().max(maxAddressLength)).max(maxMemberAddresses)])
        .transform(([kind, addresses]): Datagram => ({ kind, addresses })),
    z.tuple([
        z.literal("upstreams"),
        revisionSchema,
        revisionSchema,
        z.array(z.object({ name: z.string().max(maxNameLength), value: z.unknown() })).max(100),
    ]).transform(([kind, fromRevision, toRevision, changes]): Datagram => ({
        kind,
        fromRevision,
        toRevision,
        changes,
    })),
]);

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a datagram; {@link decodeDatagram} is the inverse. */
export const encodeDatagram = (datagram: Datagram): Buffer => {
    const body = match(datagram)
        .with({ kind: "beats" }, ({ kind, sender, scope, isUrgent, beats }) => [
            kind,
            sender,
            relayScopes.indexOf(scope),
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
 * Decodes a datagram. Heartbeats in it stay encoded.
 *
 * @throws DatagramError if the datagram is malformed or of another version
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
        throw new DatagramError(
            `a datagram is not of version ${datagramVersion}; run the same release on all instances`,
        );
    }
    const body = value[1] as unknown;
    if (Array.isArray(body) && body[0] === "beats") {
        return decodeHeartbeats(body);
    }
    if (Array.isArray(body) && body[0] === "loads") {
        return decodeLoadReports(body);
    }
    const parsed = infrequentDatagramSchema.safeParse(body);
    if (!parsed.success) {
        throw new DatagramError("a datagram does not match the schema; run the same release on all instances");
    }
    return parsed.data;
};

const decodeHeartbeats = (body: readonly unknown[]): HeartbeatsDatagram => {
    const [, sender, scope, isUrgent, beats] = readList(body, { length: 5 });
    return {
        kind: "beats",
        sender: readText(sender, maxAddressLength),
        scope: relayScopes[readCount(scope, relayScopes.length - 1)]!,
        isUrgent: readBoolean(isUrgent),
        beats: readList(beats, { maxLength: maxDatagramEntries }).map(entry => {
            const [id, sequence, encoded] = readList(entry, { length: 3 });
            return {
                id: readText<InstanceId>(id, maxNameLength),
                sequence: readCount(sequence),
                bytes: readBytes(encoded),
            };
        }),
    };
};

const decodeLoadReports = (body: readonly unknown[]): Datagram => {
    const [, mustForward, reports] = readList(body, { length: 3 });
    return {
        kind: "loads",
        mustForward: readBoolean(mustForward),
        reports: readList(reports, { maxLength: maxDatagramEntries }).map(entry => {
            const [id, sequence, inFlight] = readList(entry, { length: 3 });
            return {
                id: readText<InstanceId>(id, maxNameLength),
                sequence: readCount(sequence),
                inFlight: decodeInFlight(inFlight),
            };
        }),
    };
};
