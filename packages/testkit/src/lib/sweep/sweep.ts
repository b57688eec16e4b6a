/** Runs random fault schedules against whole cores and checks what must always hold. */
import { seededRandom } from "@sniperoad/core/testing";
import { abrazoDeployment } from "../scenarios/deployments.js";
import type { Deployment, FleetSimulation } from "../scenarios/fleet-simulation.js";
import { answeredPercent, doubleRuns, falseNotRuns, leakedKeys, runsOverRate } from "../scenarios/measurements.js";
import { runScenario } from "../scenarios/run-scenario.js";
import { isWithinBound, unbounded } from "../scenarios/scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "../scenarios/scenario-dsl.js";
import { at, atMost } from "../scenarios/scenario-dsl.js";
import { randomSchedule } from "./fault-schedule.js";

/** What one seed showed. */
export interface SweepResult {
    readonly seed: number;
    readonly schedule: string;
    readonly measurements: readonly Measurement[];
    readonly hasPassed: boolean;
}

/** Fewer instances than a deployment has: the cost grows with their square. */
const instances = 12;

const deployment: Deployment = {
    ...abrazoDeployment,
    instances,
    config: { ...abrazoDeployment.config, seats: instances },
};

const organisations = deployment.config.organisations;

const bookings: readonly Traffic[] = organisations.slice(0, 2).map(({ id }) => ({
    organisation: id,
    ratePerSecond: 5,
    attempts: 4,
    call: (_index, world) => ({
        method: "POST",
        target: "/bookings",
        idempotencyKey: world.newKey(),
        deadlineMs: 1_500,
    }),
}));

/** One organisation sends five times its rate, so that every token it can get is used. */
const lookups: readonly Traffic[] = organisations.slice(-2).map(({ id, ratePerSecond }, index) => ({
    organisation: id,
    ratePerSecond: ratePerSecond * (index === 0 ? 5 : 0.9),
    call: () => ({ method: "GET", target: "/studios/1/availability" }),
}));

const reverts = new WeakMap<FleetSimulation, number>();

const watchRevisions: Step = at(0.1, "watch revisions", world => {
    const seen = new Map<string, number>();
    const look = () => {
        for (const name of world.running()) {
            const { configRevision, rosterVersion } = world.core(name).status();
            const held = configRevision * 1e6 + rosterVersion;
            if (held < (seen.get(name) ?? 0)) {
                reverts.set(world, (reverts.get(world) ?? 0) + 1);
            }
            seen.set(name, held);
        }
        world.after(100, look);
    };
    look();
});

/**
 * Runs the schedule of one seed.
 *
 * @example
 * const result = await sweepSeed(20261204);
 */
export const sweepSeed = async (seed: number): Promise<SweepResult> => {
    const random = seededRandom(seed);
    const names = Array.from({ length: instances }, (_, index) => `entry-${index + 1}`);
    const schedule = randomSchedule(random, names, deployment.zones);
    const scenario: Scenario = {
        name: `sweep-${seed}`,
        guarantees: "P2 P3 P5 P6 P9",
        deployment,
        seed,
        durationMs: 25_000,
        traffic: [...bookings, ...lookups],
        steps: [watchRevisions, ...schedule.steps],
        measure: world => [
            runsOverRate(world),
            doubleRuns(world),
            falseNotRuns(world),
            leakedKeys(world),
            atMost("reverts", reverts.get(world) ?? 0, 0),
            unbounded("answered-%", answeredPercent(world.calls)),
        ],
    };
    const { measurements } = await runScenario(scenario);
    return { seed, schedule: schedule.text, measurements, hasPassed: measurements.every(isWithinBound) };
};
