import { id } from "@sniperoad/core";
import type { ZoneId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ListedUpstream } from "../model.js";
import {
    playConfigDay,
    randomRestoreDay,
    reportsService,
    testConfig,
    TestFleet,
    testUpstream,
    zoneA,
} from "../testing/index.js";
import { reconcileRestored, reconcileUnchanged } from "./restored-entries.js";
import { epochOf, maxStoreEpoch, ordinalOf, revisionOf } from "./store-epoch.js";
import { expiredEntryGraceMs, UpstreamRegistry } from "./upstream-registry.js";
import { EvacuationRegistry } from "./zone-evacuations.js";

const fromStore = { isAfterOutage: false, isFromPeer: false };
const fromPeer = { isAfterOutage: false, isFromPeer: true };
const itemsOf = (...upstreams: ListedUpstream[]) =>
    new Map(upstreams.map(upstream => [upstream.id as string, upstream]));
const usableIds = (upstreams: UpstreamRegistry) =>
    upstreams.forService(reportsService).map(({ listed }) => listed.id).sort();

// Guards against states of a restored store that count as older, or as equal, to those from before.
test("ordinals order by epoch and revision, also for the highest ones", () => {
    assert.ok(ordinalOf(1, 0) > ordinalOf(0, 2 ** 32 - 1));
    const highest = ordinalOf(maxStoreEpoch, 2 ** 32 - 1);
    assert.equal([epochOf(highest), revisionOf(highest)], [maxStoreEpoch, 2 ** 32 - 1]);
    assert.ok(Number.isSafeInteger(highest));
    assert.equal([epochOf(77), revisionOf(77)], [0, 77]);
});

const former = (state: "live" | "leaving", liveRevision: number | undefined, isRemoved = false) => ({
    listed: testUpstream("u1", { state, startedMs: 5, entryRevision: 60 }),
    liveRevision,
    isRemoved,
});

// Guards against an upstream that left and is used again because of a copy, and against one that stays unused.
for (
    const [name, entryRevision, startedMs, held, expected] of [
        ["a live one of the copy", 50, 5, former("live", 60), ["live", 5]],
        ["one that left", 50, 5, former("leaving", 50), ["leaving", 5]],
        ["one that left, with unknown history", 50, 5, former("leaving", undefined), ["leaving", 5]],
        ["one that was removed", 60, 5, former("live", 60, true), ["leaving", 5]],
        ["one that was removed and written again", 61, 5, former("live", 60, true), ["live", 5]],
        ["one that left and was written again", 55, 5, former("leaving", 50), ["live", 5]],
        ["a new process", 50, 6, former("leaving", 50), ["live", 6]],
        ["a process that was replaced", 50, 4, former("live", 60), ["live", 5]],
        ["a process that was replaced by one that was removed", 50, 4, former("live", 60, true), ["leaving", 5]],
    ] as const
) {
    test(`after a restore, the entry of ${name} is held as ${expected[0]}`, () => {
        const restored = reconcileRestored(testUpstream("u1", { startedMs, entryRevision }), held);
        assert.equal([restored.state, restored.startedMs, restored.entryRevision], [...expected, entryRevision]);
        // A second list of the same entry changes nothing, a new entry does.
        const listed = testUpstream("u1", { startedMs, entryRevision });
        assert.equal(reconcileUnchanged(listed, restored).state, expected[0]);
        assert.is(reconcileUnchanged({ ...listed, entryRevision: entryRevision + 1 }, restored).state, "live");
    });
}

for (const options of [fromStore, fromPeer]) {
    const source = options.isFromPeer ? "another instance" : "the store";
    // Guards against live upstreams that get no requests, since a copy does not contain them.
    test(`entries that a restored store lacks are kept for a while if the list is from ${source}`, async () => {
        const clock = new VirtualClock();
        const upstreams = new UpstreamRegistry(clock);
        const [first, second] = [testUpstream("u1", { entryRevision: 5 }), testUpstream("u2", { entryRevision: 95 })];
        upstreams.replace({ revision: 100, items: itemsOf(first, second) }, options);
        assert.is(upstreams.replace({ revision: ordinalOf(1, 90), items: itemsOf(first) }, options), true);
        assert.is(upstreams.replace({ revision: 101, items: itemsOf() }, options), false);
        assert.equal(usableIds(upstreams), ["u1", "u2"]);
        await clock.advance(expiredEntryGraceMs);
        assert.equal(usableIds(upstreams), ["u1"]);
        // The copy of a second restore contains the entry, but the process may have ended meanwhile.
        upstreams.replace({ revision: ordinalOf(2, 95), items: itemsOf(first, second) }, options);
        assert.equal(usableIds(upstreams), ["u1"]);
        const change = { name: "u2", value: { ...second, entryRevision: 96 } };
        upstreams.apply({ fromRevision: ordinalOf(2, 95), toRevision: ordinalOf(2, 96), changes: [change] });
        assert.equal(usableIds(upstreams), ["u1", "u2"]);
    });
}

// Guards against other instances that never learn of the epoch, and against upstreams that count as cold once more.
test("an equal list of a higher epoch is adopted, and does not repeat the warm-up", async () => {
    const clock = new VirtualClock();
    const upstreams = new UpstreamRegistry(clock);
    const items = itemsOf(testUpstream("u1", { entryRevision: 5, warmupLeftMs: 3_000 }));
    upstreams.replace({ revision: 100, items }, fromStore);
    const { warmupEndMs } = upstreams.forService(reportsService)[0]!;
    await clock.advance(2_000);
    assert.is(upstreams.replace({ revision: ordinalOf(1, 90), items }, fromStore), true);
    assert.is(upstreams.revision, ordinalOf(1, 90));
    assert.is(upstreams.forService(reportsService)[0]!.warmupEndMs, warmupEndMs);
});

const zoneB = id<ZoneId>("zone-b");
const evacuationsOf = (...zones: ZoneId[]) => new Map(zones.map(zone => [zone as string, { zone }]));

// Guards against requests to an evacuated zone in the time in which the operator writes the evacuation again, for which the
// store must be in reach.
test("an evacuation that a restored store lacks ends after twice its bound, or with its removal", async () => {
    const clock = new VirtualClock();
    const registry = new EvacuationRegistry({ clock, log: { event: () => {} }, boundMs: 5_000 });
    const store = { confirmedAgeMs: 0 };
    const origin = { source: "store", behindMs: 0, confirmedAgeMs: () => store.confirmedAgeMs } as const;
    registry.replace({ revision: 100, items: evacuationsOf(zoneA, zoneB) }, origin);
    registry.replace({ revision: ordinalOf(1, 90), items: evacuationsOf() }, origin);
    await clock.advance(8_000);
    registry.apply([{ name: zoneB, value: undefined }], ordinalOf(1, 91), origin);
    assert.equal([registry.isEvacuated(zoneA), registry.isEvacuated(zoneB)], [true, false]);
    assert.equal(registry.all(), []);
    // A second restore begins the time anew, and so does an outage.
    registry.replace({ revision: ordinalOf(2, 90), items: evacuationsOf() }, origin);
    await clock.advance(9_000);
    store.confirmedAgeMs = 4_000;
    await clock.advance(20_000);
    store.confirmedAgeMs = 0;
    await clock.advance(9_999);
    assert.ok(registry.isEvacuated(zoneA));
    await clock.advance(1);
    assert.not(registry.isEvacuated(zoneA));
    assert.is(registry.endedMs(zoneA), clock.monotonicMs());
});

const startFleet = async (): Promise<TestFleet> => {
    const fleet = new TestFleet({ zoneEvacuationMs: 5_000 });
    fleet.store.put("config", "main", testConfig({ version: 3 }));
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    fleet.add(24);
    await fleet.clock.advance(12_000);
    return fleet;
};

// Guards against records that are lost for good, and against calls of all instances at once.
test("records of instances that a restore has lost are written again, spread over time", async () => {
    const fleet = await startFleet();
    const before = [...fleet.store.objects("instances").keys()].sort();
    assert.ok(before.length >= 5);
    fleet.store.restore(0);
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    assert.is(fleet.store.objects("instances").size, 0);
    const counts: number[] = [];
    for (let step = 0; step < 6; step++) {
        await fleet.clock.advance(1_000);
        counts.push(fleet.store.objects("instances").size);
    }
    assert.equal([...fleet.store.objects("instances").keys()].sort(), before);
    assert.ok(counts[0]! < before.length, `records by second: ${counts.join()}`);
});

// Guards against instances that go on with a former epoch, since they do not reach the store or get its late answers.
test("an instance that gets late answers or none learns of the epoch from the others", async () => {
    const fleet = await startFleet();
    const cut = fleet.instances.filter((_instance, index) => index % 3 === 0);
    cut.forEach(({ reach }) => reach.store = false);
    fleet.store.answerDelayMs = () => fleet.random() < 0.5 ? 1_000 : 0;
    await fleet.clock.advance(300);
    fleet.store.restore(fleet.clock.monotonicMs() - 5_000);
    await fleet.clock.advance(10);
    fleet.store.answerDelayMs = () => 0;
    await fleet.clock.advance(2_500);
    assert.equal([...new Set(fleet.instances.map(({ state }) => state.epoch))], [1]);
    fleet.store.put("upstreams", "u1", testUpstream("u1", { state: "leaving" }));
    await fleet.clock.advance(2_000);
    assert.ok(fleet.instances.every(({ upstreams }) => upstreams.all()[0]?.state === "leaving"));
});

// Guards against lost changes, returning upstreams and lapsed evacuations; npm run restore-days plays 200 seeds.
test("nothing acknowledged is undone on days with restores beside other faults", async () => {
    for (const seed of [1, 2, 3, 4]) {
        const [first] = await playConfigDay(randomRestoreDay(seed));
        assert.is(first, undefined, `seed ${seed}: ${JSON.stringify(first)}`);
    }
});

test.run();
