/**
 * HTTP stand-in for an upstream, with slots, a service time, a record of the requests that it ran, and injectable
 * faults.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Injectable faults, none of which is active at first. */
export interface UpstreamFaults {
    /** Multiplies the service time. */
    slowFactor: number;
    /** Targets with this prefix get status 500. */
    failingPrefix: string | undefined;
    /** Responses stop in the middle of their body. */
    isTruncating: boolean;
    /** Responses carry a request id that differs from that of their request. */
    isCrossing: boolean;
    /** Announces a drain in its responses. */
    isDraining: boolean;
    /** Sheds all requests. */
    isShedding: boolean;
}

/** A request that an upstream started to run. */
export interface RunRecord {
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly target: string;
    readonly atMs: number;
    /** Whether the request had a header for the caller's credentials, which must not reach an upstream. */
    readonly sawKey: boolean;
}

/** Behaviour of an upstream without faults. */
export interface UpstreamOptions {
    readonly upstreamId: string;
    readonly port: number;
    readonly slots: number;
    readonly serviceMs: number;
}

/** A running upstream stand-in. */
export interface UpstreamStandIn {
    readonly address: string;
    readonly faults: UpstreamFaults;
    readonly record: readonly RunRecord[];
    close(): Promise<void>;
}

/** A target that contains this text crashes the upstream process. */
export const crashMarker = "crash-this-upstream";
/** Maximum number of waiting requests per slot; further requests are shed. */
const maxWaitingPerSlot = 4;

class Slots {
    #free: number;
    readonly #limit: number;
    readonly #waiting: (() => void)[] = [];

    constructor(count: number) {
        this.#free = count;
        this.#limit = count * maxWaitingPerSlot;
    }

    /** Returns false if too many requests wait and this one must be shed. */
    async acquire(): Promise<boolean> {
        if (this.#free > 0) {
            this.#free--;
            return true;
        }
        if (this.#waiting.length >= this.#limit) {
            return false;
        }
        await new Promise<void>(resolve => this.#waiting.push(resolve));
        return true;
    }

    release(): void {
        const next = this.#waiting.shift();
        if (next === undefined) {
            this.#free++;
        }
        else {
            next();
        }
    }
}

const readBody = async (request: IncomingMessage): Promise<string> => {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
};

const shed = (response: ServerResponse): void => {
    response.writeHead(503, { "sniperoad-not-run": "1", "retry-after": "1", "content-length": 0 }).end();
};

/**
 * Starts an upstream stand-in on loopback. `GET /_record` lists the requests that it ran, `POST /_control` sets faults,
 * and `GET /health` answers probes.
 *
 * @example
 * const upstream = await startUpstream({ upstreamId: "u1", port: 0, slots: 3, serviceMs: 5 });
 */
export const startUpstream = async (options: UpstreamOptions): Promise<UpstreamStandIn> => {
    const faults: UpstreamFaults = {
        slowFactor: 1,
        failingPrefix: undefined,
        isTruncating: false,
        isCrossing: false,
        isDraining: false,
        isShedding: false,
    };
    const record: RunRecord[] = [];
    const slots = new Slots(options.slots);
    const run = (request: IncomingMessage, body: string, response: ServerResponse): Promise<void> =>
        runRequest({ options, faults, record, slots }, request, body, response);
    const server = createServer((request, response) => {
        void readBody(request).then(async body => {
            if (request.url === "/_record") {
                response.setHeader("content-type", "application/json");
                response.end(JSON.stringify(record));
            }
            else if (request.url === "/_control") {
                Object.assign(faults, JSON.parse(body));
                response.writeHead(204).end();
            }
            else if (request.url === "/health") {
                // A probe is subject to the same faults as a request except shedding and the crash marker. It takes no
                // slot and is not recorded.
                await new Promise(resolve => setTimeout(resolve, options.serviceMs * faults.slowFactor));
                answer({ options, faults, record, slots }, request, body, response);
            }
            else {
                await run(request, body, response);
            }
        }).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => server.listen(options.port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        faults,
        record,
        close: () => closeServer(server),
    };
};

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

interface UpstreamContext {
    readonly options: UpstreamOptions;
    readonly faults: UpstreamFaults;
    readonly record: RunRecord[];
    readonly slots: Slots;
}

const runRequest = async (
    context: UpstreamContext,
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
): Promise<void> => {
    const { faults, options, slots, record } = context;
    const target = request.url ?? "/";
    if (faults.isShedding || !await slots.acquire()) {
        shed(response);
        return;
    }
    record.push({
        requestId: firstValue(request.headers["x-request-id"]),
        idempotencyKey: firstValue(request.headers["idempotency-key"]),
        target,
        atMs: Date.now(),
        sawKey: request.headers.authorization !== undefined || request.headers["x-api-key"] !== undefined,
    });
    if (target.includes(crashMarker)) {
        // Ends without a response, as in a crash; the exit status itself has no meaning.
        process.exit(13);
    }
    try {
        await new Promise(resolve => setTimeout(resolve, options.serviceMs * faults.slowFactor));
        answer(context, request, body, response);
    }
    finally {
        slots.release();
    }
};

const firstValue = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value[0] : value;

const answer = (context: UpstreamContext, request: IncomingMessage, body: string, response: ServerResponse): void => {
    const { faults, options } = context;
    const requestId = firstValue(request.headers["x-request-id"]) ?? "none";
    const isFailing = faults.failingPrefix !== undefined && (request.url ?? "").startsWith(faults.failingPrefix);
    const text = JSON.stringify({
        upstream: options.upstreamId,
        target: request.url,
        requestId,
        sizeBytes: body.length,
    });
    response.writeHead(isFailing ? 500 : 200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "x-request-id": faults.isCrossing ? `${requestId}-of-another` : requestId,
        ...(faults.isDraining ? { "sniperoad-draining": "1" } : {}),
    });
    if (faults.isTruncating) {
        response.write(text.slice(0, 5), () => response.destroy());
        return;
    }
    response.end(text);
};
