/** An HTTP server whose connections hold no more than a budget allows. */
import type { Clock, Timer } from "@sniperoad/core";
import { splitAddress } from "@sniperoad/daemon";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import type { CallerConnection } from "./caller-connection.js";
import { CallerConnections } from "./caller-connections.js";
import type { CallerConnectionsOptions } from "./caller-connections.js";
import type { Exchange } from "./request-sequence.js";

/** Maximum header size of the parser; the configured limit is checked as well, since it may change. */
const parserHeaderBytes = 131_072;
/** Time for which a request that was sent before the listener closed may be on its way. */
const arrivalMs = 250;
/** Interval at which timeouts and the memory of callers are reviewed. */
const reviewIntervalMs = 250;

/** Options of {@link BoundedServer}. */
export interface BoundedServerOptions<E extends Exchange> extends Omit<CallerConnectionsOptions<E>, "attach"> {
    readonly clock: Clock;
    /** Takes a request whose header was read. */
    readonly receive: (incoming: IncomingMessage, outgoing: ServerResponse, connection: CallerConnection) => void;
    /** Called a few times a second, after the connections were reviewed. */
    readonly onReview?: () => void;
}

/**
 * Passes connections to the HTTP server of Node.js through streams which pass on no more than the budget allows.
 *
 * @example
 * const server = new BoundedServer(options);
 * await server.listen("10.0.0.5:8080");
 * await server.close();
 */
export class BoundedServer<E extends Exchange> {
    readonly connections: CallerConnections<E>;
    readonly #options: BoundedServerOptions<E>;
    readonly #server: Server;
    #reviewTimer: Timer | undefined;

    constructor(options: BoundedServerOptions<E>) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: parserHeaderBytes,
            // Node.js would count the time for which a header waits behind a request in progress.
            headersTimeout: 0,
            requestTimeout: 0,
            noDelay: true,
            // Node.js would answer it outside the sequence of requests.
            requireHostHeader: false,
        }, (incoming, outgoing) => options.receive(incoming, outgoing, this.connections.connectionOf(incoming)));
        // Node.js drops the fields beyond this number, and the request would be passed on without them.
        this.#server.maxHeadersCount = 0;
        const [attach] = this.#server.listeners("connection") as ((connection: unknown) => void)[];
        this.connections = new CallerConnections({
            ...options,
            attach: connection => attach!.call(this.#server, connection),
        });
        // Without a listener, Node.js writes a rejection in the place of the responses that are due.
        this.#server.on("clientError", (error: NodeJS.ErrnoException, connection) => {
            const isTooLong = error.code === "HPE_HEADER_OVERFLOW";
            this.connections.rejectRest(
                connection as unknown as CallerConnection,
                isTooLong ? "too-long" : "malformed",
            );
        });
        // Without a listener, Node.js destroys the connection.
        this.#server.on(
            "connect",
            (_incoming, connection) => this.#rejectTunnel(connection as unknown as CallerConnection),
        );
        this.#server.removeAllListeners("connection");
        this.#server.on("connection", (socket: Socket) => this.connections.add(socket));
        this.applyLimits();
    }

    /**
     * Resolves when connections are accepted.
     *
     * @throws Error when the address is in use
     */
    listen(address: string): Promise<void> {
        const { host, port } = splitAddress(address);
        this.#review();
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
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
        this.connections.closeIdle();
        await closed;
        this.#reviewTimer?.cancel();
    }

    /** Stops accepting connections and ends all that are open. */
    closeNow(): void {
        NetServer.prototype.close.call(this.#server);
        this.connections.closeAll();
        this.#reviewTimer?.cancel();
    }

    /** Rejects a `CONNECT`, at which Node.js has taken its listeners from the connection. */
    #rejectTunnel(connection: CallerConnection): void {
        connection.on("error", () => {});
        connection.on("end", () => connection.destroy());
        this.connections.rejectRest(connection, "tunnel");
        connection.resume();
    }

    #review(): void {
        this.connections.review();
        this.#options.onReview?.();
        this.#reviewTimer = this.#options.clock.after(reviewIntervalMs, () => this.#review());
    }
}
