/** The connections of callers, bounded in number and in the time for which they take without giving. */
import type { Clock } from "@sniperoad/core";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../model.js";
import type { MemoryBudget } from "../request/memory-budget.js";
import { CallerConnection } from "./caller-connection.js";
import type { CallerRejection } from "./caller-rejections.js";
import { evictionCandidateOf, isReadingEnded } from "./caller-session.js";
import type { CallerSession } from "./caller-session.js";
import { connectionToEvict, maxRetiringOf } from "./connection-eviction.js";
import { callerRejectionOf } from "./connection-rejections.js";
import type { ConnectionRejection } from "./connection-rejections.js";
import { pieceBytes } from "./request-body.js";
import { RequestSequence } from "./request-sequence.js";
import type { Exchange } from "./request-sequence.js";
import type { TurnBudget } from "./turn-budget.js";
import { UnfinishedMeter } from "./unfinished-meter.js";

/** Share of the connections from which they count as scarce. */
const crowdedShare = 0.75;
/** Time for which a caller may take nothing of a response while there is room, and while memory or connections are scarce. */
const unreadMs = { ample: 10_000, scarce: 2_000 };
/** Memory of a connection with its parser: its objects, and what lies outside the heap. */
const connectionHeapBytes = 10_240;
const connectionNativeBytes = 24_576;
/** Bytes that take as long to parse as a request takes to be handled. */
const requestWorkBytes = 4_096;
/** Work in a second from which a connection may be retired to make room, although requests are in progress on it. */
const busyBytes = 16 * requestWorkBytes;
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n";

/** Bounds on the connections of one server. */
export interface ConnectionBounds {
    readonly maxConnections: number;
    /** Pipelined requests of all connections that run before their turn. */
    readonly maxEarlyRequests: number;
    /** Bytes of responses that wait for callers, above which slow callers are reset early. */
    readonly maxUnreadBytes: number;
}

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions<E extends Exchange> {
    readonly clock: Clock;
    readonly budget: MemoryBudget;
    readonly turns: TurnBudget;
    readonly bounds: ConnectionBounds;
    readonly limits: () => CallerLimits;
    /** Whether requests that have not begun are left to another instance. */
    readonly isLeaving: () => boolean;
    /** Response to bytes of which no request is read. */
    readonly rejectionOf: (rejection: ConnectionRejection) => string;
    readonly reject: (reason: CallerRejection) => void;
    /** Passes a connection to the HTTP server. */
    readonly attach: (connection: CallerConnection) => void;
    readonly run: (exchange: E) => void;
}

/**
 * Keeps the connections of callers.
 *
 * @example
 * server.on("connection", socket => connections.add(socket));
 * connections.review();
 */
export class CallerConnections<E extends Exchange> {
    readonly #options: CallerConnectionsOptions<E>;
    /** In the order in which they were opened. */
    readonly #sessions = new Map<CallerConnection, CallerSession<E>>();
    #earlyCount = 0;
    #retiredCount = 0;

    constructor(options: CallerConnectionsOptions<E>) {
        this.#options = options;
    }

    /** Whether there are so many connections that those without progress should end soon. */
    get isCrowded(): boolean {
        return this.#sessions.size > this.#options.bounds.maxConnections * crowdedShare;
    }

    /** Takes a new connection, or closes it if there are too many that count more. */
    add(socket: Socket): void {
        const { clock, bounds, budget, turns, limits, run, attach, isLeaving } = this.#options;
        if (this.#sessions.size - this.#retiredCount >= bounds.maxConnections && !this.#makeRoom()) {
            socket.resetAndDestroy();
            return;
        }
        const sequence = new RequestSequence<E>(run, {
            tryTake: () => {
                const isEnding = session.isRetired || isLeaving();
                const isFree = this.#earlyCount < bounds.maxEarlyRequests && !budget.isScarce && !isEnding;
                this.#earlyCount += isFree ? 1 : 0;
                return isFree;
            },
            release: () => {
                this.#earlyCount--;
            },
        });
        const connection = new CallerConnection(socket, {
            clock,
            turns,
            allowedBytes: () => isReadingEnded(session) ? 0 : sequence.allowedBytes,
            admit: sizeBytes => this.#admit(session, sizeBytes),
            countPending: changeBytes => budget.countPending(changeBytes),
            isPendingHigh: () => budget.isPendingHigh,
        });
        const memory = budget.heap.open();
        memory.resize(connectionHeapBytes);
        budget.countConnections(connectionNativeBytes);
        const meter = new UnfinishedMeter({
            account: budget.heap.open(),
            // The limit is for the header fields; the request line may have as much, and a piece ends anywhere.
            maxBytes: () => 2 * limits().maxHeaderBytes + pieceBytes,
        });
        const session: CallerSession<E> = {
            connection,
            sequence,
            meter,
            rejection: undefined,
            isRetired: false,
            hasRequested: false,
            idleSinceMs: clock.monotonicMs(),
        };
        this.#sessions.set(connection, session);
        connection.on("close", () => {
            this.#sessions.delete(connection);
            this.#retiredCount -= session.isRetired ? 1 : 0;
            sequence.close();
            meter.close();
            memory.close();
            budget.countConnections(-connectionNativeBytes);
        });
        attach(connection);
    }

    /** The connection on which the HTTP server read a request. */
    connectionOf({ socket }: IncomingMessage): CallerConnection {
        return socket as unknown as CallerConnection;
    }

    /** Takes a request whose header was read. */
    receive(exchange: E): void {
        const { connection, outgoing } = exchange;
        const session = this.#sessions.get(connection);
        if (session === undefined || session.rejection !== undefined) {
            exchange.body?.close();
            exchange.disconnected.abort();
            return;
        }
        session.meter.reset();
        connection.charge(requestWorkBytes);
        connection.headerStartedMs = undefined;
        session.hasRequested = true;
        outgoing.on("finish", () => this.#finish(session));
        session.sequence.add(exchange);
    }

    /**
     * Rejects the bytes that follow the requests which were read. These are answered first: a rejection in their place
     * would be taken for their answer, although they run.
     */
    rejectRest(connection: CallerConnection, rejection: ConnectionRejection): void {
        const session = this.#sessions.get(connection);
        if (session === undefined || connection.destroyed || connection.isClosing) {
            return;
        }
        const { sequence } = session;
        if (connection.readableEnded && !sequence.isIdle) {
            // A caller that ends its direction cannot be told from one that has left.
            connection.destroy();
            return;
        }
        this.#record(rejection);
        if (sequence.arrivingBody !== undefined) {
            sequence.arrivingBody.rejectMalformed();
            return;
        }
        session.rejection ??= rejection;
        this.#rejectIfIdle(session);
    }

    /** A header, or a piece of the body that a connection brings, was read. */
    recordProgress(connection: CallerConnection): void {
        this.#sessions.get(connection)?.meter.reset();
    }

    /** Resolves when it is a request's turn to be answered; with whether its response ends the connection. */
    async waitForTurn(exchange: E): Promise<{ readonly isLast: boolean; }> {
        const session = this.#sessions.get(exchange.connection);
        await session?.sequence.turnOf(exchange);
        const isEnding = session?.isRetired === true || this.#options.isLeaving();
        // The requests behind it that run are answered, and only the last response closes the connection.
        return { isLast: isEnding && (session?.sequence.isLastRunning ?? true) };
    }

    /** Closes connections that are late with a header or do not take a response. Call it a few times a second. */
    review(): void {
        const nowMs = this.#options.clock.monotonicMs();
        const { headerTimeoutMs } = this.#options.limits();
        for (const { connection, sequence } of this.#sessions.values()) {
            const isLate = nowMs - (connection.headerStartedMs ?? nowMs) >= headerTimeoutMs;
            if (sequence.isIdle && isLate) {
                connection.rejectWith(requestTimeoutResponse);
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
            if (sequence.isIdle && connection.headerStartedMs === undefined && !connection.isClosing) {
                connection.destroy();
            }
        });
    }

    /** Ends all connections, also those with a request. */
    closeAll(): void {
        this.#sessions.forEach(({ connection }) => connection.destroy());
    }

    /** Counts bytes that the parser is about to get, and rejects a header or trailers for which there is no room. */
    #admit({ connection, sequence, meter }: CallerSession<E>, sizeBytes: number): boolean {
        const { arrivingBody } = sequence;
        const excess = arrivingBody?.hasKnownLength === true ? undefined : meter.add(sizeBytes);
        if (excess === undefined) {
            return true;
        }
        if (arrivingBody !== undefined) {
            arrivingBody.rejectOverhead(excess);
        }
        else if (sequence.isIdle) {
            this.#record(excess);
            connection.rejectWith(this.#options.rejectionOf(excess));
        }
        // Otherwise it waits until the requests before it are answered.
        return false;
    }

    #record(rejection: ConnectionRejection): void {
        const reason = callerRejectionOf(rejection);
        if (reason !== undefined) {
            this.#options.reject(reason);
        }
    }

    #rejectIfIdle({ connection, sequence, rejection }: CallerSession<E>): void {
        if (rejection !== undefined && sequence.isIdle) {
            connection.rejectWith(this.#options.rejectionOf(rejection));
        }
    }

    #finish(session: CallerSession<E>): void {
        const { connection, sequence } = session;
        session.idleSinceMs = this.#options.clock.monotonicMs();
        if (connection.isClosing) {
            sequence.close();
            return;
        }
        sequence.finish();
        if (sequence.isIdle) {
            connection.expectHeader();
            this.#rejectIfIdle(session);
        }
        if (session.isRetired && !sequence.isRunning) {
            connection.destroySoon();
            sequence.close();
            return;
        }
        if (sequence.hasWaiting) {
            // Requests that are answered at once would otherwise follow each other within one turn of the event loop.
            connection.runInTurn(() => {
                sequence.runNext();
                connection.pump();
            });
        }
        else {
            connection.pump();
        }
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

    /** Makes room for a new connection, if one of the others counts less. */
    #makeRoom(): boolean {
        const { clock, bounds, reject } = this.#options;
        reject("connections");
        const session = connectionToEvict(this.#sessions.values(), evictionCandidateOf, {
            nowMs: clock.monotonicMs(),
            busyBytes,
            mayRetire: this.#retiredCount < maxRetiringOf(bounds.maxConnections),
        });
        if (session === undefined) {
            return false;
        }
        if (session.sequence.isIdle) {
            this.#sessions.delete(session.connection);
            session.connection.destroy();
            return true;
        }
        // The requests that run on it are answered.
        session.isRetired = true;
        this.#retiredCount++;
        return true;
    }
}
