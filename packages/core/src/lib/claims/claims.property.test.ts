import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Seat } from "../membership.js";
import type { IdempotencyKey } from "../types.js";
import { ClaimsSimulation, type SimulationOptions } from "./testing/claims-simulation.js";
import { StickyClaimGate } from "./testing/sticky-claim-gate.js";

const seed = 20_260_101;
/** Set CLAIM_RUNS for a longer search; the default keeps the test within seconds. */
const runsPerProperty = Number(process.env["CLAIM_RUNS"] ?? 20);
const warmUpMs = 15_000;
const loadMs = 40_000;
const seats = 5;

interface Fault {
    readonly kind: "kill" | "replace" | "replace-two" | "pause" | "cut" | "isolate" | "lag" | "leave";
    readonly atMs: number;
    readonly seat: number;
    readonly other: number;
    readonly durationMs: number;
    /** Zone of a new holder: 3 keeps the zone. */
    readonly zone: number;
}

const faults = fc.array(
    fc.record<Fault>({
        kind: fc.constantFrom("kill", "replace", "replace-two", "pause", "cut", "isolate", "lag", "leave"),
        atMs: fc.integer({ min: 0, max: loadMs }),
        seat: fc.nat(seats - 1),
        other: fc.nat(seats - 1),
        durationMs: fc.integer({ min: 100, max: 12_000 }),
        zone: fc.nat(3),
    }),
    { minLength: 3, maxLength: 14 },
);

/** Replaces a holder that is dead, or alive and without the roster in which it has no seat. */
const replaceHolder = async (simulation: ClaimsSimulation, fault: Fault, seat: Seat, name: string): Promise<void> => {
    if (seat.holder === undefined) {
        return;
    }
    if (fault.durationMs % 2 === 0) {
        simulation.kill(seat.holder);
    }
    else {
        simulation.at(seat.holder).isIsolated = true;
    }
    await simulation.sleep(2_100);
    return simulation.replace(seat.id, name, fault.zone < 3 ? `z${fault.zone}` : undefined);
};

/** Applies a fault to whatever instance holds the seat at that time. */
const applyFault = async (simulation: ClaimsSimulation, fault: Fault, index: number): Promise<void> => {
    await simulation.sleep(fault.atMs);
    const seat = simulation.roster.seats[fault.seat]!;
    const holder = seat.holder;
    const other = simulation.roster.seats[fault.other]!.holder;
    if (holder === undefined || other === undefined) {
        return;
    }
    const successor = `n${index}`;
    switch (fault.kind) {
        case "kill":
            return simulation.kill(holder);
        case "replace":
            return replaceHolder(simulation, fault, seat, successor);
        case "replace-two":
            await Promise.all([
                replaceHolder(simulation, fault, seat, successor),
                replaceHolder(simulation, fault, simulation.roster.seats[(fault.seat + 1) % seats]!, `${successor}b`),
            ]);
            return;
        case "pause":
            simulation.pause(holder);
            await simulation.sleep(fault.durationMs);
            return simulation.resume(holder);
        case "cut":
            simulation.network.dropMessages(holder, other);
            await simulation.sleep(fault.durationMs);
            return simulation.network.heal();
        case "isolate":
            simulation.at(holder).isIsolated = true;
            await simulation.sleep(fault.durationMs);
            simulation.at(holder).isIsolated = false;
            return;
        case "lag":
            simulation.at(holder).lagMs = fault.durationMs % 2_900;
            return;
        case "leave":
            simulation.start(successor);
            await simulation.at(holder).claims?.handOver(fault.zone > 0 ? simulation.at(successor).name : undefined);
            if (simulation.seatOf(holder) !== undefined) {
                const zone = fault.zone > 1 ? seat.zone : simulation.roster.seats[fault.other]!.zone;
                simulation.changeSeat(seat.id, { holder: simulation.at(successor).name, epoch: seat.epoch + 1, zone });
            }
    }
};

/** A caller that retries its request through random instances, even after a response. */
const runCaller = async (simulation: ClaimsSimulation, isDoubled: boolean): Promise<void> => {
    // Callers' clocks are up to 4 s ahead or 20 s behind, around the key time from which new holders are complete.
    const key = simulation.key(simulation.random() * 24_000 - 20_000);
    const any = () => [...simulation.instances.keys()][Math.floor(simulation.random() * simulation.instances.size)]!;
    const send = (isFirst: boolean) => simulation.attempt(any(), key, isFirst, simulation.random() * 100);
    if (isDoubled) {
        void send(false);
    }
    for (let attempt = 0; attempt < 5; attempt++) {
        await Promise.race([send(attempt === 0 && !isDoubled), simulation.sleep(1_000)]);
        await simulation.sleep(simulation.random() * 8_000);
    }
};

interface RunCounts {
    doubleRuns: number;
    falseNotRuns: number;
    keys: number;
    attempts: number;
    ran: number;
}

const simulate = async (
    faultSchedule: readonly Fault[],
    randomSeed: number,
    options: Partial<SimulationOptions>,
): Promise<RunCounts> => {
    const simulation = new ClaimsSimulation({
        seats,
        zones: 3,
        seed: randomSeed,
        clockDifferenceMs: 1_000,
        // One message in 30 takes up to 6 s, so that records arrive after releases and after seat changes.
        delayMs: random => random() < 1 / 30 ? random() * 6_000 : 0.5 + random(),
        ...options,
    });
    await simulation.clock.advance(warmUpMs);
    faultSchedule.forEach((fault, index) => void applyFault(simulation, fault, index).catch(() => {}));
    for (let atMs = 0; atMs < loadMs; atMs += 1_000) {
        void simulation.sleep(atMs).then(() => runCaller(simulation, atMs % 3_000 === 0));
    }
    await simulation.clock.advance(loadMs + 30_000);
    return {
        doubleRuns: simulation.doubleRuns(),
        falseNotRuns: simulation.falseNotRuns(),
        keys: new Set(simulation.attempts.map(entry => entry.key as IdempotencyKey)).size,
        attempts: simulation.attempts.length,
        ran: simulation.runs.size,
    };
};

const emptyCounts = (): RunCounts => ({ doubleRuns: 0, falseNotRuns: 0, keys: 0, attempts: 0, ran: 0 });

const add = (sum: RunCounts, counts: RunCounts): void =>
    (Object.keys(sum) as (keyof RunCounts)[]).forEach(name => {
        sum[name] += counts[name];
    });

/** Fault schedules and seeds of the property, replayed with other gates. */
const schedules: (readonly [readonly Fault[], number])[] = [];

const totalCounts = async (options: Partial<SimulationOptions>): Promise<RunCounts> => {
    const sum = emptyCounts();
    for (const [faultSchedule, randomSeed] of schedules) {
        add(sum, await simulate(faultSchedule, randomSeed, options));
    }
    return sum;
};

const print = (name: string, counts: RunCounts) =>
    console.log(`${name}: ${Object.entries(counts).map(([field, value]) => `${field}=${value}`).join(" ")}`);

// Guards against a second run, and against a false "not run", under random faults.
test("each key runs at most once", async () => {
    const sum = emptyCounts();
    await fc.assert(
        fc.asyncProperty(faults, fc.nat(), async (faultSchedule, randomSeed) => {
            schedules.push([faultSchedule, randomSeed]);
            const counts = await simulate(faultSchedule, randomSeed, {});
            add(sum, counts);
            assert.is(counts.doubleRuns, 0);
            assert.is(counts.falseNotRuns, 0);
        }),
        { seed, numRuns: runsPerProperty, endOnFailure: true },
    );
    print("three holders", sum);
    // Many first attempts with keys from before a change of holder are correctly not run.
    assert.ok(sum.ran > sum.keys / 2, "too few keys ran for the property to be meaningful");
});

// Guards against a property that passes without the mechanism.
test("the property fails with the mechanism off", async () => {
    const variants: readonly (readonly [string, Partial<SimulationOptions>])[] = [
        ["one record of three is enough", { claims: { neededRecords: () => 1 } }],
        ["records count as complete for every key", { claims: { assumesCompleteRecords: true } }],
        ["baseline: key bound to one instance", { baseline: context => new StickyClaimGate(context) }],
    ];
    for (const [name, options] of variants) {
        const counts = await totalCounts(options);
        print(name, counts);
        assert.ok(counts.doubleRuns > 0, name);
    }
});

test.run();
