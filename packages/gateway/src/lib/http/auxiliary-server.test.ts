import { systemClock } from "@sniperoad/daemon";
import { createConnection } from "node:net";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { openAuxiliaryServer } from "./auxiliary-server.js";
import { createCallerBudgets } from "./caller-budgets.js";
import { exchange, freePort } from "./caller-server.fixture.js";

const maxConnections = 4;

/** Runs a server with one path, whose answers need a turn of the event loop. */
const withServer = async (run: (port: number, peak: () => number) => Promise<void>): Promise<void> => {
    const port = await freePort();
    const budgets = createCallerBudgets({
        clock: systemClock,
        log: { event: () => {} },
        limits: { memoryMb: 250 },
        upstreamBytes: () => 0,
        onRejection: () => {},
    });
    let running = 0;
    let peak = 0;
    const answer = async (): Promise<Response> => {
        peak = Math.max(peak, ++running);
        await new Promise(resolve => setImmediate(resolve));
        running--;
        return new Response("figures");
    };
    const server = await openAuxiliaryServer({
        ...budgets,
        clock: systemClock,
        address: `127.0.0.1:${port}`,
        routes: [{ path: "/a", answer }],
        bounds: { ...budgets.bounds, maxConnections, maxEarlyRequests: 0 },
    });
    try {
        await run(port, () => peak);
    }
    finally {
        server.close();
    }
};

const get = (more: string): string => `GET /a HTTP/1.1\r\nHost: a\r\n${more}\r\n`;
const closing = "Connection: close\r\n";

// Guards against a response for each pipelined request at once.
test("the requests of a connection are answered one after the other", () =>
    withServer(async (port, peak) => {
        const received = await exchange(port, get("").repeat(30) + get(closing));
        assert.is([...received.matchAll(/figures/g)].length, 31);
        assert.is(peak(), 1);
    }));

// Guards against a request without a host that is answered like others.
test("a request without a host is rejected in its turn", () =>
    withServer(async port => {
        const received = await exchange(port, `${get("")}GET /a HTTP/1.1\r\n\r\n${get(closing)}`);
        assert.equal(received.match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 200", "HTTP/1.1 400", "HTTP/1.1 200"]);
    }));

// Guards against bodies that nobody wants, and that are read without end.
test("a request with a body is answered and closes its connection", () =>
    withServer(async port => {
        const received = await exchange(port, `${get("Transfer-Encoding: chunked\r\n")}1\r\nx\r\n`);
        assert.match(received, /connection: close[\s\S]*figures/i);
    }));

// Guards against connections that take the descriptors of all ports.
test("connections beyond the bound replace those that sent nothing", () =>
    withServer(async port => {
        const sockets: Socket[] = [];
        let closedCount = 0;
        for (let number = 0; number < maxConnections + 3; number++) {
            const socket = createConnection({ host: "127.0.0.1", port });
            sockets.push(socket.on("error", () => {}).on("close", () => closedCount++));
            await new Promise<void>(resolve => socket.once("connect", () => resolve()));
        }
        assert.match(await exchange(port, get(closing)), /figures/);
        assert.ok(closedCount >= 3);
        sockets.forEach(socket => socket.destroy());
    }));

test.run();
