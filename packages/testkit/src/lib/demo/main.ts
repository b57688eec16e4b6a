/** Demo: a fleet of processes on loopback with callers, kills and a graceful shutdown. Exits with 0 if checks pass. */
import { CallerClient } from "@sniperoad/client";
import process from "node:process";
import { describeCounts, duplicateRuns, runLoad } from "../processes/load.js";
import { ProcessFleet } from "../processes/process-fleet.js";
import type { RunRecord } from "../stand-ins/upstream.js";
import { demoConfig, demoKeys } from "./demo-config.js";

/** Maximum duration of the demo, after which it fails. */
const timeLimitMs = 28_000;
const instances = 5;
const loadDurationMs = 8_000;

const print = (text: string): void => void process.stdout.write(`${text}\n`);
const delay = (durationMs: number) => new Promise(resolve => setTimeout(resolve, durationMs));

const injectFaults = async (fleet: ProcessFleet): Promise<number | undefined> => {
    await delay(2_000);
    print("2.0 s: kill -9 of entry-2");
    fleet.entries[1]!.child.kill("SIGKILL");
    await delay(1_500);
    print("3.5 s: kill -9 of upstream sightings-svc-1");
    fleet.upstreams.find(({ name }) => name === "sightings-svc-1")!.child.kill("SIGKILL");
    await delay(1_500);
    print("5.0 s: SIGTERM to entry-4");
    fleet.entries[3]!.child.kill("SIGTERM");
    const code = await fleet.entries[3]!.ended;
    print(`entry-4 ended with exit code ${code}`);
    fleet.publish();
    return code;
};

const survivingUpstreams = (fleet: ProcessFleet) => fleet.upstreams.filter(({ child }) => child.signalCode === null);

const runDemo = async (fleet: ProcessFleet): Promise<readonly string[]> => {
    const seeds = fleet.seeds;
    const clients = [demoKeys.shelters, demoKeys.clinics, demoKeys.members].map(key =>
        new CallerClient({ seeds, key, zone: "zone-a" })
    );
    const [shelters, clinics, members] = clients as [CallerClient, CallerClient, CallerClient];
    const lookup = (index: number) => ({ method: "GET", path: `/sightings/${index}` });
    const report = (index: number, client: CallerClient) => ({
        method: "POST",
        path: "/reports",
        body: JSON.stringify({ pet: index }),
        idempotencyKey: client.newKey(),
    });
    print(
        `load for ${
            loadDurationMs / 1_000
        } s: 150 lookups/s, 20 found reports/s, 60 lookups/s of an organisation with rate 20/s`,
    );
    const [lookups, reports, overRate, exitCode] = await Promise.all([
        runLoad({ client: shelters, ratePerSecond: 150, durationMs: loadDurationMs, call: lookup }),
        runLoad({ client: clinics, ratePerSecond: 20, durationMs: loadDurationMs, call: report }),
        runLoad({ client: members, ratePerSecond: 60, durationMs: loadDurationMs, call: lookup }),
        injectFaults(fleet),
    ]);
    const records = (await Promise.all(survivingUpstreams(fleet).map(upstream => fleet.record(upstream)))).flat();
    for (
        const [name, { requests, answered, retries, failed }] of [
            ["lookups", lookups],
            ["found reports", reports],
            ["lookups over rate", overRate],
        ] as const
    ) {
        print(
            `${name}: ${requests} sent, ${answered} answered, ${retries} retries; refused: ${describeCounts(failed)}`,
        );
    }
    print(`responses by instance: ${describeCounts(lookups.byInstance)}`);
    print(`upstreams: ${records.length} runs recorded by those that survived`);
    await Promise.all(clients.map(client => client.close()));
    return findFailures({ lookups, reports, records, exitCode });
};

interface DemoResult {
    readonly lookups: Awaited<ReturnType<typeof runLoad>>;
    readonly reports: Awaited<ReturnType<typeof runLoad>>;
    readonly records: readonly RunRecord[];
    readonly exitCode: number | undefined;
}

const findFailures = ({ lookups, reports, records, exitCode }: DemoResult): readonly string[] => {
    const falseNotRun = records.filter(({ idempotencyKey }) => reports.notRunKeys.has(idempotencyKey ?? ""));
    return [
        lookups.answered < lookups.requests ? `${lookups.requests - lookups.answered} lookups were lost` : "",
        lookups.byInstance.size < 3 ? "fewer than three instances answered" : "",
        duplicateRuns(records).length > 0 ? `${duplicateRuns(records).length} reports ran twice` : "",
        falseNotRun.length > 0 ? `${falseNotRun.length} refusals reported "not run" for requests that ran` : "",
        records.some(({ sawKey }) => sawKey) ? "an upstream received a key" : "",
        reports.answered === 0 ? "no report was answered" : "",
        exitCode !== 0 ? `the stopped instance ended with ${exitCode}` : "",
    ].filter(text => text !== "");
};

const main = async (): Promise<number> => {
    setTimeout(() => {
        print(`FAILED: not finished within ${timeLimitMs / 1_000} s`);
        process.exit(1);
    }, timeLimitMs).unref();
    print(`starting a stand-in platform, 8 stand-in upstreams and ${instances} entry instances on loopback`);
    const fleet = await ProcessFleet.start({
        config: demoConfig(instances),
        instances,
        upstreams: [
            { service: "sightings-svc", count: 5, serviceMs: 8 },
            { service: "alerts-svc", count: 3, serviceMs: 8 },
        ],
        zones: ["zone-a", "zone-b", "zone-c"],
    });
    try {
        print(`all ${instances} instances are current: ${fleet.seeds.join(", ")}`);
        const failed = await runDemo(fleet);
        failed.forEach(text => print(`FAILED: ${text}`));
        print(failed.length === 0 ? "demo finished: all checks hold" : "demo finished with failures");
        return failed.length === 0 ? 0 : 1;
    }
    finally {
        await fleet.close();
    }
};

// Idle connections of callers would keep the process alive for seconds.
process.exit(await main());
