/** Runs one scenario in virtual time. */
import type { StageOverrides } from "@sniperoad/core";
import { FleetSimulation } from "./fleet-simulation.js";
import { isWithinBound } from "./scenario-dsl.js";
import type { Measurement, Scenario, Traffic } from "./scenario-dsl.js";

/** Measurements of one run of a scenario. */
export interface ScenarioResult {
    readonly measurements: readonly Measurement[];
    readonly hasPassed: boolean;
}

/**
 * Runs a scenario with its own stages or with those of its baseline.
 *
 * @example
 * const result = await runScenario(scenario);
 */
export const runScenario = async (scenario: Scenario, isBaseline = false): Promise<ScenarioResult> => {
    const reference: { simulation?: FleetSimulation; } = {};
    const stages: StageOverrides | undefined = isBaseline
        ? scenario.baseline!.stages(() => reference.simulation!)
        : undefined;
    const simulation = new FleetSimulation(scenario.deployment, scenario.seed, stages);
    reference.simulation = simulation;
    await simulation.start();
    scenario.steps.forEach(step => simulation.after(step.atMs, () => void step.run(simulation)));
    scenario.traffic.forEach(traffic => startTraffic(simulation, traffic, scenario.durationMs));
    // The additional time lets requests in flight finish.
    await simulation.clock.advance(scenario.durationMs + 5_000);
    const measurements = scenario.measure(simulation);
    return { measurements, hasPassed: measurements.every(isWithinBound) };
};

/** Sends requests with Poisson arrivals; conforming traffic skips arrivals that a leaky bucket rejects. */
const startTraffic = (simulation: FleetSimulation, traffic: Traffic, durationMs: number): void => {
    const endMs = simulation.clock.monotonicMs() + durationMs;
    const organisation = simulation.config.organisations.find(({ id }) => id === traffic.organisation)!;
    let index = 0;
    let level = 0;
    let lastMs = simulation.clock.monotonicMs();
    const scheduleNext = () => {
        const gapMs = -Math.log(1 - simulation.random()) * 1_000 / traffic.ratePerSecond;
        simulation.after(Math.max(1, Math.round(gapMs)), () => {
            const nowMs = simulation.clock.monotonicMs();
            if (nowMs >= endMs) {
                return;
            }
            level = Math.max(0, level - (nowMs - lastMs) * organisation.ratePerSecond / 1_000);
            lastMs = nowMs;
            if (traffic.isConforming !== true || level + 1 <= organisation.burst) {
                level++;
                void send(simulation, traffic, index++);
            }
            scheduleNext();
        });
    };
    scheduleNext();
};

/** Sends one request and its retries through random instances, all with the same idempotency key, if any. */
const send = async (simulation: FleetSimulation, traffic: Traffic, index: number): Promise<void> => {
    const call = traffic.call(index, simulation);
    const separator = call.target.includes("?") ? "&" : "?";
    const spec = {
        ...call,
        organisation: traffic.organisation,
        target: `${call.target}${separator}by=${traffic.organisation}`,
    };
    for (let attempt = 1; attempt <= (traffic.attempts ?? 1); attempt++) {
        const names = traffic.via?.(simulation) ?? simulation.running();
        const name = names[Math.floor(simulation.random() * names.length)]!;
        const isFirstAttempt = attempt === 1 && spec.idempotencyKey !== undefined;
        const record = await simulation.call(name, { ...spec, ...(isFirstAttempt ? { isFirstAttempt } : {}) });
        if (record !== undefined && (record.status < 400 || record.refusalType === "outcome-unknown")) {
            return;
        }
        await new Promise<void>(resolve => simulation.after(100 + Math.round(simulation.random() * 400), resolve));
    }
};
