import { test } from "uvu";
import * as assert from "uvu/assert";
import { playConfigDay, randomConfigDay, testConfig, TestFleet, testUpstream } from "../testing/index.js";
import type { FaultKind, TestInstance } from "../testing/index.js";

/** Time from the acknowledgement of a change within which it must be in force. */
const applyMs = 2_000;

const startFleet = async (count = 44, zoneCount = 4): Promise<TestFleet> => {
    const fleet = new TestFleet({ zoneCount });
    fleet.store.put("config", "main", testConfig({ version: 3 }));
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    fleet.add(count);
    await fleet.clock.advance(4_000);
    return fleet;
};

const versions = (instances: readonly TestInstance[]) => [...new Set(instances.map(({ config }) => config.version))];

const playDays = async (seeds: readonly number[], kinds?: readonly FaultKind[]) => {
    for (const seed of seeds) {
        const [first] = await playConfigDay(randomConfigDay(seed, kinds));
        assert.is(first, undefined, `seed ${seed}: ${JSON.stringify(first)}`);
    }
};

// Guards against a change that waits for readers which the store no longer answers, while other instances reach it.
test("a change is in force in time although the store answers no reader and few of their successors", async () => {
    for (let round = 0; round < 12; round++) {
        const fleet = await startFleet();
        await fleet.clock.advance(round * 80);
        const cut = fleet.instances.filter(({ state }, index) => state.isReader || index % 3 !== round % 3);
        cut.forEach(({ reach }) => reach.isStoreSilent = true);
        fleet.store.put("config", "main", testConfig({ version: 5 }));
        await fleet.clock.advance(applyMs);
        assert.equal(versions(fleet.instances.filter(instance => !cut.includes(instance))), [5], `round ${round}`);
    }
});

// Guards against a fleet that no longer reads a store which turns most instances away, but not all.
test("a change reaches a fleet of which the store serves one instance in seven", async () => {
    const fleet = await startFleet();
    fleet.instances.forEach(({ reach }, index) => reach.store = index % 7 === 3);
    fleet.store.put("config", "main", testConfig({ version: 6 }));
    await fleet.clock.advance(applyMs + 5_000);
    assert.equal(versions(fleet.instances), [6]);
});

// Guards against fetches that fail one after the other on connections that nothing arrives on.
test("a change is in force in time although connections became silent", () =>
    playDays([300, 303, 307, 316], ["silent-connections"]));

// Guards against a change that is late because the instances that read it lost the store or their processes.
test("a change is in force in time although readers are cut from the store or killed", () =>
    playDays([100, 131], ["cut-from-store", "kill"]));

// Guards against a change that is late beside several faults at once.
test("a change is in force in time on days of mixed faults", () => playDays([1, 2, 8, 10]));

test.run();
