/** Configuration in force everywhere and never reverting, withdrawn keys, leaving upstreams. */
import { applyChange, planChange } from "@sniperoad/core";
import type { FleetConfig, KeyId, PlatformPort } from "@sniperoad/core";
import { pawtraceDeployment } from "./deployments.js";
import type { FleetSimulation } from "./fleet-simulation.js";
import { refusalsByType } from "./measurements.js";
import { at, atLeast, atMost, cutOutbound, pause, platformOutage, unbounded } from "./scenario-dsl.js";
import type { Measurement, Scenario, Step, Traffic } from "./scenario-dsl.js";

/** Changes, withdrawals and drains count as late after this time. */
const targetMs = 5_000;
const changeAtSeconds = 5;
const organisation = "city-patrol";
const keyId = pawtraceDeployment.config.organisations.find(({ id }) => id === organisation)!.keys[0]!.id;

interface Observation {
    acceptedMs: number;
    everywhereMs: number;
    reverts: number;
    results: string[];
}

/** What the script has seen in the world of one run. */
const observations = new WeakMap<FleetSimulation, Observation>();

const observationOf = (world: FleetSimulation): Observation => {
    const known = observations.get(world) ?? { acceptedMs: NaN, everywhereMs: NaN, reverts: 0, results: [] };
    observations.set(world, known);
    return known;
};

/** Watches each instance's revision from now on, several times a second. */
const watchRevisions = (revision: number, isCounted: (name: string) => boolean = () => true): Step =>
    at(0.1, "watch revisions", world => {
        const seen = new Map<string, number>();
        const look = () => {
            const observed = observationOf(world);
            const names = world.running().filter(isCounted);
            for (const name of names) {
                const held = world.core(name).status().configRevision;
                observed.reverts += held < (seen.get(name) ?? 0) ? 1 : 0;
                seen.set(name, held);
            }
            if (Number.isNaN(observed.everywhereMs) && names.every(name => seen.get(name)! >= revision)) {
                observed.everywhereMs = world.clock.monotonicMs();
            }
            world.after(50, look);
        };
        look();
    });

const withRate = (config: FleetConfig, ratePerSecond: number) => ({
    seats: config.seats,
    services: config.services,
    routes: config.routes,
    organisations: config.organisations.map(entry => entry.id === "volunteers" ? { ...entry, ratePerSecond } : entry),
});

/** Plans and applies as the command line does, repeating a change whose reply was lost. */
const apply = async (world: FleetSimulation, ratePerSecond: number, operation: string): Promise<void> => {
    const observed = observationOf(world);
    const platform: PlatformPort = world.platform.port();
    const proposal = withRate(world.config, ratePerSecond);
    const plan = await planChange(platform, proposal);
    for (let attempt = 0; attempt < 5; attempt++) {
        try {
            const result = await applyChange(platform, { proposal, baseVersion: plan.baseVersion, operation });
            observed.results.push(result.kind);
            observed.acceptedMs = Math.min(world.clock.monotonicMs(), observed.acceptedMs || Infinity);
            return;
        }
        catch (error) {
            observed.results.push(error instanceof Error ? error.name : "error");
        }
    }
};

const change = (seconds: number, operation: string, ratePerSecond: number): Step =>
    at(seconds, `apply ${operation}`, world => void apply(world, ratePerSecond, operation));

const inForce = (world: FleetSimulation): readonly Measurement[] => {
    const { acceptedMs, everywhereMs, reverts } = observationOf(world);
    const tookMs = Math.round(everywhereMs - acceptedMs);
    return [
        atMost("in-force-everywhere-ms", Number.isNaN(tookMs) ? Infinity : Math.max(0, tookMs), targetMs),
        atMost("reverts", reverts, 0),
    ];
};

const lookups: Traffic = { organisation, ratePerSecond: 100, call: () => ({ method: "GET", target: "/pets/1" }) };

const withdrawAt = (seconds: number, text: string, run: (world: FleetSimulation) => unknown): Step =>
    at(seconds, text, world => {
        observationOf(world).acceptedMs = world.clock.monotonicMs();
        return run(world);
    });

const lateRuns = (world: FleetSimulation): readonly Measurement[] => {
    const { acceptedMs } = observationOf(world);
    const last = Math.max(...world.runs.map(run => run.arrivedMs));
    const late = world.runs.filter(run => run.arrivedMs > acceptedMs + targetMs).length;
    return [atMost("runs-later-than-5-s", late, 0), unbounded("last-run-after-ms", Math.round(last - acceptedMs))];
};

const writeWithdrawal = (world: FleetSimulation) => {
    const { version } = world.platform.peek("withdrawals") ?? { version: 0 };
    return world.platform.port().put("withdrawals", { keys: [keyId] }, version);
};

const base = { guarantees: "P9 P2", deployment: pawtraceDeployment, durationMs: 20_000 } as const;

const changes: readonly Scenario[] = [
    ["healthy", [change(changeAtSeconds, "op-1", 30)], () => true],
    ["watch-broken", [
        at(1, "watch broken", world => world.platform.faults.isWatchBroken = true),
        change(5, "op-1", 30),
    ], () => true],
    ["watch-stale", [
        at(1, "watch stale", world => world.platform.faults.isWatchStale = true),
        change(5, "op-1", 30),
        change(12, "op-2", 35),
    ], () => true],
    [
        "reply-lost",
        [at(4.9, "next reply lost", world => world.platform.faults.lostReplies = 1), change(5, "op-1", 30)],
        () => true,
    ],
    [
        "platform-slow",
        [at(4, "platform slow", world => world.platform.faults.delayMs = 800), change(5, "op-1", 30)],
        () => true,
    ],
    ["one-way-cut", [...cutOutbound(2, "entry-7", 30), change(5, "op-1", 30)], (name: string) => name !== "entry-7"],
    ["pause", [...pause(3, "entry-9", 10), change(5, "op-1", 30)], (name: string) => name !== "entry-9"],
].map(([name, steps, isCounted], index): Scenario => ({
    ...base,
    name: `config-${name as string}`,
    seed: 300 + index,
    traffic: [],
    steps: [watchRevisions(2, isCounted as (name: string) => boolean), ...steps as readonly Step[]],
    measure: inForce,
}));

const racing: Scenario = {
    ...base,
    name: "config-operators-racing",
    seed: 320,
    traffic: [],
    steps: [watchRevisions(2), change(5, "op-a", 30), change(5, "op-b", 35), change(5, "op-c", 40)],
    measure: world => [
        ...inForce(world),
        atMost("accepted", observationOf(world).results.filter(kind => kind === "applied").length, 1),
        // Each of the others is told that it lost; none is dropped without a word.
        atLeast("told-conflict", observationOf(world).results.filter(kind => kind === "conflict").length, 2),
    ],
};

const withdrawals: readonly Scenario[] = [
    {
        ...base,
        name: "key-withdrawn-at-platform",
        seed: 330,
        traffic: [lookups],
        steps: [withdrawAt(5, "withdraw at the platform", writeWithdrawal)],
        measure: lateRuns,
    },
    {
        ...base,
        name: "key-withdrawn-in-outage",
        seed: 331,
        traffic: [lookups],
        steps: [
            ...platformOutage(1),
            withdrawAt(5, "withdraw at entry-1", world => world.core("entry-1").withdraw(keyId as KeyId)),
        ],
        measure: lateRuns,
    },
    {
        ...base,
        name: "key-withdrawn-past-a-cut-and-a-pause",
        seed: 332,
        traffic: [lookups],
        steps: [
            ...cutOutbound(4, "entry-6", 14),
            ...pause(4.5, "entry-8", 8),
            withdrawAt(5, "withdraw at the platform", writeWithdrawal),
        ],
        measure: world => [...lateRuns(world), ...refusalsByType(world)],
    },
    {
        ...base,
        name: "upstream-leaves-while-the-list-lags",
        guarantees: "P7",
        seed: 333,
        traffic: [{ ...lookups, organisation: "nordic-shelters", ratePerSecond: 400 }],
        steps: [
            at(1, "list lags by a minute", world => world.platform.faults.listLagMs = 60_000),
            withdrawAt(5, "sightings-svc-4 drains", world => {
                world.upstreams.get("sightings-svc-4")!.faults.isDraining = true;
            }),
        ],
        measure: world => {
            const { acceptedMs } = observationOf(world);
            const runs = world.runs.filter(run => run.upstream === "sightings-svc-4");
            const late = runs.filter(run => run.arrivedMs > acceptedMs + targetMs).length;
            const lastMs = Math.max(...runs.map(run => run.arrivedMs)) - acceptedMs;
            return [atMost("runs-later-than-5-s", late, 0), unbounded("last-run-after-ms", Math.round(lastMs))];
        },
    },
];

export const configurationScenarios: readonly Scenario[] = [...changes, racing, ...withdrawals];
