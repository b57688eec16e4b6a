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

const beatOf = (number: number, changed: Partial<Heartbeat> = {}): Heartbeat => ({
    ...idlePayload,
    id: id<InstanceId>(`i${number}~0`),
    zone: number % 2 === 0 ? zoneA : id<ZoneId>("zone-b"),
    callerAddress: `10.0.0.${number}:1`,
    peerAddress: `10.0.0.${number}:2`,
    sequence: 1,
    ...changed,
});

const encoder = new Encoder({ useRecords: false });

const beatsOf = (beat: Heartbeat): Datagram => ({
    kind: "beats",
    sender: beat.peerAddress,
    scope: "none",
    isUrgent: false,
    beats: [encodeHeartbeat(beat)],
});

test("a datagram is read as it was written", () => {
    const beat = beatOf(1, {
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
                beats: [{ id: beat.id, sequence: 1, bytes: Buffer.from("any") }],
            },
            {
                kind: "loads",
                mustForward: true,
                reports: [{ id: beat.id, sequence: 4, inFlight: [{ upstream: id<UpstreamId>("u1"), count: 2 }] }],
            },
            { kind: "members", addresses: ["10.0.0.1:2"] },
            { kind: "upstreams", fromRevision: 1, toRevision: 2, changes: [{ name: "u1", value: { a: 1 } }] },
        ] as const
    ) {
        assert.equal(decodeDatagram(encodeDatagram(datagram)), datagram);
    }
    assert.equal(decodeHeartbeat(encodeHeartbeat(beat)), beat);
});

for (
    const [name, bytes] of [
        ["no CBOR", Buffer.from([0xff, 0xff])],
        ["too few fields", encoder.encode(["zone-a"])],
        [
            "a mistyped count",
            Buffer.from(encodeHeartbeat(beatOf(1, { inFlight: [{ upstream: id("u1"), count: -1 }] })).bytes),
        ],
    ] as const
) {
    test(`a beat with ${name} is an error that names the remedy`, () => {
        const encoded = { id: id<InstanceId>("i1~0"), sequence: 1, bytes };
        assert.throws(
            () => decodeHeartbeat(encoded),
            (error: Error) => /check|run the same release/.test(error.message),
        );
    });
}

// Guards against an instance that ends because of what arrives on its port.
for (
    const [name, bytes] of [
        ["no bytes", Buffer.alloc(0)],
        ["text", Buffer.from("GET / HTTP/1.1")],
        ["another version", encoder.encode([99, ["members", []]])],
        ["another kind", encoder.encode([datagramVersion, ["else", []]])],
        ["cut beats", encodeDatagram(beatsOf(beatOf(1))).subarray(0, 40)],
        ["a mistyped field", encoder.encode([datagramVersion, ["members", [7]]])],
        ["mistyped beats", encoder.encode([datagramVersion, ["beats", "10.0.0.1:2", 0, false, [[1, 2, 3]]]])],
        ["mistyped loads", encoder.encode([datagramVersion, ["loads", true, [["i1", 1, [["u1", -1]]]]]])],
        ["an unknown scope", encoder.encode([datagramVersion, ["beats", "10.0.0.1:2", 3, false, []]])],
    ] as const
) {
    test(`a datagram of ${name} is an error that names the remedy`, () => {
        assert.throws(() => decodeDatagram(bytes), (error: Error) => /check|run the same release/.test(error.message));
    });
}

const directoryOf = (options: { readonly isReady?: boolean; } = {}) => {
    const clock = new VirtualClock();
    const roster = new Roster(clock);
    const directory = new Directory({
        self: beatOf(0),
        roster,
        clock,
        random: seededRandom(1),
        isReady: () => options.isReady ?? true,
        keepMs: 1_000,
    });
    return { clock, roster, directory };
};

// Guards against callers that are sent to an instance that is down, leaving or not ready.
test("the directory names only instances that serve", async () => {
    const { clock, roster, directory } = directoryOf();
    roster.note(beatOf(2));
    await clock.advance(downAfterMs + 1);
    [4, 6, 8].forEach(number => roster.note(beatOf(number)));
    roster.note(beatOf(10, { isLeaving: true }));
    roster.note(beatOf(12, { isReady: false }));
    const { addresses } = directory.answer(zoneA);
    assert.equal([...addresses].sort(), ["10.0.0.0:1", "10.0.0.4:1", "10.0.0.6:1", "10.0.0.8:1"]);
});

test("the directory prefers the caller's zone if it has enough instances", () => {
    const { roster, directory } = directoryOf();
    [1, 2, 3, 4, 5, 6].forEach(number => roster.note(beatOf(number)));
    assert.is(directory.answer(zoneA).addresses.length, 4);
    assert.is(directory.answer(id<ZoneId>("zone-b")).addresses.length, 7);
});

// Guards against an instance that is cut off and sends all callers to itself.
test("an instance that hears few of the others still names them", async () => {
    const { clock, roster, directory } = directoryOf();
    [2, 4, 6, 8, 10].forEach(number => roster.note(beatOf(number)));
    await clock.advance(downAfterMs + 1);
    roster.note(beatOf(12));
    assert.is(directory.answer(zoneA).addresses.length, 7);
});

test("a large fleet is named in part", () => {
    const { roster, directory } = directoryOf({ isReady: false });
    for (let number = 1; number < 200; number++) {
        roster.note(beatOf(number));
    }
    assert.is(directory.answer(undefined).addresses.length, maxDirectoryAddresses);
});

// Guards against traffic between zones that grows with the square of the fleet.
test("a beat crosses to each other zone once", async () => {
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
    // 30 instances, 10 beats in 4 s, 2 other zones; jitter makes the number of beats vary by a tenth.
    assert.ok(crossing.count <= 30 * 10 * 2 * 1.15, `${crossing.count} datagrams between zones`);
});

// Guards against datagrams of an instance that grow with the fleet: with 30 instances each would send 29 a beat.
test("an instance that is no relay sends its beats to two others", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const sent = new Map<string, number>();
    fleet.datagrams.mayPass = from => {
        sent.set(from, (sent.get(from) ?? 0) + 1);
        return true;
    };
    await fleet.clock.advance(4_000);
    // Two datagrams for each beat and four of members; jitter makes the number of beats vary by a tenth.
    const most = relayCount * 4_000 / heartbeatIntervalMs * 1.15 + 4;
    const few = [...sent.values()].filter(count => count <= most);
    assert.ok(few.length >= 30 - 3 * 3, `only ${few.length} of 30 instances send up to ${most} datagrams in 4 s`);
});

// Guards against a zone that hears nothing while both of its relays are lost.
test("the loss of all relays leaves no survivor unheard", async () => {
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
        const leastHeard = Math.min(...fleet.instances.map(({ roster }) => roster.live().length));
        assert.ok(leastHeard >= 23, `an instance hears ${leastHeard} of 23 survivors ${step * 100} ms after the loss`);
    }
});

// Guards against callers that are sent to an instance whose leave nobody heard, since it had no relay left.
test("the leave of the only instance of a zone is heard", async () => {
    const fleet = new TestFleet();
    // Two instances in each of two zones, one in the third.
    fleet.add(5);
    await fleet.clock.advance(4_000);
    const leaving = fleet.instances.filter(({ self }) => self.zone === "zone-2");
    leaving.forEach(instance => instance.leave());
    await fleet.clock.advance(300);
    const staying = fleet.instances.filter(instance => !leaving.includes(instance));
    for (const { roster } of staying) {
        const heard = roster.live().filter(({ heartbeat: beat }) => beat.isLeaving).map(({ heartbeat: beat }) =>
            beat.id
        );
        assert.equal(heard.sort(), leaving.map(({ self }) => self.id).sort());
    }
});

// Guards against an instance that is not heard because its datagrams to a relay are lost one way.
test("an instance whose relays cannot be reached from it chooses others", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const cut = fleet.instances.at(-1)!;
    const relays = rankRelays(
        fleet.instances.filter(({ self }) => self.zone === cut.self.zone),
        ({ self }) => ({ ...self, isLeaving: false }),
    ).slice(0, relayCount).map(({ self }) => self.peerAddress);
    fleet.datagrams.mayPass = (from, to) =>
        !(from === cut.self.peerAddress && relays.includes(to) || to === cut.self.peerAddress && relays.includes(from));
    await fleet.clock.advance(4_000);
    const hearing = fleet.instances.filter(({ roster }) => roster.isHeard(cut.self.peerAddress)).length;
    assert.is(hearing, 29);
});

// Guards against instances that count as down because a relay lost some of their beats.
test("a tenth of the datagrams may be lost", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    fleet.datagrams.lossShare = 0.1;
    const heard: number[] = [];
    for (let step = 0; step < 50; step++) {
        await fleet.clock.advance(100);
        heard.push(...fleet.instances.map(({ roster }) => roster.live().length));
    }
    const missing = heard.filter(count => count < 29).length / heard.length;
    assert.ok(missing < 0.1, `${missing} of the views lack an instance`);
});

// Guards against upstreams that are full by the time at which the beats tell of their requests.
test("instances of a zone know each other's requests after two gathers and two hops", async () => {
    const clock = new VirtualClock();
    const network = new MemoryDatagrams(clock, seededRandom(1));
    const addresses = ["10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2", "10.0.0.4:2"];
    const loads = addresses.map((address, index) => {
        const datagrams = network.port(address);
        const load: FleetLoad = new FleetLoad(() => reports.noteChange());
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
