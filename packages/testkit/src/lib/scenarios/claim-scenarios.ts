/** At most once, and true "not run": bookings on Abrazo's studio service under faults. */
import { allowAllClaimGate } from "@sniperoad/core/testing";
import { abrazoDeployment } from "./deployments.js";
import { answeredPercent, doubleRuns, falseNotRuns, leakedKeys, refusalsByType } from "./measurements.js";
import { at, cutOutbound, cutZone, kill, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Scenario, Step, Traffic } from "./scenario-dsl.js";

const bookers = abrazoDeployment.config.organisations.slice(0, 3);
const bookingRoute = abrazoDeployment.config.routes.find(({ idempotent, method }) => !idempotent && method === "POST")!;
const bookingTarget = bookingRoute.path.replace(/:[a-z]+/g, "1");

/** Callers repeat under the same key, through any instance, as callers do that have lost an answer. */
const bookings: readonly Traffic[] = bookers.map(({ id }) => ({
    organisation: id,
    ratePerSecond: 6,
    attempts: 4,
    call: (_index, world) => ({
        method: bookingRoute.method,
        target: bookingTarget,
        idempotencyKey: world.newKey(),
        deadlineMs: 1_500,
    }),
}));

const slowAnswers = (seconds: number): Step =>
    at(seconds, "studio-svc-1 to -4 are 60 times slower, so callers give up and repeat", world => {
        [1, 2, 3, 4].forEach(index => world.upstreams.get(`studio-svc-${index}`)!.faults.slowFactor = 60);
    });

const cases: readonly (readonly [name: string, steps: readonly Step[]])[] = [
    ["healthy", []],
    ["lost-answers", [slowAnswers(5)]],
    ["kills", [slowAnswers(2), kill(5, "entry-3"), kill(6, "entry-17", "entry-18"), kill(10, "entry-30")]],
    ["pauses", [slowAnswers(2), ...pause(5, "entry-4", 8), ...pause(7, "entry-9", 10)]],
    ["one-way-cut", [slowAnswers(2), ...cutOutbound(5, "entry-2", 18)]],
    ["zone-cut", [slowAnswers(2), ...cutZone(5, "oman-north-b", 15)]],
    ["platform-away", [slowAnswers(2), ...platformOutage(3), kill(8, "entry-5"), ...pause(10, "entry-6", 6)]],
    [
        "replaced-in-outage",
        [
            ...platformOutage(1),
            ...Array.from({ length: 22 }, (_, index) => [
                at(4 + index * 0.8, `entry-${45 + index} joins`, world => world.join(`entry-${45 + index}`)),
                at(8 + index * 0.8, `entry-${index + 1} leaves`, world => void world.leave(`entry-${index + 1}`)),
            ]).flat(),
        ],
    ],
];

export const claimScenarios: readonly Scenario[] = cases.map(([name, steps], index) => ({
    name: `claims-${name}`,
    guarantees: "P5 P6 P2",
    deployment: abrazoDeployment,
    seed: 100 + index,
    durationMs: 30_000,
    traffic: bookings,
    steps,
    measure: world => [
        doubleRuns(world),
        falseNotRuns(world),
        leakedKeys(world),
        unbounded("answered-%", answeredPercent(world.calls)),
        unbounded("requests", world.calls.length),
        ...refusalsByType(world),
    ],
    ...(name === "lost-answers"
        ? { baseline: { name: "no claims", stages: () => ({ claims: allowAllClaimGate }) } }
        : {}),
}));
