import { id } from "@sniperoad/core";
import type { InstanceId, UpstreamId } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayInstance } from "../model.js";
import { idlePayload, zoneA } from "../testing/index.js";
import { datagramVersion, decodeDatagram, direct, encodeDatagram } from "./datagrams.js";
import type { Message } from "./datagrams.js";
import { encodeDigest } from "./digest-codec.js";
import { memberAgeStepMs } from "./digest.js";
import type { ZoneDigest, ZoneLoads } from "./digest.js";
import { encodeHeartbeat, omittedEntryCount } from "./heartbeat-codec.js";
import type { Heartbeat } from "./heartbeat.js";

const info: GatewayInstance = {
    id: id<InstanceId>("i1~0"),
    zone: zoneA,
    callerAddress: "10.0.0.1:1",
    peerAddress: "10.0.0.1:2",
    capacity: 2,
};

const heartbeat: Heartbeat = {
    ...idlePayload,
    ...info,
    sequence: 1,
    usage: [{ organisation: id("org-1"), admitted: 3, offered: 4 }],
    hasScarceUsage: true,
    inFlight: [{ upstream: id("u1"), count: 2 }],
    successes: [{ upstream: id("u2"), count: 1 }],
    outcomes: [{ sequence: 7, upstream: id("u1"), kind: "failure" }],
    crashes: [{ sequence: 1, fingerprint: "f", upstream: id("u1") }],
};

const collection = {
    revision: 5,
    confirmedAgeMs: 10,
    holders: [1, 0xFF_FF_FF_FF],
    readers: [{ key: 2, state: "failing" as const }],
};

const digest: ZoneDigest = {
    aggregator: info,
    sequence: 3,
    coverageMs: 4_000,
    members: [{ key: 7, acknowledged: 255, ageMs: 3 * memberAgeStepMs, isReady: true, isLeaving: false }],
    config: collection,
    upstreams: { ...collection, confirmedAgeMs: undefined, holders: [], readers: [] },
    usage: [{ key: 0xFF_FF_FF, admitted: 300, offered: 0 }],
};

const loads: ZoneLoads = {
    aggregatorKey: 0xFF_FF_FF_FF,
    digestSequence: 3,
    sequence: 9,
    acknowledged: Uint8Array.from([255, 0]),
    inFlight: [{ key: 1, count: 2 }, { key: 2, count: 3 }],
    successes: [{ key: 1, count: 20_000 }, { key: 2, count: 4 }],
};

const messages: readonly Message[] = [
    { kind: "heartbeat", purpose: "hello", isUrgent: true, heartbeat },
    { kind: "digest", digest },
    { kind: "digest", digest: { ...digest, usage: undefined } },
    { kind: "digest", digest: { ...digest, evacuations: collection } },
    {
        kind: "heartbeat",
        purpose: "report",
        isUrgent: false,
        heartbeat: { ...heartbeat, evacuations: { revision: 2 ** 33 + 5, confirmedAgeMs: 1, reader: "working" } },
    },
    { kind: "loads", loads },
    {
        kind: "outcomes",
        outcomes: [{ origin: 0xFF_FF_FF_FF, sequence: 9, upstreamKey: 3, kind: "silence" }],
        crashes: [{ origin: 1, sequence: 2, fingerprint: "f", upstreamKey: 3 }],
    },
    { kind: "identities", infos: [info] },
    { kind: "identity-request", sender: "10.0.0.1:2", keys: [1, 2] },
    {
        kind: "statements",
        statements: [
            { key: 0xFF_FF_FF, incarnation: 0xFF_FF_FF_FF, ageMs: 0, limitPerSecond: 4.51, isLeaving: true },
            { key: 1, incarnation: 0, ageMs: 70_000, limitPerSecond: undefined, isLeaving: false },
        ],
    },
    { kind: "upstreams", fromRevision: 1, toRevision: 2, changes: [{ name: "u1", value: { a: 1 } }] },
];

for (const message of messages) {
    test(`a datagram with ${message.kind} is unchanged after encoding and decoding`, () => {
        const decoded = decodeDatagram(encodeDatagram({ message, isForZone: true, forwardTo: ["10.0.0.2:2"] }));
        assert.equal(decoded.message, message);
        assert.equal([decoded.isForZone, decoded.forwardTo], [true, ["10.0.0.2:2"]]);
        // A forwarded datagram is not encoded again.
        assert.equal(decodeDatagram(encodeDatagram({ ...decoded, forwardTo: [] })).message, message);
    });
}

// Guards against larger datagrams where zones are not evacuated.
test("heartbeats and digests have a field for evacuations only where there is a state of them", () => {
    assert.equal([encodeHeartbeat(heartbeat).length, encodeDigest(digest).length], [12, 7]);
});

const encoder = new Encoder({ useRecords: false });
const datagramOf = (message: unknown): Buffer => encoder.encode([datagramVersion, false, [], encoder.encode(message)]);
const digestFields = (replaced: Record<number, unknown>): unknown[] => {
    const encoded = encodeDatagram(direct({ kind: "digest", digest }));
    const [, , , message] = encoder.decode(encoded) as [number, boolean, unknown, Uint8Array];
    const [, fields] = encoder.decode(message) as [string, unknown[]];
    return ["digest", fields.map((field, index) => index in replaced ? replaced[index] : field)];
};

// Guards against a crash through malformed input on the peer port.
for (
    const [name, bytes] of [
        ["no bytes", Buffer.alloc(0)],
        ["plain text", Buffer.from("GET / HTTP/1.1")],
        ["another version", encoder.encode([2, ["members", []]])],
        ["an unknown kind", datagramOf(["else", []])],
        ["no kind", datagramOf([])],
        ["a message that is not a list", datagramOf(7)],
        ["a message that is not encoded", encoder.encode([datagramVersion, false, [], ["digest"]])],
        ["a truncated digest", encodeDatagram(direct({ kind: "digest", digest })).subarray(0, 60)],
        ["a truncated heartbeat", datagramOf(["heartbeat", 0, false, ["zone-a"]])],
        ["an unknown purpose", datagramOf(["heartbeat", 3, false, []])],
        ["a field of the wrong type", datagramOf(["identities", [7]])],
        ["a negative key", datagramOf(["identity-request", "10.0.0.1:2", [-1]])],
        ["members that end within an entry", datagramOf(digestFields({ 3: Buffer.from([1, 2, 3]) }))],
        ["members of the wrong type", datagramOf(digestFields({ 3: [1] }))],
        ["an endless count", datagramOf(digestFields({ 6: Buffer.alloc(40, 0xFF) }))],
        ["loads that end within an entry", datagramOf(["loads", [1, 1, 1, Buffer.from([0]), Buffer.from([0, 0, 1])]])],
        ["an outcome of an unknown kind", datagramOf(["outcomes", Buffer.from([0, 0, 0, 1, 1, 0, 0, 1, 9]), []])],
        ["a statement that ends within an entry", datagramOf(["statements", Buffer.from([0, 0, 1, 0])])],
        ["a forward address of the wrong type", encoder.encode([datagramVersion, false, [7], Buffer.from([0])])],
    ] as const
) {
    test(`decoding a datagram with ${name} fails with an error that names the remedy`, () => {
        assert.throws(() => decodeDatagram(bytes), (error: Error) => /check|run the same release/.test(error.message));
    });
}

// Guards against an instance that is down to the others, as its heartbeats are too large to be sent.
test("a heartbeat with more entries and longer names than usual fits into a datagram", () => {
    const nameOf = (number: number): string => `${number}-${"n".repeat(190)}`;
    const upstreams = Array.from({ length: 1_000 }, (_item, number) => id<UpstreamId>(nameOf(number)));
    const full: Heartbeat = {
        ...heartbeat,
        usage: upstreams.map((name, number) => ({ organisation: id(name), admitted: number, offered: number })),
        inFlight: upstreams.map(upstream => ({ upstream, count: 70_000 })),
        successes: upstreams.map(upstream => ({ upstream, count: 70_000 })),
        outcomes: upstreams.map((upstream, sequence) => ({ sequence, upstream, kind: "failure" })),
        crashes: upstreams.map((upstream, sequence) => ({ sequence, fingerprint: "f".repeat(20), upstream })),
    };
    const bytes = encodeDatagram(
        direct({ kind: "heartbeat", purpose: "report", isUrgent: false, heartbeat: full }),
    );
    assert.ok(bytes.length <= 65_507, `${bytes.length} bytes`);
    const { message } = decodeDatagram(bytes);
    assert.ok(message.kind === "heartbeat" && message.heartbeat.usage.length > 50);
    assert.ok(omittedEntryCount(full) > 0);
    assert.is(omittedEntryCount(heartbeat), 0);
});

test.run();
