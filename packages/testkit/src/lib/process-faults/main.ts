/**
 * Injects faults into whole processes and checks the results at the upstreams: `npm run process-faults`. Exits with 0
 * if all bounds hold.
 */
import { CallerClient } from "@sniperoad/client";
import process from "node:process";
import { request } from "undici";
import { demoConfig, demoKeys } from "../demo/demo-config.js";
import { describeCounts, duplicateRuns, runLoad } from "../processes/load.js";
import type { LoadReport } from "../processes/load.js";
import { fleetAdminToken, ProcessFleet } from "../processes/process-fleet.js";
import type { EntryProcess } from "../processes/process-fleet.js";

const instances = 5;
/** Longer than every lease. */
const pauseMs = 8_000;
const outageMs = 10_000;
/** Time within which a withdrawn key must stop working (P2). */
const withdrawalMs = 5_000;

const print = (text: string): void => void process.stdout.write(`${text}\n`);
const wait = (durationMs: number) => new Promise(resolve => setTimeout(resolve, durationMs));

interface Fault {
    readonly name: string;
    readonly loadMs: number;
    /** Injects the fault, and returns the violated bounds that only this fault checks; empty entries do not count. */
    readonly run: (fleet: ProcessFleet) => Promise<readonly string[]>;
}

const kill: Fault = {
    name: "kill -9 of an instance under load",
    loadMs: 6_000,
    run: async fleet => {
        await wait(2_000);
        fleet.entries[1]!.child.kill("SIGKILL");
        return [];
    },
};

const pause: Fault = {
    name: `SIGSTOP of an instance for ${pauseMs} ms under load`,
    loadMs: pauseMs + 6_000,
    run: async fleet => {
        await wait(2_000);
        const { child } = fleet.entries[1]!;
        child.kill("SIGSTOP");
        await wait(pauseMs);
        child.kill("SIGCONT");
        return [];
    },
};

const withdraw = async (entry: EntryProcess, key: string): Promise<number> => {
    const response = await request(`http://${entry.callerAddress}/admin/withdrawals`, {
        method: "POST",
        headers: { authorization: `Bearer ${fleetAdminToken}` },
        body: JSON.stringify({ key }),
    });
    await response.body.dump();
    return response.statusCode;
};

const outage: Fault = {
    name: `platform unavailable for ${outageMs} ms with a withdrawal during the outage`,
    loadMs: outageMs + 4_000,
    run: async fleet => {
        const countRuns = async () => {
            const records = (await Promise.all(fleet.upstreams.map(upstream => fleet.record(upstream)))).flat();
            return records.filter(({ target }) => target.startsWith("/sightings/withdrawn-")).length;
        };
        const client = new CallerClient({ seeds: fleet.seeds, key: demoKeys.members, timeoutMs: 2_000 });
        const load = runLoad({
            client,
            ratePerSecond: 10,
            durationMs: outageMs,
            call: index => ({ method: "GET", path: `/sightings/withdrawn-${index}` }),
        });
        await wait(1_000);
        fleet.platform.platform.faults.isUnavailable = true;
        await wait(2_000);
        const status = await withdraw(fleet.entries[2]!, "members-1");
        const before = await countRuns();
        await wait(withdrawalMs);
        const after = await countRuns();
        await wait(outageMs - 2_000 - withdrawalMs);
        fleet.platform.platform.faults.isUnavailable = false;
        await load;
        const late = await countRuns() - after;
        await client.close();
        print(
            `  withdrawal: status ${status}; runs of its key: ${before} before, ${
                after - before
            } within 5 s, ${late} later`,
        );
        return [
            status === 200 ? "" : `the withdrawal was answered with ${status}`,
            before > 0 ? "" : "the key ran nothing before its withdrawal",
            late === 0 ? "" : `${late} requests ran more than 5 s after the withdrawal`,
        ];
    },
};

const terminate: Fault = {
    name: "SIGTERM of an instance under load",
    loadMs: 7_000,
    run: async fleet => {
        await wait(2_000);
        const entry = fleet.entries[1]!;
        // These connections bypass the client, which would hide an interrupted request by a retry.
        const pending = Array.from({ length: 20 }, async (_, index) => {
            const response = await request(`http://${entry.callerAddress}/sightings/held-${index}`, {
                headers: { authorization: `Bearer ${demoKeys.shelters}` },
            });
            return (await response.body.text()).length > 0;
        });
        entry.child.kill("SIGTERM");
        const answers = await Promise.allSettled(pending);
        const interrupted = answers.filter(({ status }) => status === "rejected").length;
        const code = await entry.ended;
        print(`  open requests at the instance: ${pending.length}, interrupted: ${interrupted}; exit code ${code}`);
        return [
            interrupted === 0 ? "" : `${interrupted} requests were interrupted`,
            code === 0 ? "" : `the instance exited with code ${code}`,
        ];
    },
};

const printReport = (name: string, { requests, answered, retries, failed }: LoadReport): void =>
    print(`  ${name}: ${requests} sent, ${answered} answered, ${retries} retries; refused: ${describeCounts(failed)}`);

/** Runs a fault on a separate fleet, and returns the violated bounds (docs/design.md, "Guarantees (P1–P9)"). */
const runFault = async (fault: Fault): Promise<readonly string[]> => {
    print(fault.name);
    const fleet = await ProcessFleet.start({
        config: demoConfig(instances),
        instances,
        upstreams: [
            { service: "sightings-svc", count: 5, serviceMs: 8 },
            { service: "alerts-svc", count: 3, serviceMs: 8 },
        ],
        zones: ["zone-a", "zone-b", "zone-c"],
    });
    const shelters = new CallerClient({ seeds: fleet.seeds, key: demoKeys.shelters });
    const clinics = new CallerClient({ seeds: fleet.seeds, key: demoKeys.clinics });
    try {
        const [lookups, reports, own] = await Promise.all([
            runLoad({
                client: shelters,
                ratePerSecond: 100,
                durationMs: fault.loadMs,
                call: index => ({ method: "GET", path: `/sightings/${index}` }),
            }),
            runLoad({
                client: clinics,
                ratePerSecond: 20,
                durationMs: fault.loadMs,
                call: (index, client) => ({
                    method: "POST",
                    path: "/reports",
                    body: JSON.stringify({ pet: index }),
                    idempotencyKey: client.newKey(),
                }),
            }),
            fault.run(fleet),
        ]);
        const records = (await Promise.all(fleet.upstreams.map(upstream => fleet.record(upstream)))).flat();
        printReport("lookups", lookups);
        printReport("reports", reports);
        const twice = duplicateRuns(records).length;
        const falseNotRun = records.filter(({ idempotencyKey }) => reports.notRunKeys.has(idempotencyKey ?? "")).length;
        const sawKey = records.filter(record => record.sawKey).length;
        print(`  upstreams: ${records.length} runs, ${twice} keys run twice, ${falseNotRun} false "not run"`);
        return [
            ...own,
            twice === 0 ? "" : `${twice} idempotency keys ran twice`,
            falseNotRun === 0 ? "" : `${falseNotRun} refusals reported "not run" for requests that ran`,
            sawKey === 0 ? "" : `${sawKey} runs received a key`,
            lookups.answered === lookups.requests ? "" : `${lookups.requests - lookups.answered} lookups were lost`,
            reports.answered > 0 ? "" : "no report was answered",
        ].filter(text => text !== "");
    }
    finally {
        await Promise.all([shelters.close(), clinics.close()]);
        await fleet.close();
    }
};

let failures = 0;
for (const fault of [kill, pause, outage, terminate]) {
    const failed = await runFault(fault);
    failed.forEach(text => print(`  FAILED: ${text}`));
    failures += failed.length;
}
print(failures === 0 ? "process faults: all bounds hold" : `process faults: ${failures} bounds do not hold`);
process.exit(failures === 0 ? 0 : 1);
