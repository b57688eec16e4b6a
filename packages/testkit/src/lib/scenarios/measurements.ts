/** Measurements shared by scenarios, computed from the recorded calls and upstream runs. */
import type { FleetConfig } from "@sniperoad/core";
import type { CallRecord } from "./calls.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { atMost, unbounded } from "./scenario-dsl.js";
import type { Measurement } from "./scenario-dsl.js";

const organisationOf = (target: string): string => /[?&]by=([^&]*)/.exec(target)?.[1] ?? "";

/** Largest excess of an organisation's runs over its rate and burst, by an exact leaky bucket over all arrivals. */
export const runsOverRate = (simulation: FleetSimulation, config: FleetConfig = simulation.config): Measurement => {
    const excessByOrganisation = config.organisations.map(({ id, ratePerSecond, burst }) => {
        const arrivalsMs = simulation.runs.filter(run => organisationOf(run.target) === id).map(run => run.arrivedMs)
            .sort((left, right) => left - right);
        let level = 0;
        let highest = 0;
        arrivalsMs.forEach((timeMs, index) => {
            const sinceMs = timeMs - (arrivalsMs[index - 1] ?? timeMs);
            level = Math.max(0, level - sinceMs * ratePerSecond / 1_000) + 1;
            highest = Math.max(highest, level);
        });
        return Math.max(0, Math.ceil(highest - burst - 1e-6));
    });
    return atMost("excess", Math.max(0, ...excessByOrganisation), 0);
};

/** Number of idempotency keys with which more than one request ran. */
export const doubleRuns = (simulation: FleetSimulation): Measurement => {
    const counts = new Map<string, number>();
    simulation.runs.forEach(({ idempotencyKey }) => {
        if (idempotencyKey !== undefined) {
            counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
        }
    });
    return atMost("double-runs", [...counts.values()].filter(count => count > 1).length, 0);
};

/** Number of responses with the outcome "not run" although a request with the same idempotency key had run. */
export const falseNotRuns = (simulation: FleetSimulation): Measurement => {
    const firstRunMs = new Map<string, number>();
    simulation.runs.forEach(({ idempotencyKey, atMs }) => {
        if (idempotencyKey !== undefined) {
            firstRunMs.set(idempotencyKey, Math.min(atMs, firstRunMs.get(idempotencyKey) ?? Infinity));
        }
    });
    const falseNotRunCalls = simulation.calls.filter(({ idempotencyKey, outcome, endedMs }) =>
        idempotencyKey !== undefined && outcome === "not-run" && (firstRunMs.get(idempotencyKey) ?? Infinity) < endedMs
    );
    return atMost("false-not-runs", falseNotRunCalls.length, 0);
};

/** Number of runs in which the upstream received the caller's key. */
export const leakedKeys = (simulation: FleetSimulation): Measurement =>
    atMost("keys-seen", simulation.runs.filter(run => run.hasKey).length, 0);

/** Percentage of an organisation's calls that were refused or failed; 100 if there were none. */
export const refusedPercent = (simulation: FleetSimulation, organisation: string, sinceMs = 0): number => {
    const calls = simulation.calls.filter(call => call.organisation === organisation && call.atMs >= sinceMs);
    const refused = calls.filter(call => call.status >= 400);
    return calls.length === 0 ? 100 : round(100 * refused.length / calls.length);
};

/** Percentage of the calls with a successful response; 0 if there were none. */
export const answeredPercent = (calls: readonly CallRecord[]): number =>
    calls.length === 0 ? 0 : round(100 * calls.filter(call => call.status < 400).length / calls.length);

/** Number of refusals and failures of each type, without bounds. */
export const refusalsByType = (simulation: FleetSimulation): readonly Measurement[] => {
    const counts = new Map<string, number>();
    simulation.calls.filter(call => call.status >= 400).forEach(call => {
        counts.set(call.refusalType, (counts.get(call.refusalType) ?? 0) + 1);
    });
    return [...counts].sort(([left], [right]) => left < right ? -1 : 1).map(([type, count]) => unbounded(type, count));
};

/** Rounds to three decimal places. */
export const round = (value: number): number => Math.round(value * 1_000) / 1_000;
