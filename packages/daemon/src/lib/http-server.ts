/** HTTP server of an instance: caller requests, the directory and the administration interface. */
import { serve } from "@hono/node-server";
import type { HttpBindings } from "@hono/node-server";
import { id, outcomeBeforeClaim, problemAnswer } from "@sniperoad/core";
import type { CallerRequest, Headers as HeaderList, HttpResponse, Random, RequestId } from "@sniperoad/core";
import { Hono } from "hono";
import type { Context } from "hono";
import { timingSafeEqual } from "node:crypto";
import type { Server } from "node:http";
import * as z from "zod";
import { hasValidHeaders, readBody } from "./http-utils.js";

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
    /** Withdraws a key fleet-wide and returns the body of the response; if it rejects, the response has status 422. */
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
    app.use("*", async (c, next) => {
        if (!hasValidHeaders(c.env.incoming.rawHeaders)) {
            return c.json({ title: "Malformed request", detail: "remove the invalid header name" }, 400, {
                connection: "close",
            });
        }
        await next();
    });
    app.get("/directory", c => c.json(context.directory(c.req.query("zone")) as object));
    app.get("/admin/status", c => c.json(context.status() as object));
    app.post("/admin/withdrawals", async c => {
        const refusal = rejectUnauthorizedOperator(c, context);
        return refusal ?? withdraw(c, context);
    });
    app.post("/admin/quarantine/:fingerprint/lift", c => {
        const refusal = rejectUnauthorizedOperator(c, context);
        if (refusal !== undefined) {
            return refusal;
        }
        const isLifted = context.liftQuarantine(c.req.param("fingerprint"));
        return c.json({ isLifted }, isLifted ? 200 : 404);
    });
    let sequence = 0;
    // The random part keeps request ids unique after a restart.
    const requestIdPrefix = `${context.instance}-${Math.floor(context.random() * 0x100000000).toString(36)}`;
    app.all("*", c => handleCaller(c, id<RequestId>(`${requestIdPrefix}-${(++sequence).toString(36)}`), context));
    return app;
};

/** Returns the response to an operator without a valid token; undefined if the request is authorized. */
const rejectUnauthorizedOperator = (c: Context<Bindings>, context: HttpServerContext): Response | undefined => {
    const sent = Buffer.from((c.req.header("authorization") ?? "").replace(/^Bearer /i, ""));
    const expected = Buffer.from(context.adminToken ?? "");
    if (expected.length > 0 && sent.length === expected.length && timingSafeEqual(sent, expected)) {
        return undefined;
    }
    const remedy = context.adminToken === undefined
        ? "set adminToken in the settings of this instance to allow operators' changes"
        : "send the instance's adminToken as Authorization: Bearer";
    return c.json({ title: "Operator not accepted", detail: remedy }, 401);
};

const withdrawalSchema = z.strictObject({ key: z.string().min(1).max(64) });

const withdraw = async (c: Context<Bindings>, context: HttpServerContext): Promise<Response> => {
    const body = withdrawalSchema.safeParse(await c.req.json().catch(() => undefined));
    if (!body.success) {
        return c.json(
            { title: "Malformed withdrawal", detail: 'send {"key": "<keyId>"}, without the secret' },
            400,
        );
    }
    try {
        return c.json(await context.withdraw(body.data.key) as object);
    }
    catch (error) {
        return c.json({ title: "Key not withdrawn", detail: String((error as Error).message) }, 422);
    }
};

const handleCaller = async (
    c: Context<Bindings>,
    requestId: RequestId,
    context: HttpServerContext,
): Promise<Response> => {
    const headers = [...c.req.raw.headers] as HeaderList;
    const body = await readBody(c.env.incoming, context.maxBodyBytes);
    const response = body === undefined
        ? problemAnswer({
            type: "request-too-large",
            outcome: outcomeBeforeClaim(headers),
            detail: `The limit is ${context.maxBodyBytes} bytes.`,
        }, requestId)
        : await context.handle({
            id: requestId,
            method: c.req.method,
            target: c.env.incoming.url ?? "/",
            headers,
            body,
            signal: c.req.raw.signal,
        });
    return toResponse(response, context.isLeaving() || body === undefined);
};

/** Status codes of responses without a body. */
const bodilessStatuses = new Set([204, 205, 304]);

const toResponse = (response: HttpResponse, closesConnection: boolean): Response => {
    const headers = new Headers(response.headers.map(([name, value]): [string, string] => [name, value]));
    if (closesConnection) {
        headers.set("connection", "close");
    }
    const body = bodilessStatuses.has(response.status) ? null : response.body;
    return new Response(body as ConstructorParameters<typeof Response>[0], { status: response.status, headers });
};
