/** The HTTP server for callers. */
import { serve } from "@hono/node-server";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Clock, Headers as HeaderList, LogPort } from "@sniperoad/core";
import { readBody, splitAddress } from "@sniperoad/daemon";
import { Hono } from "hono";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { errorMessage } from "../errors.js";
import type { CallerLimits } from "../model.js";
import type { CallerResponse, HeaderCodec } from "../request/ports.js";
import type { ReceivedRequest } from "../request/request-handler.js";

/** Limits before there is a configuration, of the size that proxies commonly have. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 15_000,
};
/** Header size that the parser accepts; the configured limit is checked afterwards, since it may change. */
const parserHeaderBytes = 131_072;
/** How often the parser looks for callers that exceed the header timeout. */
const timeoutCheckMs = 500;

/** What {@link CallerServer} needs. */
export interface CallerServerOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly address: string;
    readonly codec: Pick<HeaderCodec, "decodeRequest">;
    readonly limits: () => CallerLimits;
    readonly handle: (received: ReceivedRequest) => Promise<CallerResponse | undefined>;
    /** Whether answers tell callers to use another instance from now on. */
    readonly isLeaving: () => boolean;
}

/**
 * Reads requests of callers whole, has them handled, and writes the answers.
 *
 * @example
 * const server = await FrontServer.open(options);
 * await server.close();
 */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #server: Server;
    readonly #busy = new Set<Socket>();

    private constructor(options: CallerServerOptions, started: (server: CallerServer) => void) {
        this.#options = options;
        const app = new Hono<{ Bindings: HttpBindings; }>();
        app.all("*", async ({ env }) => {
            await this.#serve(env.incoming, env.outgoing);
            return RESPONSE_ALREADY_SENT;
        });
        const { host, port } = splitAddress(options.address);
        this.#server = serve({
            fetch: app.fetch,
            hostname: host,
            port,
            overrideGlobalObjects: false,
            serverOptions: {
                maxHeaderSize: parserHeaderBytes,
                connectionsCheckingInterval: timeoutCheckMs,
                requestTimeout: 0,
                noDelay: true,
            },
        }, () => started(this)) as Server;
        this.applyLimits();
    }

    /** @throws Error when the address is in use. */
    static open(options: CallerServerOptions): Promise<CallerServer> {
        return new Promise((resolve, reject) => {
            const server = new CallerServer(options, resolve);
            server.#server.once("error", reject);
        });
    }

    /** Requests that are being handled. */
    get activeRequestCount(): number {
        return this.#busy.size;
    }

    /** Puts changed limits in force. */
    applyLimits(): void {
        const { headerTimeoutMs, idleTimeoutMs } = this.#options.limits();
        this.#server.headersTimeout = headerTimeoutMs;
        this.#server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Accepts no new connections, closes idle ones and resolves once the requests have ended. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.#server.close(() => resolve());
            this.#server.closeIdleConnections();
        });
    }

    async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const { clock, codec: dialect, limits, handle, log } = this.#options;
        const receivedMs = clock.monotonicMs();
        const gone = new AbortController();
        outgoing.on("close", () => {
            this.#busy.delete(incoming.socket);
            if (!outgoing.writableFinished) {
                gone.abort();
            }
        });
        this.#busy.add(incoming.socket);
        const headers = headerList(incoming.rawHeaders);
        if (headerBytes(headers) > limits().maxHeaderBytes) {
            this.#write(outgoing, { status: 431, headers: [], body: new Uint8Array(0) }, true);
            return;
        }
        try {
            const body = await readBody(incoming, limits().maxBodyBytes);
            const request = dialect.decodeRequest(incoming.method ?? "GET", incoming.url ?? "/", headers);
            const answer = await handle({ request, body, receivedMs, signal: gone.signal });
            if (answer !== undefined && !gone.signal.aborted) {
                this.#write(outgoing, answer, body === undefined);
            }
        }
        catch (error) {
            if (!gone.signal.aborted) {
                log.event("request-failed", { reason: errorMessage(error) });
            }
            outgoing.destroy();
        }
    }

    #write(outgoing: ServerResponse, answer: CallerResponse, mustClose: boolean): void {
        const headers = answer.headers.filter(([name]) => !connectionHeaders.has(name));
        const hasBody = !bodilessStatuses.has(answer.status);
        const isOpenEnded = answer.isCloseDelimited ?? false;
        const length: [string, string][] = hasBody && !isOpenEnded
            ? [["content-length", String(answer.body.length)]]
            : [];
        const isLast = mustClose || isOpenEnded || this.#options.isLeaving();
        const last: [string, string][] = isLast ? [["connection", "close"]] : [];
        // Chunks would state an end as well.
        outgoing.useChunkedEncodingByDefault = !isOpenEnded;
        outgoing.writeHead(answer.status, [...headers, ...length, ...last].flat());
        outgoing.end(hasBody ? answer.body : undefined);
    }
}

/** Fields that concern one connection or the framing of one message. */
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
/** Statuses whose answers have no body. */
const bodilessStatuses = new Set([204, 304]);

const headerList = (raw: readonly string[]): HeaderList => {
    const list: [string, string][] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        list.push([raw[index]!.toLowerCase(), raw[index + 1]!]);
    }
    return list;
};

/** Size of the header as sent: each field has ": " and a line end. */
const headerBytes = (headers: HeaderList): number =>
    headers.reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
