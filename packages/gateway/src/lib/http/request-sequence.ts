/** The requests of one connection, which are answered in order. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnection } from "./caller-connection.js";
import { pieceBytes } from "./request-body.js";
import type { RequestBody } from "./request-body.js";

/** A request that the parser has read up to its header. */
export interface Exchange {
    readonly connection: CallerConnection;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    /** Undefined if its body, if it has one, is not read. */
    readonly body: RequestBody | undefined;
    /** Whether it has no body and may run more than once, so that it may run before its turn. */
    readonly isRepeatable: boolean;
    /** Aborted when the connection ends before the response. */
    readonly disconnected: AbortController;
}

/** Maximum number of requests of a connection that run at the same time. */
const maxRunning = 4;

/** Limits the requests of all connections that run before their turn, each of which takes a descriptor. */
export interface EarlyRequests {
    /** Takes one; returns false if there are too many. */
    readonly tryTake: () => boolean;
    readonly release: () => void;
}

/**
 * Runs the requests of a connection in order. Each waits for the response of the one before, unless both and all between
 * them may be repeated: a response that closes the connection ends those behind it, and their caller sends them again.
 *
 * @example
 * const sequence = new RequestSequence(exchange => run(exchange), earlyRequests);
 * sequence.add(exchange);
 * sequence.finish();
 * sequence.runNext();
 */
export class RequestSequence<E extends Exchange> {
    readonly #run: (exchange: E) => void;
    readonly #early: EarlyRequests;
    /** In the order of their responses; the first ones run. */
    #exchanges: E[] = [];
    #runningCount = 0;
    #earlyCount = 0;
    /** Called when it is the turn of a request that has its response already. */
    readonly #turnListeners = new Map<E, () => void>();

    constructor(run: (exchange: E) => void, early: EarlyRequests) {
        this.#run = run;
        this.#early = early;
    }

    get isIdle(): boolean {
        return this.#exchanges.length === 0;
    }

    /** The body that is arriving; undefined if the next bytes are a header, or nobody reads the body. */
    get arrivingBody(): RequestBody | undefined {
        const last = this.#exchanges.at(-1);
        return last?.incoming.complete === false ? last.body : undefined;
    }

    /** Bytes that the parser may get: none while a request runs behind which none may run, so that few are read ahead. */
    get allowedBytes(): number {
        const last = this.#exchanges.at(-1);
        if (last === undefined) {
            return pieceBytes;
        }
        if (!last.incoming.complete) {
            return last.body?.allowedBytes ?? 0;
        }
        const mayRunNext = this.#runningCount === this.#exchanges.length && this.#runningCount < maxRunning;
        return mayRunNext && this.#exchanges.every(({ isRepeatable }) => isRepeatable) ? pieceBytes : 0;
    }

    add(exchange: E): void {
        this.#exchanges.push(exchange);
        this.runNext();
    }

    /** Resolves when the responses before that of a request are written, or when the connection has ended. */
    turnOf(exchange: E): Promise<void> {
        const index = this.#exchanges.indexOf(exchange);
        return index <= 0
            ? Promise.resolve()
            : new Promise(resolve => this.#turnListeners.set(exchange, resolve));
    }

    get isRunning(): boolean {
        return this.#runningCount > 0;
    }

    /** Whether no request runs behind the first one. */
    get isLastRunning(): boolean {
        return this.#runningCount <= 1;
    }

    /** Whether a request waits behind others. */
    get hasWaiting(): boolean {
        return this.#exchanges.length > this.#runningCount;
    }

    /** The response of the first request is written; `runNext` runs those that may run now. */
    finish(): void {
        this.#exchanges.shift()?.body?.close();
        this.#runningCount = Math.max(0, this.#runningCount - 1);
        if (this.#earlyCount > 0) {
            this.#earlyCount--;
            this.#early.release();
        }
        const first = this.#exchanges[0];
        if (first !== undefined) {
            this.#endWait(first);
        }
    }

    /** The connection has ended; the requests that wait are not run, and the others are cancelled. */
    close(): void {
        for (; this.#earlyCount > 0; this.#earlyCount--) {
            this.#early.release();
        }
        const ended = this.#exchanges;
        this.#exchanges = [];
        this.#runningCount = 0;
        ended.forEach(exchange => {
            exchange.body?.close();
            exchange.disconnected.abort();
            this.#endWait(exchange);
        });
    }

    #endWait(exchange: E): void {
        this.#turnListeners.get(exchange)?.();
        this.#turnListeners.delete(exchange);
    }

    /** Runs the requests that may run now. */
    runNext(): void {
        for (let next = this.#nextExchange(); next !== undefined; next = this.#nextExchange()) {
            this.#runningCount++;
            this.#run(next);
        }
    }

    /** The first request that does not run, if it may run now. */
    #nextExchange(): E | undefined {
        const next = this.#exchanges[this.#runningCount];
        if (next === undefined || this.#runningCount === 0) {
            return next;
        }
        const areRepeatable = this.#exchanges.slice(0, this.#runningCount + 1).every(({ isRepeatable }) =>
            isRepeatable
        );
        if (!areRepeatable || this.#runningCount >= maxRunning || !this.#early.tryTake()) {
            return undefined;
        }
        this.#earlyCount++;
        return next;
    }
}
