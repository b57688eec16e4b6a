/** HTTP server of an instance for callers, directory and operators. */
import { serve } from "@hono/node-server";
import type { HttpBindings } from "@hono/node-server";
import { id, outcomeBeforeClaim, problemAnswer } from "@sniperoad/core";
import type { CallerRequest, Headers as HeaderList, HttpResponse, Random, RequestId } from "@sniperoad/core";
import { Hono } from "hono";
import type { Context } from "hono";
import { timingSafeEqual } from "node:crypto";
import type { Server } from "node:http";
import * as z from "zod";
import { readBody } from "./http-utils.js";

/** What the HTTP server requires of the instance. */
export interface HttpServerContext {
    readonly instance: string;
    readonly random: Random;
    readonly maxBodyBytes: number;
    readonly adminToken: string | undefined;
    readonly handle: (request: CallerRequest) => Promise<HttpResponse>;
    /** Body of `GET /directory` for a caller in a zone. */
    readonly directory: (zone: string | undefined) => unknown;
    /** Body of `GET /admin/status`. */
    readonly status: () => unknown;
    /** Withdraws a key fleet-wide and returns the body of the reply. */
    readonly withdraw: (keyId: string) => Promise<unknown>;
    /** Lifts the quarantine of a request; false if it is not quarantined. */
    readonly liftQuarantine: (fingerprint: string) => boolean;
    readonly isLeaving: () => boolean;
}

/** A listening HTTP server. */
export interface HttpServer {
    readonly port: number;
    /** Stops accepting connections and resolves once all requests in flight have ended. */
    close(): Promise<void>;
}

type Bindings = { Bindings: HttpBindings; };

/** Starts the HTTP server of an instance on an IP address and port (0: any free port). */
export const startHttpServer = (context: HttpServerContext, host: string, port: number): Promise<HttpServer> => {
    const app = createApp(context);
    return new Promise((resolve, reject) => {
        const server = serve({ fetch: app.fetch, hostname: host, port }, info => {
            resolve({ port: info.port, close: () => closeServer(server as Server) });
        });
        server.once("error", reject);
    });
};

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });

const createApp = (context: HttpServerContext): Hono<Bindings> => {
    const app = new Hono<Bindings>();
    app.get("/directory", request => request.json(context.directory(request.req.query("zone")) as object));
    app.get("/admin/status", request => request.json(context.status() as object));
    app.post("/admin/withdrawals", async request => {
        const refusal = rejectUnauthorizedOperator(request, context);
        return refusal ?? withdraw(request, context);
    });
    app.post("/admin/quarantine/:fingerprint/lift", request => {
        const refusal = rejectUnauthorizedOperator(request, context);
        if (refusal !== undefined) {
            return refusal;
        }
        const isLifted = context.liftQuarantine(request.req.param("fingerprint"));
        return request.json({ isLifted }, isLifted ? 200 : 404);
    });
    let sequence = 0;
    const prefix = `${context.instance}-${Math.floor(context.random() * 0x100000000).toString(36)}`;
    app.all("*", request => handleCaller(request, id<RequestId>(`${prefix}-${(++sequence).toString(36)}`), context));
    return app;
};

const rejectUnauthorizedOperator = (request: Context<Bindings>, context: HttpServerContext): Response | undefined => {
    const sent = Buffer.from((request.req.header("authorization") ?? "").replace(/^Bearer /i, ""));
    const expected = Buffer.from(context.adminToken ?? "");
    if (expected.length > 0 && sent.length === expected.length && timingSafeEqual(sent, expected)) {
        return undefined;
    }
    const remedy = context.adminToken === undefined
        ? "set adminToken in the settings of this instance to allow operators' changes"
        : "send the instance's adminToken as Authorization: Bearer";
    return request.json({ title: "Operator not accepted", detail: remedy }, 401);
};

const withdrawalSchema = z.strictObject({ key: z.string().min(1).max(64) });

const withdraw = async (request: Context<Bindings>, context: HttpServerContext): Promise<Response> => {
    const body = withdrawalSchema.safeParse(await request.req.json().catch(() => undefined));
    if (!body.success) {
        return request.json(
            { title: "Malformed withdrawal", detail: 'send {"key": "<keyId>"}, without the secret' },
            400,
        );
    }
    try {
        return request.json(await context.withdraw(body.data.key) as object);
    }
    catch (error) {
        return request.json({ title: "Key not withdrawn", detail: String((error as Error).message) }, 422);
    }
};

const handleCaller = async (
    hono: Context<Bindings>,
    requestId: RequestId,
    context: HttpServerContext,
): Promise<Response> => {
    const headers = [...hono.req.raw.headers] as HeaderList;
    const body = await readBody(hono.env.incoming, context.maxBodyBytes);
    const answer = body === undefined
        ? problemAnswer({
            type: "request-too-large",
            outcome: outcomeBeforeClaim(headers),
            detail: `The limit is ${context.maxBodyBytes} bytes.`,
        }, requestId)
        : await context.handle({
            id: requestId,
            method: hono.req.method,
            target: hono.env.incoming.url ?? "/",
            headers,
            body,
            signal: hono.req.raw.signal,
        });
    return toResponse(answer, context.isLeaving() || body === undefined);
};

/** Status codes of responses without a body. */
const bodilessStatuses = new Set([204, 205, 304]);

const toResponse = (answer: HttpResponse, closesConnection: boolean): Response => {
    const headers = new Headers(answer.headers.map(([name, value]): [string, string] => [name, value]));
    if (closesConnection) {
        headers.set("connection", "close");
    }
    const body = bodilessStatuses.has(answer.status) ? null : answer.body;
    return new Response(body as ConstructorParameters<typeof Response>[0], { status: answer.status, headers });
};
