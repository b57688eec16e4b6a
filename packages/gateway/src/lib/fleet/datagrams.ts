/** What instances send each other in datagrams, and how it is written. */
import { SniperoadError } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import { match } from "ts-pattern";
import * as z from "zod";
import { type Beat, beatToWire, beatWire } from "./beat.js";

/** Instances of another version do not understand each other's datagrams. */
export const datagramVersion = 1;

/** Most addresses in one datagram of members; it stays within the payload that usual links pass unfragmented. */
export const maxMemberAddresses = 50;

/** A datagram that cannot be read. */
export const DatagramError = SniperoadError.subclass("DatagramError");

/** A change of the list of upstreams; the value is a `ListedUpstream`, undefined when it is gone. */
export interface UpstreamChange {
    readonly name: string;
    readonly value?: unknown;
}

/** What instances send each other. */
export type Datagram =
    /** `mustForward`: the receiver passes it on to the instances of its zone. */
    | { readonly kind: "beat"; readonly beat: Beat; readonly mustForward: boolean; }
    /** Peer addresses of the instances that the sender hears. */
    | { readonly kind: "members"; readonly addresses: readonly string[]; }
    | {
        readonly kind: "upstreams";
        readonly fromRevision: number;
        readonly toRevision: number;
        readonly changes: readonly UpstreamChange[];
    };

const revision = z.number().int().min(0);

const datagramWire = z.union([
    z.tuple([z.literal("beat"), beatWire, z.boolean()])
        .transform(([kind, beat, mustForward]): Datagram => ({ kind, beat, mustForward })),
    z.tuple([z.literal("members"), z.array(z.string().max(64)).max(maxMemberAddresses)])
        .transform(([kind, addresses]): Datagram => ({ kind, addresses })),
    z.tuple([
        z.literal("upstreams"),
        revision,
        revision,
        z.array(z.object({ name: z.string().max(200), value: z.unknown() })).max(100),
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
        .with({ kind: "beat" }, ({ kind, beat, mustForward }) => [kind, beatToWire(beat), mustForward])
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
 * Reads a datagram.
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
    const parsed = datagramWire.safeParse(value[1]);
    if (!parsed.success) {
        throw new DatagramError("a datagram breaks the schema; run the same release on all instances");
    }
    return parsed.data;
};
