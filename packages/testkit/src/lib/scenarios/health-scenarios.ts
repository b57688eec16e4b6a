/** Scenarios for gray failures, crash requests and fair shares on the alerts and studio services. */
import { allowAllCrashGuard, roundRobinChooser } from "@sniperoad/core/testing";
import { abrazoDeployment, pawtraceDeployment } from "./deployments.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { answeredPercent, refusalsByType, refusedPercent } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "./scenario-dsl.js";
import { simulatedCrashMarker } from "./simulated-upstream.js";

const faultAtSeconds = 8;
/** Maximum time from the fault to the first ejection that any instance enforces. */
const detectionTargetMs = 2_000;

interface EjectionObservation {
    faultMs: number;
    firstEjectionMs: number;
    /** Upstreams that any instance has ejected. */
    ejected: Set<string>;
    /** Smallest number of slots at upstreams that no instance had ejected. */
    leastSlots: number;
}

const observations = new WeakMap<FleetSimulation, EjectionObservation>();

/** Polls the ejections of all running instances every 20 ms. */
const watchEjections = (service: string): Step =>
    at(0.1, "watch ejections", simulation => {
        const observation: EjectionObservation = {
            faultMs: NaN,
            firstEjectionMs: NaN,
            ejected: new Set(),
            leastSlots: Infinity,
        };
        observations.set(simulation, observation);
        const slots = simulation.config.services.find(({ id }) => id === service)!.slotsPerUpstream;
        const count = [...simulation.upstreams.values()].filter(({ listed }) => listed.service === service).length;
        const poll = () => {
            const ejectedNow = new Set(
                simulation.running().flatMap(name =>
                    simulation.core(name).ejections(service as never).map(entry => entry.upstream as string)
                ),
            );
            ejectedNow.forEach(upstream => observation.ejected.add(upstream));
            if (ejectedNow.size > 0 && Number.isNaN(observation.firstEjectionMs)) {
                observation.firstEjectionMs = simulation.clock.monotonicMs();
            }
            observation.leastSlots = Math.min(observation.leastSlots, (count - ejectedNow.size) * slots);
            simulation.after(20, poll);
        };
        poll();
    });

const injectFault = (text: string, run: (simulation: FleetSimulation) => unknown): Step =>
    at(faultAtSeconds, text, simulation => {
        observations.get(simulation)!.faultMs = simulation.clock.monotonicMs();
        return run(simulation);
    });

const measureDetection =
    (service: string, upstream: string) => (simulation: FleetSimulation): readonly Measurement[] => {
        const { faultMs, firstEjectionMs, ejected, leastSlots } = observations.get(simulation)!;
        const floorSlots = simulation.config.services.find(({ id }) => id === service)!.floorSlots;
        const tookMs = Math.round(firstEjectionMs - faultMs);
        return [
            atMost(
                "detection-ms",
                Number.isNaN(tookMs) || !ejected.has(upstream) ? Infinity : tookMs,
                detectionTargetMs,
            ),
            atMost("false-ejections", [...ejected].filter(name => name !== upstream).length, 0),
            atLeast("least-healthy-slots", leastSlots, floorSlots),
            unbounded("answered-%", answeredPercent(simulation.calls)),
        ];
    };

const postCall = (target: string) => (_index: number, simulation: FleetSimulation) => ({
    method: "POST",
    target,
    idempotencyKey: simulation.newKey(),
    isFirstAttempt: true,
});

/**
 * Half the capacity: 18 slots at 40 ms run 450 requests per second. Two organisations send half of the load each,
 * because of their rate limits.
 */
const alertsLoad: readonly Traffic[] = ["nordic-shelters", "chip-registry"].map(organisation => ({
    organisation,
    ratePerSecond: 112,
    call: postCall("/pets/1/found-reports"),
}));

const alertsFaults: readonly (readonly [name: string, text: string, run: (simulation: FleetSimulation) => unknown])[] =
    [
        [
            "slow",
            "alerts-svc-2 is 10 times slower",
            simulation => simulation.upstreams.get("alerts-svc-2")!.faults.slowFactor = 10,
        ],
        ["wrong-answers", "alerts-svc-2 answers are truncated", simulation => {
            simulation.upstreams.get("alerts-svc-2")!.faults.wrong = "truncated";
        }],
        ["failing-route", "alerts-svc-2 fails found reports", simulation => {
            simulation.upstreams.get("alerts-svc-2")!.faults.failingPrefix = "/pets";
        }],
    ];

const grayFailures: readonly Scenario[] = alertsFaults.map(([name, text, run], index) => ({
    name: `gray-${name}`,
    guarantees: "P1 P4",
    deployment: pawtraceDeployment,
    seed: 400 + index,
    durationMs: 14_000,
    traffic: alertsLoad,
    steps: [watchEjections("alerts-svc"), injectFault(text, run)],
    measure: measureDetection("alerts-svc", "alerts-svc-2"),
    ...(name === "slow"
        ? { baseline: { name: "round robin", stages: () => ({ chooser: roundRobinChooser }) } }
        : {}),
}));

const falseEjections: readonly Scenario[] = [
    ["one-way-cut", cutOutbound(3, "entry-5", 600)],
    ["service-slow", [at(3, "all of alerts-svc is 5 times slower", simulation => {
        [...simulation.upstreams.values()].filter(({ listed }) => listed.service === "alerts-svc")
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
    measure: simulation => [
        atMost("false-ejections", observations.get(simulation)!.ejected.size, 0),
        unbounded("answered-%", answeredPercent(simulation.calls)),
        ...refusalsByType(simulation),
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
            call: (_index, simulation) => ({
                method: "POST",
                target: `/pets/${simulatedCrashMarker}/found-reports`,
                idempotencyKey: simulation.newKey(),
                isFirstAttempt: true,
            }),
        },
    ],
    steps: [],
    measure: simulation => [
        atMost("crashes", [...simulation.upstreams.values()].reduce((sum, upstream) => sum + upstream.crashes, 0), 2),
        atMost(
            "others-quarantined",
            simulation.calls.filter(call => call.refusalType === "quarantined" && call.organisation !== "vets-united")
                .length,
            0,
        ),
        unbounded("answered-%", answeredPercent(simulation.calls.filter(call => call.organisation !== "vets-united"))),
        ...refusalsByType(simulation),
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
    measure: simulation => {
        const others = simulation.config.organisations.slice(1).map(({ id }) => 100 - refusedPercent(simulation, id));
        return [
            atLeast("worst-served-%", Math.min(...others), 95),
            unbounded("neighbour-refused-%", refusedPercent(simulation, simulation.config.organisations[0]!.id)),
            ...refusalsByType(simulation),
        ];
    },
};

export const healthScenarios: readonly Scenario[] = [...grayFailures, ...falseEjections, crashRequests, fairness];
