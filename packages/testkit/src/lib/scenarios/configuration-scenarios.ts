/** Scenarios: configuration changes that reach all instances and never revert, withdrawn keys, leaving upstreams. */
import { applyChange, planChange } from "@sniperoad/core";
import type { FleetConfig, KeyId, PlatformPort } from "@sniperoad/core";
import { pawtraceDeployment } from "./deployments.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { refusalsByType } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "./scenario-dsl.js";

/** Maximum time until a change, a withdrawal or a drain takes effect. */
const maxDelayMs = 5_000;
const changeAtSeconds = 5;
const organisation = "city-patrol";
const keyId = pawtraceDeployment.config.organisations.find(({ id }) => id === organisation)!.keys[0]!.id;

interface Observation {
    /** Time of the first accepted change, or of the withdrawal or drain. */
    acceptedMs: number;
    /** Time at which all counted instances first had the revision. */
    everywhereMs: number;
    /** Number of times that an instance's revision decreased. */
    reverts: number;
    /** Result kind or error name of each attempt to apply a change. */
    results: string[];
}

/** Observations of the running scenarios. */
const observations = new WeakMap<FleetSimulation, Observation>();

const observationOf = (simulation: FleetSimulation): Observation => {
    const known = observations.get(simulation) ?? { acceptedMs: NaN, everywhereMs: NaN, reverts: 0, results: [] };
    observations.set(simulation, known);
    return known;
};

/** Polls the revision of each counted instance every 50 ms. */
const watchRevisions = (revision: number, isCounted: (name: string) => boolean = () => true): Step =>
    at(0.1, "watch revisions", simulation => {
        const seen = new Map<string, number>();
        const poll = () => {
            const observed = observationOf(simulation);
            const names = simulation.running().filter(isCounted);
            for (const name of names) {
                const currentRevision = simulation.core(name).status().configRevision;
                observed.reverts += currentRevision < (seen.get(name) ?? 0) ? 1 : 0;
                seen.set(name, currentRevision);
            }
            if (Number.isNaN(observed.everywhereMs) && names.every(name => seen.get(name)! >= revision)) {
                observed.everywhereMs = simulation.clock.monotonicMs();
            }
            simulation.after(50, poll);
        };
        poll();
    });

const withRate = (config: FleetConfig, ratePerSecond: number) => ({
    seats: config.seats,
    services: config.services,
    routes: config.routes,
    organisations: config.organisations.map(entry => entry.id === "volunteers" ? { ...entry, ratePerSecond } : entry),
});

/** Plans and applies a change like the command-line tool, and retries it if its reply is lost. */
const applyRateChange = async (
    simulation: FleetSimulation,
    ratePerSecond: number,
    operation: string,
): Promise<void> => {
    const observed = observationOf(simulation);
    const platform: PlatformPort = simulation.platform.port();
    const proposal = withRate(simulation.config, ratePerSecond);
    const plan = await planChange(platform, proposal);
    for (let attempt = 0; attempt < 5; attempt++) {
        try {
            const result = await applyChange(platform, { proposal, baseVersion: plan.baseVersion, operation });
            observed.results.push(result.kind);
            observed.acceptedMs = Math.min(simulation.clock.monotonicMs(), observed.acceptedMs || Infinity);
            return;
        }
        catch (error) {
            observed.results.push(error instanceof Error ? error.name : "error");
        }
    }
};

const changeRate = (seconds: number, operation: string, ratePerSecond: number): Step =>
    at(seconds, `apply ${operation}`, simulation => void applyRateChange(simulation, ratePerSecond, operation));

const measureRollout = (simulation: FleetSimulation): readonly Measurement[] => {
    const { acceptedMs, everywhereMs, reverts } = observationOf(simulation);
    const tookMs = Math.round(everywhereMs - acceptedMs);
    return [
        atMost("in-force-everywhere-ms", Number.isNaN(tookMs) ? Infinity : Math.max(0, tookMs), maxDelayMs),
        atMost("reverts", reverts, 0),
    ];
};

const lookups: Traffic = { organisation, ratePerSecond: 100, call: () => ({ method: "GET", target: "/pets/1" }) };

/** Creates a withdrawal or drain, whose time {@link measureLateRuns} compares with the arrivals of runs. */
const withdrawOrDrain = (seconds: number, text: string, run: (simulation: FleetSimulation) => unknown): Step =>
    at(seconds, text, simulation => {
        observationOf(simulation).acceptedMs = simulation.clock.monotonicMs();
        return run(simulation);
    });

const measureLateRuns = (simulation: FleetSimulation): readonly Measurement[] => {
    const { acceptedMs } = observationOf(simulation);
    const last = Math.max(...simulation.runs.map(run => run.arrivedMs));
    const late = simulation.runs.filter(run => run.arrivedMs > acceptedMs + maxDelayMs).length;
    return [atMost("runs-later-than-5-s", late, 0), unbounded("last-run-after-ms", Math.round(last - acceptedMs))];
};

const putWithdrawal = (simulation: FleetSimulation) => {
    const { version } = simulation.platform.peek("withdrawals") ?? { version: 0 };
    return simulation.platform.port().put("withdrawals", { keys: [keyId] }, version);
};

const commonFields = { guarantees: "P9 P2", deployment: pawtraceDeployment, durationMs: 20_000 } as const;

const changeScenarios: readonly Scenario[] = [
    ["healthy", [changeRate(changeAtSeconds, "op-1", 30)], () => true],
    ["watch-broken", [
        at(1, "watch broken", simulation => simulation.platform.faults.isWatchBroken = true),
        changeRate(5, "op-1", 30),
    ], () => true],
    ["watch-stale", [
        at(1, "watch stale", simulation => simulation.platform.faults.isWatchStale = true),
        changeRate(5, "op-1", 30),
        changeRate(12, "op-2", 35),
    ], () => true],
    [
        "reply-lost",
        [
            at(4.9, "next reply lost", simulation => simulation.platform.faults.lostReplies = 1),
            changeRate(5, "op-1", 30),
        ],
        () => true,
    ],
    [
        "platform-slow",
        [at(4, "platform slow", simulation => simulation.platform.faults.delayMs = 800), changeRate(5, "op-1", 30)],
        () => true,
    ],
    [
        "one-way-cut",
        [...cutOutbound(2, "entry-7", 30), changeRate(5, "op-1", 30)],
        (name: string) => name !== "entry-7",
    ],
    ["pause", [...pause(3, "entry-9", 10), changeRate(5, "op-1", 30)], (name: string) => name !== "entry-9"],
].map(([name, steps, isCounted], index): Scenario => ({
    ...commonFields,
    name: `config-${name as string}`,
    seed: 300 + index,
    traffic: [],
    steps: [watchRevisions(2, isCounted as (name: string) => boolean), ...steps as readonly Step[]],
    measure: measureRollout,
}));

const racingOperators: Scenario = {
    ...commonFields,
    name: "config-operators-racing",
    seed: 320,
    traffic: [],
    steps: [watchRevisions(2), changeRate(5, "op-a", 30), changeRate(5, "op-b", 35), changeRate(5, "op-c", 40)],
    measure: simulation => [
        ...measureRollout(simulation),
        atMost("accepted", observationOf(simulation).results.filter(kind => kind === "applied").length, 1),
        // Both other operators must receive a conflict; no change may be dropped silently.
        atLeast("told-conflict", observationOf(simulation).results.filter(kind => kind === "conflict").length, 2),
    ],
};

const withdrawalScenarios: readonly Scenario[] = [
    {
        ...commonFields,
        name: "key-withdrawn-at-platform",
        seed: 330,
        traffic: [lookups],
        steps: [withdrawOrDrain(5, "withdraw at the platform", putWithdrawal)],
        measure: measureLateRuns,
    },
    {
        ...commonFields,
        name: "key-withdrawn-in-outage",
        seed: 331,
        traffic: [lookups],
        steps: [
            ...platformOutage(1),
            withdrawOrDrain(
                5,
                "withdraw at entry-1",
                simulation => simulation.core("entry-1").withdraw(keyId as KeyId),
            ),
        ],
        measure: measureLateRuns,
    },
    {
        ...commonFields,
        name: "key-withdrawn-past-a-cut-and-a-pause",
        seed: 332,
        traffic: [lookups],
        steps: [
            ...cutOutbound(4, "entry-6", 14),
            ...pause(4.5, "entry-8", 8),
            withdrawOrDrain(5, "withdraw at the platform", putWithdrawal),
        ],
        measure: simulation => [...measureLateRuns(simulation), ...refusalsByType(simulation)],
    },
    {
        ...commonFields,
        name: "upstream-leaves-while-the-list-lags",
        guarantees: "P7",
        seed: 333,
        traffic: [{ ...lookups, organisation: "nordic-shelters", ratePerSecond: 400 }],
        steps: [
            at(1, "list lags by a minute", simulation => simulation.platform.faults.listLagMs = 60_000),
            withdrawOrDrain(5, "sightings-svc-4 drains", simulation => {
                simulation.upstreams.get("sightings-svc-4")!.faults.isDraining = true;
            }),
        ],
        measure: simulation => {
            const { acceptedMs } = observationOf(simulation);
            const runs = simulation.runs.filter(run => run.upstream === "sightings-svc-4");
            const late = runs.filter(run => run.arrivedMs > acceptedMs + maxDelayMs).length;
            const lastMs = Math.max(...runs.map(run => run.arrivedMs)) - acceptedMs;
            return [atMost("runs-later-than-5-s", late, 0), unbounded("last-run-after-ms", Math.round(lastMs))];
        },
    },
];

export const configurationScenarios: readonly Scenario[] = [
    ...changeScenarios,
    racingOperators,
    ...withdrawalScenarios,
];
