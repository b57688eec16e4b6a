import { id } from "@sniperoad/core";
import type { ZoneId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetComponents } from "../gateway-components.js";
import { pruneState } from "../prune-state.js";
import type { UpstreamConnectionPool } from "../request/upstream-connection-pool.js";
import { LimitMeters } from "../statements/limit-meters.js";
import { UpstreamStatements } from "../statements/upstream-statements.js";
import { WillingUpstreams } from "../statements/willing-upstreams.js";
import { knownUpstream, noColdUpstreams, testConfig, TestFleet, testUpstream, zoneA } from "../testing/index.js";
import type { TestInstance } from "../testing/index.js";
import { UpstreamRegistry } from "./upstream-registry.js";
import { EvacuationRegistry } from "./zone-evacuations.js";

const zoneB = id<ZoneId>("zone-b");
/** Time from the acknowledgement of an evacuation within which it must be in force. */
const boundMs = 5_000;
const fromStore = { source: "store", behindMs: 0, confirmedAgeMs: () => 0 } as const;

const createRegistry = () => {
    const clock = new VirtualClock();
    const events: string[] = [];
    const log = { event: (name: string, fields: object = {}) => void events.push(`${name} ${JSON.stringify(fields)}`) };
    return { clock, events, registry: new EvacuationRegistry({ clock, log, boundMs }) };
};

const itemsOf = (...zones: ZoneId[]) => new Map(zones.map(zone => [zone as string, { zone }]));

// Guards against an evacuation that an older list ends, and against a warm-up that begins with the evacuation.
test("an evacuation lasts until a newer state lacks it, and its end is kept", async () => {
    const { clock, events, registry } = createRegistry();
    assert.is(registry.replace({ revision: 20, items: itemsOf(zoneA) }, fromStore), true);
    assert.is(registry.replace({ revision: 19, items: itemsOf() }, fromStore), false);
    assert.equal([registry.isEvacuated(zoneA), registry.isEvacuated(zoneB)], [true, false]);
    assert.is(registry.endedMs(zoneA), undefined);
    await clock.advance(700);
    registry.apply([{ name: zoneA, value: undefined }], 21, { ...fromStore, source: "peer", behindMs: 30.4 });
    assert.equal([registry.isEvacuated(zoneA), registry.endedMs(zoneA)], [false, clock.monotonicMs()]);
    assert.match(events[0]!, /^evacuation-begin .*zone-a.*"behindMs":0/);
    assert.match(events[1]!, /^evacuation-end .*zone-a.*"revision":21.*peer.*"behindMs":30/);
});

// Guards against fetches of all instances after each change of another collection.
test("the revision of an equal list is adopted from another instance only", () => {
    const { registry } = createRegistry();
    registry.replace({ revision: 20, items: itemsOf(zoneA) }, fromStore);
    assert.is(registry.replace({ revision: 30, items: itemsOf(zoneA) }, fromStore), false);
    assert.is(registry.revision, 20);
    assert.is(registry.replace({ revision: 30, items: itemsOf(zoneA) }, { ...fromStore, source: "peer" }), true);
    assert.is(registry.revision, 30);
});

const createWilling = () => {
    const { clock, registry } = createRegistry();
    const reach = () => ({ live: 1, known: 1 });
    const statements = new UpstreamStatements({
        clock,
        random: () => 0,
        log: { event: () => {} },
        listedOf: () => [],
        share: () => {},
    });
    const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach });
    const willing = new WillingUpstreams({
        clock,
        random: () => 0,
        statements,
        meters,
        cold: noColdUpstreams,
        reach,
        evacuations: registry,
    });
    return { registry, willing };
};

// Guards against an attempt to an evacuated zone, and against callers that are told to return before it ends.
test("upstreams of evacuated zones are no candidates of any attempt", () => {
    const { registry, willing } = createWilling();
    const upstreams = [knownUpstream("u1", { zone: zoneA }), knownUpstream("u2", { zone: zoneB })];
    const names = () => willing.among(upstreams).map(({ listed }) => listed.id);
    assert.equal(names(), ["u1", "u2"]);
    registry.replace({ revision: 20, items: itemsOf(zoneA) }, fromStore);
    assert.equal(names(), ["u2"]);
    assert.is(willing.acceptingInMs(upstreams), 0);
    registry.replace({ revision: 21, items: itemsOf(zoneA, zoneB) }, fromStore);
    assert.equal(names(), []);
    assert.is(willing.acceptingInMs(upstreams), Infinity);
});

// Guards against idle connections to upstreams that are shut down.
test("idle connections to upstreams of an evacuated zone are closed", () => {
    const { clock, registry } = createRegistry();
    const upstreams = new UpstreamRegistry(clock);
    const items = new Map([["u1", testUpstream("u1")], ["u2", testUpstream("u2", { zone: zoneB })]]);
    upstreams.replace({ revision: 10, items }, { isAfterOutage: false, isFromPeer: false });
    registry.replace({ revision: 20, items: itemsOf(zoneA) }, fromStore);
    const retainer = { retain: () => {} };
    const fleet = {
        upstreams,
        evacuations: registry,
        statements: { ...retainer, isLeaving: () => false, renew: () => {} },
        gray: retainer,
        floor: retainer,
        outages: retainer,
        permits: { ...retainer, review: () => {} },
        cold: { ...retainer, review: () => {} },
        meters: { ...retainer, retainPermits: () => {} },
    };
    const kept: boolean[] = [];
    pruneState(fleet as unknown as FleetComponents, {
        retain: (isKept: (upstream: string) => boolean) => kept.push(isKept("u1"), isKept("u2")),
    } as unknown as UpstreamConnectionPool);
    assert.equal(kept, [false, true]);
});

const startFleet = async (zoneEvacuationMs?: number, count = 44): Promise<TestFleet> => {
    const fleet = new TestFleet({ zoneCount: 3, ...zoneEvacuationMs === undefined ? {} : { zoneEvacuationMs } });
    fleet.store.put("config", "main", testConfig({ version: 3 }));
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    fleet.add(count);
    await fleet.clock.advance(4_000);
    return fleet;
};

const evacuated = (
    instances: readonly TestInstance[],
) => [...new Set(instances.map(({ evacuations }) => evacuations?.all().map(({ zone }) => zone).join() ?? "not read"))];

// Guards against an evacuation that some instances never hear of.
test("an evacuation and its end are in force everywhere within a second at 10 % packet loss", async () => {
    const fleet = await startFleet(boundMs);
    fleet.datagrams.lossRate = 0.1;
    fleet.store.put("evacuations", "zone-a", { zone: zoneA });
    await fleet.clock.advance(1_000);
    assert.equal(evacuated(fleet.instances), ["zone-a"]);
    fleet.store.put("evacuations", "zone-a", undefined);
    await fleet.clock.advance(1_000);
    assert.equal(evacuated(fleet.instances), [""]);
    assert.ok(fleet.instances.every(({ evacuations }) => evacuations?.endedMs(zoneA) !== undefined));
});

// Guards against an evacuation that waits for readers which the store no longer answers, or whose processes ended.
test("an evacuation is in force in time although its readers fail", async () => {
    for (let round = 0; round < 6; round++) {
        const fleet = await startFleet(boundMs);
        await fleet.clock.advance(round * 350);
        const readers = fleet.instances.filter(({ state }) => state.isReader);
        if (round % 2 === 0) {
            readers.forEach(({ reach }) => reach.isStoreSilent = true);
            fleet.instances.filter((_instance, index) => index % 3 === 0)
                .forEach(({ reach }) => reach.isStoreSilent = true);
        }
        else {
            fleet.kill(readers);
        }
        fleet.store.put("evacuations", "zone-a", { zone: zoneA });
        await fleet.clock.advance(boundMs - 1_000);
        assert.equal(evacuated(fleet.instances), ["zone-a"], `round ${round}`);
    }
});

// Guards against a zone that is used again because the store cannot be read.
test("an evacuation stays in force while the store is down and in instances that are cut off", async () => {
    const fleet = await startFleet(boundMs);
    fleet.store.put("evacuations", "zone-a", { zone: zoneA });
    await fleet.clock.advance(1_000);
    fleet.store.isDown = true;
    const [isolated] = fleet.instances;
    fleet.datagrams.mayPass = (from, to) => ![from, to].includes(isolated!.self.peerAddress);
    await fleet.clock.advance(10_000);
    assert.equal(evacuated(fleet.instances), ["zone-a"]);
});

// Guards against requests that a new process sends to an evacuated zone before it has read the evacuations.
test("an instance that starts is not complete before it holds the evacuations", async () => {
    const fleet = await startFleet(boundMs);
    fleet.store.put("evacuations", "zone-a", { zone: zoneA });
    await fleet.clock.advance(1_000);
    fleet.kill([...fleet.instances]);
    fleet.add(12, ["10.0.0.44:7000", "10.0.0.45:7000"]);
    for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 10) {
        await fleet.clock.advance(10);
        assert.not(fleet.instances.some(({ state, evacuations }) => state.isComplete && evacuations?.size !== 1));
    }
    assert.ok(fleet.instances.every(({ state }) => state.isComplete));
});

// Guards against two zones with different states while a third one reaches both. Both readers may be in either zone.
test("an evacuation passes between two zones that reach each other through a third one only", async () => {
    const fleet = await startFleet(boundMs, 30);
    const isCut = (left: string, right: string) => left !== right && left !== "zone-2" && right !== "zone-2";
    fleet.datagrams.mayPass = (from, to) => !isCut(fleet.zoneAt(from), fleet.zoneAt(to));
    for (const { self } of fleet.instances) {
        fleet.instances.filter(other => isCut(self.zone, other.self.zone))
            .forEach(other => fleet.network.dropMessages(self.id, other.self.id));
    }
    // Only one of the two zones reaches the store.
    fleet.instances.forEach(({ self, reach }) => reach.store = self.zone === "zone-0");
    await fleet.clock.advance(3_000);
    fleet.store.put("evacuations", "zone-a", { zone: zoneA });
    fleet.store.put("config", "main", testConfig({ version: 9 }));
    fleet.store.put("upstreams", "u1", testUpstream("u1", { state: "leaving" }));
    await fleet.clock.advance(2_000);
    assert.equal(evacuated(fleet.instances), ["zone-a"]);
    assert.equal([...new Set(fleet.instances.map(({ config }) => config.version))], [9]);
    assert.ok(fleet.instances.every(({ upstreams }) => upstreams.all()[0]?.state === "leaving"));
});

// Guards against calls that grow with the fleet, and against any call where zones are not evacuated.
test("two instances read the evacuations, each with a call in two seconds", async () => {
    const calls = async (zoneEvacuationMs?: number): Promise<number> => {
        const fleet = await startFleet(zoneEvacuationMs);
        const before = fleet.store.callCount;
        await fleet.clock.advance(20_000);
        return fleet.store.callCount - before;
    };
    const added = await calls(boundMs) - await calls();
    assert.ok(added >= 16 && added <= 24, `${added} further calls in 20 s`);
});

test.run();
