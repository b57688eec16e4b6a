/** Rates over the fleet: PawTrace's lookups, with all callers of an organisation on 3 of 44 instances. */
import { allowAllRateLimiter } from "@sniperoad/core/testing";
import { pawtraceDeployment } from "./deployments.js";
import { refusalsByType, refusedPercent, runsOverRate } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, kill, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Scenario, Step, Traffic } from "./scenario-dsl.js";

const skewed = "city-patrol";
const neighbour = "vets-united";
const seeds = ["entry-11", "entry-22", "entry-33"];

const lookup = () => ({ method: "GET", target: "/pets/1" });
const rateOf = (organisation: string) =>
    pawtraceDeployment.config.organisations.find(({ id }) => id === organisation)!.ratePerSecond;

const conforming: Traffic = {
    organisation: skewed,
    ratePerSecond: rateOf(skewed) * 0.9,
    isConforming: true,
    via: world => seeds.filter(name => world.running().includes(name)),
    call: lookup,
};
const overRate: Traffic = { organisation: neighbour, ratePerSecond: 5 * rateOf(neighbour), call: lookup };

const rateHomes = (organisation: string): Step =>
    at(8, `kill the rate homes of ${organisation}`, world => {
        const homes = new Set(
            [0, 1, 2].map(share => world.core("entry-11").membership.coordinatorOf(`rate/${organisation}/${share}`)),
        );
        [...homes].filter(home => home !== undefined && !seeds.includes(home)).forEach(home => world.kill(home!));
    });

const cases: readonly (readonly [name: string, steps: readonly Step[], refusedBoundPercent?: number])[] = [
    ["healthy", [], 0.1],
    ["home-killed", [rateHomes(skewed)]],
    ["platform-away", [...platformOutage(2)], 0.1],
    ["platform-away-home-killed", [...platformOutage(2), rateHomes(skewed)]],
    ["pause", [...pause(5, "entry-2", 6), ...pause(6, "entry-3", 6)]],
    ["one-way-cut", [...cutOutbound(5, "entry-4", 12)]],
    ["kills", [kill(5, "entry-1", "entry-2", "entry-3", "entry-4", "entry-5")]],
    [
        "rolling-leave",
        Array.from(
            { length: 10 },
            (_, index) => at(3 + index, `entry-${index + 1} leaves`, world => void world.leave(`entry-${index + 1}`)),
        ),
    ],
];

/** One leave a second; replacements start five seconds ahead, so that there is mostly one of the leaver's zone. */
const replaceAll = Array.from({ length: 44 }, (_, index) => [
    at(1 + index, `next-${index + 1} joins`, world => world.join(`next-${index + 1}`)),
    at(6 + index, `entry-${index + 1} leaves`, world => void world.leave(`entry-${index + 1}`)),
]).flat();

const rateRefusals = ["over-rate", "rate-unavailable"];
const restartedOrganisations = ["city-patrol", "vets-united", "volunteers"];

/** All instances are replaced gracefully. Callers use what the directory names, without its delay. */
const rollingRestart: Scenario = {
    name: "rates-rolling-restart",
    guarantees: "P3 P8",
    deployment: pawtraceDeployment,
    seed: 220,
    durationMs: 55_000,
    traffic: restartedOrganisations.map(organisation => ({
        organisation,
        ratePerSecond: rateOf(organisation) * 0.9,
        isConforming: true,
        via: world =>
            world.running().filter(name => {
                const { isCurrent, isLeaving } = world.core(name).status();
                return isCurrent && !isLeaving;
            }),
        call: lookup,
    })),
    steps: replaceAll,
    measure: world => [
        runsOverRate(world),
        atMost("left", world.running().filter(name => name.startsWith("entry-")).length, 0),
        ...restartedOrganisations.map(organisation =>
            atMost(`${organisation}-refused-%`, refusedPercent(world, organisation), 0.1)
        ),
        atMost("refused-by-rates", world.calls.filter(call => rateRefusals.includes(call.type)).length, 0),
        ...refusalsByType(world),
    ],
};

const faultScenarios: readonly Scenario[] = cases.map(([name, steps, refusedBoundPercent], index) => ({
    name: `rates-${name}`,
    guarantees: "P3",
    deployment: pawtraceDeployment,
    seed: 200 + index,
    durationMs: 20_000,
    traffic: [conforming, overRate],
    steps,
    measure: world => [
        runsOverRate(world),
        refusedBoundPercent === undefined
            ? unbounded("refused-inside-rate-%", refusedPercent(world, skewed))
            : atMost("refused-inside-rate-%", refusedPercent(world, skewed), refusedBoundPercent),
        ...(name === "healthy" ? [atLeast("worst-served-%", 100 - refusedPercent(world, skewed), 95)] : []),
        unbounded("neighbour-refused-%", refusedPercent(world, neighbour)),
        ...refusalsByType(world),
    ],
    ...(name === "healthy" ? { baseline: { name: "no limits", stages: () => ({ rates: allowAllRateLimiter }) } } : {}),
}));

export const rateScenarios: readonly Scenario[] = [...faultScenarios, rollingRestart];
