import { id } from "@sniperoad/core";
import type { ZoneId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { nameKey } from "../name-key.js";
import { reportsService, TestFleet, testUpstream, zoneA } from "../testing/index.js";
import { ColdUpstreams } from "./cold-upstreams.js";
import type { ColdUpstreamsOptions } from "./cold-upstreams.js";
import { UpstreamOutages } from "./upstream-outages.js";
import type { SharedOutage } from "./upstream-outages.js";
import { WarmupPermits } from "./warmup-permits.js";

const listed = testUpstream("u1");

const startOutages = () => {
    const clock = new VirtualClock();
    const shared: SharedOutage[] = [];
    const listedOf = (key: number) => [listed].filter(({ id: name }) => nameKey(name) === key);
    const outages = new UpstreamOutages({ clock, listedOf, share: sent => shared.push(...sent) });
    return { clock, shared, outages };
};

/** Cold upstreams of an instance that started long ago and has all permits. */
const startCold = async (changed: Partial<ColdUpstreamsOptions> = {}) => {
    const { clock, outages } = startOutages();
    const events: string[] = [];
    const evacuation = { endedMs: undefined as number | undefined };
    const cold = new ColdUpstreams({
        clock,
        log: { event: (name, { reason, heldForMs } = {}) => void events.push([name, reason, heldForMs].join(" ")) },
        ownAddress: "10.0.0.1:7000",
        serviceOf: () => ({ id: reportsService, warmupMs: 5_000, warmupRequestsPerSecond: 4 }),
        outages,
        permits: { shareOf: (_upstream, own) => ({ own, weight: 1 }) },
        zoneEvacuationEndedMs: () => evacuation.endedMs,
        bound: () => ({ overage: 1.5, slack: 2 }),
        ...changed,
    });
    await clock.advance(10_000);
    return { clock, outages, events, evacuation, cold };
};

// Guards against services without a limit that are served differently than before.
test("upstreams of a service without a limit are never cold", async () => {
    const { cold, outages } = await startCold({ serviceOf: () => undefined });
    outages.recordRefused(listed);
    assert.is(cold.of({ listed, warmupEndMs: 20_000 }), undefined);
    assert.is(cold.limitOf(listed), undefined);
});

// Guards against requests at the usual rate in the second in which an upstream turns cold, and against a step after it.
test("an upstream that turns cold is held, then gets permits, then returns within the ramp", async () => {
    const { clock, cold, events } = await startCold();
    assert.is(cold.of({ listed, warmupEndMs: 0 }), undefined);
    const known = { listed, warmupEndMs: 15_000 };
    assert.is(cold.of(known)?.heldUntilMs, 11_900);
    assert.is(cold.of(known)?.permits, 8);
    assert.is(cold.limitOf(listed), 4);
    await clock.advance(5_000);
    assert.ok(cold.of(known) !== undefined || events.length > 1);
    await clock.advance(2_000);
    assert.is(cold.of(known), undefined);
    assert.equal(events, ["upstream-cold warming up 1900", "upstream-warm  "]);
    assert.is(cold.count, 0);
});

// Guards against upstreams that are cold according to nothing but the end of an evacuation, and get the usual rate.
test("the upstreams of a zone are cold from the end of its evacuation, without a hold", async () => {
    const { clock, cold, evacuation } = await startCold();
    assert.is(cold.of({ listed, warmupEndMs: 0 }), undefined);
    evacuation.endedMs = 10_000;
    assert.is(cold.of({ listed, warmupEndMs: 0 })?.heldUntilMs, 10_000);
    await clock.advance(7_100);
    assert.is(cold.of({ listed, warmupEndMs: 0 }), undefined);
});

// Guards against the usual rate between the restart of an upstream and its entry, and against an outage without end.
test("an upstream is cold from its outage until the warm-up time and a margin after its return", async () => {
    const { clock, outages, cold } = await startCold();
    const known = { listed, warmupEndMs: 0 };
    outages.recordRefused(listed);
    await clock.advance(6_000);
    assert.is(cold.of(known)?.warmupEndMs, Infinity);
    outages.recordAnswered(listed, 9_000);
    assert.is(cold.of(known)?.warmupEndMs, Infinity);
    outages.recordAnswered(listed, 15_900);
    assert.is(cold.of(known)?.warmupEndMs, 16_000 + 5_000 + 3_000);
    outages.recordRefused(listed);
    await clock.advance(33_000);
    assert.is(cold.of(known), undefined);
    const restarted = testUpstream("u1", { startedMs: 5 });
    outages.recordRefused(listed);
    assert.is(outages.endMs(restarted), undefined);
});

// Guards against instances that do not know of an outage, and against messages without end.
test("an outage is shared once and repeated, and merged with what others have seen", async () => {
    const { clock, shared, outages } = startOutages();
    await clock.advance(1_000);
    outages.recordRefused(listed);
    outages.recordRefused(listed);
    await clock.advance(1_000);
    assert.equal(shared.map(({ refusedAgeMs }) => refusedAgeMs), [0, 250]);
    const heard = { key: nameKey(listed.id), incarnation: 0, refusedAgeMs: 500, answeredAgeMs: undefined };
    outages.recordShared([heard]);
    outages.recordShared([{ ...heard, refusedAgeMs: 900, answeredAgeMs: 700 }]);
    assert.is(outages.endMs(listed), Infinity);
    outages.recordShared([{ ...heard, answeredAgeMs: 100 }]);
    assert.is(outages.endMs(listed), 1_900);
    outages.recordShared([{ ...heard, incarnation: 1, refusedAgeMs: 0 }]);
    assert.is(outages.endMs(listed), 1_900);
});

// Guards against an outage that only some instances hear of, or hear of late.
test("all instances hear of an outage soon", async () => {
    const fleet = new TestFleet();
    fleet.add(40);
    await fleet.clock.advance(5_000);
    const outage = { key: nameKey(listed.id), incarnation: 3, refusedAgeMs: 7, answeredAgeMs: 0 };
    fleet.instances[0]!.exchange.sendToAll({ kind: "outages", outages: [outage] });
    await fleet.clock.advance(50);
    const others = fleet.instances.slice(1);
    assert.equal(others.map(({ received }) => received.outages[0]), others.map(() => outage));
});

// Guards against a process that takes the whole bound as it does not know the others yet, or was cut off from its start.
test("a process that has just started sends nothing, and one that has heard nobody has one permit", async () => {
    const { cold } = await startCold();
    assert.is(cold.of({ listed, warmupEndMs: 20_000 })?.heldUntilMs, 10_000);
    const clock = new VirtualClock();
    const members: { info: { zone: ZoneId; peerAddress: string; }; isLeaving: boolean; }[] = [];
    const permits = new WarmupPermits({
        self: { zone: zoneA, peerAddress: "a" },
        clock,
        members: () => members,
        upstreamZones: () => [zoneA, id<ZoneId>("zone-b")],
        hasPeers: () => true,
    });
    assert.is(permits.shareOf(listed.id, 12).own, 1);
    members.push({ info: { zone: zoneA, peerAddress: "b" }, isLeaving: false });
    permits.review();
    assert.is(permits.shareOf(listed.id, 12).own, 3);
    // The zone's other instance is cut off, and then forgotten by the roster.
    members.pop();
    await clock.advance(120_000);
    permits.review();
    assert.is(permits.shareOf(listed.id, 12).own, 3);
    members.push({ info: { zone: zoneA, peerAddress: "b" }, isLeaving: true });
    permits.review();
    assert.is(permits.shareOf(listed.id, 12).own, 6);
});

test.run();
