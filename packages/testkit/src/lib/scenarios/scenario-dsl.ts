/** The scenario language: what callers send, what fails when, and what must hold. */
import type { StageOverrides } from "@sniperoad/core";
import type { CallSpec } from "./calls.js";
import type { Deployment, FleetSimulation } from "./fleet-simulation.js";

/** One event of a script. */
export interface Step {
    readonly atMs: number;
    readonly text: string;
    readonly run: (world: FleetSimulation) => unknown;
}

/** One figure with its bound; without a bound it is only reported. */
export interface Measurement {
    readonly name: string;
    readonly value: number;
    readonly bound?: { readonly kind: "at most" | "at least"; readonly value: number; };
}

/** A stream of requests. */
export interface Traffic {
    readonly organisation: string;
    readonly ratePerSecond: number;
    /** Makes the nth request. */
    readonly call: (index: number, world: FleetSimulation) => Omit<CallSpec, "organisation">;
    /** Instances that callers use; by default all that run. */
    readonly via?: (world: FleetSimulation) => readonly string[];
    /** Attempts of one request, through random instances; 1 by default. */
    readonly attempts?: number;
    /** Drops arrivals that the organisation's rate and burst do not cover, so that every refusal is wrongful. */
    readonly isConforming?: boolean;
}

/** A scenario with the variant that must fail. */
export interface Scenario {
    readonly name: string;
    /** Labels of the design page, section 3. */
    readonly guarantees: string;
    readonly deployment: Deployment;
    readonly seed: number;
    readonly durationMs: number;
    readonly traffic: readonly Traffic[];
    readonly steps: readonly Step[];
    readonly measure: (world: FleetSimulation) => readonly Measurement[];
    /** Stages with the mechanism off: at least one bound must break. */
    readonly baseline?: { readonly name: string; readonly stages: (world: () => FleetSimulation) => StageOverrides; };
}

/**
 * An event at a time of the script.
 *
 * @example
 * at(5, "kill entry-3", world => world.kill("entry-3"));
 */
export const at = (seconds: number, text: string, run: (world: FleetSimulation) => unknown): Step => ({
    atMs: seconds * 1_000,
    text,
    run,
});

export const kill = (seconds: number, ...names: readonly string[]): Step =>
    at(seconds, `kill ${names.join(" ")}`, world => names.forEach(name => world.kill(name)));

export const pause = (seconds: number, name: string, forSeconds: number): readonly Step[] => [
    at(seconds, `pause ${name}`, world => world.pause(name)),
    at(seconds + forSeconds, `resume ${name}`, world => world.resume(name)),
];

export const cutOutbound = (seconds: number, name: string, untilSeconds: number): readonly Step[] => [
    at(seconds, `cut what ${name} sends`, world => world.cutOutbound(name)),
    at(untilSeconds, "heal", world => world.heal()),
];

export const cutZone = (seconds: number, zone: string, untilSeconds: number): readonly Step[] => [
    at(seconds, `cut zone ${zone}`, world => world.cutZone(zone)),
    at(untilSeconds, "heal", world => world.heal()),
];

export const platformOutage = (seconds: number, untilSeconds = Infinity): readonly Step[] => [
    at(seconds, "platform away", world => world.platform.faults.isUnavailable = true),
    ...(untilSeconds === Infinity
        ? []
        : [at(untilSeconds, "platform back", world => world.platform.faults.isUnavailable = false)]),
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
