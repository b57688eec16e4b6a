/** The requests of one connection, which run one after the other. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DecodedRequest } from "../model.js";
import type { CallerConnection } from "./caller-connection.js";
import { pieceBytes } from "./request-body.js";
import type { RequestBody } from "./request-body.js";

/** A request that the parser has read up to its header. */
export interface CallerExchange {
    readonly connection: CallerConnection;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly request: DecodedRequest;
    /** The organisation whose key the request bears. */
    readonly owner: string | undefined;
    /** Status with which it is rejected because of its header. */
    readonly rejectedStatus: number | undefined;
    /** Whether there was no memory for a further request when its header was read. */
    readonly isOverload: boolean;
    /** Undefined if the request is rejected by its header, or if it has a body and there was no memory. */
    readonly body: RequestBody | undefined;
    readonly receivedMs: number;
}

/**
 * Runs the requests of a connection in order, each after the response of the one before. Requests that were parsed
 * together with an earlier one wait; if its response closes the connection, they are not run.
 *
 * @example
 * const sequence = new RequestSequence(exchange => run(exchange));
 * sequence.add(exchange);
 * sequence.finish();
 */
export class RequestSequence {
    readonly #run: (exchange: CallerExchange) => void;
    /** The first one runs. */
    #exchanges: CallerExchange[] = [];

    constructor(run: (exchange: CallerExchange) => void) {
        this.#run = run;
    }

    get isIdle(): boolean {
        return this.#exchanges.length === 0;
    }

    /** Whether the body of a request has not arrived completely. */
    get hasUnreadBody(): boolean {
        const last = this.#exchanges.at(-1);
        return last !== undefined && !last.incoming.complete;
    }

    /** Bytes that the parser may get: none while a request runs, so that few are read ahead. */
    get allowedBytes(): number {
        const last = this.#exchanges.at(-1);
        if (last === undefined) {
            return pieceBytes;
        }
        return last.incoming.complete ? 0 : last.body?.allowedBytes ?? 0;
    }

    add(exchange: CallerExchange): void {
        this.#exchanges.push(exchange);
        if (this.#exchanges.length === 1) {
            this.#run(exchange);
        }
    }

    /** The response of the first request is written; runs the next one. */
    finish(): void {
        this.#exchanges.shift()?.body?.close();
        const next = this.#exchanges[0];
        if (next !== undefined) {
            this.#run(next);
        }
    }

    /** The connection has ended; the requests that wait are not run. */
    close(): void {
        this.#exchanges.forEach(({ body }) => body?.close());
        this.#exchanges = [];
    }
}
