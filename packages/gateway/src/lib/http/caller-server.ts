/** The HTTP server for callers. */
import type { Clock, Headers as HeaderList, HttpResponse, LogPort, Timer } from "@sniperoad/core";
import { bodilessStatuses, hasValidHeaders, splitAddress } from "@sniperoad/daemon";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { errorMessage } from "../errors.js";
import type { CallerLimits, DecodedRequest } from "../model.js";
import { MemoryBudget } from "../request/memory-budget.js";
import type { HeaderCodec } from "../request/ports.js";
import type { ReceivedRequest } from "../request/request-handler.js";
import type { CallerBounds } from "./caller-bounds.js";
import { CallerConnections } from "./caller-connections.js";
import { CallerRejections } from "./caller-rejections.js";
import type { CallerRejection } from "./caller-rejections.js";
import { hasBody, RequestBody } from "./request-body.js";
import type { BodyResult } from "./request-body.js";
import type { CallerExchange } from "./request-sequence.js";

/** Limits until a configuration is loaded; the values are common among HTTP proxies. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 15_000,
};
/** Maximum header size of the parser; the configured limit is checked afterwards, since it may change. */
const parserHeaderBytes = 131_072;
/** Time for which a request that was sent before the listener closed may be on its way. */
const arrivalMs = 250;
/** Interval at which timeouts and the memory of callers are reviewed. */
const reviewIntervalMs = 250;
/** Time for which a body may wait for memory: an eighth of the request's deadline, and at most this. */
const maxMemoryWaitMs = 1_000;
const memoryWaitFraction = 1 / 8;
const defaultDeadlineMs = 30_000;

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly address: string;
    readonly codec: Pick<HeaderCodec, "decodeRequest">;
    readonly limits: () => CallerLimits;
    readonly bounds: CallerBounds;
    /** Bytes of responses that are being read from upstreams. */
    readonly upstreamBytes: () => number;
    /** The organisation whose key a request bears. */
    readonly organisationOf: (request: DecodedRequest) => string | undefined;
    /** Whether a request may run more than once. */
    readonly isRepeatable: (request: DecodedRequest) => boolean;
    readonly handle: (received: ReceivedRequest) => Promise<HttpResponse | undefined>;
    /** Whether responses close their connections, so that callers use another instance from now on. */
    readonly isLeaving: () => boolean;
    readonly onRejection: (reason: CallerRejection) => void;
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
    readonly #server: Server;
    readonly #budget: MemoryBudget;
    readonly #rejections: CallerRejections;
    readonly #connections: CallerConnections;
    #activeRequests = 0;
    #reviewTimer: Timer | undefined;

    private constructor(options: CallerServerOptions) {
        const { clock, log, bounds, upstreamBytes, onRejection, limits } = options;
        this.#options = options;
        this.#budget = new MemoryBudget({ clock, maxBytes: bounds.maxBufferedBytes, upstreamBytes });
        this.#rejections = new CallerRejections({ clock, log, onRejection });
        this.#server = createServer({
            maxHeaderSize: parserHeaderBytes,
            // Node.js would count the time for which a header waits behind a request in progress.
            headersTimeout: 0,
            requestTimeout: 0,
            noDelay: true,
        }, (incoming, outgoing) => {
            try {
                this.#receive(incoming, outgoing);
            }
            catch (error) {
                log.event("request-failed", { reason: errorMessage(error) });
                outgoing.destroy();
            }
        });
        // The connections that Node.js gets are streams which pass on no more than the budget allows.
        const [attach] = this.#server.listeners("connection") as ((connection: unknown) => void)[];
        this.#connections = new CallerConnections({
            clock,
            budget: this.#budget,
            bounds,
            limits,
            reject: reason => this.#rejections.record(reason),
            attach: connection => attach!.call(this.#server, connection),
            run: exchange => void this.#run(exchange),
        });
        this.#server.removeAllListeners("connection");
        this.#server.on("connection", (socket: Socket) => this.#connections.add(socket));
        this.applyLimits();
        this.#review();
    }

    /**
     * Opens the server; resolves when it accepts connections.
     *
     * @throws Error when the address is in use
     */
    static open(options: CallerServerOptions): Promise<CallerServer> {
        return new Promise((resolve, reject) => {
            const server = new CallerServer(options);
            const { host, port } = splitAddress(options.address);
            server.#server.once("error", reject);
            server.#server.listen(port, host, () => resolve(server));
        });
    }

    /** Number of requests in progress. */
    get activeRequestCount(): number {
        return this.#activeRequests;
    }

    /** Applies changed limits. */
    applyLimits(): void {
        this.#server.keepAliveTimeout = this.#options.limits().idleTimeoutMs;
    }

    /**
     * Stops accepting connections and resolves when all requests have ended. Idle connections stay open for
     * {@link arrivalMs}, so that requests which callers have sent already are read and answered.
     */
    async close(): Promise<void> {
        // `http.Server.close` would close idle connections at once.
        const closed = new Promise<void>(resolve => NetServer.prototype.close.call(this.#server, () => resolve()));
        const arrived = new Promise<void>(resolve => this.#options.clock.after(arrivalMs, resolve));
        await Promise.race([closed, arrived]);
        this.#connections.closeIdle();
        await closed;
        this.#reviewTimer?.cancel();
    }

    #review(): void {
        this.#budget.review(this.#connections.isCrowded);
        this.#connections.review();
        this.#rejections.review();
        this.#reviewTimer = this.#options.clock.after(reviewIntervalMs, () => this.#review());
    }

    /** Takes a request whose header was read. */
    #receive(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const connection = this.#connections.connectionOf(incoming);
        const receivedMs = this.#options.clock.monotonicMs();
        const headers = headerList(incoming.rawHeaders);
        const rejectedStatus = this.#rejectedStatus(incoming, headers);
        const request = this.#options.codec.decodeRequest(incoming.method ?? "GET", incoming.url ?? "/", headers);
        const owner = this.#options.organisationOf(request);
        const isOverload = !this.#budget.hasRoomFor(owner);
        const isBodyWanted = rejectedStatus === undefined && !(isOverload && hasBody(incoming));
        const isRepeatable = !hasBody(incoming) && this.#options.isRepeatable(request);
        const disconnected = new AbortController();
        const common = {
            connection,
            incoming,
            outgoing,
            request,
            owner,
            rejectedStatus,
            isOverload,
            isRepeatable,
            receivedMs,
            disconnected,
        };
        this.#connections.receive({ ...common, body: isBodyWanted ? this.#openBody(common) : undefined });
    }

    /** Status with which a request is rejected because of its header. */
    #rejectedStatus({ rawHeaders, headers: { host } }: IncomingMessage, headers: HeaderList): number | undefined {
        if (!hasValidHeaders(rawHeaders) || host === undefined) {
            return 400;
        }
        return headerBytes(headers) > this.#options.limits().maxHeaderBytes ? 431 : undefined;
    }

    #openBody({ incoming, request, owner, connection }: Omit<CallerExchange, "body">): RequestBody {
        const deadlineMs = request.deadlineMs ?? defaultDeadlineMs;
        return new RequestBody(incoming, {
            budget: this.#budget,
            maxBytes: this.#options.limits().maxBodyBytes,
            owner,
            waitMs: Math.min(maxMemoryWaitMs, deadlineMs * memoryWaitFraction),
            onGranted: () => connection.pump(),
        });
    }

    /** Answers a request; the response of the one before was written. */
    async #run(exchange: CallerExchange): Promise<void> {
        const { body, outgoing, rejectedStatus, disconnected } = exchange;
        this.#activeRequests++;
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
                this.#write(exchange, { status: rejectedStatus, headers: [], body: new Uint8Array(0) }, true);
                return;
            }
            const result: BodyResult = await body?.result ?? { kind: "rejected", reason: "memory" };
            await this.#answer(exchange, result, disconnected.signal);
        }
        catch (error) {
            if (!disconnected.signal.aborted) {
                this.#options.log.event("request-failed", { reason: errorMessage(error) });
            }
            outgoing.destroy();
        }
    }

    async #answer(exchange: CallerExchange, result: BodyResult, signal: AbortSignal): Promise<void> {
        const { connection, request, receivedMs } = exchange;
        if (result.kind === "gone") {
            connection.destroy();
            return;
        }
        if (result.kind === "rejected" && result.reason === "stalled") {
            this.#rejections.record("stalled-body");
            connection.reset();
            return;
        }
        const isOverload = exchange.isOverload || result.kind === "rejected";
        if (isOverload) {
            this.#rejections.record("memory");
        }
        const body = result.kind === "whole" ? result.body : undefined;
        const response = await this.#options.handle({ request, body, isOverload, receivedMs, signal });
        if (response !== undefined && !signal.aborted) {
            this.#write(exchange, response, body === undefined);
        }
    }

    #write(exchange: CallerExchange, response: HttpResponse, mustClose: boolean): void {
        const { outgoing, owner } = exchange;
        const headers = response.headers.filter(([name]) => !connectionHeaders.has(name));
        const hasBody = !bodilessStatuses.has(response.status);
        // A length lets the caller detect an early end, whatever ends the connection.
        const lengthHeader: [string, string][] = hasBody ? [["content-length", String(response.body.length)]] : [];
        const isLast = mustClose || this.#options.isLeaving();
        const closeHeader: [string, string][] = isLast ? [["connection", "close"]] : [];
        const release = this.#budget.hold(response.body.length, owner);
        onEnd(exchange, release);
        outgoing.writeHead(response.status, [...headers, ...lengthHeader, ...closeHeader].flat());
        outgoing.end(hasBody ? response.body : undefined);
        this.#connections.reviewReaders();
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
