/** Datagrams between instances and their wire format. */
import { Encoder } from "cbor-x";
import { match } from "ts-pattern";
import * as z from "zod";
import type { GatewayInstance } from "../model.js";
import type { SharedOutage } from "../statements/upstream-outages.js";
import type { SharedStatement } from "../statements/upstream-statements.js";
import {
    decodeCrashes,
    decodeDigest,
    decodeLoads,
    decodeOutcomes,
    encodeCrashes,
    encodeDigest,
    encodeLoads,
    encodeOutcomes,
} from "./digest-codec.js";
import type { DistributedCrash, DistributedOutcome, ZoneDigest, ZoneLoads } from "./digest.js";
import { decodeHeartbeat, decodeInfo, encodeHeartbeat, encodeInfo } from "./heartbeat-codec.js";
import type { Heartbeat } from "./heartbeat.js";
import { decodeOutages, decodeStatements, encodeOutages, encodeStatements } from "./statement-codec.js";
import { DatagramError, readBoolean, readBytes, readCount, readList, readText } from "./wire-read.js";

/** Version of the wire format; datagrams of any other version are rejected. */
export const datagramVersion = 6;

/** Maximum number of identities in a datagram, which then fits into a packet of common links. */
export const maxIdentities = 14;
/** Maximum number of keys in a request for identities. */
export const maxRequestedKeys = 60;
/** Maximum number of outcomes in a datagram, which then fits into a packet of common links. */
export const maxOutcomes = 90;
/** Maximum number of changes of the upstream list in a datagram. */
export const maxUpstreamChanges = 100;
/** Maximum number of addresses to which a datagram is forwarded. */
const maxForwards = 500;
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
 * Why a heartbeat is sent: as a report to an aggregator of the own zone, as a hello to an instance that may not know
 * the sender and responds, or as the response to a hello.
 */
export type HeartbeatPurpose = "report" | "hello" | "reply";

/** Changes of the upstream list between two store revisions, from an instance that read them from the store. */
export interface UpstreamsMessage {
    readonly kind: "upstreams";
    readonly fromRevision: number;
    readonly toRevision: number;
    readonly changes: readonly UpstreamChange[];
}

/** Content of a datagram. */
export type Message =
    /** `isUrgent`: whether an aggregator distributes the outcomes in it at once. */
    | {
        readonly kind: "heartbeat";
        readonly purpose: HeartbeatPurpose;
        readonly isUrgent: boolean;
        readonly heartbeat: Heartbeat;
    }
    | { readonly kind: "digest"; readonly digest: ZoneDigest; }
    | { readonly kind: "loads"; readonly loads: ZoneLoads; }
    | {
        readonly kind: "outcomes";
        readonly outcomes: readonly DistributedOutcome[];
        readonly crashes: readonly DistributedCrash[];
    }
    | { readonly kind: "identities"; readonly infos: readonly GatewayInstance[]; }
    /** Requests the identities of the instances with these keys. */
    | { readonly kind: "identity-request"; readonly sender: string; readonly keys: readonly number[]; }
    | { readonly kind: "statements"; readonly statements: readonly SharedStatement[]; }
    | { readonly kind: "outages"; readonly outages: readonly SharedOutage[]; }
    | UpstreamsMessage;

/** A message with instructions for its receiver. */
export interface Datagram {
    readonly message: Message;
    /** Whether the receiver distributes the message to the other instances of its zone. */
    readonly isForZone: boolean;
    /** Peer addresses to which the receiver forwards the message. */
    readonly forwardTo: readonly string[];
    /** The encoded message, if it was received; it is then forwarded without encoding it again. */
    readonly encodedMessage?: Uint8Array;
}

/** A datagram that only its receiver processes. */
export const direct = (message: Message): Datagram => ({ message, isForZone: false, forwardTo: [] });

const purposes: readonly HeartbeatPurpose[] = ["report", "hello", "reply"];
const maxKey = 0xFF_FF_FF_FF;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a datagram; {@link decodeDatagram} is the inverse. */
export const encodeDatagram = ({ message, isForZone, forwardTo, encodedMessage }: Datagram): Buffer =>
    codec.encode([datagramVersion, isForZone, forwardTo, encodedMessage ?? encodeMessage(message)]);

/**
 * Decodes a datagram.
 *
 * @throws DatagramError if the datagram is malformed or of another version
 */
export const decodeDatagram = (bytes: Uint8Array): Datagram => {
    const value = decodeCbor(bytes);
    if (!Array.isArray(value) || value[0] !== datagramVersion) {
        throw new DatagramError(
            `a datagram is not of version ${datagramVersion}; run the same release on all instances`,
        );
    }
    const [, isForZone, forwardTo, encodedMessage] = readList(value, { length: 4 });
    const encoded = readBytes(encodedMessage);
    return {
        message: decodeMessage(decodeCbor(encoded)),
        isForZone: readBoolean(isForZone),
        forwardTo: readList(forwardTo, { maxLength: maxForwards }).map(item => readText(item, maxAddressLength)),
        encodedMessage: encoded,
    };
};

const decodeCbor = (bytes: Uint8Array): unknown => {
    try {
        return codec.decode(bytes);
    }
    catch (cause) {
        throw new DatagramError("a datagram is not valid CBOR; check that only instances send to this port", { cause });
    }
};

const encodeMessage = (message: Message): Buffer =>
    codec.encode(
        match(message)
            .with({ kind: "heartbeat" }, ({ kind, purpose, isUrgent, heartbeat }) => [
                kind,
                purposes.indexOf(purpose),
                isUrgent,
                encodeHeartbeat(heartbeat),
            ])
            .with({ kind: "digest" }, ({ kind, digest }) => [kind, encodeDigest(digest)])
            .with({ kind: "loads" }, ({ kind, loads }) => [kind, encodeLoads(loads)])
            .with({ kind: "outcomes" }, ({ kind, outcomes, crashes }) => [
                kind,
                encodeOutcomes(outcomes),
                encodeCrashes(crashes),
            ])
            .with({ kind: "identities" }, ({ kind, infos }) => [kind, infos.map(encodeInfo)])
            .with({ kind: "identity-request" }, ({ kind, sender, keys }) => [kind, sender, keys])
            .with({ kind: "statements" }, ({ kind, statements }) => [kind, encodeStatements(statements)])
            .with({ kind: "outages" }, ({ kind, outages }) => [kind, encodeOutages(outages)])
            .with({ kind: "upstreams" }, ({ kind, fromRevision, toRevision, changes }) => [
                kind,
                fromRevision,
                toRevision,
                changes,
            ])
            .exhaustive(),
    );

const decodeMessage = (value: unknown): Message => {
    const body = readList(value, { maxLength: 4 });
    return match(body[0])
        .with("heartbeat", (kind): Message => {
            const [, purpose, isUrgent, heartbeat] = readList(body, { length: 4 });
            return {
                kind,
                purpose: purposes[readCount(purpose, purposes.length - 1)]!,
                isUrgent: readBoolean(isUrgent),
                heartbeat: decodeHeartbeat(heartbeat),
            };
        })
        .with("digest", (kind): Message => ({ kind, digest: decodeDigest(readList(body, { length: 2 })[1]) }))
        .with("loads", (kind): Message => ({ kind, loads: decodeLoads(readList(body, { length: 2 })[1]) }))
        .with("outcomes", (kind): Message => {
            const [, outcomes, crashes] = readList(body, { length: 3 });
            return { kind, outcomes: decodeOutcomes(outcomes), crashes: decodeCrashes(crashes) };
        })
        .with("statements", (kind): Message => ({
            kind,
            statements: decodeStatements(readList(body, { length: 2 })[1]),
        }))
        .with("outages", (kind): Message => ({ kind, outages: decodeOutages(readList(body, { length: 2 })[1]) }))
        .with("identities", (kind): Message => {
            const [, infos] = readList(body, { length: 2 });
            return { kind, infos: readList(infos, { maxLength: maxIdentities }).map(decodeInfo) };
        })
        .with("identity-request", (kind): Message => {
            const [, sender, keys] = readList(body, { length: 3 });
            return {
                kind,
                sender: readText(sender, maxAddressLength),
                keys: readList(keys, { maxLength: maxRequestedKeys }).map(key => readCount(key, maxKey)),
            };
        })
        .otherwise(() => decodeUpstreams(body));
};

const revisionSchema = z.number().int().min(0);

/** Schema of the changes of the upstream list, whose values other modules check. */
const upstreamsSchema = z.tuple([
    z.literal("upstreams"),
    revisionSchema,
    revisionSchema,
    z.array(z.object({ name: z.string().max(maxNameLength), value: z.unknown() })).max(maxUpstreamChanges),
]);

const decodeUpstreams = (body: readonly unknown[]): Message => {
    const parsed = upstreamsSchema.safeParse(body);
    if (!parsed.success) {
        throw new DatagramError("a datagram does not match the schema; run the same release on all instances");
    }
    const [kind, fromRevision, toRevision, changes] = parsed.data;
    return { kind, fromRevision, toRevision, changes };
};
