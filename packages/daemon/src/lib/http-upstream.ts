/** Sends requests to upstreams over HTTP with undici. */
import { header, id } from "@sniperoad/core";
import type { RequestId, Upstream, UpstreamId, UpstreamPort, UpstreamRequest, UpstreamResult } from "@sniperoad/core";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { discardBody, flattenHeaders, framingOf, isNotSent, isValidStatus, refusesConnections } from "./http-utils.js";

/** Maximum size of a response, since it is buffered completely before any byte is sent to the caller. */
export const maxAnswerBytes = 1_048_576;

/** Header with which an upstream states that it did not execute the request. */
const notRunHeader = "sniperoad-not-run";
/** Header with which an upstream announces that it is about to leave. */
const drainingHeader = "sniperoad-draining";

const connectTimeoutMs = 500;
/** Ten times the duration of a probe of a healthy upstream (25 ms); one that takes longer stays ejected. */
const probeTimeoutMs = 250;
/** Shorter than the idle timeout of most servers, so that a request is rarely sent on a closing connection. */
const idleTimeoutMs = 2_000;
/** Retry delay of a response that is marked as not run but has no valid `retry-after`. */
const defaultRetryAfterMs = 1_000;

/**
 * Sends requests to upstreams, one at a time per connection. A connection whose request did not end with a complete
 * and matching response is closed, so no later request can receive a response to another one.
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
            this.#keepIdle(upstream.id, client);
        }
        else {
            client.destroy().catch(() => {});
        }
        return result;
    }

    /** Sends `GET /health` to an ejected upstream, with the same connections and checks as a request. */
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

    /** Closes idle connections to upstreams that are not listed. */
    retain(upstreams: readonly Upstream[]): void {
        const listedIds = new Set(upstreams.map(upstream => upstream.id));
        for (const [upstreamId, clients] of this.#idle) {
            if (!listedIds.has(upstreamId)) {
                this.#idle.delete(upstreamId);
                clients.forEach(client => client.destroy().catch(() => {}));
            }
        }
    }

    close(): void {
        this.retain([]);
    }

    #keepIdle(upstreamId: UpstreamId, client: Client): void {
        const idle = this.#idle.get(upstreamId);
        if (idle === undefined) {
            this.#idle.set(upstreamId, [client]);
        }
        else {
            idle.push(client);
        }
    }
}

/** Distinguishes a crashed process from a lost connection: a process that has exited refuses the next connection. */
const withCrashCheck = async (result: UpstreamResult, upstream: Upstream): Promise<UpstreamResult> =>
    result.kind === "reset" || result.kind === "truncated"
        ? { kind: result.kind, isCrash: await refusesConnections(upstream.address, connectTimeoutMs) }
        : result;

const openClient = (upstream: Upstream): Client =>
    new Client(`http://${upstream.address}`, {
        pipelining: 1,
        connect: { timeout: connectTimeoutMs },
        keepAliveTimeout: idleTimeoutMs,
        // The deadline of each request sets its timeout.
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
        return await readResponse(response, request);
    }
    catch (error) {
        return classify(error, { isTimeout: timeout.signal.aborted, isCancelled: request.signal.aborted, ...progress });
    }
    finally {
        clearTimeout(timer);
    }
};

const readResponse = async (response: Dispatcher.ResponseData, request: UpstreamRequest): Promise<UpstreamResult> => {
    const headers = flattenHeaders(response.headers);
    const echoed = header(headers, "x-request-id");
    if (echoed !== undefined && echoed !== request.id) {
        discardBody(response.body);
        return { kind: "crossed" };
    }
    if (!isValidStatus(response.statusCode)) {
        discardBody(response.body);
        return { kind: "truncated" };
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > maxAnswerBytes) {
            discardBody(response.body);
            return { kind: "oversize" };
        }
        chunks.push(chunk);
    }
    // Without a mark of its end, a truncated response cannot be detected.
    if (framingOf(response.statusCode, headers, request.method) !== "marked") {
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
    const answer = { status: response.statusCode, headers, body: Buffer.concat(chunks) };
    return { kind: "answer", answer, draining };
};

interface FailureContext {
    readonly isTimeout: boolean;
    readonly isCancelled: boolean;
    readonly hasHeaders: boolean;
}

const classify = (error: unknown, context: FailureContext): UpstreamResult => {
    if (context.isCancelled) {
        return { kind: "cancelled" };
    }
    if (context.isTimeout) {
        return { kind: "timeout" };
    }
    if (isNotSent(error)) {
        return { kind: "refused" };
    }
    return { kind: context.hasHeaders ? "truncated" : "reset" };
};
