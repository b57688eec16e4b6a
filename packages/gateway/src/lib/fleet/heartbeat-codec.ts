/** How a beat is written. An instance reads hundreds of them a second, so the form has positions in place of names. */
import type { InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import type { CollectionState, Heartbeat, OutcomeKind, ReportedInFlight } from "./heartbeat.js";
import { DatagramError, readBoolean, readCount, readList, readText } from "./wire-read.js";

/** A beat in its wire form. Relays pass it on without reading it again. */
export interface EncodedHeartbeat {
    readonly id: InstanceId;
    readonly sequence: number;
    readonly bytes: Uint8Array;
}

/** Most entries of one list in a beat; the rest waits for the next beat. */
const maxListEntries = 400;
/** Longest name of an instance, organisation or upstream, and longest address. */
const maxNameLength = 200;
const maxAddressLength = 64;
/** Kinds of outcomes in the order of their numbers on the wire. */
const outcomeKinds: readonly OutcomeKind[] = ["success", "failure", "silence"];

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

const feedToWire = (feed: CollectionState) => [
    feed.revision,
    feed.confirmedAgeMs === undefined ? null : Math.round(feed.confirmedAgeMs),
    feed.isReading,
    Math.round(feed.readAgeMs),
];

/** The wire form of a beat. */
export const encodeHeartbeat = (beat: Heartbeat): EncodedHeartbeat => ({
    id: beat.id,
    sequence: beat.sequence,
    bytes: codec.encode([
        beat.zone,
        beat.callerAddress,
        beat.peerAddress,
        beat.isReady,
        beat.isLeaving,
        feedToWire(beat.config),
        feedToWire(beat.upstreams),
        beat.usage.slice(0, maxListEntries).map(entry => [entry.organisation, entry.admitted, entry.offered]),
        beat.outcomes.slice(0, maxListEntries).map(({ sequence, upstream, kind }) => [
            sequence,
            upstream,
            outcomeKinds.indexOf(kind),
        ]),
        beat.crashes.slice(0, maxListEntries).map(entry => [entry.sequence, entry.fingerprint, entry.upstream]),
        beat.loadSequence,
        encodeInFlight(beat.inFlight),
    ]),
});

/**
 * Reads a beat.
 *
 * @throws DatagramError when it breaks the schema
 */
export const decodeHeartbeat = ({ id, sequence, bytes }: EncodedHeartbeat): Heartbeat => {
    let value: unknown;
    try {
        value = codec.decode(bytes);
    }
    catch (cause) {
        throw new DatagramError("a beat is not valid CBOR; check that only instances send to this port", { cause });
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
        config: readFeed(config),
        upstreams: readFeed(upstreams),
        usage: readEntries(usage, 3, ([organisation, admitted, offered]) => ({
            organisation: readText<OrganisationId>(organisation, maxNameLength),
            admitted: readCount(admitted),
            offered: readCount(offered),
        })),
        outcomes: readEntries(outcomes, 3, ([outcomeSequence, upstream, kind]) => ({
            sequence: readCount(outcomeSequence),
            upstream: readText<UpstreamId>(upstream, maxNameLength),
            kind: outcomeKinds[readCount(kind, outcomeKinds.length - 1)]!,
        })),
        crashes: readEntries(crashes, 3, ([crashSequence, fingerprint, upstream]) => ({
            sequence: readCount(crashSequence),
            fingerprint: readText(fingerprint, maxAddressLength),
            upstream: readText<UpstreamId>(upstream, maxNameLength),
        })),
        loadSequence: readCount(loadSequence),
        inFlight: decodeInFlight(inFlight),
    };
};

/** @throws DatagramError when the value is no list of counts by upstream. */
export const decodeInFlight = (value: unknown): readonly ReportedInFlight[] =>
    readEntries(value, 2, ([upstream, count]) => ({
        upstream: readText<UpstreamId>(upstream, maxNameLength),
        count: readCount(count),
    }));

/** The wire form of what is in flight. */
export const encodeInFlight = (inFlight: readonly ReportedInFlight[]): unknown =>
    inFlight.slice(0, maxListEntries).map(({ upstream, count }) => [upstream, count]);

const readEntries = <T>(value: unknown, length: number, read: (entry: readonly unknown[]) => T): readonly T[] =>
    readList(value, { maxLength: maxListEntries }).map(entry => read(readList(entry, { length })));

const readFeed = (value: unknown): CollectionState => {
    const [revision, confirmedAgeMs, isReading, readAgeMs] = readList(value, { length: 4 });
    return {
        revision: readCount(revision),
        confirmedAgeMs: confirmedAgeMs === null ? undefined : readCount(confirmedAgeMs),
        isReading: readBoolean(isReading),
        readAgeMs: readCount(readAgeMs),
    };
};
