/** Runs a caller server on loopback, for tests. */
import type { HttpResponse } from "@sniperoad/core";
import { systemClock } from "@sniperoad/daemon";
import { createConnection, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { DecodedRequest } from "../model.js";
import { MemoryBudget } from "../request/memory-budget.js";
import type { ReceivedRequest } from "../request/request-handler.js";
import { callerBoundsOf } from "./caller-bounds.js";
import { CallerRejections } from "./caller-rejections.js";
import { CallerServer } from "./caller-server.js";
import { TurnBudget } from "./turn-budget.js";

export const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

export const limits = { maxHeaderBytes: 500, maxBodyBytes: 100, headerTimeoutMs: 2_000, idleTimeoutMs: 2_000 };

interface Setup {
    readonly port: number;
    readonly server: CallerServer;
    readonly flags: { isLeaving: boolean; };
}

export const withServer = async (
    handle: (received: ReceivedRequest) => Promise<HttpResponse | undefined>,
    run: (setup: Setup) => Promise<void>,
    maxConnections?: number,
): Promise<void> => {
    const port = await freePort();
    const flags = { isLeaving: false };
    const log = { event: () => {} };
    const bounds = callerBoundsOf({ memoryMb: 250 });
    const server = await CallerServer.open({
        clock: systemClock,
        log,
        address: `127.0.0.1:${port}`,
        codec: {
            refusalHeaders: () => [],
            decodeRequest: (method, target, headers): DecodedRequest => {
                if (target.endsWith("undecodable")) {
                    throw new Error("unexpected");
                }
                const none = undefined;
                return { requestId: none, host: "", method, target, headers, key: none, deadlineMs: none };
            },
        },
        limits: () => limits,
        bounds: { ...bounds, maxConnections: maxConnections ?? bounds.maxConnections },
        budget: new MemoryBudget({ clock: systemClock, maxBytes: bounds.maxBufferedBytes, upstreamBytes: () => 0 }),
        turns: new TurnBudget({ clock: systemClock, nextTurn: task => void setImmediate(task) }),
        rejections: new CallerRejections({ clock: systemClock, log, onRejection: () => {} }),
        organisationOf: () => undefined,
        isRepeatable: ({ target }) => target.startsWith("/safe"),
        handle,
        isLeaving: () => flags.isLeaving,
    });
    try {
        await run({ port, server, flags });
    }
    finally {
        await server.close();
    }
};

/** Sends bytes on a new connection and returns everything received until the server closes it. */
export const exchange = (port: number, text: string): Promise<string> =>
    new Promise(resolve => {
        const socket = createConnection({ host: "127.0.0.1", port });
        let received = "";
        socket.on("data", data => received += String(data));
        socket.on("close", () => resolve(received));
        socket.on("error", () => {});
        socket.write(text);
    });

export const get = (target: string, more = ""): string =>
    `GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${more}\r\n`;
export const echo = (received: ReceivedRequest): Promise<HttpResponse> =>
    Promise.resolve({
        status: 200,
        headers: [["x-mark", "s"], ["transfer-encoding", "chunked"]],
        body: Buffer.from(`${received.request.method} ${received.request.target} ${received.body?.length ?? "none"}`),
    });
