/** Runs one scenario in virtual time. */
import type { StageOverrides } from "@sniperoad/core";
import { FleetSimulation } from "./fleet-simulation.js";
import { isWithinBound } from "./scenario-dsl.js";
import type { Measurement, Scenario, Traffic } from "./scenario-dsl.js";

/** Figures of one run. */
export interface ScenarioResult {
    readonly measurements: readonly Measurement[];
    readonly hasPassed: boolean;
}

/**
 * Runs a scenario with its own stages, or with a baseline's.
 *
 * @example
 * const result = await runScenario(scenario);
 */
export const runScenario = async (scenario: Scenario, isBaseline = false): Promise<ScenarioResult> => {
    const made: { world?: FleetSimulation; } = {};
    const stages: StageOverrides | undefined = isBaseline ? scenario.baseline!.stages(() => made.world!) : undefined;
    const world = new FleetSimulation(scenario.deployment, scenario.seed, stages);
    made.world = world;
    await world.start();
    scenario.steps.forEach(step => world.after(step.atMs, () => void step.run(world)));
    scenario.traffic.forEach(traffic => startTraffic(world, traffic, scenario.durationMs));
    // Requests under way at the end finish in the last seconds.
    await world.clock.advance(scenario.durationMs + 5_000);
    const measurements = scenario.measure(world);
    return { measurements, hasPassed: measurements.every(isWithinBound) };
};

/** Poisson arrivals; the generator draws from its own bucket when they are to conform to the rate. */
const startTraffic = (world: FleetSimulation, traffic: Traffic, durationMs: number): void => {
    const endMs = world.clock.monotonicMs() + durationMs;
    const entry = world.config.organisations.find(({ id }) => id === traffic.organisation)!;
    let index = 0;
    let level = 0;
    let lastMs = world.clock.monotonicMs();
    const next = () => {
        const gapMs = -Math.log(1 - world.random()) * 1_000 / traffic.ratePerSecond;
        world.after(Math.max(1, Math.round(gapMs)), () => {
            const nowMs = world.clock.monotonicMs();
            if (nowMs >= endMs) {
                return;
            }
            level = Math.max(0, level - (nowMs - lastMs) * entry.ratePerSecond / 1_000);
            lastMs = nowMs;
            if (traffic.isConforming !== true || level + 1 <= entry.burst) {
                level++;
                void send(world, traffic, index++);
            }
            next();
        });
    };
    next();
};

/** One request with its attempts, through random instances, under one idempotency key. */
const send = async (world: FleetSimulation, traffic: Traffic, index: number): Promise<void> => {
    const made = traffic.call(index, world);
    const separator = made.target.includes("?") ? "&" : "?";
    const spec = {
        ...made,
        organisation: traffic.organisation,
        target: `${made.target}${separator}by=${traffic.organisation}`,
    };
    for (let attempt = 1; attempt <= (traffic.attempts ?? 1); attempt++) {
        const names = traffic.via?.(world) ?? world.running();
        const name = names[Math.floor(world.random() * names.length)]!;
        const isFirst = attempt === 1 && spec.idempotencyKey !== undefined;
        const answer = await world.call(name, { ...spec, ...(isFirst ? { isFirst } : {}) });
        if (answer !== undefined && (answer.status < 400 || answer.type === "outcome-unknown")) {
            return;
        }
        await new Promise<void>(resolve => world.after(100 + Math.round(world.random() * 400), resolve));
    }
};
