import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { id, type UpstreamId } from "../types.js";
import { isWithinFloor, selectWithinFloor } from "./capacity-floor.js";
import type { HealthSettings } from "./settings.js";
import { TestFleet, testRoutes } from "./test-fleet.js";

const floorSlots = 9;
const instances = 9;
const stepMs = 1_500;
const graceMs = 550;

const step = fc.record({
    /** Upstreams that fail from now on. */
    bad: fc.uniqueArray(fc.nat(5), { maxLength: 2 }),
    /** Upstream that fails on a single route from now on. */
    failing: fc.option(fc.nat(5)),
    event: fc.constantFrom("none", "none", "swap", "cut", "heal", "leave"),
    group: fc.uniqueArray(fc.nat(instances - 1), { minLength: 4, maxLength: 5 }),
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const applyFaults = (fleet: TestFleet, { bad, failing }: Step): void => {
    fleet.upstreams.forEach((upstream, index) => {
        upstream.fault = bad.includes(index) ? "5xx" : "none";
        upstream.failingRoute = failing === index ? testRoutes[0] : undefined;
    });
};

/** Partitions the group from the rest, and moves the coordinator to the other side. */
const partitionCoordinator = (fleet: TestFleet, group: readonly number[]): void => {
    fleet.network.heal();
    const isInside = (name: string) => group.includes(Number(name.slice(1)));
    const wasInside = isInside(fleet.coordinator());
    for (const from of fleet.memberships) {
        for (const to of fleet.memberships.filter(({ self }) => isInside(self) !== isInside(from.self))) {
            fleet.network.dropMessages(from.self, to.self);
        }
    }
    fleet.changeCoordinator(name => isInside(name) !== wasInside);
};

const applyEvent = (fleet: TestFleet, { event, group }: Step): void => {
    if (event === "swap") {
        partitionCoordinator(fleet, group);
    }
    if (event === "cut") {
        fleet.network.dropMessages(`i${group[0]!}`, fleet.coordinator());
        fleet.network.dropMessages(fleet.coordinator(), `i${group[1]!}`);
    }
    if (event === "heal") {
        fleet.network.heal();
    }
    if (event === "leave") {
        fleet.setState(group[0]! % 6, "leaving");
    }
};

/**
 * The smallest margin of healthy slots above the floor at any time of a run. Where departures alone have taken capacity
 * below the floor, the floor is what is left, and ejections must take nothing more. After an upstream leaves, an
 * instance that cannot reach the coordinator has `graceMs` to stop applying ejections that were within the floor
 * before; only this time is not checked.
 */
const lowestMargin = async (steps: readonly Step[], settings: Partial<HealthSettings>): Promise<number> => {
    const fleet = new TestFleet({ instances, zones: 3, upstreams: 6, slots: 3, seed: 31, floorSlots, settings });
    fleet.startLoad(0.5);
    let lowest = Infinity;
    for (const next of steps) {
        applyFaults(fleet, next);
        applyEvent(fleet, next);
        for (let timeMs = 0; timeMs < stepMs; timeMs += 50) {
            await fleet.clock.advance(50);
            if (next.event === "leave" && timeMs < graceMs) {
                continue;
            }
            const liveSlots = fleet.listing.filter(({ state }) => state === "live").length * 3;
            lowest = Math.min(lowest, fleet.healthySlots() - Math.min(floorSlots, liveSlots));
        }
    }
    fleet.stopLoad();
    return lowest;
};

const check = (settings: Partial<HealthSettings>) =>
    fc.check(
        fc.asyncProperty(fc.array(step, { minLength: 8, maxLength: 14 }), async steps =>
            await lowestMargin(steps, settings) >= 0),
        { seed: 32, numRuns: 40, endOnFailure: true },
    );

// Guards against ejections that together, over all instances and coordinators, take more than the floor allows.
test("the ejections of all instances never reduce capacity below the floor", async () => {
    const result = await check({});
    console.log(`runs: ${result.numRuns}, failed: ${result.failed}`);
    assert.not(result.failed, fc.defaultReportMessage(result) ?? "");
});

// Guards against a property that would hold without the floor, and so would not test it.
test("the property fails without the floor", async () => {
    const result = await check({ isFloorEnforced: false });
    console.log(`without the floor: failed in run ${result.numRuns}`);
    assert.ok(result.failed);
});

// Guards against a property that would hold although a coordinator ignores ended ejections that are still in use
// elsewhere.
test("the property fails if ended ejections do not count while in use", async () => {
    const result = await check({ countsUnexpiredEjections: false });
    console.log(`without ended ejections: failed in run ${result.numRuns}`);
    assert.ok(result.failed);
});

// Guards against a floor that counts ejections from one route apart from those of whole upstreams.
test("ejections from one route and from all routes share the floor", () => {
    const upstreams = ["a", "b", "c"].map(name => id<UpstreamId>(name));
    const [a, b, c] = upstreams as [UpstreamId, UpstreamId, UpstreamId];
    const floor = { healthy: new Set(upstreams), slotsPerUpstream: 2, floorSlots: 4 };
    const route = testRoutes[0];
    assert.ok(isWithinFloor(floor, [{ upstream: a, route }], { upstream: b, route: testRoutes[1] }));
    assert.not(isWithinFloor(floor, [{ upstream: a, route }], { upstream: b }));
    assert.not(isWithinFloor(floor, [{ upstream: a }], { upstream: b, route }));
    assert.equal(selectWithinFloor(floor, [{ upstream: c }, { upstream: b }]), [{ upstream: b }]);
});

test.run();
