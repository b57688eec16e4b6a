/**
 * Measures the latency that an entry instance adds at a fixed open-loop rate: `npm run latency [REQUESTS_PER_SECOND]`.
 */
import { uuidV7 } from "@sniperoad/client";
import { checkFleetConfig } from "@sniperoad/core";
import type { FleetConfig } from "@sniperoad/core";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { randomBytes } from "node:crypto";
import process from "node:process";
import { Pool } from "undici";
import { demoConfig, demoKeys } from "../demo/demo-config.js";
import { ProcessFleet } from "../processes/process-fleet.js";

/** Maximum added latency at the 99th percentile (docs/design.md, "Deployment environment"). */
const targetMs = 7.1;
const instances = 5;
const durationMs = 10_000;
/** Claim holders need about 10 s until their records are complete, and buckets need time to fill. */
const warmUpMs = 12_000;
const ratePerSecond = Number(process.argv[2] ?? 200);

type RequestKind = "lookup" | "report";

const print = (text: string): void => void process.stdout.write(`${text}\n`);

/** Configuration of the demo, with slots and rates that do not limit the load. */
const latencyConfig = (): FleetConfig => {
    const config = demoConfig(instances);
    const checked = checkFleetConfig({
        ...config,
        organisations: config.organisations.map(entry => ({ ...entry, ratePerSecond: 20_000, burst: 20_000 })),
        services: config.services.map(entry => ({ ...entry, slotsPerUpstream: 50 })),
    });
    if (checked.kind === "invalid") {
        throw new Error(`the configuration is invalid: ${JSON.stringify(checked.problems)}`);
    }
    return checked.value;
};

/** Address to which requests are sent, an upstream or an entry instance, with the measured latencies. */
interface Path {
    readonly histogram: Histogram;
    failed: number;
    readonly pool: Pool;
}

const openPath = (address: string): Path => ({
    histogram: build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    }),
    failed: 0,
    pool: new Pool(`http://${address}`, { connections: 64 }),
});

/** Sends one request. Its latency counts from the time at which it was due, so that stalls are measured in full. */
const sendRequest = async (path: Path, kind: RequestKind, index: number, dueMs: number): Promise<void> => {
    const authorization = `Bearer ${demoKeys.shelters}`;
    try {
        const response = await path.pool.request(
            kind === "lookup"
                ? { method: "GET", path: `/sightings/${index}`, headers: { authorization } }
                : {
                    method: "POST",
                    path: "/reports",
                    headers: {
                        authorization,
                        "idempotency-key": uuidV7(new Date(), randomBytes(10)),
                        "sniperoad-attempt": "1",
                    },
                    body: '{"pet":1}',
                },
        );
        await response.body.dump();
        path.failed += response.statusCode === 200 ? 0 : 1;
    }
    catch {
        path.failed++;
    }
    path.histogram.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * 1_000)));
};

/** Sends at the rate to all paths at the same times, so that the load of the machine affects them equally. */
const measure = async (kind: RequestKind, paths: readonly Path[], forMs: number): Promise<void> => {
    const startMs = performance.now();
    const intervalMs = 1_000 / ratePerSecond;
    const pending: Promise<void>[] = [];
    for (let index = 0; index * intervalMs < forMs; index++) {
        const dueMs = startMs + index * intervalMs;
        const waitMs = dueMs - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        pending.push(...paths.map(path => sendRequest(path, kind, index, dueMs)));
    }
    await Promise.all(pending);
};

const percentileMs = ({ histogram }: Path, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / 1_000;

const fleet = await ProcessFleet.start({
    config: latencyConfig(),
    instances,
    upstreams: [
        { service: "sightings-svc", count: 2, serviceMs: 5 },
        { service: "alerts-svc", count: 2, serviceMs: 5 },
    ],
    zones: ["zone-a", "zone-b", "zone-c"],
});
try {
    for (const kind of ["lookup", "report"] as const) {
        const service = kind === "lookup" ? "sightings-svc" : "alerts-svc";
        const direct = fleet.upstreams.find(({ upstream }) => upstream.service === service)!.upstream.address;
        const addresses = [direct, fleet.entries[0]!.callerAddress];
        const warm = addresses.map(openPath);
        await measure(kind, warm, kind === "lookup" ? warmUpMs : 2_000);
        const paths = addresses.map(openPath);
        await measure(kind, paths, durationMs);
        const [own, through] = paths as [Path, Path];
        const line = [50, 99].map(percentile => {
            const [directMs, throughMs] = [percentileMs(own, percentile), percentileMs(through, percentile)];
            return `p${percentile} direct ${directMs.toFixed(2)} ms, through ${throughMs.toFixed(2)} ms, added ${
                (throughMs - directMs).toFixed(2)
            } ms`;
        });
        print(
            `${kind}, ${ratePerSecond}/s on each path: ${
                line.join("; ")
            }; not 200: ${own.failed} and ${through.failed}`,
        );
        const addedMs = percentileMs(through, 99) - percentileMs(own, 99);
        print(`  target of ${targetMs} ms added at p99: ${addedMs <= targetMs ? "met" : "missed"}`);
        await Promise.all([...warm, ...paths].map(({ pool }) => pool.close()));
    }
}
finally {
    await fleet.close();
}
process.exit(0);
