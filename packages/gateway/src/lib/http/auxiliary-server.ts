/** HTTP servers for the directory, the readiness check and the metrics. */
import { getRequestListener } from "@hono/node-server";
import type { Clock } from "@sniperoad/core";
import { Hono } from "hono";
import type { MemoryBudget } from "../request/memory-budget.js";
import { BoundedServer } from "./bounded-server.js";
import type { ConnectionBounds } from "./caller-connections.js";
import type { CallerRejections } from "./caller-rejections.js";
import { rejectionResponse } from "./connection-rejections.js";
import { hasBody, losesRest } from "./request-body.js";
import type { Exchange } from "./request-sequence.js";
import type { TurnBudget } from "./turn-budget.js";

/** Limits of these requests, which have a short header and no body. */
const limits = { maxHeaderBytes: 8_192, maxBodyBytes: 0, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 };

/** A path and its handler. */
export interface AuxiliaryRoute {
    readonly path: string;
    readonly answer: (query: URLSearchParams) => Response | Promise<Response>;
}

/** A listening server. */
export interface AuxiliaryServer {
    close(): void;
}

/** Answers that begin in a turn of the event loop; each takes up to some milliseconds. */
const answersPerTurn = 8;

/** Begins a few answers in each turn of the event loop. They run behind the tasks of a turn, so no budget counts them. */
const answerInTurns = (answer: (exchange: Exchange) => void): (exchange: Exchange) => void => {
    let waiting: Exchange[] = [];
    const answerNext = (): void => {
        waiting.splice(0, answersPerTurn).forEach(answer);
        if (waiting.length > 0) {
            setImmediate(answerNext);
        }
    };
    return exchange => {
        // Those whose connection has ended meanwhile are left out.
        waiting = waiting.filter(({ disconnected }) => !disconnected.signal.aborted);
        if (waiting.push(exchange) === 1) {
            setImmediate(answerNext);
        }
    };
};

/** Options of {@link openAuxiliaryServer}. */
export interface AuxiliaryServerOptions {
    readonly clock: Clock;
    readonly address: string;
    readonly routes: readonly AuxiliaryRoute[];
    readonly bounds: ConnectionBounds;
    /** Shared with the callers' server. */
    readonly budget: MemoryBudget;
    readonly turns: TurnBudget;
    readonly rejections: CallerRejections;
}

/**
 * Opens an HTTP server for the `GET` requests of some paths. The requests of a connection are answered one after the
 * other, and one with a body closes its connection, as the body is not read.
 *
 * @throws Error when the address is in use
 * @example
 * const routes = [{ path: "/ready", answer: () => new Response("ok") }];
 * const server = await openAuxiliaryServer({ ...options, address: "10.0.0.5:8081", routes });
 */
export const openAuxiliaryServer = async (options: AuxiliaryServerOptions): Promise<AuxiliaryServer> => {
    const app = new Hono();
    options.routes.forEach(({ path, answer }) => app.get(path, c => answer(new URL(c.req.url).searchParams)));
    const respond = getRequestListener(app.fetch, { overrideGlobalObjects: false, autoCleanupIncoming: false });
    const server = new BoundedServer<Exchange>({
        ...options,
        limits: () => limits,
        isLeaving: () => false,
        reject: reason => options.rejections.record(reason),
        rejectionOf: rejection => rejectionResponse(rejection),
        receive: (incoming, outgoing, connection) => {
            const isBodyUnread = hasBody(incoming) && incoming.headers["content-length"] !== "0";
            if (isBodyUnread || losesRest(incoming, connection)) {
                outgoing.shouldKeepAlive = false;
            }
            const disconnected = new AbortController();
            const exchange = { connection, incoming, outgoing, body: undefined, isRepeatable: false, disconnected };
            server.connections.receive(exchange);
        },
        run: answerInTurns(({ incoming, outgoing }) => void respond(incoming, outgoing)),
    });
    await server.listen(options.address);
    return { close: () => server.closeNow() };
};
