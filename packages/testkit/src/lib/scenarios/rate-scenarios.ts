/** Scenarios for fleet-wide rates: PawTrace's lookups, with all callers of an organisation on 3 of 44 instances. */
import { allowAllRateLimiter } from "@sniperoad/core/testing";
import { pawtraceDeployment } from "./deployments.js";
import { refusalsByType, refusedPercent, runsOverRate } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, kill, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Scenario, Step, Traffic } from "./scenario-dsl.js";

const skewedOrganisation = "city-patrol";
const overRateOrganisation = "vets-united";
/** The instances that the callers of the skewed organisation use. */
const entryInstances = ["entry-11", "entry-22", "entry-33"];

const lookup = () => ({ method: "GET", target: "/pets/1" });
const rateOf = (organisation: string) =>
    pawtraceDeployment.config.organisations.find(({ id }) => id === organisation)!.ratePerSecond;

const conformingTraffic: Traffic = {
    organisation: skewedOrganisation,
    ratePerSecond: rateOf(skewedOrganisation) * 0.9,
    isConforming: true,
    via: simulation => entryInstances.filter(name => simulation.running().includes(name)),
    call: lookup,
};
const overRateTraffic: Traffic = {
    organisation: overRateOrganisation,
    ratePerSecond: 5 * rateOf(overRateOrganisation),
    call: lookup,
};

const killRateCoordinators = (organisation: string): Step =>
    at(8, `kill the rate coordinators of ${organisation}`, simulation => {
        const coordinators = new Set(
            [0, 1, 2].map(share =>
                simulation.core("entry-11").membership.coordinatorOf(`rate/${organisation}/${share}`)
            ),
        );
        [...coordinators].filter(coordinator => coordinator !== undefined && !entryInstances.includes(coordinator))
            .forEach(coordinator => simulation.kill(coordinator!));
    });

const faultCases: readonly (readonly [name: string, steps: readonly Step[], refusedBoundPercent?: number])[] = [
    ["healthy", [], 0.1],
    ["home-killed", [killRateCoordinators(skewedOrganisation)]],
    ["platform-away", [...platformOutage(2)], 0.1],
    ["platform-away-home-killed", [...platformOutage(2), killRateCoordinators(skewedOrganisation)]],
    ["pause", [...pause(5, "entry-2", 6), ...pause(6, "entry-3", 6)]],
    ["one-way-cut", [...cutOutbound(5, "entry-4", 12)]],
    ["kills", [kill(5, "entry-1", "entry-2", "entry-3", "entry-4", "entry-5")]],
    [
        "rolling-leave",
        Array.from(
            { length: 10 },
            (_, index) =>
                at(3 + index, `entry-${index + 1} leaves`, simulation => void simulation.leave(`entry-${index + 1}`)),
        ),
    ],
];

/** One instance leaves per second. Replacements start five seconds earlier, so that one is usually in the same zone. */
const replaceAllInstances = Array.from({ length: 44 }, (_, index) => [
    at(1 + index, `next-${index + 1} joins`, simulation => simulation.join(`next-${index + 1}`)),
    at(6 + index, `entry-${index + 1} leaves`, simulation => void simulation.leave(`entry-${index + 1}`)),
]).flat();

const rateRefusals = ["over-rate", "rate-unavailable"];
const restartedOrganisations = ["city-patrol", "vets-united", "volunteers"];

/** All instances are replaced gracefully. Callers use the current instances that are not leaving, without a delay. */
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
        via: simulation =>
            simulation.running().filter(name => {
                const { isCurrent, isLeaving } = simulation.core(name).status();
                return isCurrent && !isLeaving;
            }),
        call: lookup,
    })),
    steps: replaceAllInstances,
    measure: simulation => [
        runsOverRate(simulation),
        atMost("left", simulation.running().filter(name => name.startsWith("entry-")).length, 0),
        ...restartedOrganisations.map(organisation =>
            atMost(`${organisation}-refused-%`, refusedPercent(simulation, organisation), 0.1)
        ),
        atMost("refused-by-rates", simulation.calls.filter(call => rateRefusals.includes(call.refusalType)).length, 0),
        ...refusalsByType(simulation),
    ],
};

const faultScenarios: readonly Scenario[] = faultCases.map(([name, steps, refusedBoundPercent], index) => ({
    name: `rates-${name}`,
    guarantees: "P3",
    deployment: pawtraceDeployment,
    seed: 200 + index,
    durationMs: 20_000,
    traffic: [conformingTraffic, overRateTraffic],
    steps,
    measure: simulation => [
        runsOverRate(simulation),
        refusedBoundPercent === undefined
            ? unbounded("refused-inside-rate-%", refusedPercent(simulation, skewedOrganisation))
            : atMost("refused-inside-rate-%", refusedPercent(simulation, skewedOrganisation), refusedBoundPercent),
        ...(name === "healthy"
            ? [atLeast("worst-served-%", 100 - refusedPercent(simulation, skewedOrganisation), 95)]
            : []),
        unbounded("neighbour-refused-%", refusedPercent(simulation, overRateOrganisation)),
        ...refusalsByType(simulation),
    ],
    ...(name === "healthy" ? { baseline: { name: "no limits", stages: () => ({ rates: allowAllRateLimiter }) } } : {}),
}));

export const rateScenarios: readonly Scenario[] = [...faultScenarios, rollingRestart];
