/** Random schedules of single and simultaneous faults. */
import type { Random } from "@sniperoad/core";
import type { FleetSimulation } from "../scenarios/fleet-simulation.js";
import { at, cutOutbound, cutZone, kill, pause, platformOutage } from "../scenarios/scenario-dsl.js";
import type { Step } from "../scenarios/scenario-dsl.js";

/** Creates the steps of one fault that begins at a time of the scenario. */
type FaultGenerator = (
    seconds: number,
    random: Random,
    names: readonly string[],
    zones: readonly string[],
) => readonly Step[];

const pick = <T>(random: Random, items: readonly T[]): T => items[Math.floor(random() * items.length)]!;

/** Starts a new instance, and stops the given one 2 s later. */
const replace = (seconds: number, name: string, isGraceful: boolean): readonly Step[] => [
    at(seconds, `join ${name}-next`, simulation => simulation.join(`${name}-next`)),
    at(
        seconds + 2,
        `${isGraceful ? "leave" : "kill"} ${name}`,
        simulation => stopInstance(simulation, name, isGraceful),
    ),
];

/** Stops an instance, unless an earlier fault of the schedule has already stopped it. */
const stopInstance = (simulation: FleetSimulation, name: string, isGraceful: boolean): void => {
    if (simulation.running().includes(name)) {
        if (isGraceful) {
            void simulation.leave(name);
        }
        else {
            simulation.kill(name);
        }
    }
};

/** The kinds of faults that a schedule can contain; docs/design.md, "3. Guarantees", lists the tolerated faults. */
export const faultGenerators: Readonly<Record<string, FaultGenerator>> = {
    "kill": (seconds, random, names) => [kill(seconds, pick(random, names))],
    "pause": (seconds, random, names) => pause(seconds, pick(random, names), 3 + random() * 9),
    "one-way-cut": (seconds, random, names) => cutOutbound(seconds, pick(random, names), seconds + 2 + random() * 10),
    "zone-cut": (seconds, random, _names, zones) => cutZone(seconds, pick(random, zones), seconds + 2 + random() * 10),
    "platform-away": (seconds, random) => platformOutage(seconds, seconds + 3 + random() * 20),
    "platform-slow": (seconds, random) => [
        at(seconds, "platform slow", simulation => simulation.platform.faults.delayMs = 200 + random() * 1_500),
        at(seconds + 8, "platform fast", simulation => simulation.platform.faults.delayMs = 0),
    ],
    "reply-lost":
        seconds => [at(seconds, "three replies lost", simulation => simulation.platform.faults.lostReplies = 3)],
    "watch-stale":
        seconds => [at(seconds, "watch stale", simulation => simulation.platform.faults.isWatchStale = true)],
    "list-lags": seconds => [at(seconds, "list lags", simulation => simulation.platform.faults.listLagMs = 30_000)],
    "leave": (seconds, random, names) => replace(seconds, pick(random, names), true),
    "replace": (seconds, random, names) => replace(seconds, pick(random, names), false),
    "upstream-slow": (seconds, random) => [
        at(seconds, "an upstream is 60 times slower", simulation => {
            pick(random, [...simulation.upstreams.values()]).faults.slowFactor = 60;
        }),
    ],
    "upstream-crash": (seconds, random) => [
        at(seconds, "an upstream crashes", simulation => pick(random, [...simulation.upstreams.values()]).crash()),
    ],
};

/** The steps of a schedule, with a description for reports. */
export interface FaultSchedule {
    readonly description: string;
    readonly steps: readonly Step[];
}

/**
 * Creates a schedule of one to four faults. With probability 0.5 a fault begins at the same time as the previous one,
 * otherwise up to 6 s later.
 *
 * @example
 * const schedule = randomSchedule(seededRandom(7), ["entry-1", "entry-2"], ["z1"]);
 */
export const randomSchedule = (random: Random, names: readonly string[], zones: readonly string[]): FaultSchedule => {
    const kinds = Object.keys(faultGenerators);
    const chosen: string[] = [];
    const steps: Step[] = [];
    let seconds = 2 + random() * 4;
    for (let count = 1 + Math.floor(random() * 4); count > 0; count--) {
        const kind = pick(random, kinds);
        chosen.push(`${kind}@${seconds.toFixed(1)}`);
        steps.push(...faultGenerators[kind]!(seconds, random, names, zones));
        seconds += random() < 0.5 ? 0 : random() * 6;
    }
    return { description: chosen.join(" "), steps };
};
