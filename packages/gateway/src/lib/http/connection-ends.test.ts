/** What ends a caller's connection while requests on it run at upstreams. */
import type { HttpResponse } from "@sniperoad/core";
import { createConnection } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ReceivedRequest } from "../request/request-handler.js";
import { echo, exchange, get, limits, withServer } from "./caller-server.fixture.js";

const workMs = 60;
const delay = (timeMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, timeMs));
const safe = (name: string, more = ""): string => `GET /safe/${name} HTTP/1.1\r\nHost: a\r\n${more}\r\n`;
const closing = "Connection: close\r\n";

/** Responses of a connection in order: the content of an answered request, or the status of another response. */
const responsesIn = (received: string): readonly string[] =>
    received.split(/(?=HTTP\/1\.1 \d{3} )/).filter(text => text !== "").map(text =>
        /(?:GET|POST) (\S+) \S+$/.exec(text)?.[1] ?? text.slice(9, 12)
    );

type Answer = (request: ReceivedRequest) => Promise<HttpResponse | undefined>;

interface Play {
    readonly responses: readonly string[];
    /** Requests that were passed on. */
    readonly ran: readonly string[];
    /** Whether the connection was closed, and did not end because it was idle. */
    readonly wasClosed: boolean;
}

/** Sends pieces one after the other, each 15 ms after the one before, until the connection ends. */
const play = async (pieces: readonly string[], answer: Answer = echo): Promise<Play> => {
    const ran: string[] = [];
    let received = "";
    const startMs = performance.now();
    await withServer(async request => {
        const { target } = request.request;
        ran.push(target);
        await delay(workMs);
        return answer(request);
    }, async ({ port }) => {
        const socket = createConnection({ host: "127.0.0.1", port, noDelay: true });
        socket.on("data", data => received += String(data));
        socket.on("error", () => {});
        const closed = new Promise(resolve => socket.on("close", resolve));
        for (const piece of pieces) {
            socket.write(piece);
            await delay(15);
        }
        await closed;
    });
    const wasClosed = performance.now() - startMs < limits.idleTimeoutMs;
    return { responses: responsesIn(received), ran, wasClosed };
};

const both = ["/safe/1", "/safe/2"];
const largeBytes = 8 * 1_048_576;
const notHttp = "these bytes are no request\r\n\r\n";
const connect = "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n";
const upgrade = "Connection: upgrade\r\nUpgrade: websocket\r\n";
const chunkedHead = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a rejection in the place of an answer, which the caller takes for that of a request that has run.
for (
    const [name, pieces, responses] of [
        ["bytes that are no request", [safe("1") + safe("2"), notHttp], [...both, "400"]],
        ["bytes that are no request, in the same piece", [safe("1") + safe("2") + notHttp], [...both, "400"]],
        ["bytes behind an unsafe request", [`GET /once HTTP/1.1\r\nHost: a\r\n\r\n${notHttp}`], ["/once", "400"]],
        ["a chunk without a size", [safe("1") + safe("2") + chunkedHead, "zz\r\n"], [...both, "400"]],
        ["CONNECT", [safe("1") + safe("2"), connect], [...both, "501"]],
        ["CONNECT, in the same piece", [safe("1") + safe("2") + connect + safe("3")], [...both, "501"]],
        ["a request without a host", [safe("1") + "GET /safe/2 HTTP/1.1\r\n\r\n" + safe("3")], ["/safe/1", "400"]],
        ["an upgrade", [safe("1") + safe("u", upgrade) + safe("2"), safe("3")], ["/safe/1", "/safe/u"]],
        ["a byte behind an upgrade", [safe("u", upgrade).slice(0, -2), "\r\nG", safe("2").slice(1)], ["/safe/u"]],
        ["what follows an upgrade later", [safe("u", upgrade), safe("2", closing)], ["/safe/u", "/safe/2"]],
        ["bytes behind a request that closes", [safe("1") + safe("2", closing), safe("3")], both],
    ] as const
) {
    test(`requests in progress are answered before ${name}`, async () => {
        const result = await play(pieces);
        const ran = responses.filter(response => response.startsWith("/"));
        assert.equal(result, { responses, ran, wasClosed: true });
    });
}

// Guards against an unexpected error that takes the answers of the connection's other requests with it.
test("a request that fails unexpectedly gets a 502 in its turn", async () => {
    const failures: readonly Answer[] = [
        () => Promise.reject(new Error("unexpected")),
        async request => ({ ...await echo(request), headers: [["x-broken", "\n"]] }),
        async request => ({ ...await echo(request), status: 42 }),
    ];
    for (const fail of failures) {
        const result = await play(
            [safe("1") + safe("2") + safe("3", closing)],
            request => request.request.target === "/safe/2" ? fail(request) : echo(request),
        );
        assert.equal(result.responses, ["/safe/1", "502", "/safe/3"]);
    }
});

// Guards against a request that cannot be taken, and ends those before it.
test("requests in progress are answered before one that cannot be taken", async () => {
    const result = await play([safe("1") + safe("2") + safe("undecodable") + safe("3"), safe("4")]);
    assert.equal(result, { responses: [...both, "500"], ran: both, wasClosed: true });
});

// Guards against a last response that is cut because its caller goes on sending.
test("the last response arrives whole while its caller goes on sending", () =>
    withServer(
        () => Promise.resolve({ status: 200, headers: [], body: Buffer.alloc(largeBytes) }),
        async ({ port }) => {
            const socket = createConnection({ host: "127.0.0.1", port });
            let receivedBytes = 0;
            let error: Error | undefined;
            socket.on("error", reason => error = reason);
            const ended = new Promise(resolve => socket.on("end", resolve));
            const closed = new Promise(resolve => socket.on("close", resolve));
            socket.write(safe("1", closing));
            for (let sent = 0; sent < 8; sent++) {
                socket.write(safe("2").repeat(10_000));
                await delay(20);
            }
            socket.on("data", data => receivedBytes += data.length);
            await Promise.race([ended, closed]);
            assert.is(error, undefined);
            assert.ok(receivedBytes > largeBytes, `${receivedBytes}`);
            await closed;
        },
    ));

// Guards against connections that stay open because their callers do not close them.
test("a connection is closed a second after its last response, although its caller goes on sending", () =>
    withServer(echo, async ({ port }) => {
        const socket = createConnection({ host: "127.0.0.1", port, allowHalfOpen: true });
        socket.on("error", () => {});
        socket.resume();
        let isClosed = false;
        const closed = new Promise<void>(resolve => socket.on("close", () => resolve()));
        void closed.then(() => isClosed = true);
        const startedMs = performance.now();
        for (socket.write(safe("1", closing)); !isClosed; await delay(20)) {
            socket.write(notHttp);
        }
        assert.ok(performance.now() - startedMs < 2_000);
    }));

// Guards against requests that run and lose their answers when their connection makes room for others.
test("a busy connection that makes room answers what runs on it, and the new one is served meanwhile", async () => {
    const ran: string[] = [];
    await withServer(async request => {
        const { target } = request.request;
        if (target.startsWith("/safe/slow")) {
            ran.push(target);
            await delay(150);
        }
        return echo(request);
    }, async ({ port, server }) => {
        const fast = Array.from({ length: 20 }, (_, number) => safe(`${number}`)).join("");
        const slow = Array.from({ length: 6 }, (_, number) => safe(`slow${number}`)).join("");
        const busy = exchange(port, fast + slow);
        while (ran.length < 4) {
            await delay(5);
        }
        assert.match(await exchange(port, get("/new")), /GET \/new/);
        assert.is(server.activeRequestCount, 4);
        const responses = responsesIn(await busy);
        assert.is(ran.length, 4);
        assert.equal(responses.slice(20), ran);
    }, 1);
});

// Guards against a caller that has left although servers work for it: its end cannot be told from a close.
test("the end of a caller's direction cancels its requests, whatever it sent behind them", async () => {
    for (const rest of ["", "GET /x HTT", notHttp]) {
        let cancelled = 0;
        await withServer(({ signal }) =>
            new Promise(resolve =>
                signal.addEventListener("abort", () => {
                    cancelled++;
                    resolve(undefined);
                })
            ), async ({ port, server }) => {
            const socket = createConnection({ host: "127.0.0.1", port });
            let received = "";
            socket.on("data", data => received += String(data));
            socket.on("error", () => {});
            socket.write(safe("1") + safe("2"));
            while (server.activeRequestCount < 2) {
                await delay(1);
            }
            socket.end(rest);
            await new Promise(resolve => socket.on("close", resolve));
            assert.is(received, "");
            while (server.activeRequestCount > 0) {
                await delay(1);
            }
        });
        assert.is(cancelled, 2);
    }
});

test.run();
