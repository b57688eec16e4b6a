import { test } from "uvu";
import * as assert from "uvu/assert";
import { targetKey } from "./messages.js";
import { TestFleet, testRoutes, testService } from "./test-fleet.js";

const small = { instances: 12, zones: 3, upstreams: 6, slots: 3 };
const route = testRoutes[0]!;

/** Distinct weights of one upstream over all instances. */
const weights = (fleet: TestFleet, index: number): readonly number[] => [
    ...new Set(fleet.healths.map(health => health.weight(fleet.listing[index]!, route))),
];

const timeUntil = async (fleet: TestFleet, durationMs: number, done: () => boolean): Promise<number> => {
    for (let timeMs = 0; timeMs < durationMs; timeMs += 50) {
        if (done()) {
            return timeMs;
        }
        await fleet.clock.advance(50);
    }
    return Infinity;
};

// Guards against ejecting on the evidence of a single zone, whose network may be at fault.
test("failures in one zone alone cause no ejection", async () => {
    const fleet = new TestFleet({ ...small, seed: 21 });
    for (let instance = 0; instance < 12; instance += 3) {
        fleet.lostAnswers.add(`i${instance}>u1`);
    }
    fleet.startLoad(0.5);
    await fleet.clock.advance(30_000);
    assert.is(fleet.ejectedTargets().size, 0);
    const sent = fleet.upstreams[1]!.served;
    const usual = fleet.upstreams[2]!.served;
    // The instances of that zone avoid the upstream on their own evidence; the others use it as before.
    assert.ok(sent < usual && sent > usual / 2, `${sent} of ${usual}`);
});

// Guards against a fleet of one zone in which nothing could ever be ejected.
test("two instances suffice in a fleet of one zone", async () => {
    const fleet = new TestFleet({ ...small, zones: 1, seed: 22 });
    fleet.startLoad(0.5);
    await fleet.clock.advance(5_000);
    fleet.upstreams[4]!.slowFactor = 10;
    const foundMs = await timeUntil(fleet, 5_000, () => weights(fleet, 4).every(weight => weight === 0));
    assert.ok(foundMs <= 2_000, `${foundMs}`);
});

// Guards against an immediate return at full weight, and against flapping at an ejection time that never grows.
test("an upstream returns in steps, and later with each ejection", async () => {
    const fleet = new TestFleet({ ...small, seed: 23, runsProbes: true });
    const target = fleet.upstreams[3]!;
    fleet.startLoad(0.5);
    await fleet.clock.advance(5_000);
    const waits: number[] = [];
    for (let round = 0; round < 3; round++) {
        target.fault = "5xx";
        assert.ok(await timeUntil(fleet, 5_000, () => weights(fleet, 3).includes(0)) < Infinity);
        target.fault = "none";
        const seen = new Set<number>();
        waits.push(
            await timeUntil(fleet, 60_000, () => {
                weights(fleet, 3).forEach(weight => seen.add(weight));
                return weights(fleet, 3).every(weight => weight === 1);
            }),
        );
        assert.equal([...seen].sort((left, right) => left - right), [0, 0.1, 0.3, 1]);
    }
    console.log(`waits until full return: ${waits.join(" ")} ms, probes: ${fleet.probes}`);
    assert.ok(waits[1]! > waits[0]! + 4_000 && waits[2]! > waits[1]! + 8_000, waits.join(" "));
});

// Guards against probes that exceed their share of capacity, and against a return while probes fail.
test("probes stay within their share, and failing probes keep an upstream ejected", async () => {
    const fleet = new TestFleet({ ...small, seed: 24, runsProbes: true });
    const target = fleet.upstreams[0]!;
    fleet.startLoad(0.5);
    await fleet.clock.advance(3_000);
    target.fault = "truncated";
    await fleet.clock.advance(60_000);
    assert.equal(weights(fleet, 0), [0]);
    const share = fleet.probes * 25 / (60_000 * 6 * 3);
    console.log(`probes: ${fleet.probes}, share of capacity: ${(share * 100).toFixed(2)}%`);
    assert.ok(fleet.probes > 5 && share <= 0.02);
});

// Guards against an ejected upstream that returns to service because its coordinator failed.
test("a new coordinator keeps the ejections in use", async () => {
    const fleet = new TestFleet({ ...small, seed: 25 });
    fleet.startLoad(0.5);
    await fleet.clock.advance(5_000);
    fleet.upstreams[2]!.fault = "5xx";
    await fleet.clock.advance(3_000);
    const ejected = [...fleet.ejectedTargets()];
    assert.equal(ejected, [targetKey({ upstream: fleet.listing[2]!.id })]);
    fleet.changeCoordinator();
    const survivors = fleet.healths.filter((_health, index) =>
        !fleet.fleet.excluded.has(fleet.memberships[index]!.self)
    );
    for (let step = 0; step < 40; step++) {
        await fleet.clock.advance(100);
        assert.ok(survivors.every(health => health.ejections(testService).some(({ weight }) => weight === 0)));
    }
});

// Guards against requests to a draining upstream that the instance list still shows as live.
for (const hasCoordinator of [true, false]) {
    test(`a drain announcement spreads ${hasCoordinator ? "with" : "without"} a coordinator`, async () => {
        const fleet = new TestFleet({ ...small, seed: 26 });
        if (!hasCoordinator) {
            // The coordinator has failed, and membership has not detected it yet.
            fleet.network.kill(fleet.coordinator());
        }
        fleet.startLoad(0.5);
        await fleet.clock.advance(3_000);
        fleet.upstreams[1]!.isDraining = true;
        const spreadMs = await timeUntil(fleet, 5_000, () => weights(fleet, 1).every(weight => weight === 0));
        const served = fleet.upstreams[1]!.served;
        await fleet.clock.advance(10_000);
        console.log(
            `drain known at all instances after ${spreadMs} ms${hasCoordinator ? "" : " without a coordinator"}`,
        );
        assert.ok(spreadMs <= 2_000);
        // Only requests that were at the upstream already when the last instance was notified.
        assert.ok(fleet.upstreams[1]!.served - served <= small.slots * 2);
    });
}

test.run();
