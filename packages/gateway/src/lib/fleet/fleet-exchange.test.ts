import { id } from "@sniperoad/core";
import type { OrganisationId, UpstreamId } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { nameKey } from "../name-key.js";
import { TestFleet } from "../testing/index.js";
import type { TestInstance } from "../testing/index.js";
import { aggregatorCount, rankAggregators } from "./aggregator-selector.js";
import { heartbeatIntervalMs } from "./fleet-exchange.js";

const startFleet = async (count: number): Promise<TestFleet> => {
    const fleet = new TestFleet();
    fleet.add(count);
    await fleet.clock.advance(4_000);
    return fleet;
};

const aggregatorsOf = (fleet: TestFleet, zone: string): readonly TestInstance[] => {
    const members = fleet.instances.filter(({ self }) => self.zone === zone);
    const ranked = rankAggregators(members.map(({ self }) => self)).slice(0, aggregatorCount);
    return ranked.map(self => members.find(member => member.self === self)!);
};

const upstream = id<UpstreamId>("u1");
const organisation = id<OrganisationId>("org-1");

/** Lets each instance report the same requests in each heartbeat. */
const reportOneRequestEach = (fleet: TestFleet): void =>
    fleet.instances.forEach(({ payload }) =>
        payload.next = () => ({
            inFlight: [{ upstream, count: 1 }],
            usage: [{ organisation, admitted: 1, offered: 1 }],
        })
    );

// Guards against heartbeats that each instance sends to all others: with 30 instances, 29 datagrams per heartbeat.
test("an instance that is no aggregator sends its heartbeats to two others", async () => {
    const fleet = await startFleet(30);
    const sent = new Map<string, number>();
    fleet.datagrams.mayPass = from => {
        sent.set(from, (sent.get(from) ?? 0) + 1);
        return true;
    };
    await fleet.clock.advance(4_000);
    // Two datagrams per heartbeat and five identity lists; jitter varies the number of heartbeats by a tenth.
    const maxDatagrams = aggregatorCount * 4_000 / heartbeatIntervalMs * 1.15 + 5;
    // In each of the 3 zones, the 3 instances to which other zones send digests distribute them too.
    const withinLimit = [...sent.values()].filter(count => count <= maxDatagrams);
    assert.ok(
        withinLimit.length >= 30 - 3 * 3,
        `only ${withinLimit.length} of 30 instances send up to ${maxDatagrams} datagrams in 4 s`,
    );
});

// Guards against a zone whose instances are taken for down after both of its aggregators fail.
test("all survivors stay live after the failure of all aggregators", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    fleet.kill([0, 1, 2].flatMap(zone => aggregatorsOf(fleet, `zone-${zone}`)));
    for (let step = 0; step < 40; step++) {
        await fleet.clock.advance(100);
        const fewestLive = Math.min(...fleet.instances.map(({ roster }) => roster.live().length));
        assert.ok(
            fewestLive >= 23,
            `an instance considers ${fewestLive} of 23 survivors live ${step * 100} ms after the failure`,
        );
    }
});

// Guards against callers that are sent to an instance whose leave is not announced, since it has no aggregator left.
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
        const leavingIds = roster.live().filter(({ isLeaving }) => isLeaving).map(({ info }) => info.id);
        assert.equal(leavingIds.sort(), leaving.map(({ self }) => self.id).sort());
    }
});

// Guards against an instance whose heartbeats are lost because it cannot reach the first-ranked aggregators.
test("an instance that cannot reach its aggregators selects others", async () => {
    const fleet = new TestFleet();
    fleet.add(30);
    await fleet.clock.advance(4_000);
    const disconnected = fleet.instances.findLast(instance =>
        !aggregatorsOf(fleet, instance.self.zone).includes(instance)
    )!;
    const aggregators = aggregatorsOf(fleet, disconnected.self.zone).map(({ self }) => self.peerAddress);
    fleet.datagrams.mayPass = (from, to) =>
        !(from === disconnected.self.peerAddress && aggregators.includes(to)
            || to === disconnected.self.peerAddress && aggregators.includes(from));
    await fleet.clock.advance(4_000);
    const receivers = fleet.instances.filter(({ roster }) => roster.isLive(disconnected.self.peerAddress)).length;
    assert.is(receivers, 29);
});

// Guards against instances that are considered down because an aggregator lost some of their heartbeats.
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

// Guards against requests that are counted twice because two aggregators report them, or not at all.
test("each request in flight and each admission of the others is counted once", async () => {
    const fleet = await startFleet(45);
    reportOneRequestEach(fleet);
    await fleet.clock.advance(3_000);
    for (const { exchange } of fleet.instances) {
        assert.is(exchange.view.inFlight(nameKey(upstream)), 44);
        assert.equal(exchange.view.usage(nameKey(organisation)), { admitted: 44, offered: 44 });
    }
});

// Guards against counts that change while aggregators are replaced: the rates would be exceeded or requests refused.
test("the counts stay right while the aggregators of a zone are killed one after the other", async () => {
    const fleet = await startFleet(45);
    reportOneRequestEach(fleet);
    await fleet.clock.advance(6_000);
    for (let round = 0; round < 3; round++) {
        fleet.kill(aggregatorsOf(fleet, "zone-0"));
        for (let step = 0; step < 25; step++) {
            await fleet.clock.advance(100);
            for (const { exchange } of fleet.instances) {
                const { admitted } = exchange.view.usage(nameKey(organisation));
                // Requests of killed instances count until they are out of the window.
                assert.ok(admitted <= 44, `${admitted} of at most 44 after ${step} steps`);
                assert.ok(admitted >= fleet.instances.length - 1 - 3, `${admitted} counted after ${step} steps`);
            }
        }
    }
});

// Guards against a restarted process whose requests before the restart are forgotten.
test("the requests of a replaced process count until they are out of the window", async () => {
    const fleet = await startFleet(12);
    reportOneRequestEach(fleet);
    await fleet.clock.advance(2_000);
    const replaced = fleet.instances.find(instance => !aggregatorsOf(fleet, instance.self.zone).includes(instance))!;
    fleet.replace(replaced);
    await fleet.clock.advance(2_500);
    const observer = fleet.instances.find(({ self }) => self.zone !== replaced.self.zone)!;
    assert.is(observer.exchange.view.usage(nameKey(organisation)).admitted, 11);
    await fleet.clock.advance(7_000);
    assert.is(observer.exchange.view.usage(nameKey(organisation)).admitted, 10);
});

// Guards against counting an outcome twice, or losing it, on its way through two aggregators and their trees.
test("each announced outcome reaches each instance, with one identity, at 1 % packet loss", async () => {
    const fleet = await startFleet(44);
    fleet.datagrams.lossRate = 0.01;
    const origin = fleet.instances.at(-1)!;
    origin.payload.next = () => ({ outcomes: [{ sequence: 1, upstream, kind: "failure" }] });
    origin.exchange.sendHeartbeatSoon();
    await fleet.clock.advance(2_000);
    for (const { received } of fleet.instances) {
        const identities = new Set(received.outcomes.map(({ origin: from, sequence }) => `${from}/${sequence}`));
        assert.is(identities.size, 1);
    }
});

// Guards against successes that are counted by both aggregators of the zone, or by the instance that reported them.
test("each ordinary success is counted once by each other instance", async () => {
    const fleet = await startFleet(44);
    for (const { payload } of fleet.instances) {
        const pending = [[{ upstream, count: 1 }]];
        payload.next = () => ({ successes: pending.pop() ?? [] });
    }
    await fleet.clock.advance(3_000);
    for (const { received } of fleet.instances) {
        assert.is(received.successes.reduce((sum, { count }) => sum + count, 0), 43);
    }
});

// Guards against callers that are sent to an instance that is down.
test("a killed instance is down everywhere within 1.7 s", async () => {
    const fleet = await startFleet(60);
    const killed = fleet.instances.filter((_instance, index) => index % 7 === 0);
    fleet.kill(killed);
    await fleet.clock.advance(1_750);
    for (const { roster } of fleet.instances) {
        assert.is(roster.live().length, fleet.instances.length - 1);
    }
});

// Guards against two halves that never meet again after a partition, also within a zone.
test("two halves of a fleet meet again within 5 s of the end of a partition", async () => {
    const fleet = await startFleet(44);
    const isFirstHalf = (address: string): boolean => Number(address.split(/[.:]/)[3]) < 22;
    fleet.datagrams.mayPass = (from, to) => isFirstHalf(from) === isFirstHalf(to);
    await fleet.clock.advance(8_000);
    assert.ok(fleet.instances.every(({ roster }) => roster.live().length === 21));
    fleet.datagrams.mayPass = () => true;
    await fleet.clock.advance(5_000);
    const counts = fleet.instances.map(({ roster }) => roster.live().length);
    assert.ok(counts.every(count => count === 43), counts.join(" "));
});

// Guards against a zone whose aggregator receives heartbeats but reaches nobody.
test("all instances stay live while an aggregator's datagrams are all lost", async () => {
    const fleet = await startFleet(44);
    const [silent] = aggregatorsOf(fleet, "zone-1");
    fleet.datagrams.mayPass = from => from !== silent!.self.peerAddress;
    for (let step = 0; step < 50; step++) {
        await fleet.clock.advance(100);
        for (const { roster, self } of fleet.instances.filter(instance => instance !== silent)) {
            const live = roster.live().filter(({ info }) => info.id !== silent!.self.id).length;
            assert.is(live, 42, `${self.id} after ${step} steps`);
        }
    }
});

test.run();
