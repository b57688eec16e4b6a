/** Wire format of heartbeats. An instance decodes hundreds per second, so fields have positions instead of names. */
import type { InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import type { CollectionState, Heartbeat, OutcomeKind, ReportedInFlight } from "./heartbeat.js";
import { DatagramError, readBoolean, readCount, readList, readText } from "./wire-read.js";

/** An encoded heartbeat. Relays forward its bytes unchanged. */
export interface EncodedHeartbeat {
    readonly id: InstanceId;
    readonly sequence: number;
    readonly bytes: Uint8Array;
}

/** Maximum number of entries per list in a heartbeat; the rest is sent later only if it is reported again. */
const maxListEntries = 400;
/** Maximum length of the name of a zone, organisation or upstream, in characters. */
const maxNameLength = 200;
/** Maximum length of an address or a fingerprint, in characters. */
const maxAddressLength = 64;
/** Outcome kinds, indexed by their number on the wire. */
const outcomeKinds: readonly OutcomeKind[] = ["success", "failure", "silence"];

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

const encodeCollectionState = (state: CollectionState) => [
    state.revision,
    state.confirmedAgeMs === undefined ? null : Math.round(state.confirmedAgeMs),
    state.isReading,
    Math.round(state.readAgeMs),
];

/** Encodes a heartbeat; {@link decodeHeartbeat} is the inverse. */
export const encodeHeartbeat = (heartbeat: Heartbeat): EncodedHeartbeat => ({
    id: heartbeat.id,
    sequence: heartbeat.sequence,
    bytes: codec.encode([
        heartbeat.zone,
        heartbeat.callerAddress,
        heartbeat.peerAddress,
        heartbeat.isReady,
        heartbeat.isLeaving,
        encodeCollectionState(heartbeat.config),
        encodeCollectionState(heartbeat.upstreams),
        heartbeat.usage.slice(0, maxListEntries).map(entry => [entry.organisation, entry.admitted, entry.offered]),
        heartbeat.outcomes.slice(0, maxListEntries).map(({ sequence, upstream, kind }) => [
            sequence,
            upstream,
            outcomeKinds.indexOf(kind),
        ]),
        heartbeat.crashes.slice(0, maxListEntries).map(entry => [entry.sequence, entry.fingerprint, entry.upstream]),
        heartbeat.loadSequence,
        encodeInFlight(heartbeat.inFlight),
    ]),
});

/**
 * Decodes a heartbeat.
 *
 * @throws DatagramError if the bytes do not match the schema
 */
export const decodeHeartbeat = ({ id, sequence, bytes }: EncodedHeartbeat): Heartbeat => {
    let value: unknown;
    try {
        value = codec.decode(bytes);
    }
    catch (cause) {
        throw new DatagramError("a heartbeat is not valid CBOR; check that only instances send to this port", {
            cause,
        });
    }
    const [
        zone,
        callerAddress,
        peerAddress,
        isReady,
        isLeaving,
        config,
        upstreams,
        usage,
        outcomes,
        crashes,
        loadSequence,
        inFlight,
    ] = readList(value, { length: 12 });
    return {
        id,
        sequence,
        zone: readText<ZoneId>(zone, maxNameLength),
        callerAddress: readText(callerAddress, maxAddressLength),
        peerAddress: readText(peerAddress, maxAddressLength),
        isReady: readBoolean(isReady),
        isLeaving: readBoolean(isLeaving),
        config: decodeCollectionState(config),
        upstreams: decodeCollectionState(upstreams),
        usage: decodeEntries(usage, 3, ([organisation, admitted, offered]) => ({
            organisation: readText<OrganisationId>(organisation, maxNameLength),
            admitted: readCount(admitted),
            offered: readCount(offered),
        })),
        outcomes: decodeEntries(outcomes, 3, ([outcomeSequence, upstream, kind]) => ({
            sequence: readCount(outcomeSequence),
            upstream: readText<UpstreamId>(upstream, maxNameLength),
            kind: outcomeKinds[readCount(kind, outcomeKinds.length - 1)]!,
        })),
        crashes: decodeEntries(crashes, 3, ([crashSequence, fingerprint, upstream]) => ({
            sequence: readCount(crashSequence),
            fingerprint: readText(fingerprint, maxAddressLength),
            upstream: readText<UpstreamId>(upstream, maxNameLength),
        })),
        loadSequence: readCount(loadSequence),
        inFlight: decodeInFlight(inFlight),
    };
};

/**
 * Decodes in-flight counts by upstream.
 *
 * @throws DatagramError if the value does not match the schema
 */
export const decodeInFlight = (value: unknown): readonly ReportedInFlight[] =>
    decodeEntries(value, 2, ([upstream, count]) => ({
        upstream: readText<UpstreamId>(upstream, maxNameLength),
        count: readCount(count),
    }));

/** Encodes in-flight counts by upstream. */
export const encodeInFlight = (inFlight: readonly ReportedInFlight[]): unknown =>
    inFlight.slice(0, maxListEntries).map(({ upstream, count }) => [upstream, count]);

const decodeEntries = <T>(value: unknown, length: number, decode: (entry: readonly unknown[]) => T): readonly T[] =>
    readList(value, { maxLength: maxListEntries }).map(entry => decode(readList(entry, { length })));

const decodeCollectionState = (value: unknown): CollectionState => {
    const [revision, confirmedAgeMs, isReading, readAgeMs] = readList(value, { length: 4 });
    return {
        revision: readCount(revision),
        confirmedAgeMs: confirmedAgeMs === null ? undefined : readCount(confirmedAgeMs),
        isReading: readBoolean(isReading),
        readAgeMs: readCount(readAgeMs),
    };
};
