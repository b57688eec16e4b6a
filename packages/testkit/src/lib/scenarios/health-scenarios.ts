/** Gray failures, crash requests and fair shares on the alerts and studio services. */
import { allowAllCrashGuard, roundRobinChooser } from "@sniperoad/core/testing";
import { abrazoDeployment, pawtraceDeployment } from "./deployments.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { answeredPercent, refusalsByType, refusedPercent } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "./scenario-dsl.js";
import { simulatedCrashMarker } from "./simulated-upstream.js";

const faultAtSeconds = 8;
/** Detection counts from the fault to the first ejection that any instance enforces. */
const detectionTargetMs = 2_000;

interface Seen {
    faultMs: number;
    firstMs: number;
    ejected: Set<string>;
    leastSlots: number;
}

const seenBy = new WeakMap<FleetSimulation, Seen>();

const watchEjections = (service: string): Step =>
    at(0.1, "watch ejections", world => {
        const seen: Seen = { faultMs: NaN, firstMs: NaN, ejected: new Set(), leastSlots: Infinity };
        seenBy.set(world, seen);
        const slots = world.config.services.find(({ id }) => id === service)!.slotsPerUpstream;
        const count = [...world.upstreams.values()].filter(({ listed }) => listed.service === service).length;
        const look = () => {
            const union = new Set(
                world.running().flatMap(name =>
                    world.core(name).ejections(service as never).map(entry => entry.upstream as string)
                ),
            );
            union.forEach(upstream => seen.ejected.add(upstream));
            if (union.size > 0 && Number.isNaN(seen.firstMs)) {
                seen.firstMs = world.clock.monotonicMs();
            }
            seen.leastSlots = Math.min(seen.leastSlots, (count - union.size) * slots);
            world.after(20, look);
        };
        look();
    });

const fault = (text: string, run: (world: FleetSimulation) => unknown): Step =>
    at(faultAtSeconds, text, world => {
        seenBy.get(world)!.faultMs = world.clock.monotonicMs();
        return run(world);
    });

const detection = (service: string, upstream: string) => (world: FleetSimulation): readonly Measurement[] => {
    const { faultMs, firstMs, ejected, leastSlots } = seenBy.get(world)!;
    const floor = world.config.services.find(({ id }) => id === service)!.floorSlots;
    const tookMs = Math.round(firstMs - faultMs);
    return [
        atMost("detection-ms", Number.isNaN(tookMs) || !ejected.has(upstream) ? Infinity : tookMs, detectionTargetMs),
        atMost("false-ejections", [...ejected].filter(name => name !== upstream).length, 0),
        atLeast("least-healthy-slots", leastSlots, floor),
        unbounded("answered-%", answeredPercent(world.calls)),
    ];
};

const post = (target: string) => (_index: number, world: FleetSimulation) => ({
    method: "POST",
    target,
    idempotencyKey: world.newKey(),
    isFirst: true,
});

/** Half of 18 slots at 40 ms are 225 requests a second; rates of the organisations bound each of them. */
const alertsLoad: readonly Traffic[] = ["nordic-shelters", "chip-registry"].map(organisation => ({
    organisation,
    ratePerSecond: 112,
    call: post("/pets/1/found-reports"),
}));

const alertsFaults: readonly (readonly [name: string, text: string, run: (world: FleetSimulation) => unknown])[] = [
    ["slow", "alerts-svc-2 is 10 times slower", world => world.upstreams.get("alerts-svc-2")!.faults.slowFactor = 10],
    ["wrong-answers", "alerts-svc-2 answers are truncated", world => {
        world.upstreams.get("alerts-svc-2")!.faults.wrong = "truncated";
    }],
    ["failing-route", "alerts-svc-2 fails found reports", world => {
        world.upstreams.get("alerts-svc-2")!.faults.failingPrefix = "/pets";
    }],
];

const grayFailures: readonly Scenario[] = alertsFaults.map(([name, text, run], index) => ({
    name: `gray-${name}`,
    guarantees: "P1 P4",
    deployment: pawtraceDeployment,
    seed: 400 + index,
    durationMs: 14_000,
    traffic: alertsLoad,
    steps: [watchEjections("alerts-svc"), fault(text, run)],
    measure: detection("alerts-svc", "alerts-svc-2"),
    ...(name === "slow"
        ? { baseline: { name: "round robin", stages: () => ({ chooser: roundRobinChooser }) } }
        : {}),
}));

const falseEjections: readonly Scenario[] = [
    ["one-way-cut", cutOutbound(3, "entry-5", 600)],
    ["service-slow", [at(3, "all of alerts-svc is 5 times slower", world => {
        [...world.upstreams.values()].filter(({ listed }) => listed.service === "alerts-svc")
            .forEach(upstream => upstream.faults.slowFactor = 5);
    })]],
    ["platform-away", platformOutage(3)],
].map(([name, steps], index): Scenario => ({
    name: `no-ejection-${name as string}`,
    guarantees: "P1",
    deployment: pawtraceDeployment,
    seed: 410 + index,
    durationMs: 60_000,
    // A service that is 5 times slower has a fifth of its capacity; half of that is offered.
    traffic: alertsLoad.map(traffic => ({ ...traffic, ratePerSecond: 22 })),
    steps: [watchEjections("alerts-svc"), ...steps as readonly Step[]],
    measure: world => [
        atMost("false-ejections", seenBy.get(world)!.ejected.size, 0),
        unbounded("answered-%", answeredPercent(world.calls)),
        ...refusalsByType(world),
    ],
}));

const crashRequests: Scenario = {
    name: "crash-request",
    guarantees: "P5 P6",
    deployment: pawtraceDeployment,
    seed: 420,
    durationMs: 20_000,
    traffic: [
        ...alertsLoad.map(traffic => ({ ...traffic, ratePerSecond: 40 })),
        {
            organisation: "vets-united",
            ratePerSecond: 1,
            attempts: 3,
            call: (_index, world) => ({
                method: "POST",
                target: `/pets/${simulatedCrashMarker}/found-reports`,
                idempotencyKey: world.newKey(),
                isFirst: true,
            }),
        },
    ],
    steps: [],
    measure: world => [
        atMost("crashes", [...world.upstreams.values()].reduce((sum, upstream) => sum + upstream.crashes, 0), 2),
        atMost(
            "others-quarantined",
            world.calls.filter(call => call.type === "quarantined" && call.organisation !== "vets-united").length,
            0,
        ),
        unbounded("answered-%", answeredPercent(world.calls.filter(call => call.organisation !== "vets-united"))),
        ...refusalsByType(world),
    ],
    baseline: { name: "no crash guard", stages: () => ({ crashes: allowAllCrashGuard }) },
};

const fairness: Scenario = {
    name: "fair-shares",
    guarantees: "P3",
    deployment: abrazoDeployment,
    seed: 430,
    durationMs: 20_000,
    traffic: abrazoDeployment.config.organisations.map(({ id, ratePerSecond }, index) => ({
        organisation: id,
        ratePerSecond: index === 0 ? 5 * ratePerSecond : 0.9 * ratePerSecond,
        isConforming: index !== 0,
        call: () => ({ method: "GET", target: "/studios/1/availability" }),
    })),
    steps: [],
    measure: world => {
        const others = world.config.organisations.slice(1).map(({ id }) => 100 - refusedPercent(world, id));
        return [
            atLeast("worst-served-%", Math.min(...others), 95),
            unbounded("neighbour-refused-%", refusedPercent(world, world.config.organisations[0]!.id)),
            ...refusalsByType(world),
        ];
    },
};

export const healthScenarios: readonly Scenario[] = [...grayFailures, ...falseEjections, crashRequests, fairness];
