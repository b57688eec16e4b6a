/** Generates load of callers on a process fleet for a limited time, and counts the results. */
import type { CallerClient } from "@sniperoad/client";
import type { CallerRequest } from "@sniperoad/client";
import type { RunRecord } from "../stand-ins/upstream.js";

/** Result counts of one load. */
export interface LoadReport {
    requests: number;
    /** Requests that ended with status 200. */
    answered: number;
    /** Number of the other requests, by status, outcome and problem type, or by the error of the client. */
    readonly failed: Map<string, number>;
    /** Number of answered requests, by the instance that responded. */
    readonly byInstance: Map<string, number>;
    /** Attempts beyond the first of each request. */
    retries: number;
    /** Idempotency keys of calls that ended with "not-run". */
    readonly notRunKeys: Set<string>;
}

/** Options of {@link runLoad}. */
export interface LoadOptions {
    readonly client: CallerClient;
    readonly ratePerSecond: number;
    readonly durationMs: number;
    /** Returns the request with the given index. */
    readonly call: (index: number, client: CallerClient) => CallerRequest;
}

const increment = (map: Map<string, number>, key: string): void => void map.set(key, (map.get(key) ?? 0) + 1);

/** Sends requests at a fixed rate, whether or not earlier ones have ended, and waits for all of them. */
export const runLoad = async ({ client, ratePerSecond, durationMs, call }: LoadOptions): Promise<LoadReport> => {
    const report: LoadReport = {
        requests: 0,
        answered: 0,
        failed: new Map(),
        byInstance: new Map(),
        retries: 0,
        notRunKeys: new Set(),
    };
    const total = Math.floor(ratePerSecond * durationMs / 1_000);
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    for (let index = 0; index < total; index++) {
        const waitMs = startMs + index * 1_000 / ratePerSecond - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        pending.push(sendRequest(client, call(index, client), report));
    }
    await Promise.all(pending);
    return report;
};

const sendRequest = async (client: CallerClient, call: CallerRequest, report: LoadReport): Promise<void> => {
    report.requests++;
    try {
        const result = await client.call(call);
        report.retries += result.attempts - 1;
        if (result.status === 200) {
            report.answered++;
            increment(report.byInstance, result.instance);
            return;
        }
        increment(report.failed, `${result.status} ${result.outcome} ${problemType(result.body)}`);
        if (result.outcome === "not-run" && call.idempotencyKey !== undefined) {
            report.notRunKeys.add(call.idempotencyKey);
        }
    }
    catch (error) {
        increment(report.failed, `no response: ${error instanceof Error ? error.message : String(error)}`);
    }
};

const problemType = (body: Buffer): string => {
    try {
        return String((JSON.parse(body.toString("utf8")) as { type?: string; }).type).split("/").at(-1)!;
    }
    catch {
        return "";
    }
};

/** Formats counts as one line. */
export const describeCounts = (map: ReadonlyMap<string, number>): string =>
    map.size === 0 ? "none" : [...map].map(([key, value]) => `${key}: ${value}`).join(", ");

/** Idempotency keys that upstreams ran more than once, with one entry for each further run. */
export const duplicateRuns = (records: readonly RunRecord[]): readonly string[] => {
    const seen = new Set<string>();
    return records.flatMap(({ idempotencyKey }) => {
        if (idempotencyKey === undefined || !seen.has(idempotencyKey)) {
            seen.add(idempotencyKey ?? "");
            return [];
        }
        return [idempotencyKey];
    });
};
