/** The demo: a fleet of processes on loopback, callers, kills and a graceful stop. Exits with 0 if all went well. */
import { CallerClient } from "@sniperoad/client";
import process from "node:process";
import { describeCounts, duplicateRuns, runLoad } from "../processes/load.js";
import { ProcessFleet } from "../processes/process-fleet.js";
import type { RunRecord } from "../stand-ins/upstream.js";
import { demoConfig, demoKeys } from "./demo-config.js";

/** The demo ends by itself within this time, whatever happens. */
const limitMs = 28_000;
const instances = 5;
const loadMs = 8_000;

const say = (text: string): void => void process.stdout.write(`${text}\n`);
const pause = (durationMs: number) => new Promise(resolve => setTimeout(resolve, durationMs));

const breakThings = async (fleet: ProcessFleet): Promise<number | undefined> => {
    await pause(2_000);
    say("2.0 s: kill -9 of entry-2");
    fleet.entries[1]!.child.kill("SIGKILL");
    await pause(1_500);
    say("3.5 s: kill -9 of upstream sightings-svc-1");
    fleet.upstreams.find(({ name }) => name === "sightings-svc-1")!.child.kill("SIGKILL");
    await pause(1_500);
    say("5.0 s: SIGTERM to entry-4");
    fleet.entries[3]!.child.kill("SIGTERM");
    const code = await fleet.entries[3]!.ended;
    say(`entry-4 ended with exit code ${code}`);
    fleet.publish();
    return code;
};

const surviving = (fleet: ProcessFleet) => fleet.upstreams.filter(({ child }) => child.signalCode === null);

const run = async (fleet: ProcessFleet): Promise<readonly string[]> => {
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
        idempotencyKey: client.newIdempotencyKey(),
    });
    say(`load for ${
        loadMs / 1_000
    } s: 150 lookups/s, 20 found reports/s, 60 lookups/s of an organisation with rate 20/s`);
    const [lookups, reports, over, exitCode] = await Promise.all([
        runLoad({ client: shelters, ratePerSecond: 150, durationMs: loadMs, call: lookup }),
        runLoad({ client: clinics, ratePerSecond: 20, durationMs: loadMs, call: report }),
        runLoad({ client: members, ratePerSecond: 60, durationMs: loadMs, call: lookup }),
        breakThings(fleet),
    ]);
    const records = (await Promise.all(surviving(fleet).map(upstream => fleet.record(upstream)))).flat();
    for (
        const [name, { requests, answered, retries, failed }] of [
            ["lookups", lookups],
            ["found reports", reports],
            ["lookups over rate", over],
        ] as const
    ) {
        say(`${name}: ${requests} sent, ${answered} answered, ${retries} retries; refused: ${describeCounts(failed)}`);
    }
    say(`answers by instance: ${describeCounts(lookups.byInstance)}`);
    say(`upstreams: ${records.length} runs recorded by those that survived`);
    await Promise.all(clients.map(client => client.close()));
    return failures({ lookups, reports, records, exitCode });
};

interface Outcome {
    readonly lookups: Awaited<ReturnType<typeof runLoad>>;
    readonly reports: Awaited<ReturnType<typeof runLoad>>;
    readonly records: readonly RunRecord[];
    readonly exitCode: number | undefined;
}

const failures = ({ lookups, reports, records, exitCode }: Outcome): readonly string[] => {
    const falseNotRun = records.filter(({ idempotencyKey }) => reports.notRunKeys.has(idempotencyKey ?? ""));
    return [
        lookups.answered < lookups.requests ? `${lookups.requests - lookups.answered} lookups were lost` : "",
        lookups.byInstance.size < 3 ? "fewer than three instances answered" : "",
        duplicateRuns(records).length > 0 ? `${duplicateRuns(records).length} reports ran twice` : "",
        falseNotRun.length > 0 ? `${falseNotRun.length} refusals said "not run" falsely` : "",
        records.some(({ sawKey }) => sawKey) ? "an upstream saw a key" : "",
        reports.answered === 0 ? "no report was answered" : "",
        exitCode !== 0 ? `the stopped instance ended with ${exitCode}` : "",
    ].filter(text => text !== "");
};

const main = async (): Promise<number> => {
    setTimeout(() => {
        say(`FAILED: not finished within ${limitMs / 1_000} s`);
        process.exit(1);
    }, limitMs).unref();
    say(`starting a stand-in platform, 8 stand-in upstreams and ${instances} entry instances on loopback`);
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
        say(`all ${instances} instances are current: ${fleet.seeds.join(", ")}`);
        const failed = await run(fleet);
        failed.forEach(text => say(`FAILED: ${text}`));
        say(failed.length === 0 ? "demo finished: all checks hold" : "demo finished with failures");
        return failed.length === 0 ? 0 : 1;
    }
    finally {
        await fleet.close();
    }
};

// Idle connections of callers would keep the process alive for seconds.
process.exit(await main());
