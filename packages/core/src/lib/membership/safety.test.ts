import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestFleet } from "./test-fleet.js";
import type { TestFleetOptions, TestInstance } from "./test-fleet.js";

const kinds = [
    "kill",
    "start",
    "leave",
    "leave",
    "slowLeave",
    "pause",
    "resume",
    "cut",
    "cutOneWay",
    "cutGroup",
    "heal",
    "loseRosters",
    "loseRosters",
    "findRosters",
    "platformAway",
    "platformBack",
    "cutPlatform",
    "joinPlatform",
    "loseReply",
    "slowPlatform",
] as const;

interface Fault {
    readonly kind: typeof kinds[number];
    readonly pick: number;
    readonly other: number;
    readonly waitMs: number;
}

const faultOf = fc.record({
    kind: fc.constantFrom(...kinds),
    pick: fc.nat(1_000),
    other: fc.nat(1_000),
    waitMs: fc.oneof(fc.integer({ min: 50, max: 900 }), fc.integer({ min: 1_500, max: 7_000 })),
});

const scheduleOf = fc.record({
    seed: fc.nat(1_000_000),
    seats: fc.integer({ min: 5, max: 7 }),
    faults: fc.array(faultOf, { minLength: 10, maxLength: 40 }),
});

type Schedule = typeof scheduleOf extends fc.Arbitrary<infer Value> ? Value : never;

const lifeFaults = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
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
        case "slowLeave":
            // The leaver pauses right after its stop, before or while it says so.
            return mayLeave ? fleet.pauseInLeave(chosen, other % 8) : undefined;
        case "pause":
            return fleet.pause(chosen);
        case "resume":
            return running.forEach(instance => fleet.resume(instance));
    }
};

const networkFaults = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
    const chosen = running[pick % running.length]!;
    const group = running.filter((_, index) => ((pick >> (index % 10)) & 1) === 1);
    const rest = running.filter(instance => !group.includes(instance));
    switch (kind) {
        case "cut":
        case "cutOneWay":
            return fleet.cut([chosen], [running[other % running.length]!], kind === "cutOneWay");
        case "cutGroup":
            return fleet.cut(group, rest, other % 3 === 0);
        case "heal":
            return fleet.network.heal();
        case "loseRosters":
            return group.forEach(instance => instance.isRosterLost = true);
        case "findRosters":
            return running.forEach(instance => instance.isRosterLost = false);
    }
};

const platformFaults = (fleet: TestFleet, running: readonly TestInstance[], { kind, pick, other }: Fault): void => {
    const { faults } = fleet.platform;
    switch (kind) {
        case "platformAway":
        case "platformBack":
            faults.isUnavailable = kind === "platformAway";
            return;
        case "cutPlatform":
            running[pick % running.length]!.isCutFromPlatform = true;
            return;
        case "joinPlatform":
            return running.forEach(instance => instance.isCutFromPlatform = false);
        case "loseReply":
            faults.lostReplies += 1 + other % 3;
            return;
        case "slowPlatform":
            faults.delayMs = pick % 2 === 0 ? 0 : other * 3;
    }
};

/** Clocks differ by 1% at most, as the leases allow. */
const drift = (index: number): number => (index % 3 - 1) * 0.0049;

const run = async ({ seed, seats, faults }: Schedule, options: TestFleetOptions): Promise<readonly string[]> => {
    const fleet = await TestFleet.ready(seats, { seed, drift, settings: { vacateAfterMs: 100 }, ...options });
    for (const fault of faults) {
        const running = fleet.instances.filter(instance => instance.isRunning);
        lifeFaults(fleet, running, fault);
        networkFaults(fleet, running, fault);
        platformFaults(fleet, running, fault);
        await fleet.run(fault.waitMs);
        if (fleet.faults.length > 0) {
            break;
        }
    }
    return fleet.faults;
};

const check = (options: TestFleetOptions, numRuns: number) =>
    fc.check(
        fc.asyncProperty(scheduleOf, async schedule => {
            assert.equal(await run(schedule, options), []);
        }),
        { seed: 20_261_204, numRuns, endOnFailure: true },
    );

// Guards against two homes of one key, and against rosters that fall, under any mix of faults.
test("random faults: one home for each key, rosters never fall", async () => {
    const result = await check({}, Number(process.env["SNIPEROAD_SAFETY_RUNS"] ?? 40));
    assert.not.ok(result.failed, `${JSON.stringify(result.counterexample)} ${String(result.errorInstance)}`);
});

// Guards against a property that cannot fail: a home that needs no quorum of exclusions must be found.
test("random faults: a takeover without a quorum is found", async () => {
    const result = await check({ exclusionQuorum: () => 1 }, 60);
    assert.ok(result.failed);
});

// Guards against a property in which the word of a leaver is never used.
test("random faults: a leaver that acts after its word is found", async () => {
    const result = await check({ isActingAfterStop: true }, 60);
    assert.ok(result.failed);
});

test.run();
