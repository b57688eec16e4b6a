/** Calls upstreams over HTTP by undici, one request at a time on each connection. */
import type { Clock, Headers, UpstreamId } from "@sniperoad/core";
import { discardBody, flattenHeaders, isNotSent, refusesConnections } from "@sniperoad/daemon";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";
import { errorMessage } from "../errors.js";
import type { ListedUpstream } from "../model.js";
import type { HeaderCodec, UpstreamClient, UpstreamRequest, UpstreamResponse, UpstreamResult } from "./ports.js";

/** Longest time for a connection. Upstreams of a deployment are milliseconds away; a cut path shows by silence. */
const connectTimeoutMs = 200;
/** Idle time after which a connection is closed, unless the upstream states a shorter one. */
const idleTimeoutMs = 4_000;
/**
 * Age of its last answer up to which a connection carries a call that cannot be repeated. A path that was cut since
 * shows when a new connection is tried, before anything is sent.
 */
const provenForMs = 1_000;
/** Largest answer; answers are read whole before the caller sees a byte. */
const maxAnswerBytes = 16 * 1_048_576;
/** Idle connections kept to one upstream; an instance rarely has more requests at one upstream. */
const maxIdlePerUpstream = 3;

/** What {@link UpstreamConnectionPool} needs. */
export interface UpstreamConnectionPoolOptions {
    readonly clock: Clock;
    readonly codec: Pick<HeaderCodec, "decodeResponse">;
}

/** A connection between two calls. */
interface IdleConnection {
    readonly client: Client;
    /** Monotonic time of its last answer. */
    readonly answeredMs: number;
}

/**
 * Keeps connections to upstreams. A connection whose request did not end with a whole and matching answer is closed,
 * so no later request gets an answer meant for another.
 *
 * @example
 * const result = await connections.call(call);
 */
export class UpstreamConnectionPool implements UpstreamClient {
    readonly #options: UpstreamConnectionPoolOptions;
    readonly #idle = new Map<UpstreamId, IdleConnection[]>();
    /** Clients whose connection was reset or timed out. */
    readonly #failed = new WeakSet<Client>();
    /** Connections opened since the start. */
    openedCount = 0;

    constructor(options: UpstreamConnectionPoolOptions) {
        this.#options = options;
    }

    async call(call: UpstreamRequest): Promise<UpstreamResult> {
        const client = this.#take(call);
        const result = await this.#exchange(client, call);
        if (result.kind === "answer" && !client.destroyed) {
            this.#keep(call.upstream.id, client);
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

    #take(call: UpstreamRequest): Client {
        const idle = this.#idle.get(call.upstream.id) ?? [];
        const provenSinceMs = this.#options.clock.monotonicMs() - provenForMs;
        for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
            // A client reconnects by itself, so one without a connection is as good as a new one.
            if (!next.client.destroyed && (call.isRepeatable || next.answeredMs >= provenSinceMs)) {
                return next.client;
            }
            destroy(next.client);
        }
        return this.#open(call.upstream.address);
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
                        // Errors of undici itself have no system call.
                        if (failure.syscall !== undefined) {
                            this.#failed.add(client);
                        }
                    });
                    done(null, socket);
                }),
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            maxResponseSize: maxAnswerBytes,
            // Each request has a timeout of its own.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        client.on("connect", () => this.openedCount++);
        return client;
    }

    #keep(upstream: UpstreamId, client: Client): void {
        const idle = this.#idle.get(upstream) ?? [];
        if (idle.length >= maxIdlePerUpstream) {
            destroy(client);
            return;
        }
        idle.push({ client, answeredMs: this.#options.clock.monotonicMs() });
        this.#idle.set(upstream, idle);
    }

    async #exchange(client: Client, call: UpstreamRequest): Promise<UpstreamResult> {
        const timeout = new AbortController();
        const timer = setTimeout(() => timeout.abort(), call.timeoutMs);
        const progress = { hadHeaders: false };
        try {
            const response = await client.request({
                method: call.method as Dispatcher.HttpMethod,
                path: call.target,
                headers: call.headers.flatMap(([name, value]) => [name, value]),
                body: call.body.length === 0 ? null : call.body,
                signal: AbortSignal.any([timeout.signal, call.signal]),
            });
            progress.hadHeaders = true;
            return await this.#read(response, call, client);
        }
        catch (error) {
            return classify(error, {
                isTimeout: timeout.signal.aborted,
                isCancelled: call.signal.aborted,
                hadHeaders: progress.hadHeaders,
            });
        }
        finally {
            clearTimeout(timer);
        }
    }

    async #read(response: Dispatcher.ResponseData, call: UpstreamRequest, client: Client): Promise<UpstreamResult> {
        const headers = flattenHeaders(response.headers);
        const marks = this.#options.codec.decodeResponse(response.statusCode, headers);
        const isForeign = marks.requestId !== undefined && marks.requestId !== call.requestId;
        if (isForeign || marks.isEncoded) {
            discardBody(response.body);
            return { kind: "foreign", reason: isForeign ? "answer names another request" : "body is encoded" };
        }
        const body = new Uint8Array(await response.body.arrayBuffer());
        // An answer without a length ends with its connection, and undici takes a reset for its end too.
        const isCloseDelimited = !isDelimited(headers) && !bodilessStatuses.has(response.statusCode);
        if (this.#failed.has(client) && isCloseDelimited) {
            return { kind: "broken", reason: "the connection was reset within the answer", hadHeaders: true };
        }
        const answer: UpstreamResponse = {
            status: response.statusCode,
            headers,
            body,
            marks,
            isCloseDelimited,
        };
        return { kind: "answer", answer };
    }
}

const destroy = (client: Client): void => {
    // The requests of a destroyed client have ended already, so nothing waits for the result.
    client.destroy().catch(() => {});
};

/** Statuses whose answers have no body. */
const bodilessStatuses = new Set([204, 304]);

const isDelimited = (headers: Headers): boolean =>
    headers.some(([name]) => name === "content-length" || name === "transfer-encoding");

interface Circumstances {
    readonly isTimeout: boolean;
    readonly isCancelled: boolean;
    readonly hadHeaders: boolean;
}

const classify = (error: unknown, { isTimeout, isCancelled, hadHeaders }: Circumstances): UpstreamResult => {
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
