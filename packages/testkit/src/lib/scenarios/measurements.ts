/** Figures that scenarios have in common, counted from what callers and upstreams saw. */
import type { FleetConfig } from "@sniperoad/core";
import type { CallRecord } from "./calls.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { atMost, unbounded } from "./scenario-dsl.js";
import type { Measurement } from "./scenario-dsl.js";

const organisationOf = (target: string): string => /[?&]by=([^&]*)/.exec(target)?.[1] ?? "";

/** Runs beyond rate and burst over any window, the worst organisation: an exact leaky bucket over all arrivals. */
export const runsOverRate = (world: FleetSimulation, config: FleetConfig = world.config): Measurement => {
    const worst = config.organisations.map(({ id, ratePerSecond, burst }) => {
        const times = world.runs.filter(run => organisationOf(run.target) === id).map(run => run.arrivedMs)
            .sort((left, right) => left - right);
        let level = 0;
        let highest = 0;
        times.forEach((timeMs, index) => {
            const sinceMs = timeMs - (times[index - 1] ?? timeMs);
            level = Math.max(0, level - sinceMs * ratePerSecond / 1_000) + 1;
            highest = Math.max(highest, level);
        });
        return Math.max(0, Math.ceil(highest - burst - 1e-6));
    });
    return atMost("excess", Math.max(0, ...worst), 0);
};

/** Idempotency keys that ran more than once. */
export const doubleRuns = (world: FleetSimulation): Measurement => {
    const counts = new Map<string, number>();
    world.runs.forEach(({ idempotencyKey }) => {
        if (idempotencyKey !== undefined) {
            counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
        }
    });
    return atMost("double-runs", [...counts.values()].filter(count => count > 1).length, 0);
};

/** Answers that say "not run" although the request had run. */
export const falseNotRuns = (world: FleetSimulation): Measurement => {
    const firstRunMs = new Map<string, number>();
    world.runs.forEach(({ idempotencyKey, atMs }) => {
        if (idempotencyKey !== undefined) {
            firstRunMs.set(idempotencyKey, Math.min(atMs, firstRunMs.get(idempotencyKey) ?? Infinity));
        }
    });
    const wrong = world.calls.filter(({ idempotencyKey, outcome, endedMs }) =>
        idempotencyKey !== undefined && outcome === "not-run" && (firstRunMs.get(idempotencyKey) ?? Infinity) < endedMs
    );
    return atMost("false-not-runs", wrong.length, 0);
};

/** Runs at which the upstream saw a key. */
export const leakedKeys = (world: FleetSimulation): Measurement =>
    atMost("keys-seen", world.runs.filter(run => run.hasKey).length, 0);

/** Share of an organisation's calls that were refused, in per cent. */
export const refusedPercent = (world: FleetSimulation, organisation: string, since = 0): number => {
    const calls = world.calls.filter(call => call.organisation === organisation && call.atMs >= since);
    const refused = calls.filter(call => call.status >= 400);
    return calls.length === 0 ? 100 : round(100 * refused.length / calls.length);
};

/** Share of the calls that got an upstream's answer, in per cent. */
export const answeredPercent = (calls: readonly CallRecord[]): number =>
    calls.length === 0 ? 0 : round(100 * calls.filter(call => call.status < 400).length / calls.length);

/** Refusals by type, to be reported. */
export const refusalsByType = (world: FleetSimulation): readonly Measurement[] => {
    const counts = new Map<string, number>();
    world.calls.filter(call => call.status >= 400).forEach(call => {
        counts.set(call.type, (counts.get(call.type) ?? 0) + 1);
    });
    return [...counts].sort(([left], [right]) => left < right ? -1 : 1).map(([type, count]) => unbounded(type, count));
};

export const round = (value: number): number => Math.round(value * 1_000) / 1_000;
