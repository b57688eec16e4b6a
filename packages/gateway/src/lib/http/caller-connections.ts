/** The connections of callers, bounded in number and in the time for which they take without giving. */
import type { Clock } from "@sniperoad/core";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../model.js";
import type { MemoryBudget } from "../request/memory-budget.js";
import type { CallerBounds } from "./caller-bounds.js";
import { CallerConnection } from "./caller-connection.js";
import type { CallerRejection } from "./caller-rejections.js";
import { RequestSequence } from "./request-sequence.js";
import type { CallerExchange } from "./request-sequence.js";
import { TurnBudget } from "./turn-budget.js";

/** Time for which a connection without a request in progress must have been idle to make room for a new one. */
const idleBeforeEvictionMs = 1_000;
/** Share of the connections from which they count as scarce. */
const crowdedShare = 0.75;
/** Time for which a caller may take nothing of a response while there is room, and while memory or connections are scarce. */
const unreadMs = { ample: 10_000, scarce: 2_000 };
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n";

/** A connection with its requests. */
interface CallerSession {
    readonly connection: CallerConnection;
    readonly sequence: RequestSequence;
    /** Whether a request was read from it. */
    hasRequested: boolean;
    /** Monotonic time since when no request is in progress. */
    idleSinceMs: number;
}

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
    readonly clock: Clock;
    readonly budget: MemoryBudget;
    readonly bounds: CallerBounds;
    readonly limits: () => CallerLimits;
    readonly reject: (reason: CallerRejection) => void;
    /** Passes a connection to the HTTP server. */
    readonly attach: (connection: CallerConnection) => void;
    readonly run: (exchange: CallerExchange) => void;
}

/**
 * Keeps the connections of callers.
 *
 * @example
 * server.on("connection", socket => connections.add(socket));
 * connections.review();
 */
export class CallerConnections {
    readonly #options: CallerConnectionsOptions;
    readonly #turns: TurnBudget;
    /** In the order in which they were opened. */
    readonly #sessions = new Map<CallerConnection, CallerSession>();
    #earlyCount = 0;

    constructor(options: CallerConnectionsOptions) {
        this.#options = options;
        this.#turns = new TurnBudget({ clock: options.clock, nextTurn: task => void setImmediate(task) });
    }

    /** Whether there are so many connections that those without progress should end soon. */
    get isCrowded(): boolean {
        return this.#sessions.size > this.#options.bounds.maxConnections * crowdedShare;
    }

    /** Takes a new connection, or closes it if there are too many that count more. */
    add(socket: Socket): void {
        const { clock, bounds, budget, run, attach, reject } = this.#options;
        if (this.#sessions.size >= bounds.maxConnections) {
            reject("connections");
            const evicted = this.#connectionToEvict();
            if (evicted === undefined) {
                socket.resetAndDestroy();
                return;
            }
            evicted.connection.destroy();
            this.#sessions.delete(evicted.connection);
        }
        const sequence = new RequestSequence(run, {
            tryTake: () => {
                const isFree = this.#earlyCount < bounds.maxEarlyRequests;
                this.#earlyCount += isFree ? 1 : 0;
                return isFree;
            },
            release: () => {
                this.#earlyCount--;
            },
        });
        const connection = new CallerConnection(socket, {
            clock,
            turns: this.#turns,
            allowedBytes: () => sequence.allowedBytes,
            hasUnreadBody: () => sequence.hasUnreadBody,
            countPending: changeBytes => budget.countPending(changeBytes),
            isPendingHigh: () => budget.isPendingHigh,
        });
        const session: CallerSession = {
            connection,
            sequence,
            hasRequested: false,
            idleSinceMs: clock.monotonicMs(),
        };
        this.#sessions.set(connection, session);
        connection.on("close", () => {
            this.#sessions.delete(connection);
            sequence.close();
        });
        attach(connection);
    }

    /** The connection on which the HTTP server read a request. */
    connectionOf({ socket }: IncomingMessage): CallerConnection {
        return socket as unknown as CallerConnection;
    }

    /** Takes a request whose header was read. */
    receive(exchange: CallerExchange): void {
        const { connection, outgoing } = exchange;
        const session = this.#sessions.get(connection);
        if (session === undefined) {
            exchange.body?.close();
            return;
        }
        connection.headerStartedMs = undefined;
        session.hasRequested = true;
        outgoing.on("finish", () => this.#finish(session));
        session.sequence.add(exchange);
    }

    /** Closes connections that are late with a header or do not take a response. Call it a few times a second. */
    review(): void {
        const nowMs = this.#options.clock.monotonicMs();
        const { headerTimeoutMs } = this.#options.limits();
        for (const { connection, sequence } of this.#sessions.values()) {
            const isLate = nowMs - (connection.headerStartedMs ?? nowMs) >= headerTimeoutMs;
            if (sequence.isIdle && isLate) {
                connection.headerStartedMs = undefined;
                connection.end(requestTimeoutResponse, () => connection.destroy());
            }
        }
        this.#resetUnread(this.isCrowded || this.#areResponsesScarce() ? unreadMs.scarce : unreadMs.ample);
    }

    /** Makes room for a response, if those that wait take too much memory. */
    reviewReaders(): void {
        if (this.#areResponsesScarce()) {
            this.#resetUnread(unreadMs.scarce);
        }
    }

    /** Closes all connections without a request, and without a part of one. */
    closeIdle(): void {
        this.#sessions.forEach(({ sequence, connection }) => {
            if (sequence.isIdle && connection.headerStartedMs === undefined) {
                connection.destroy();
            }
        });
    }

    #finish(session: CallerSession): void {
        const { connection, sequence } = session;
        session.idleSinceMs = this.#options.clock.monotonicMs();
        if (connection.isClosing) {
            sequence.close();
            return;
        }
        sequence.finish();
        if (sequence.isIdle) {
            connection.expectHeader();
        }
        connection.pump();
    }

    #areResponsesScarce(): boolean {
        const { budget, bounds } = this.#options;
        return budget.heldBytes > bounds.maxUnreadBytes;
    }

    /** Resets connections whose callers have taken nothing of their response for a time. */
    #resetUnread(maxUnreadMs: number): void {
        const { clock, reject } = this.#options;
        const nowMs = clock.monotonicMs();
        for (const { connection } of this.#sessions.values()) {
            if (connection.unreadMs(nowMs) >= maxUnreadMs) {
                reject("unread-response");
                connection.reset();
            }
        }
    }

    /** The oldest connection that sent no request yet, or else the one that has been idle longest. */
    #connectionToEvict(): CallerSession | undefined {
        const idleBeforeMs = this.#options.clock.monotonicMs() - idleBeforeEvictionMs;
        let longestIdle: CallerSession | undefined;
        for (const session of this.#sessions.values()) {
            if (!session.hasRequested) {
                return session;
            }
            const isLonger = session.idleSinceMs < (longestIdle?.idleSinceMs ?? Infinity);
            if (session.sequence.isIdle && session.idleSinceMs <= idleBeforeMs && isLonger) {
                longestIdle = session;
            }
        }
        return longestIdle;
    }
}
