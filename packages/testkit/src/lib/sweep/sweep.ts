/** Runs random fault schedules against complete cores and checks the guarantees. */
import { seededRandom } from "@sniperoad/core/testing";
import { abrazoDeployment } from "../scenarios/deployments.js";
import type { Deployment, FleetSimulation } from "../scenarios/fleet-simulation.js";
import { answeredPercent, doubleRuns, falseNotRuns, leakedKeys, runsOverRate } from "../scenarios/measurements.js";
import { runScenario } from "../scenarios/run-scenario.js";
import { isWithinBound, unbounded } from "../scenarios/scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "../scenarios/scenario-dsl.js";
import { at, atMost } from "../scenarios/scenario-dsl.js";
import { randomSchedule } from "./fault-schedule.js";

/** Result of one seed. */
export interface SweepResult {
    readonly seed: number;
    readonly schedule: string;
    readonly measurements: readonly Measurement[];
    readonly hasPassed: boolean;
}

/** Number of instances. It is smaller than in a deployment, because the cost of a run grows with its square. */
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
    call: (_index, simulation) => ({
        method: "POST",
        target: "/bookings",
        idempotencyKey: simulation.newKey(),
        deadlineMs: 1_500,
    }),
}));

/** One organisation sends five times its rate, so that every token it can get is used. */
const lookups: readonly Traffic[] = organisations.slice(-2).map(({ id, ratePerSecond }, index) => ({
    organisation: id,
    ratePerSecond: ratePerSecond * (index === 0 ? 5 : 0.9),
    call: () => ({ method: "GET", target: "/studios/1/availability" }),
}));

/** Number of times that an instance reverted to an older configuration revision or roster. */
const revertCounts = new WeakMap<FleetSimulation, number>();

/** Polls the configuration revision and the roster version of each running instance every 100 ms. */
const watchRevisions: Step = at(0.1, "watch revisions", simulation => {
    const seen = new Map<string, number>();
    const poll = () => {
        for (const name of simulation.running()) {
            const { configRevision, rosterVersion } = simulation.core(name).status();
            const currentVersion = configRevision * 1e6 + rosterVersion;
            if (currentVersion < (seen.get(name) ?? 0)) {
                revertCounts.set(simulation, (revertCounts.get(simulation) ?? 0) + 1);
            }
            seen.set(name, currentVersion);
        }
        simulation.after(100, poll);
    };
    poll();
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
        measure: simulation => [
            runsOverRate(simulation),
            doubleRuns(simulation),
            falseNotRuns(simulation),
            leakedKeys(simulation),
            atMost("reverts", revertCounts.get(simulation) ?? 0, 0),
            unbounded("answered-%", answeredPercent(simulation.calls)),
        ],
    };
    const { measurements } = await runScenario(scenario);
    return { seed, schedule: schedule.description, measurements, hasPassed: measurements.every(isWithinBound) };
};
