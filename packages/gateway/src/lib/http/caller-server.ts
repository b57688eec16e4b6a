/** The HTTP server for callers. */
import type { Clock, Headers as HeaderList, HttpResponse, LogPort } from "@sniperoad/core";
import { bodilessStatuses, hasValidHeaders } from "@sniperoad/daemon";
import type { IncomingMessage, ServerResponse } from "node:http";
import { errorMessage } from "../errors.js";
import type { CallerLimits, DecodedRequest } from "../model.js";
import { freeBody } from "../request/body-memory.js";
import type { MemoryBudget } from "../request/memory-budget.js";
import type { HeaderCodec } from "../request/ports.js";
import type { ReceivedRequest } from "../request/request-handler.js";
import { BoundedServer } from "./bounded-server.js";
import type { CallerConnection } from "./caller-connection.js";
import type { ConnectionBounds } from "./caller-connections.js";
import type { CallerRejections } from "./caller-rejections.js";
import { rejectionResponse } from "./connection-rejections.js";
import { compactRequest, requestHeapBytes, runningRequestBytes } from "./header-memory.js";
import { hasBody, losesRest, RequestBody } from "./request-body.js";
import type { BodyResult } from "./request-body.js";
import type { Exchange } from "./request-sequence.js";
import type { TurnBudget } from "./turn-budget.js";

/** Limits until a configuration is loaded; the values are common among HTTP proxies. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 15_000,
};
/** Time for which a body may wait for memory: an eighth of the request's deadline, and at most this. */
const maxMemoryWaitMs = 1_000;
const memoryWaitFraction = 1 / 8;
const defaultDeadlineMs = 30_000;
/** Retry delay of requests for whose header there is no memory; such a shortage mostly lasts for seconds. */
const headerRetryAfterMs = 500;

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly address: string;
    readonly codec: Pick<HeaderCodec, "decodeRequest" | "refusalHeaders">;
    readonly limits: () => CallerLimits;
    readonly bounds: ConnectionBounds;
    readonly budget: MemoryBudget;
    readonly turns: TurnBudget;
    readonly rejections: CallerRejections;
    /** The organisation whose key a request bears. */
    readonly organisationOf: (request: DecodedRequest) => string | undefined;
    /** Whether a request may run more than once. */
    readonly isRepeatable: (request: DecodedRequest) => boolean;
    readonly handle: (received: ReceivedRequest) => Promise<HttpResponse | undefined>;
    /** Whether responses close their connections, so that callers use another instance from now on. */
    readonly isLeaving: () => boolean;
}

/** A request of a caller that is read or answered. */
interface CallerExchange extends Exchange {
    readonly request: DecodedRequest;
    /** The organisation whose key the request bears. */
    readonly owner: string | undefined;
    /** Status with which it is rejected because of its header. */
    readonly rejectedStatus: number | undefined;
    /** Whether there was no memory for a further request when its header was read. */
    readonly isOverload: boolean;
    /** Whether its response closes the connection. */
    readonly mustClose: boolean;
    readonly receivedMs: number;
    /** Counts the memory that it takes while it runs. */
    readonly onRun: () => void;
}

/**
 * Reads complete requests of callers, passes them to the handler and writes the responses.
 *
 * @example
 * const server = await CallerServer.open(options);
 * await server.close();
 */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #server: BoundedServer<CallerExchange>;
    #activeRequests = 0;

    private constructor(options: CallerServerOptions) {
        const { log, budget, rejections } = options;
        this.#options = options;
        this.#server = new BoundedServer({
            ...options,
            reject: reason => rejections.record(reason),
            rejectionOf: rejection => {
                const retryAfterMs = rejection === "no-memory" ? headerRetryAfterMs : undefined;
                return rejectionResponse(rejection, options.codec.refusalHeaders(undefined, retryAfterMs));
            },
            receive: (incoming, outgoing, connection) => {
                try {
                    this.#receive(incoming, outgoing, connection);
                }
                catch (error) {
                    log.event("request-failed", { reason: errorMessage(error) });
                    this.#server.connections.rejectRest(connection, "failed");
                }
            },
            run: exchange => void this.#run(exchange),
            onReview: () => {
                budget.review(this.#server.connections.isCrowded);
                rejections.review();
            },
        });
    }

    /**
     * Opens the server; resolves when it accepts connections.
     *
     * @throws Error when the address is in use
     */
    static async open(options: CallerServerOptions): Promise<CallerServer> {
        const server = new CallerServer(options);
        await server.#server.listen(options.address);
        return server;
    }

    /** Number of requests in progress. */
    get activeRequestCount(): number {
        return this.#activeRequests;
    }

    /** Applies changed limits. */
    applyLimits(): void {
        this.#server.applyLimits();
    }

    /** Stops accepting connections and resolves when all requests have ended; see {@link BoundedServer.close}. */
    close(): Promise<void> {
        return this.#server.close();
    }

    /** Takes a request whose header was read. */
    #receive(incoming: IncomingMessage, outgoing: ServerResponse, connection: CallerConnection): void {
        const { budget, codec, organisationOf, clock } = this.#options;
        // From here on the request is counted, and not the bytes of its header.
        this.#server.connections.recordProgress(connection);
        const receivedMs = clock.monotonicMs();
        const headers = headerList(incoming.rawHeaders);
        const target = incoming.url ?? "/";
        const rejectedStatus = this.#rejectedStatus(incoming, headers);
        const decoded = codec.decodeRequest(incoming.method ?? "GET", target, headers);
        const owner = organisationOf(decoded);
        const memory = budget.heap.open();
        const heapBytes = requestHeapBytes(target, incoming.rawHeaders);
        const isOverload = !budget.hasRoomFor(owner) || !memory.tryResize(heapBytes, owner);
        const isRejected = rejectedStatus !== undefined || isOverload;
        const request = compactRequest(isRejected ? { ...decoded, headers: [] } : decoded);
        const isBodyWanted = rejectedStatus === undefined && !(isOverload && hasBody(incoming));
        const mustClose = losesRest(incoming, connection);
        const isRepeatable = !isRejected && !mustClose && !hasBody(incoming) && this.#options.isRepeatable(request);
        const disconnected = new AbortController();
        const common = {
            connection,
            incoming,
            outgoing,
            request,
            owner,
            rejectedStatus,
            isOverload,
            mustClose,
            isRepeatable,
            receivedMs,
            disconnected,
            onRun: () => memory.resize(heapBytes + runningRequestBytes),
        };
        const exchange = { ...common, body: isBodyWanted ? this.#openBody(common) : undefined };
        // The compact request is kept instead.
        incoming.rawHeaders = [];
        incoming.headers = {};
        onEnd(exchange, () => memory.close());
        this.#server.connections.receive(exchange);
    }

    /** Status with which a request is rejected because of its header. */
    #rejectedStatus({ rawHeaders, headers: { host } }: IncomingMessage, headers: HeaderList): number | undefined {
        if (!hasValidHeaders(rawHeaders) || host === undefined) {
            return 400;
        }
        return headerBytes(headers) > this.#options.limits().maxHeaderBytes ? 431 : undefined;
    }

    #openBody({ incoming, request, owner, connection }: Omit<CallerExchange, "body">): RequestBody {
        const { budget } = this.#options;
        const deadlineMs = request.deadlineMs ?? defaultDeadlineMs;
        return new RequestBody(incoming, {
            budget,
            maxBytes: this.#options.limits().maxBodyBytes,
            owner,
            waitMs: Math.min(maxMemoryWaitMs, deadlineMs * memoryWaitFraction),
            onGranted: () => connection.pump(),
            onProgress: () => this.#server.connections.recordProgress(connection),
        });
    }

    /** Answers a request; the response of the one before was written. */
    async #run(exchange: CallerExchange): Promise<void> {
        const { body, outgoing, rejectedStatus, disconnected } = exchange;
        this.#activeRequests++;
        exchange.onRun();
        onEnd(exchange, () => {
            this.#activeRequests--;
        });
        outgoing.on("close", () => {
            if (!outgoing.writableFinished) {
                disconnected.abort();
            }
        });
        try {
            if (rejectedStatus !== undefined) {
                await this.#reject(exchange, rejectedStatus);
                return;
            }
            const result: BodyResult = await body?.result ?? { kind: "rejected", reason: "memory" };
            await this.#answer(exchange, result, disconnected.signal);
        }
        catch (error) {
            if (!disconnected.signal.aborted) {
                this.#options.log.event("request-failed", { reason: errorMessage(error) });
                await this.#fail(exchange);
            }
        }
    }

    /** Answers a request that failed unexpectedly; the others of its connection go on. */
    async #fail(exchange: CallerExchange): Promise<void> {
        try {
            await this.#write(exchange, emptyResponse(502), !exchange.incoming.complete);
        }
        catch {
            // A part of the response was written already.
            exchange.outgoing.destroy();
        }
    }

    async #answer(exchange: CallerExchange, result: BodyResult, signal: AbortSignal): Promise<void> {
        const { connection, request, receivedMs } = exchange;
        if (result.kind === "gone") {
            connection.destroy();
            return;
        }
        if (result.kind === "rejected" && result.reason === "stalled") {
            this.#options.rejections.record("stalled-body");
            connection.reset();
            return;
        }
        if (result.kind === "overhead") {
            this.#options.rejections.record("header");
            await this.#reject(exchange, 431);
            return;
        }
        if (result.kind === "malformed") {
            await this.#reject(exchange, 400);
            return;
        }
        const isOverload = exchange.isOverload || result.kind === "rejected";
        if (isOverload) {
            this.#options.rejections.record("memory");
        }
        const body = result.kind === "whole" ? result.body : undefined;
        const response = await this.#options.handle({ request, body, isOverload, receivedMs, signal });
        if (response !== undefined && !signal.aborted) {
            await this.#write(exchange, response, body === undefined);
        }
    }

    #reject(exchange: CallerExchange, status: number): Promise<void> {
        return this.#write(exchange, emptyResponse(status), true);
    }

    async #write(exchange: CallerExchange, response: HttpResponse, mustClose: boolean): Promise<void> {
        const { outgoing, owner, disconnected } = exchange;
        const { budget } = this.#options;
        const { connections } = this.#server;
        const release = budget.hold(response.body.length, owner);
        onEnd(exchange, () => {
            // Uncollected, the responses of a crowd took a process far over its budget.
            freeBody(response.body);
            release();
        });
        const { isLast: isEnding } = await connections.waitForTurn(exchange);
        if (disconnected.signal.aborted) {
            return;
        }
        const headers = response.headers.filter(([name]) => !connectionHeaders.has(name));
        const hasBody = !bodilessStatuses.has(response.status);
        // A length lets the caller detect an early end, whatever ends the connection.
        const lengthHeader: [string, string][] = hasBody ? [["content-length", String(response.body.length)]] : [];
        const isLast = mustClose || exchange.mustClose || isEnding;
        const closeHeader: [string, string][] = isLast ? [["connection", "close"]] : [];
        outgoing.writeHead(response.status, [...headers, ...lengthHeader, ...closeHeader].flat());
        outgoing.end(hasBody ? response.body : undefined);
        connections.reviewReaders();
    }
}

/**
 * Runs a function once when a response was written or its connection has ended. A response that waits for an earlier one
 * of its connection does not close with it.
 */
const onEnd = ({ outgoing, disconnected }: CallerExchange, run: () => void): void => {
    let hasRun = false;
    const runOnce = (): void => {
        if (!hasRun) {
            hasRun = true;
            run();
        }
    };
    outgoing.on("close", runOnce);
    disconnected.signal.addEventListener("abort", runOnce, { once: true });
};

/** Hop-by-hop headers, and headers that define the framing of a message. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "trailer",
    "te",
]);

const emptyResponse = (status: number): HttpResponse => ({ status, headers: [], body: new Uint8Array(0) });

const headerList = (raw: readonly string[]): HeaderList => {
    const list: [string, string][] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        list.push([raw[index]!.toLowerCase(), raw[index + 1]!]);
    }
    return list;
};

/** Size of the headers on the wire: each header adds ": " and a line break. */
const headerBytes = (headers: HeaderList): number =>
    headers.reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
