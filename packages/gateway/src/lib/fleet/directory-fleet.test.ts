import { test } from "uvu";
import * as assert from "uvu/assert";
import { testConfig, TestFleet, testUpstream } from "../testing/index.js";
import type { TestInstance } from "../testing/index.js";
import { Directory } from "./directory.js";

/** Time after which an instance that ended must not be named. */
const boundMs = 6_000;

const startFleet = async (): Promise<TestFleet> => {
    const fleet = new TestFleet();
    fleet.store.put("config", "main", testConfig());
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    fleet.add(30);
    await fleet.clock.advance(4_000);
    return fleet;
};

const namedBy = ({ clock, random }: TestFleet, { self, roster }: TestInstance): ReadonlySet<string> => {
    const directory = new Directory({ self, roster, clock, random, isReady: () => true, keepMs: 1_000 });
    return new Set(directory.answer(undefined).addresses);
};

// Guards against callers that are sent to instances that ended, also while most others ended or are unreachable.
for (
    const [name, isEnding, isCutOff] of [
        ["one instance ends", (index: number) => index === 7, () => false],
        ["all but three instances end", (index: number) => index % 10 !== 0, () => false],
        ["a zone ends", (index: number) => index % 3 === 1, () => false],
        ["instances end beyond a partition", (index: number) => index % 5 === 2, (index: number) => index % 5 === 1],
    ] as const
) {
    test(`no instance that ended is named after 6 seconds when ${name}`, async () => {
        const fleet = await startFleet();
        const ending = fleet.instances.filter((_instance, index) => isEnding(index));
        const cutOff = new Set(
            fleet.instances.filter((_instance, index) => isCutOff(index)).map(({ self }) => self.peerAddress),
        );
        fleet.datagrams.lossRate = 0.1;
        fleet.datagrams.mayPass = (from, to) => cutOff.has(from) === cutOff.has(to);
        fleet.kill(ending);
        await fleet.clock.advance(boundMs);
        for (let step = 0; step < 20; step++) {
            for (const instance of fleet.instances) {
                const named = namedBy(fleet, instance);
                assert.equal(ending.filter(({ self }) => named.has(self.callerAddress)), []);
            }
            await fleet.clock.advance(500);
        }
    });
}

// Guards against a zone that is named by nobody, since another zone does not reach it.
test("instances name the zones that they reach while two zones cannot reach each other", async () => {
    const fleet = await startFleet();
    const isCut = (left: string, right: string) => left !== right && left !== "zone-2" && right !== "zone-2";
    fleet.datagrams.mayPass = (from, to) => !isCut(fleet.zoneAt(from), fleet.zoneAt(to));
    await fleet.clock.advance(boundMs + 2_000);
    for (const instance of fleet.instances) {
        const named = namedBy(fleet, instance);
        const reached = fleet.instances.filter(({ self }) => !isCut(self.zone, instance.self.zone));
        assert.equal(reached.filter(({ self }) => !named.has(self.callerAddress)), []);
    }
});

test.run();
