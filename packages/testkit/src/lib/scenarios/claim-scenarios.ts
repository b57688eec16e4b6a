/** Scenarios for at-most-once runs and correct "not run" outcomes: bookings on Abrazo's studio service under faults. */
import { allowAllClaimGate } from "@sniperoad/core/testing";
import { abrazoDeployment } from "./deployments.js";
import { answeredPercent, doubleRuns, falseNotRuns, leakedKeys, refusalsByType } from "./measurements.js";
import { at, cutOutbound, cutZone, kill, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Scenario, Step, Traffic } from "./scenario-dsl.js";

const bookingOrganisations = abrazoDeployment.config.organisations.slice(0, 3);
const bookingRoute = abrazoDeployment.config.routes.find(({ idempotent, method }) => !idempotent && method === "POST")!;
const bookingTarget = bookingRoute.path.replace(/:[a-z]+/g, "1");

/** Callers retry with the same idempotency key through any instance, as after a lost response. */
const bookings: readonly Traffic[] = bookingOrganisations.map(({ id }) => ({
    organisation: id,
    ratePerSecond: 6,
    attempts: 4,
    call: (_index, simulation) => ({
        method: bookingRoute.method,
        target: bookingTarget,
        idempotencyKey: simulation.newKey(),
        deadlineMs: 1_500,
    }),
}));

const slowUpstreams = (seconds: number): Step =>
    at(seconds, "studio-svc-1 to -4 are 60 times slower, so callers time out and retry", simulation => {
        [1, 2, 3, 4].forEach(index => simulation.upstreams.get(`studio-svc-${index}`)!.faults.slowFactor = 60);
    });

const faultCases: readonly (readonly [name: string, steps: readonly Step[]])[] = [
    ["healthy", []],
    ["lost-answers", [slowUpstreams(5)]],
    ["kills", [slowUpstreams(2), kill(5, "entry-3"), kill(6, "entry-17", "entry-18"), kill(10, "entry-30")]],
    ["pauses", [slowUpstreams(2), ...pause(5, "entry-4", 8), ...pause(7, "entry-9", 10)]],
    ["one-way-cut", [slowUpstreams(2), ...cutOutbound(5, "entry-2", 18)]],
    ["zone-cut", [slowUpstreams(2), ...cutZone(5, "oman-north-b", 15)]],
    ["platform-away", [slowUpstreams(2), ...platformOutage(3), kill(8, "entry-5"), ...pause(10, "entry-6", 6)]],
    [
        "replaced-in-outage",
        [
            ...platformOutage(1),
            ...Array.from({ length: 22 }, (_, index) => [
                at(4 + index * 0.8, `entry-${45 + index} joins`, simulation => simulation.join(`entry-${45 + index}`)),
                at(
                    8 + index * 0.8,
                    `entry-${index + 1} leaves`,
                    simulation => void simulation.leave(`entry-${index + 1}`),
                ),
            ]).flat(),
        ],
    ],
];

export const claimScenarios: readonly Scenario[] = faultCases.map(([name, steps], index) => ({
    name: `claims-${name}`,
    guarantees: "P5 P6 P2",
    deployment: abrazoDeployment,
    seed: 100 + index,
    durationMs: 30_000,
    traffic: bookings,
    steps,
    measure: simulation => [
        doubleRuns(simulation),
        falseNotRuns(simulation),
        leakedKeys(simulation),
        unbounded("answered-%", answeredPercent(simulation.calls)),
        unbounded("requests", simulation.calls.length),
        ...refusalsByType(simulation),
    ],
    ...(name === "lost-answers"
        ? { baseline: { name: "no claims", stages: () => ({ claims: allowAllClaimGate }) } }
        : {}),
}));
