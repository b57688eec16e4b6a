/** Wire format of digests and of the outcomes and crashes that aggregators distribute. */
import { maxMemberAgeMs, memberAgeStepMs } from "./digest.js";
import type {
    DigestCollection,
    DigestCount,
    DigestMember,
    DigestUsage,
    DistributedCrash,
    DistributedOutcome,
    ZoneDigest,
    ZoneLoads,
} from "./digest.js";
import { decodeAge, decodeInfo, encodeAge, encodeInfo, readReaderState } from "./heartbeat-codec.js";
import { outcomeKinds, readerStates } from "./heartbeat.js";
import { PackedReader, PackedWriter } from "./packed.js";
import { DatagramError, readBytes, readCount, readList, readText } from "./wire-read.js";

/** Maximum length of a fingerprint, in characters. */
const maxFingerprintLength = 64;
/** Maximum number of crashes in a datagram. */
const maxCrashes = 100;
const maxKey = 0xFF_FF_FF_FF;

/** Encodes a digest as a list; {@link decodeDigest} is the inverse. */
export const encodeDigest = (digest: ZoneDigest): readonly unknown[] => [
    encodeInfo(digest.aggregator),
    digest.sequence,
    Math.round(digest.coverageMs),
    pack(digest.members, (writer, member) => {
        const age = Math.floor(Math.min(member.ageMs, maxMemberAgeMs) / memberAgeStepMs);
        const flags = (member.isReady ? 1 : 0) | (member.isLeaving ? 2 : 0);
        writer.uint(member.key, 4).uint(member.acknowledged, 1).uint(age << 2 | flags, 1);
    }),
    encodeCollection(digest.config),
    encodeCollection(digest.upstreams),
    digest.usage === undefined ? null : pack(digest.usage, writeUsage),
    ...(digest.evacuations === undefined ? [] : [encodeCollection(digest.evacuations)]),
];

/**
 * Decodes a digest.
 *
 * @throws DatagramError if the value does not match the schema
 */
export const decodeDigest = (value: unknown): ZoneDigest => {
    const [aggregator, sequence, coverageMs, members, config, upstreams, usage, evacuations] = readList(value, {
        maxLength: 8,
    });
    return {
        aggregator: decodeInfo(aggregator),
        sequence: readCount(sequence),
        coverageMs: readCount(coverageMs),
        members: unpack(members, (reader): DigestMember => {
            const [key, acknowledged, state] = [reader.uint(4), reader.uint(1), reader.uint(1)];
            return {
                key,
                acknowledged,
                ageMs: (state >> 2) * memberAgeStepMs,
                isReady: (state & 1) !== 0,
                isLeaving: (state & 2) !== 0,
            };
        }),
        config: decodeCollection(config),
        upstreams: decodeCollection(upstreams),
        usage: usage === null ? undefined : unpack(usage, readUsage),
        ...(evacuations === undefined ? {} : { evacuations: decodeCollection(evacuations) }),
    };
};

/** Encodes the requests at the upstreams as a list; {@link decodeLoads} is the inverse. */
export const encodeLoads = (loads: ZoneLoads): readonly unknown[] => [
    loads.aggregatorKey,
    loads.digestSequence,
    loads.sequence,
    loads.acknowledged,
    pack(upstreamCountsOf(loads), writeUpstreamCounts),
];

/**
 * Decodes the requests at the upstreams.
 *
 * @throws DatagramError if the value does not match the schema
 */
export const decodeLoads = (value: unknown): ZoneLoads => {
    const [aggregatorKey, digestSequence, sequence, acknowledged, upstreamCounts] = readList(value, { length: 5 });
    const counts = unpack(upstreamCounts, readUpstreamCounts);
    return {
        aggregatorKey: readCount(aggregatorKey, maxKey),
        digestSequence: readCount(digestSequence),
        sequence: readCount(sequence),
        acknowledged: readBytes(acknowledged),
        inFlight: counts.filter(({ inFlight }) => inFlight > 0).map(({ key, inFlight }) => ({ key, count: inFlight })),
        successes: counts.filter(({ successes }) => successes > 0).map(({ key, successes }) => ({
            key,
            count: successes,
        })),
    };
};

/** Demand is usually 0, so a bit of the first number states whether a second one follows. */
const writeUsage = (writer: PackedWriter, { key, admitted, offered }: DigestUsage): void => {
    writer.uint(key, 3).varint(admitted * 2 + (offered > 0 ? 1 : 0));
    if (offered > 0) {
        writer.varint(offered);
    }
};

const readUsage = (reader: PackedReader): DigestUsage => {
    const [key, first] = [reader.uint(3), reader.varint()];
    return { key, admitted: Math.floor(first / 2), offered: first % 2 === 1 ? reader.varint() : 0 };
};

interface UpstreamCounts {
    readonly key: number;
    readonly inFlight: number;
    readonly successes: number;
}

/** Both counts are usually small and then share a byte; the largest value of the byte states that they follow. */
const writeUpstreamCounts = (writer: PackedWriter, { key, inFlight, successes }: UpstreamCounts): void => {
    writer.uint(key, 3);
    if (inFlight < 0xF && successes < 0xF) {
        writer.uint(inFlight << 4 | successes, 1);
    }
    else {
        writer.uint(0xFF, 1).varint(inFlight).varint(successes);
    }
};

const readUpstreamCounts = (reader: PackedReader): UpstreamCounts => {
    const [key, counts] = [reader.uint(3), reader.uint(1)];
    return counts === 0xFF
        ? { key, inFlight: reader.varint(), successes: reader.varint() }
        : { key, inFlight: counts >> 4, successes: counts & 0xF };
};

/** Both counts of each upstream, so that its key is sent once. */
const upstreamCountsOf = ({ inFlight, successes }: ZoneLoads): readonly UpstreamCounts[] => {
    const [running, succeeded] = [countsByKey(inFlight), countsByKey(successes)];
    return [...new Set([...running.keys(), ...succeeded.keys()])].map(key => ({
        key,
        inFlight: running.get(key) ?? 0,
        successes: succeeded.get(key) ?? 0,
    }));
};

const countsByKey = (counts: readonly DigestCount[]): ReadonlyMap<number, number> =>
    new Map(counts.map(({ key, count }) => [key, count]));

/** Encodes outcomes as bytes; {@link decodeOutcomes} is the inverse. */
export const encodeOutcomes = (outcomes: readonly DistributedOutcome[]): Uint8Array =>
    pack(
        outcomes,
        (writer, { origin, sequence, upstreamKey, kind }) =>
            writer.uint(origin, 4).varint(sequence).uint(upstreamKey, 3).uint(outcomeKinds.indexOf(kind), 1),
    );

/** @throws DatagramError if the value does not match the schema */
export const decodeOutcomes = (value: unknown): readonly DistributedOutcome[] =>
    unpack(value, reader => {
        const [origin, sequence, upstreamKey] = [reader.uint(4), reader.varint(), reader.uint(3)];
        const kind = outcomeKinds[reader.uint(1)];
        if (kind === undefined) {
            throw new DatagramError("an outcome is of an unknown kind; run the same release on all instances");
        }
        return { origin, sequence, upstreamKey, kind };
    });

/** Encodes crashes as lists; {@link decodeCrashes} is the inverse. */
export const encodeCrashes = (crashes: readonly DistributedCrash[]): readonly unknown[] =>
    crashes.map(({ origin, sequence, fingerprint, upstreamKey }) => [origin, sequence, fingerprint, upstreamKey]);

/** @throws DatagramError if the value does not match the schema */
export const decodeCrashes = (value: unknown): readonly DistributedCrash[] =>
    readList(value, { maxLength: maxCrashes }).map(entry => {
        const [origin, sequence, fingerprint, upstreamKey] = readList(entry, { length: 4 });
        return {
            origin: readCount(origin),
            sequence: readCount(sequence),
            fingerprint: readText(fingerprint, maxFingerprintLength),
            upstreamKey: readCount(upstreamKey),
        };
    });

const pack = <T>(entries: readonly T[], write: (writer: PackedWriter, entry: T) => void): Uint8Array => {
    const writer = new PackedWriter();
    entries.forEach(entry => write(writer, entry));
    return writer.bytes();
};

const unpack = <T>(value: unknown, readEntry: (reader: PackedReader) => T): readonly T[] =>
    new PackedReader(readBytes(value)).all(readEntry);

const encodeCollection = (collection: DigestCollection): readonly unknown[] => [
    collection.revision,
    encodeAge(collection.confirmedAgeMs),
    pack(collection.holders, (writer, key) => writer.uint(key, 4)),
    pack(collection.readers, (writer, { key, state }) => writer.uint(key, 4).uint(readerStates.indexOf(state), 1)),
];

const decodeCollection = (value: unknown): DigestCollection => {
    const [revision, confirmedAgeMs, holders, readers] = readList(value, { length: 4 });
    return {
        revision: readCount(revision),
        confirmedAgeMs: decodeAge(confirmedAgeMs),
        holders: unpack(holders, reader => reader.uint(4)),
        readers: unpack(readers, reader => ({ key: reader.uint(4), state: readReaderState(reader.uint(1)) })),
    };
};
