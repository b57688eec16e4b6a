import { id } from "@sniperoad/core";
import type { InstanceId } from "@sniperoad/core";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { idlePayload, zoneA } from "../testing/index.js";
import { decodeDatagram, direct, encodeDatagram } from "./datagrams.js";
import type { Message } from "./datagrams.js";
import { DatagramError } from "./wire-read.js";

/** Fixed, so that each run of CI has the same verdict. */
const options = { seed: 20_261_204, numRuns: 5_000 };

const info = { id: id<InstanceId>("i1~0"), zone: zoneA, callerAddress: "a:1", peerAddress: "a:2", capacity: 2 };
const collection = { revision: 5, confirmedAgeMs: 10, holders: [1], readers: [{ key: 2, state: "working" as const }] };
const messages: readonly Message[] = [
    {
        kind: "heartbeat",
        purpose: "report",
        isUrgent: true,
        heartbeat: { ...idlePayload, ...info, sequence: 1, inFlight: [{ upstream: id("u1"), count: 2 }] },
    },
    {
        kind: "digest",
        digest: {
            aggregator: info,
            sequence: 3,
            coverageMs: 4_000,
            members: [{ key: 7, acknowledged: 255, ageMs: 0, isReady: true, isLeaving: false }],
            config: collection,
            upstreams: collection,
            usage: [{ key: 1, admitted: 300, offered: 2 }],
        },
    },
    { kind: "identities", infos: [info] },
    { kind: "upstreams", fromRevision: 1, toRevision: 2, changes: [{ name: "u1", value: { a: 1 } }] },
];

const decodesOrFails = (bytes: Uint8Array): void => {
    try {
        decodeDatagram(bytes);
    }
    catch (error) {
        assert.instance(error, DatagramError);
    }
};

// Guards against bytes on the peer port that end the process.
test("random bytes are rejected with a typed error", () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 1_500 }), decodesOrFails), options);
});

// Guards against a damaged datagram whose fields are of an unexpected type.
test("a damaged datagram is rejected with a typed error, or decoded", () => {
    const change = fc.tuple(fc.nat(2_000), fc.nat(255));
    fc.assert(
        fc.property(
            fc.constantFrom(...messages),
            fc.array(change, { minLength: 1, maxLength: 4 }),
            (message, changes) => {
                const bytes = encodeDatagram(direct(message));
                changes.forEach(([index, value]) => bytes[index % bytes.length] = value);
                decodesOrFails(bytes);
            },
        ),
        options,
    );
});

test.run();
