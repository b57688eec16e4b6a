/** Wire format of heartbeats. An aggregator decodes hundreds per second, so fields have positions instead of names. */
import type { InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { outcomeKinds, readerStates } from "./heartbeat.js";
import type { CollectionState, Heartbeat, ReaderState, UpstreamCount } from "./heartbeat.js";
import { readBoolean, readCount, readList, readText } from "./wire-read.js";

/** Maximum number of entries per list in a heartbeat; the platform's largest fleets stay far below it. */
const maxListEntries = 400;
/** Maximum size of each of the five lists, so that a heartbeat with long names still fits into a datagram. */
const maxListBytes = 12_000;
/** Size of an entry besides its name: numbers and the CBOR of the entry itself. */
const entryOverheadBytes = 16;
/** Maximum length of the name of an instance, zone, organisation or upstream, in characters. */
const maxNameLength = 200;
/** Maximum length of an address or a fingerprint, in characters. */
const maxAddressLength = 64;
const maxCapacity = 255;

/** Encodes the identity of an instance as a list; {@link decodeInfo} is the inverse. */
export const encodeInfo = (info: GatewayInstance): readonly unknown[] => [
    info.id,
    info.zone,
    info.callerAddress,
    info.peerAddress,
    info.capacity,
];

/** @throws DatagramError if the value does not match the schema */
export const decodeInfo = (value: unknown): GatewayInstance => {
    const [instance, zone, callerAddress, peerAddress, capacity] = readList(value, { length: 5 });
    return {
        id: readText<InstanceId>(instance, maxNameLength),
        zone: readText<ZoneId>(zone, maxNameLength),
        callerAddress: readText(callerAddress, maxAddressLength),
        peerAddress: readText(peerAddress, maxAddressLength),
        capacity: readCount(capacity, maxCapacity),
    };
};

/** Encodes a heartbeat as a list; {@link decodeHeartbeat} is the inverse. */
export const encodeHeartbeat = (heartbeat: Heartbeat): readonly unknown[] => [
    encodeInfo(heartbeat),
    heartbeat.sequence,
    heartbeat.isReady,
    heartbeat.isLeaving,
    encodeCollectionState(heartbeat.config),
    encodeCollectionState(heartbeat.upstreams),
    fitting(heartbeat.usage, ({ organisation }) => organisation).map(
        entry => [entry.organisation, entry.admitted, entry.offered],
    ),
    heartbeat.hasScarceUsage,
    encodeCounts(heartbeat.inFlight),
    encodeCounts(heartbeat.successes),
    fitting(heartbeat.outcomes, ({ upstream }) => upstream).map(({ sequence, upstream, kind }) => [
        sequence,
        upstream,
        outcomeKinds.indexOf(kind),
    ]),
    fitting(heartbeat.crashes, ({ fingerprint, upstream }) => fingerprint + upstream).map(
        entry => [entry.sequence, entry.fingerprint, entry.upstream],
    ),
    ...(heartbeat.evacuations === undefined ? [] : [encodeCollectionState(heartbeat.evacuations)]),
];

/**
 * Decodes a heartbeat.
 *
 * @throws DatagramError if the value does not match the schema
 */
export const decodeHeartbeat = (value: unknown): Heartbeat => {
    const [
        info,
        sequence,
        isReady,
        isLeaving,
        config,
        upstreams,
        usage,
        hasScarceUsage,
        inFlight,
        successes,
        outcomes,
        crashes,
        evacuations,
    ] = readList(value, { maxLength: 13 });
    return {
        ...decodeInfo(info),
        sequence: readCount(sequence),
        isReady: readBoolean(isReady),
        isLeaving: readBoolean(isLeaving),
        config: decodeCollectionState(config),
        upstreams: decodeCollectionState(upstreams),
        usage: decodeEntries(usage, 3, ([organisation, admitted, offered]) => ({
            organisation: readText<OrganisationId>(organisation, maxNameLength),
            admitted: readCount(admitted),
            offered: readCount(offered),
        })),
        hasScarceUsage: readBoolean(hasScarceUsage),
        inFlight: decodeCounts(inFlight),
        successes: decodeCounts(successes),
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
        ...(evacuations === undefined ? {} : { evacuations: decodeCollectionState(evacuations) }),
    };
};

/** The first entries of a list, as many as a heartbeat carries. */
const fitting = <T>(entries: readonly T[], nameOf: (entry: T) => string): readonly T[] => {
    let leftBytes = maxListBytes;
    const end = entries.findIndex((entry, index) => {
        leftBytes -= Buffer.byteLength(nameOf(entry)) + entryOverheadBytes;
        return leftBytes < 0 || index >= maxListEntries;
    });
    return end === -1 ? entries : entries.slice(0, end);
};

/** Number of entries of a heartbeat that exceed its limits and are not sent. */
export const omittedEntryCount = ({ usage, inFlight, successes }: Heartbeat): number =>
    usage.length - fitting(usage, ({ organisation }) => organisation).length
    + [inFlight, successes].reduce(
        (sum, counts) => sum + counts.length - fitting(counts, ({ upstream }) => upstream).length,
        0,
    );

const encodeCounts = (counts: readonly UpstreamCount[]): unknown =>
    fitting(counts, ({ upstream }) => upstream).map(({ upstream, count }) => [upstream, count]);

const decodeCounts = (value: unknown): readonly UpstreamCount[] =>
    decodeEntries(value, 2, ([upstream, count]) => ({
        upstream: readText<UpstreamId>(upstream, maxNameLength),
        count: readCount(count),
    }));

const encodeCollectionState = (state: CollectionState) => [
    state.revision,
    encodeAge(state.confirmedAgeMs),
    readerStates.indexOf(state.reader),
];

/** Encodes an age that may be unknown. */
export const encodeAge = (ageMs: number | undefined): number | null => ageMs === undefined ? null : Math.round(ageMs);

/** @throws DatagramError if the value is neither null nor a count */
export const decodeAge = (value: unknown): number | undefined => value === null ? undefined : readCount(value);

const decodeEntries = <T>(value: unknown, length: number, decode: (entry: readonly unknown[]) => T): readonly T[] =>
    readList(value, { maxLength: maxListEntries }).map(entry => decode(readList(entry, { length })));

/** @throws DatagramError if the value is not the number of a reader state */
export const readReaderState = (value: unknown): ReaderState =>
    readerStates[readCount(value, readerStates.length - 1)]!;

const decodeCollectionState = (value: unknown): CollectionState => {
    const [revision, confirmedAgeMs, reader] = readList(value, { length: 3 });
    return {
        revision: readCount(revision),
        confirmedAgeMs: decodeAge(confirmedAgeMs),
        reader: readReaderState(reader),
    };
};
