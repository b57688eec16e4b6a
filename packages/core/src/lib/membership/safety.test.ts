import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestFleet } from "./test-fleet.js";
import type { TestFleetOptions, TestInstance } from "./test-fleet.js";

const faultKinds = [
    "kill",
    "start",
    "leave",
    "leave",
    "leaveThenPause",
    "pause",
    "resume",
    "partition",
    "partitionOneWay",
    "partitionGroup",
    "heal",
    "dropRosters",
    "dropRosters",
    "deliverRosters",
    "platformDown",
    "platformUp",
    "partitionPlatform",
    "healPlatform",
    "dropReply",
    "slowPlatform",
] as const;

interface Fault {
    readonly kind: typeof faultKinds[number];
    /** Selects the affected instance or group. */
    readonly pick: number;
    /** Selects the second instance, the direction or the duration, depending on the kind. */
    readonly other: number;
    /** Time until the next fault. */
    readonly waitMs: number;
}

const faultArbitrary = fc.record({
    kind: fc.constantFrom(...faultKinds),
    pick: fc.nat(1_000),
    other: fc.nat(1_000),
    waitMs: fc.oneof(fc.integer({ min: 50, max: 900 }), fc.integer({ min: 1_500, max: 7_000 })),
});

const scheduleArbitrary = fc.record({
    seed: fc.nat(1_000_000),
    seats: fc.integer({ min: 5, max: 7 }),
    faults: fc.array(faultArbitrary, { minLength: 10, maxLength: 40 }),
});

type Schedule = typeof scheduleArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const applyProcessFault = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
    const chosen = running[pick % running.length]!;
    const staying = running.filter(instance => !instance.isLeaving);
    const mayLeave = staying.length > 2 && !chosen.isLeaving;
    switch (kind) {
        case "kill":
            return chosen.isLeaving || staying.length > 2 ? fleet.kill(chosen) : undefined;
        case "start":
            return running.length < 10 ? void fleet.start(`n${fleet.instances.length}`) : undefined;
        case "leave":
            return mayLeave ? fleet.beginLeave(chosen) : undefined;
        case "leaveThenPause":
            // The leaving instance pauses right after it stops, before or while it sends its stop notice.
            return mayLeave ? fleet.pauseInLeave(chosen, other % 8) : undefined;
        case "pause":
            return fleet.pause(chosen);
        case "resume":
            return running.forEach(instance => fleet.resume(instance));
    }
};

const applyNetworkFault = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
    const chosen = running[pick % running.length]!;
    const group = running.filter((_, index) => ((pick >> (index % 10)) & 1) === 1);
    const rest = running.filter(instance => !group.includes(instance));
    switch (kind) {
        case "partition":
        case "partitionOneWay":
            return fleet.partition([chosen], [running[other % running.length]!], kind === "partitionOneWay");
        case "partitionGroup":
            return fleet.partition(group, rest, other % 3 === 0);
        case "heal":
            return fleet.network.heal();
        case "dropRosters":
            return group.forEach(instance => instance.dropsRosters = true);
        case "deliverRosters":
            return running.forEach(instance => instance.dropsRosters = false);
    }
};

const applyPlatformFault = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
    const { faults } = fleet.platform;
    switch (kind) {
        case "platformDown":
        case "platformUp":
            faults.isUnavailable = kind === "platformDown";
            return;
        case "partitionPlatform":
            running[pick % running.length]!.isCutOffFromPlatform = true;
            return;
        case "healPlatform":
            return running.forEach(instance => instance.isCutOffFromPlatform = false);
        case "dropReply":
            faults.lostReplies += 1 + other % 3;
            return;
        case "slowPlatform":
            faults.delayMs = pick % 2 === 0 ? 0 : other * 3;
    }
};

/** Clocks drift apart by at most 1%, the limit that the leases allow. */
const drift = (index: number): number => (index % 3 - 1) * 0.0049;

const run = async ({ seed, seats, faults }: Schedule, options: TestFleetOptions): Promise<readonly string[]> => {
    const fleet = await TestFleet.ready(seats, { seed, drift, settings: { vacateAfterMs: 100 }, ...options });
    for (const fault of faults) {
        const running = fleet.instances.filter(instance => instance.isRunning);
        applyProcessFault(fleet, running, fault);
        applyNetworkFault(fleet, running, fault);
        applyPlatformFault(fleet, running, fault);
        await fleet.run(fault.waitMs);
        if (fleet.violations.length > 0) {
            break;
        }
    }
    return fleet.violations;
};

const check = (options: TestFleetOptions, numRuns: number) =>
    fc.check(
        fc.asyncProperty(scheduleArbitrary, async schedule => {
            assert.equal(await run(schedule, options), []);
        }),
        { seed: 20_261_204, numRuns, endOnFailure: true },
    );

// Guards against two coordinators of one key, and against decreasing roster versions, under any combination of faults.
test("random faults: each key has one coordinator, roster versions never decrease", async () => {
    const result = await check({}, Number(process.env["SNIPEROAD_SAFETY_RUNS"] ?? 40));
    assert.not.ok(result.failed, `${JSON.stringify(result.counterexample)} ${String(result.errorInstance)}`);
});

// Guards against a property that cannot fail: it must detect a coordinator that takes over without a quorum of
// exclusions.
test("random faults: a takeover without a quorum is detected", async () => {
    const result = await check({ exclusionQuorum: () => 1 }, 60);
    assert.ok(result.failed);
});

// Guards against a property in which stop notices have no effect.
test("random faults: an instance that acts after its stop notice is detected", async () => {
    const result = await check({ isActingAfterStop: true }, 60);
    assert.ok(result.failed);
});

test.run();
