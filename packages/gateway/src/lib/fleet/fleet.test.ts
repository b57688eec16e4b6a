import { id } from "@sniperoad/core";
import type { InstanceId, UpstreamId, ZoneId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { Encoder } from "cbor-x";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetLoad } from "../balance/fleet-load.js";
import { idlePayload, MemoryDatagrams, TestFleet, zoneA } from "../testing/index.js";
import { datagramVersion, decodeDatagram, encodeDatagram } from "./datagrams.js";
import type { Datagram } from "./datagrams.js";
import { Directory, maxDirectoryAddresses } from "./directory.js";
import { heartbeatIntervalMs } from "./gossip.js";
import { decodeHeartbeat, encodeHeartbeat } from "./heartbeat-codec.js";
import type { Heartbeat } from "./heartbeat.js";
import { loadBatchMs, LoadReporter } from "./load-reporter.js";
import { rankRelays, relayCount } from "./relay-selector.js";
import { downAfterMs, Roster } from "./roster.js";

const testHeartbeat = (number: number, overrides: Partial<Heartbeat> = {}): Heartbeat => ({
    ...idlePayload,
    id: id<InstanceId>(`i${number}~0`),
    zone: number % 2 === 0 ? zoneA : id<ZoneId>("zone-b"),
    callerAddress: `10.0.0.${number}:1`,
    peerAddress: `10.0.0.${number}:2`,
    sequence: 1,
    ...overrides,
});

const encoder = new Encoder({ useRecords: false });

const heartbeatsDatagram = (heartbeat: Heartbeat): Datagram => ({
    kind: "beats",
    sender: heartbeat.peerAddress,
    scope: "none",
    isUrgent: false,
    beats: [encodeHeartbeat(heartbeat)],
});

test("datagrams and heartbeats are unchanged after encoding and decoding", () => {
    const heartbeat = testHeartbeat(1, {
        usage: [{ organisation: id("org-1"), admitted: 3, offered: 4 }],
        outcomes: [{ sequence: 7, upstream: id("u1"), kind: "failure" }],
        inFlight: [{ upstream: id("u1"), count: 2 }],
        crashes: [{ sequence: 1, fingerprint: "f", upstream: id("u1") }],
    });
    for (
        const datagram of [
            {
                kind: "beats",
                sender: "10.0.0.1:2",
                scope: "fleet",
                isUrgent: true,
                beats: [{ id: heartbeat.id, sequence: 1, bytes: Buffer.from("any") }],
            },
            {
                kind: "loads",
                mustForward: true,
                reports: [{ id: heartbeat.id, sequence: 4, inFlight: [{ upstream: id<UpstreamId>("u1"), count: 2 }] }],
            },
            { kind: "members", addresses: ["10.0.0.1:2"] },
            { kind: "upstreams", fromRevision: 1, toRevision: 2, changes: [{ name: "u1", value: { a: 1 } }] },
        ] as const
    ) {
        assert.equal(decodeDatagram(encodeDatagram(datagram)), datagram);
    }
    assert.equal(decodeHeartbeat(encodeHeartbeat(heartbeat)), heartbeat);
});

for (
    const [name, bytes] of [
        ["invalid CBOR", Buffer.from([0xff, 0xff])],
        ["too few fields", encoder.encode(["zone-a"])],
        [
            "a negative count",
            Buffer.from(encodeHeartbeat(testHeartbeat(1, { inFlight: [{ upstream: id("u1"), count: -1 }] })).bytes),
        ],
    ] as const
) {
    test(`decoding a heartbeat with ${name} fails with an error that names the remedy`, () => {
        const encoded = { id: id<InstanceId>("i1~0"), sequence: 1, bytes };
        assert.throws(
            () => decodeHeartbeat(encoded),
            (error: Error) => /check|run the same release/.test(error.message),
        );
    });
}

// Guards against a crash through malformed input on the peer port.
for (
    const [name, bytes] of [
        ["no bytes", Buffer.alloc(0)],
        ["plain text", Buffer.from("GET / HTTP/1.1")],
        ["another version", encoder.encode([99, ["members", []]])],
        ["an unknown kind", encoder.encode([datagramVersion, ["else", []]])],
        ["truncated heartbeats", encodeDatagram(heartbeatsDatagram(testHeartbeat(1))).subarray(0, 40)],
        ["a field of the wrong type", encoder.encode([datagramVersion, ["members", [7]]])],
        [
            "heartbeats of the wrong type",
            encoder.encode([datagramVersion, ["beats", "10.0.0.1:2", 0, false, [[1, 2, 3]]]]),
        ],
        ["invalid load reports", encoder.encode([datagramVersion, ["loads", true, [["i1", 1, [["u1", -1]]]]]])],
        ["an unknown scope", encoder.encode([datagramVersion, ["beats", "10.0.0.1:2", 3, false, []]])],
    ] as const
) {
    test(`decoding a datagram with ${name} fails with an error that names the remedy`, () => {
        assert.throws(() => decodeDatagram(bytes), (error: Error) => /check|run the same release/.test(error.message));
    });
}

const directoryOf = (options: { readonly isReady?: boolean; } = {}) => {
    const clock = new VirtualClock();
    const roster = new Roster(clock);
    const directory = new Directory({
        self: testHeartbeat(0),
        roster,
        clock,
        random: seededRandom(1),
        isReady: () => options.isReady ?? true,
        keepMs: 1_000,
    });
    return { clock, roster, directory };
};

// Guards against callers that are sent to an instance that is down, leaving or not ready.
test("the directory lists only instances that accept requests", async () => {
    const { clock, roster, directory } = directoryOf();
    roster.record(testHeartbeat(2));
    await clock.advance(downAfterMs + 1);
    [4, 6, 8].forEach(number => roster.record(testHeartbeat(number)));
    roster.record(testHeartbeat(10, { isLeaving: true }));
    roster.record(testHeartbeat(12, { isReady: false }));
    const { addresses } = directory.answer(zoneA);
    assert.equal([...addresses].sort(), ["10.0.0.0:1", "10.0.0.4:1", "10.0.0.6:1", "10.0.0.8:1"]);
});

test("the directory prefers the caller's zone if it has enough instances", () => {
    const { roster, directory } = directoryOf();
    [1, 2, 3, 4, 5, 6].forEach(number => roster.record(testHeartbeat(number)));
    assert.is(directory.answer(zoneA).addresses.length, 4);
    assert.is(directory.answer(id<ZoneId>("zone-b")).addresses.length, 7);
});

// Guards against a partitioned instance that sends all callers to itself.
test("the directory lists all known instances if fewer than half of them are live", async () => {
    const { clock, roster, directory } = directoryOf();
    [2, 4, 6, 8, 10].forEach(number => roster.record(testHeartbeat(number)));
    await clock.advance(downAfterMs + 1);
    roster.record(testHeartbeat(12));
    assert.is(directory.answer(zoneA).addresses.length, 7);
});

test("the directory lists a sample of a large fleet", () => {
    const { roster, directory } = directoryOf({ isReady: false });
    for (let number = 1; number < 200; number++) {
        roster.record(testHeartbeat(number));
    }
    assert.is(directory.answer(undefined).addresses.length, maxDirectoryAddresses);
});

// Guards against traffic between zones that grows with the square of the fleet size.
test("a heartbeat is sent to each other zone once", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const crossing = { count: 0 };
    const zoneOf = (address: string) => Number(address.split(/[.:]/)[3]) % 3;
    fleet.datagrams.mayPass = (from, to) => {
        crossing.count += zoneOf(from) === zoneOf(to) ? 0 : 1;
        return true;
    };
    await fleet.clock.advance(4_000);
    // 30 instances, 10 heartbeats in 4 s, 2 other zones; jitter varies the number of heartbeats by a tenth.
    assert.ok(crossing.count <= 30 * 10 * 2 * 1.15, `${crossing.count} datagrams between zones`);
});

// Guards against heartbeats that each instance sends to all others: with 30 instances, 29 datagrams per heartbeat.
test("an instance that is not a relay sends its heartbeats to two others", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const sent = new Map<string, number>();
    fleet.datagrams.mayPass = from => {
        sent.set(from, (sent.get(from) ?? 0) + 1);
        return true;
    };
    await fleet.clock.advance(4_000);
    // Two datagrams per heartbeat and four member lists; jitter varies the number of heartbeats by a tenth.
    const maxDatagrams = relayCount * 4_000 / heartbeatIntervalMs * 1.15 + 4;
    // In each of the 3 zones, the 3 instances to which other zones send batches are relays too and send more.
    const withinLimit = [...sent.values()].filter(count => count <= maxDatagrams);
    assert.ok(
        withinLimit.length >= 30 - 3 * 3,
        `only ${withinLimit.length} of 30 instances send up to ${maxDatagrams} datagrams in 4 s`,
    );
});

// Guards against a zone that receives no heartbeats after both of its relays fail.
test("all survivors stay live after the failure of all relays", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const relays = [0, 1, 2].flatMap(zone =>
        rankRelays(
            fleet.instances.filter(({ self }) => self.zone === `zone-${zone}`),
            ({ self }) => ({ ...self, isLeaving: false }),
        ).slice(0, relayCount)
    );
    fleet.kill(relays);
    for (let step = 0; step < 40; step++) {
        await fleet.clock.advance(100);
        const fewestLive = Math.min(...fleet.instances.map(({ roster }) => roster.live().length));
        assert.ok(
            fewestLive >= 23,
            `an instance considers ${fewestLive} of 23 survivors live ${step * 100} ms after the failure`,
        );
    }
});

// Guards against callers that are sent to an instance whose leave is not announced, since it has no relay left.
test("the leave of the only instance of a zone reaches the others", async () => {
    const fleet = new TestFleet();
    // Two instances in each of two zones, one in the third.
    fleet.add(5);
    await fleet.clock.advance(4_000);
    const leaving = fleet.instances.filter(({ self }) => self.zone === "zone-2");
    leaving.forEach(instance => instance.leave());
    await fleet.clock.advance(300);
    const staying = fleet.instances.filter(instance => !leaving.includes(instance));
    for (const { roster } of staying) {
        const leavingIds = roster.live().filter(({ heartbeat }) => heartbeat.isLeaving).map(({ heartbeat }) =>
            heartbeat.id
        );
        assert.equal(leavingIds.sort(), leaving.map(({ self }) => self.id).sort());
    }
});

// Guards against an instance whose heartbeats are lost because it cannot reach the first-ranked relays.
test("an instance that cannot reach its relays selects others", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const disconnected = fleet.instances.at(-1)!;
    const relays = rankRelays(
        fleet.instances.filter(({ self }) => self.zone === disconnected.self.zone),
        ({ self }) => ({ ...self, isLeaving: false }),
    ).slice(0, relayCount).map(({ self }) => self.peerAddress);
    fleet.datagrams.mayPass = (from, to) =>
        !(from === disconnected.self.peerAddress && relays.includes(to)
            || to === disconnected.self.peerAddress && relays.includes(from));
    await fleet.clock.advance(4_000);
    const receivers = fleet.instances.filter(({ roster }) => roster.isLive(disconnected.self.peerAddress)).length;
    assert.is(receivers, 29);
});

// Guards against instances that are considered down because a relay lost some of their heartbeats.
test("instances stay live at 10 % packet loss", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    fleet.datagrams.lossRate = 0.1;
    const liveCounts: number[] = [];
    for (let step = 0; step < 50; step++) {
        await fleet.clock.advance(100);
        liveCounts.push(...fleet.instances.map(({ roster }) => roster.live().length));
    }
    const missing = liveCounts.filter(count => count < 29).length / liveCounts.length;
    assert.ok(missing < 0.1, `an instance is missing in ${missing} of the rosters`);
});

// Guards against overloaded upstreams because instances learn of each other's requests too late.
test("load reports reach all instances of a zone after two batching delays and two hops", async () => {
    const clock = new VirtualClock();
    const network = new MemoryDatagrams(clock, seededRandom(1));
    const addresses = ["10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2", "10.0.0.4:2"];
    const loads = addresses.map((address, index) => {
        const datagrams = network.port(address);
        const load: FleetLoad = new FleetLoad(() => reports.scheduleReport());
        const reports = new LoadReporter({
            selfId: id<InstanceId>(`i${index}~0`),
            selfAddress: address,
            clock,
            datagrams,
            load,
            relayAddress: () => addresses[0],
            sameZoneAddresses: () => addresses.filter(other => other !== address),
        });
        datagrams.onReceive(datagram => {
            if (datagram.kind === "loads") {
                reports.receive(datagram.reports, datagram.mustForward);
            }
        });
        return load;
    });
    const upstream = id<UpstreamId>("u1");
    const hopsMs = 2;
    const ends = loads.map(load => load.beginRequest(upstream));
    await clock.advance(2 * loadBatchMs + hopsMs);
    assert.equal(loads.map(load => load.inFlight(upstream)), [4, 4, 4, 4]);
    ends.slice(1).forEach(end => end());
    await clock.advance(2 * loadBatchMs + hopsMs);
    assert.equal(loads.map(load => load.inFlight(upstream)), [1, 1, 1, 1]);
    network.sentCount = 0;
    await clock.advance(1_000);
    assert.is(network.sentCount, 0);
});

test.run();
