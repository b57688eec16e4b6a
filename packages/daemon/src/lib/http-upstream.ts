/** Dispatch to upstreams over HTTP by undici. */
import { header, id } from "@sniperoad/core";
import type {
    Headers,
    RequestId,
    Upstream,
    UpstreamId,
    UpstreamPort,
    UpstreamRequest,
    UpstreamResult,
} from "@sniperoad/core";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { discardBody, flattenHeaders, isNotSent, refusesConnections } from "./http-utils.js";

/** Largest answer that is passed on; answers are buffered whole before the caller sees a byte. */
export const maxAnswerBytes = 1_048_576;

/** Header by which an upstream states that it did not run the request. */
const notRunHeader = "sniperoad-not-run";
/** Header by which an upstream says that it is about to leave. */
const drainingHeader = "sniperoad-draining";

const connectTimeoutMs = 500;
/** Ten times what a probe costs a healthy upstream (25 ms); one that takes longer stays ejected. */
const probeTimeoutMs = 250;
/** Idle connections close before most servers close theirs, so that a request rarely meets a closing connection. */
const idleTimeoutMs = 2_000;
const defaultRetryAfterMs = 1_000;

/**
 * Sends requests to upstreams, one at a time on each connection. A connection whose request did not end with a whole
 * and matching answer is closed, so no later request can get an answer meant for another.
 *
 * @example
 * const upstreams = new HttpUpstreams();
 * const result = await upstreams.send(upstream, request);
 */
export class HttpUpstreams implements UpstreamPort {
    readonly #idle = new Map<UpstreamId, Client[]>();
    #probes = 0;

    async send(upstream: Upstream, request: UpstreamRequest): Promise<UpstreamResult> {
        const client = this.#idle.get(upstream.id)?.pop() ?? openClient(upstream);
        const result = await withCrashCheck(await exchange(client, request), upstream);
        if (result.kind === "answer" || result.kind === "shed") {
            this.#keep(upstream.id, client);
        }
        else {
            client.destroy().catch(() => {});
        }
        return result;
    }

    /** Asks an ejected upstream for `GET /health`, by the same connections and checks as a request. */
    probe(upstream: Upstream): Promise<UpstreamResult> {
        const requestId = id<RequestId>(`probe-${++this.#probes}`);
        return this.send(upstream, {
            id: requestId,
            method: "GET",
            target: "/health",
            headers: [["x-request-id", requestId]],
            body: new Uint8Array(0),
            timeoutMs: probeTimeoutMs,
            signal: new AbortController().signal,
        });
    }

    /** Closes the idle connections to upstreams that are not in the list. */
    retain(upstreams: readonly Upstream[]): void {
        const kept = new Set(upstreams.map(upstream => upstream.id));
        for (const [upstreamId, clients] of this.#idle) {
            if (!kept.has(upstreamId)) {
                this.#idle.delete(upstreamId);
                clients.forEach(client => client.destroy().catch(() => {}));
            }
        }
    }

    close(): void {
        this.retain([]);
    }

    #keep(upstreamId: UpstreamId, client: Client): void {
        const idle = this.#idle.get(upstreamId);
        if (idle === undefined) {
            this.#idle.set(upstreamId, [client]);
        }
        else {
            idle.push(client);
        }
    }
}

/** Whether a lost connection was a lost process: a process that has ended refuses the next connection. */
const withCrashCheck = async (result: UpstreamResult, upstream: Upstream): Promise<UpstreamResult> =>
    result.kind === "reset" || result.kind === "truncated"
        ? { kind: result.kind, isCrash: await refusesConnections(upstream.address, connectTimeoutMs) }
        : result;

const openClient = (upstream: Upstream): Client =>
    new Client(`http://${upstream.address}`, {
        pipelining: 1,
        connect: { timeout: connectTimeoutMs },
        keepAliveTimeout: idleTimeoutMs,
        // The timeouts of each request are set by its own deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
    });

const exchange = async (client: Client, request: UpstreamRequest): Promise<UpstreamResult> => {
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), request.timeoutMs);
    const progress = { hasHeaders: false };
    try {
        const response = await client.request({
            method: request.method as Dispatcher.HttpMethod,
            path: request.target,
            headers: request.headers.flatMap(([name, value]) => [name, value]),
            body: request.body.length === 0 ? null : request.body,
            signal: AbortSignal.any([timeout.signal, request.signal]),
        });
        progress.hasHeaders = true;
        return await readAnswer(response, request);
    }
    catch (error) {
        return classify(error, { isTimeout: timeout.signal.aborted, isCancelled: request.signal.aborted, ...progress });
    }
    finally {
        clearTimeout(timer);
    }
};

const readAnswer = async (response: Dispatcher.ResponseData, request: UpstreamRequest): Promise<UpstreamResult> => {
    const headers = flattenHeaders(response.headers);
    const echoed = header(headers, "x-request-id");
    if (echoed !== undefined && echoed !== request.id) {
        discardBody(response.body);
        return { kind: "crossed" };
    }
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    for await (const part of response.body as AsyncIterable<Buffer>) {
        sizeBytes += part.length;
        if (sizeBytes > maxAnswerBytes) {
            discardBody(response.body);
            return { kind: "oversize" };
        }
        parts.push(part);
    }
    if (!isDelimited(response.statusCode, headers, request.method)) {
        return { kind: "truncated" };
    }
    const draining = header(headers, drainingHeader) === "1";
    if (response.statusCode === 503 && header(headers, notRunHeader) === "1") {
        const afterSeconds = Number(header(headers, "retry-after"));
        const retryAfterMs = Number.isFinite(afterSeconds) && afterSeconds > 0
            ? afterSeconds * 1_000
            : defaultRetryAfterMs;
        return { kind: "shed", retryAfterMs, draining };
    }
    const answer = { status: response.statusCode, headers, body: Buffer.concat(parts) };
    return { kind: "answer", answer, draining };
};

/** An answer that ends only with its connection cannot be told from a truncated one. */
const isDelimited = (status: number, headers: Headers, method: string): boolean =>
    method === "HEAD" || status === 204 || status === 304
    || header(headers, "content-length") !== undefined
    || header(headers, "transfer-encoding") !== undefined;

interface Circumstances {
    readonly isTimeout: boolean;
    readonly isCancelled: boolean;
    readonly hasHeaders: boolean;
}

const classify = (error: unknown, circumstances: Circumstances): UpstreamResult => {
    if (circumstances.isCancelled) {
        return { kind: "cancelled" };
    }
    if (circumstances.isTimeout) {
        return { kind: "timeout" };
    }
    if (isNotSent(error)) {
        return { kind: "refused" };
    }
    return { kind: circumstances.hasHeaders ? "truncated" : "reset" };
};
