/** Sends HTTP requests to upstreams with undici, one request at a time on each connection. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { framingOf, refusesConnections } from "@sniperoad/daemon";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";
import { errorMessage } from "../errors.js";
import type { ListedUpstream } from "../model.js";
import { BufferBudget } from "./buffer-budget.js";
import { classifyFailure, encodingOf, mismatchOf } from "./call-result.js";
import type { MemoryBudget } from "./memory-budget.js";
import { ParserTurns } from "./parser-turns.js";
import type { HeaderCodec, UpstreamClient, UpstreamRequest, UpstreamResult } from "./ports.js";
import { ExcessError, ResponseReader } from "./response-reader.js";
import type { ReadResult } from "./response-reader.js";
import { TrialRequests } from "./trial-requests.js";
import { UpstreamConnection } from "./upstream-connection.js";
import { WasteMeter } from "./waste-meter.js";
import type { Waste } from "./waste-meter.js";

/** Maximum time to connect. Upstreams are milliseconds away; on a broken path a connection attempt gets no response. */
const connectTimeoutMs = 200;
/** Idle time after which a connection is closed, unless the upstream announces a shorter one. */
const idleTimeoutMs = 4_000;
/**
 * Time since its last response up to which a connection is reused for a request that must not be repeated. After it, a
 * new connection is opened: if the network path has failed, that shows before anything is sent.
 */
const reusableForMs = 1_000;
/** Maximum size of a response, since it is buffered completely before any part of it is sent to the caller. */
const maxResponseBytes = 16 * 1_048_576;
/** Maximum size of all responses that are being read, whatever memory the machine has. */
const maxBufferedBytes = 48 * 1_048_576;
/** Part of it for what is not parsed yet and the parser's objects, so that these take no memory from bodies. */
const parserShare = 0.25;
/** Size above which a response that is given up for memory counts as one without end; ordinary ones are under 1 MB. */
const endlessBodyBytes = 2 * 1_048_576;
/** Number of requests after which a connection is closed, which bounds the ids that are kept for it. */
const maxRequestsPerConnection = 100;
/** Part of the time of a request for which its response may wait for memory. */
const memoryWaitFraction = 1 / 2;
/** Length of an id up to which it is kept; a connection that carried a longer one is closed. Callers choose the ids. */
const maxKeptIdLength = 256;
/** Maximum number of idle connections to each upstream; an instance rarely has more requests in flight to one. */
const maxIdlePerUpstream = 3;

/**
 * Maximum size of all responses that are being read by a process with this memory limit. Besides them it holds its
 * program and state, about 120 MB, and as much as twice the responses in buffers that are not collected yet.
 *
 * @example
 * bufferedBytesFor(250); // 34 MB
 */
export const bufferedBytesFor = (memoryMb: number): number =>
    Math.min(maxBufferedBytes, Math.max(maxResponseBytes, (memoryMb - 120) / 4 * 1_048_576));

/** Options of {@link UpstreamConnectionPool}. */
export interface UpstreamConnectionPoolOptions {
    readonly clock: Clock;
    readonly codec: Pick<HeaderCodec, "decodeResponse">;
    /** Default: {@link maxBufferedBytes}. */
    readonly maxBufferedBytes?: number;
    /** Memory of the process for callers, of which responses take a part; default: any. */
    readonly memory?: Pick<MemoryBudget, "open" | "isExceeded">;
}

/** A connection without a request in flight. */
interface IdleConnection {
    readonly client: Client;
    /** Monotonic time of its last response. */
    readonly lastResponseMs: number;
}

/**
 * Pools connections to upstreams. A connection is closed unless its request ended with a complete and matching
 * response, so that no later request receives a response meant for another.
 *
 * @example
 * const result = await pool.call(request);
 */
export class UpstreamConnectionPool implements UpstreamClient {
    readonly #options: UpstreamConnectionPoolOptions;
    readonly #idle = new Map<UpstreamId, IdleConnection[]>();
    readonly #connections = new WeakMap<Client, UpstreamConnection>();
    /** The last response of each client, also before its connection is open. */
    readonly #readers = new WeakMap<Client, ResponseReader>();
    /** Ids of the requests that were sent on the connection of a client. */
    readonly #requestIds = new WeakMap<Client, Set<string>>();
    readonly #buffers: BufferBudget;
    readonly #parserBuffers: BufferBudget;
    readonly #turns = new ParserTurns();
    readonly #waste: WasteMeter;
    readonly #trials: TrialRequests;
    /** Number of connections opened since the start. */
    openedCount = 0;

    constructor(options: UpstreamConnectionPoolOptions) {
        this.#options = options;
        this.#waste = new WasteMeter(options.clock);
        this.#trials = new TrialRequests(options.clock);
        const bufferedBytes = options.maxBufferedBytes ?? maxBufferedBytes;
        // On a small machine, a single response of the maximum size is still served.
        this.#buffers = new BufferBudget(
            Math.max(bufferedBytes * (1 - parserShare), maxResponseBytes),
            () => options.memory?.isExceeded === true,
        );
        this.#parserBuffers = new BufferBudget(bufferedBytes * parserShare);
    }

    /** Bytes of responses that are being read, with the parser's objects. */
    get bufferedBytes(): number {
        return this.#buffers.totalBytes + this.#parserBuffers.totalBytes;
    }

    async call(request: UpstreamRequest): Promise<UpstreamResult> {
        const { id, address } = request.upstream;
        const endTrial = this.#waste.isExhausted(id) ? undefined : this.#trials.tryBegin(id);
        return endTrial === undefined
            ? { kind: "refused", reason: `too many bytes that are no answer came from ${address}` }
            : this.#send(request).finally(endTrial);
    }

    async #send(request: UpstreamRequest): Promise<UpstreamResult> {
        const { address } = request.upstream;
        let client: Client;
        try {
            client = this.#acquire(request);
        }
        catch (error) {
            return { kind: "refused", reason: `no connection can be opened to ${address}: ${errorMessage(error)}` };
        }
        if (request.requestId !== undefined) {
            this.#requestIds.get(client)?.add(request.requestId);
        }
        const result = await this.#exchange(client, request);
        // Without an id, a response that the upstream repeats later could not be told from the next one.
        const isReusable = request.requestId !== undefined && request.requestId.length <= maxKeptIdLength;
        if (result.kind === "answer" && !client.destroyed && isReusable) {
            this.#release(request.upstream.id, client);
        }
        else {
            destroy(client);
        }
        return result;
    }

    closeIdle({ id }: ListedUpstream): void {
        this.#idle.get(id)?.forEach(({ client }) => destroy(client));
        this.#idle.delete(id);
    }

    isDown({ address }: ListedUpstream): Promise<boolean> {
        return refusesConnections(address, connectTimeoutMs);
    }

    /** Closes idle connections to upstreams that are no longer listed, and forgets what was metered. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        this.#waste.retain(isListed);
        this.#trials.retain(isListed);
        for (const [upstream, connections] of this.#idle) {
            if (!isListed(upstream)) {
                this.#idle.delete(upstream);
                connections.forEach(({ client }) => destroy(client));
            }
        }
    }

    /** Removes an idle connection from the pool, or opens one. */
    #acquire(request: UpstreamRequest): Client {
        const idle = this.#idle.get(request.upstream.id) ?? [];
        const reusableSinceMs = this.#options.clock.monotonicMs() - reusableForMs;
        for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
            // An undici client whose connection has closed opens a new one for its next request.
            const isOpen = !next.client.destroyed && (request.isRepeatable || next.lastResponseMs >= reusableSinceMs);
            if (isOpen && this.#isUnambiguous(next.client, request)) {
                return next.client;
            }
            destroy(next.client);
        }
        return this.#open(request.upstream.address);
    }

    /** Whether no earlier response on the connection, if the upstream repeats it, names this request. */
    #isUnambiguous(client: Client, { requestId }: UpstreamRequest): boolean {
        const earlier = this.#requestIds.get(client);
        return requestId !== undefined
            && earlier !== undefined
            && earlier.size < maxRequestsPerConnection
            && !earlier.has(requestId);
    }

    #open(address: string): Client {
        const connect = buildConnector({ timeout: connectTimeoutMs, allowHalfOpen: true });
        const client: Client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: (options, done) =>
                connect(options, (...[error, socket]) => {
                    if (error !== null) {
                        done(error, null);
                        return;
                    }
                    const connection = new UpstreamConnection(socket, {
                        turns: this.#turns,
                        buffers: this.#parserBuffers,
                    });
                    this.#connections.set(client, connection);
                    const reader = this.#readers.get(client);
                    if (reader !== undefined) {
                        connection.begin(reader);
                    }
                    done(null, socket);
                }),
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            maxResponseSize: maxResponseBytes,
            // undici checks this at each header line, and goes on with the others; the connection and the reader end it.
            maxHeaderSize: maxResponseBytes,
            // Each request has its own timeout.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        client.on("connect", () => this.openedCount++);
        this.#requestIds.set(client, new Set());
        return client;
    }

    #release(upstream: UpstreamId, client: Client): void {
        const idle = this.#idle.get(upstream) ?? [];
        if (idle.length >= maxIdlePerUpstream) {
            destroy(client);
            return;
        }
        idle.push({ client, lastResponseMs: this.#options.clock.monotonicMs() });
        this.#idle.set(upstream, idle);
    }

    async #exchange(client: Client, request: UpstreamRequest): Promise<UpstreamResult> {
        const { body, signal, owner, timeoutMs } = request;
        const { memory } = this.#options;
        const reader = new ResponseReader({
            buffers: this.#buffers,
            ...(memory !== undefined && {
                memory: {
                    budget: memory,
                    owner,
                    waitMs: timeoutMs * memoryWaitFraction,
                    maxBytes: maxResponseBytes,
                },
            }),
            rejectionOf: ({ status, headers }) =>
                mismatchOf(this.#options.codec.decodeResponse(status, headers), request)
                    ?? encodingOf(framingOf(status, headers, request.method)),
        });
        this.#attach(client, reader);
        const state = { isTimeout: false };
        const timer = setTimeout(() => {
            state.isTimeout = true;
            reader.fail(new Error("no response in time"));
        }, timeoutMs);
        const cancel = (): void => reader.fail(new Error("the caller has left"));
        signal.addEventListener("abort", cancel, { once: true });
        if (signal.aborted) {
            cancel();
        }
        else {
            reader.start(client, {
                method: request.method as Dispatcher.HttpMethod,
                path: request.target,
                headers: request.headers.flatMap(([name, value]) => [name, value]),
                body: body.length === 0 ? null : Buffer.from(body.buffer, body.byteOffset, body.length),
            });
        }
        try {
            const result = await reader.result;
            this.#recordWaste(result, request.upstream.id, {
                overheadBytes: this.#connections.get(client)?.overheadBytes ?? 0,
                bodyBytes: reader.bodyBytes,
            });
            return await this.#evaluate(result, request, client, state);
        }
        finally {
            clearTimeout(timer);
            signal.removeEventListener("abort", cancel);
        }
    }

    #recordWaste(result: ReadResult, upstream: UpstreamId, waste: Waste): void {
        if (result.kind === "whole") {
            this.#trials.recordWhole(upstream);
            return;
        }
        if (result.kind === "no-memory") {
            return;
        }
        this.#waste.record(upstream, waste);
        const isEndless = result.kind === "evicted" && waste.bodyBytes > endlessBodyBytes;
        if (isEndless || result.kind === "failed" && isExcess(result.error)) {
            this.#trials.recordExcess(upstream);
        }
    }

    /** Lets the connection of a client meter the response that it is about to receive. */
    #attach(client: Client, reader: ResponseReader): void {
        this.#readers.set(client, reader);
        this.#connections.get(client)?.begin(reader);
    }

    async #evaluate(
        result: ReadResult,
        request: UpstreamRequest,
        client: Client,
        { isTimeout }: { readonly isTimeout: boolean; },
    ): Promise<UpstreamResult> {
        if (result.kind === "rejected") {
            return { kind: "foreign", reason: result.reason };
        }
        if (result.kind === "invalid-status") {
            const { status, headers } = result.head;
            const metadata = this.#options.codec.decodeResponse(status, headers);
            const isOwnFault = metadata.isFromUpstream && mismatchOf(metadata, request) === undefined;
            return { kind: "broken", reason: `${status} is no status of HTTP`, hadHeaders: true, isOwnFault };
        }
        if (result.kind === "no-memory") {
            return { kind: "no-memory" };
        }
        if (result.kind === "evicted") {
            return { kind: "broken", reason: "responses without end filled the buffers", hadHeaders: true };
        }
        if (result.kind === "failed") {
            const isCancelled = request.signal.aborted;
            return classifyFailure(result.error, { isTimeout, isCancelled, hadHeaders: result.hadHeaders });
        }
        const { head: { status, headers }, body } = result;
        // undici accepts any end of the connection as the end of such a response.
        const isUntilClose = framingOf(status, headers, request.method) === "until-close";
        if (isUntilClose && await this.#connections.get(client)?.end !== "closed") {
            return { kind: "broken", reason: "the connection was reset within the answer", hadHeaders: true };
        }
        const metadata = this.#options.codec.decodeResponse(status, headers);
        return { kind: "answer", answer: { status, headers, body, metadata } };
    }
}

const destroy = (client: Client): void => {
    // The requests of a destroyed client have ended already, so nothing depends on the result.
    client.destroy().catch(() => {});
};

const isExcess = (error: Error): boolean =>
    error instanceof ExcessError || (error as { code?: unknown; }).code === "UND_ERR_RES_EXCEEDED_MAX_SIZE";
