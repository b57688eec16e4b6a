/** Scenario DSL: traffic, timed faults, and measurements with their bounds. */
import type { StageOverrides } from "@sniperoad/core";
import type { CallSpec } from "./calls.js";
import type { Deployment, FleetSimulation } from "./fleet-simulation.js";

/** One timed event of a scenario. */
export interface Step {
    readonly atMs: number;
    readonly description: string;
    readonly run: (simulation: FleetSimulation) => unknown;
}

/** A measurement with its bound; without a bound, it is only reported. */
export interface Measurement {
    readonly name: string;
    readonly value: number;
    readonly bound?: { readonly kind: "at most" | "at least"; readonly value: number; };
}

/** A stream of requests. */
export interface Traffic {
    readonly organisation: string;
    readonly ratePerSecond: number;
    /** Creates the request with the given index. */
    readonly call: (index: number, simulation: FleetSimulation) => Omit<CallSpec, "organisation">;
    /** Instances that callers use; by default, all running ones. */
    readonly via?: (simulation: FleetSimulation) => readonly string[];
    /** Maximum number of attempts of one request, through random instances; 1 by default. */
    readonly attempts?: number;
    /** Skips arrivals beyond the organisation's rate and burst, so that every refusal is a fault. */
    readonly isConforming?: boolean;
}

/**
 * A scenario, optionally with a baseline: a run without the mechanism under test. The baseline must violate a bound,
 * which shows that the scenario would detect the loss of the mechanism.
 */
export interface Scenario {
    readonly name: string;
    /** Labels of the guarantees that the scenario checks; docs/design.md defines them under "3. Guarantees". */
    readonly guarantees: string;
    readonly deployment: Deployment;
    readonly seed: number;
    readonly durationMs: number;
    readonly traffic: readonly Traffic[];
    readonly steps: readonly Step[];
    readonly measure: (simulation: FleetSimulation) => readonly Measurement[];
    /** Stages without the mechanism under test: at least one measurement must violate its bound. */
    readonly baseline?: {
        readonly name: string;
        readonly stages: (simulation: () => FleetSimulation) => StageOverrides;
    };
}

/**
 * Creates an event at a time of the scenario.
 *
 * @example
 * at(5, "kill entry-3", simulation => simulation.kill("entry-3"));
 */
export const at = (seconds: number, description: string, run: (simulation: FleetSimulation) => unknown): Step => ({
    atMs: seconds * 1_000,
    description,
    run,
});

export const kill = (seconds: number, ...names: readonly string[]): Step =>
    at(seconds, `kill ${names.join(" ")}`, simulation => names.forEach(name => simulation.kill(name)));

export const pause = (seconds: number, name: string, forSeconds: number): readonly Step[] => [
    at(seconds, `pause ${name}`, simulation => simulation.pause(name)),
    at(seconds + forSeconds, `resume ${name}`, simulation => simulation.resume(name)),
];

export const cutOutbound = (seconds: number, name: string, untilSeconds: number): readonly Step[] => [
    at(seconds, `drop the messages of ${name}`, simulation => simulation.cutOutbound(name)),
    at(untilSeconds, "end all network cuts", simulation => simulation.heal()),
];

export const cutZone = (seconds: number, zone: string, untilSeconds: number): readonly Step[] => [
    at(seconds, `cut zone ${zone}`, simulation => simulation.cutZone(zone)),
    at(untilSeconds, "end all network cuts", simulation => simulation.heal()),
];

export const platformOutage = (seconds: number, untilSeconds = Infinity): readonly Step[] => [
    at(seconds, "platform unavailable", simulation => simulation.platform.faults.isUnavailable = true),
    ...(untilSeconds === Infinity
        ? []
        : [at(untilSeconds, "platform available", simulation => simulation.platform.faults.isUnavailable = false)]),
];

export const atMost = (name: string, value: number, bound: number): Measurement => ({
    name,
    value,
    bound: { kind: "at most", value: bound },
});

export const atLeast = (name: string, value: number, bound: number): Measurement => ({
    name,
    value,
    bound: { kind: "at least", value: bound },
});

export const unbounded = (name: string, value: number): Measurement => ({ name, value });

export const isWithinBound = ({ value, bound }: Measurement): boolean =>
    bound === undefined || (bound.kind === "at most" ? value <= bound.value : value >= bound.value);
