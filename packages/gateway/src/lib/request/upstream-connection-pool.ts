/** Sends HTTP requests to upstreams with undici, one request at a time on each connection. */
import type { Clock, Headers, UpstreamId } from "@sniperoad/core";
import { discardBody, flattenHeaders, isNotSent, refusesConnections } from "@sniperoad/daemon";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";
import { errorMessage } from "../errors.js";
import type { ListedUpstream } from "../model.js";
import type { HeaderCodec, UpstreamClient, UpstreamRequest, UpstreamResponse, UpstreamResult } from "./ports.js";

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
/** Maximum number of idle connections to each upstream; an instance rarely has more requests in flight to one. */
const maxIdlePerUpstream = 3;

/** Options of {@link UpstreamConnectionPool}. */
export interface UpstreamConnectionPoolOptions {
    readonly clock: Clock;
    readonly codec: Pick<HeaderCodec, "decodeResponse">;
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
    /** Clients whose connection failed with a system error, such as a reset. */
    readonly #failedClients = new WeakSet<Client>();
    /** Number of connections opened since the start. */
    openedCount = 0;

    constructor(options: UpstreamConnectionPoolOptions) {
        this.#options = options;
    }

    async call(request: UpstreamRequest): Promise<UpstreamResult> {
        const client = this.#acquire(request);
        const result = await this.#exchange(client, request);
        if (result.kind === "answer" && !client.destroyed) {
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

    /** Closes idle connections to upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
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
            if (!next.client.destroyed && (request.isRepeatable || next.lastResponseMs >= reusableSinceMs)) {
                return next.client;
            }
            destroy(next.client);
        }
        return this.#open(request.upstream.address);
    }

    #open(address: string): Client {
        const connect = buildConnector({ timeout: connectTimeoutMs });
        const client: Client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: (options, done) =>
                connect(options, (...[error, socket]) => {
                    if (error !== null) {
                        done(error, null);
                        return;
                    }
                    socket.on("error", (failure: NodeJS.ErrnoException) => {
                        // Errors raised by undici itself have no `syscall`.
                        if (failure.syscall !== undefined) {
                            this.#failedClients.add(client);
                        }
                    });
                    done(null, socket);
                }),
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            maxResponseSize: maxResponseBytes,
            // Each request has its own timeout.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        client.on("connect", () => this.openedCount++);
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
        const timeout = new AbortController();
        const timer = setTimeout(() => timeout.abort(), request.timeoutMs);
        const progress = { hadHeaders: false };
        try {
            const response = await client.request({
                method: request.method as Dispatcher.HttpMethod,
                path: request.target,
                headers: request.headers.flatMap(([name, value]) => [name, value]),
                body: request.body.length === 0 ? null : request.body,
                signal: AbortSignal.any([timeout.signal, request.signal]),
            });
            progress.hadHeaders = true;
            return await this.#readResponse(response, request, client);
        }
        catch (error) {
            return classifyFailure(error, {
                isTimeout: timeout.signal.aborted,
                isCancelled: request.signal.aborted,
                hadHeaders: progress.hadHeaders,
            });
        }
        finally {
            clearTimeout(timer);
        }
    }

    async #readResponse(
        response: Dispatcher.ResponseData,
        request: UpstreamRequest,
        client: Client,
    ): Promise<UpstreamResult> {
        const headers = flattenHeaders(response.headers);
        const metadata = this.#options.codec.decodeResponse(response.statusCode, headers);
        const isForeign = metadata.requestId !== undefined && metadata.requestId !== request.requestId;
        if (isForeign || metadata.isEncoded) {
            discardBody(response.body);
            return { kind: "foreign", reason: isForeign ? "answer names another request" : "body is encoded" };
        }
        const body = new Uint8Array(await response.body.arrayBuffer());
        // A response without a length ends when its connection closes, and undici accepts a reset as that end too.
        const isCloseDelimited = !isDelimited(headers) && !bodilessStatuses.has(response.statusCode);
        if (this.#failedClients.has(client) && isCloseDelimited) {
            return { kind: "broken", reason: "the connection was reset within the answer", hadHeaders: true };
        }
        const answer: UpstreamResponse = {
            status: response.statusCode,
            headers,
            body,
            metadata,
            isCloseDelimited,
        };
        return { kind: "answer", answer };
    }
}

const destroy = (client: Client): void => {
    // The requests of a destroyed client have ended already, so nothing depends on the result.
    client.destroy().catch(() => {});
};

/** Status codes of responses that have no body. */
const bodilessStatuses = new Set([204, 304]);

const isDelimited = (headers: Headers): boolean =>
    headers.some(([name]) => name === "content-length" || name === "transfer-encoding");

interface FailureContext {
    readonly isTimeout: boolean;
    readonly isCancelled: boolean;
    readonly hadHeaders: boolean;
}

const classifyFailure = (error: unknown, { isTimeout, isCancelled, hadHeaders }: FailureContext): UpstreamResult => {
    if (isCancelled) {
        return { kind: "cancelled" };
    }
    if (isTimeout) {
        return { kind: "timeout" };
    }
    const code = String((error as { code?: unknown; }).code ?? "");
    const reason = `${code} ${errorMessage(error)}`.trim();
    return isNotSent(error) ? { kind: "refused", reason } : { kind: "broken", reason, hadHeaders };
};
