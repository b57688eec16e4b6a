import { VirtualClock } from "@sniperoad/core/testing";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ResponseMetadata } from "../model.js";
import { noStatement, testUpstream } from "../testing/index.js";
import type { UpstreamRequest, UpstreamResult } from "./ports.js";
import { UpstreamConnectionPool } from "./upstream-connection-pool.js";

const decodeResponse = (_status: number, headers: readonly (readonly [string, string])[]): ResponseMetadata => ({
    requestId: headers.find(([name]) => name === "x-id")?.[1],
    isNotRun: headers.some(([name]) => name === "x-not-run"),
    isMisdirected: false,
    isFromUpstream: true,
    isEncoded: headers.some(([name]) => name === "content-encoding"),
    statement: noStatement,
});

type TestCall = (id: string | undefined, timeoutMs?: number, isRepeatable?: boolean) => Promise<UpstreamResult>;

/** Runs a server that sends scripted bytes, one entry for each request; `undefined` closes the connection. */
const withUpstream = async (
    responses: readonly (string | undefined)[],
    run: (call: TestCall, connections: () => number, clock: VirtualClock) => Promise<void>,
): Promise<void> => {
    const clock = new VirtualClock();
    let requestCount = 0;
    let connectionCount = 0;
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        connectionCount++;
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("data", () => {
            const response = responses[requestCount++];
            if (response === undefined) {
                socket.destroy();
            }
            else {
                socket.write(response, () => {
                    if (response.includes("X-Reset: 1")) {
                        setTimeout(() => socket.resetAndDestroy(), 20);
                    }
                    else if (response.includes("Connection: close")) {
                        socket.end();
                    }
                });
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const { port } = server.address() as AddressInfo;
    const pool = new UpstreamConnectionPool({ clock, codec: { decodeResponse } });
    const upstream = testUpstream("u1", { address: `127.0.0.1:${port}` });
    const call: TestCall = (id, timeoutMs = 2_000, isRepeatable = false) =>
        pool.call({
            upstream,
            method: "POST",
            target: "/x",
            headers: [["host", "a"]],
            body: Buffer.from("body"),
            requestId: id,
            timeoutMs,
            isRepeatable,
            signal: new AbortController().signal,
        });
    try {
        await run(call, () => connectionCount, clock);
    }
    finally {
        pool.retain(() => false);
        sockets.forEach(socket => socket.destroy());
        server.close();
    }
};

const okResponse = (id: string, more = ""): string =>
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\n${more}Content-Length: 2\r\n\r\nok`;

const refusal = (id: string): string => `HTTP/1.1 503 Full\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

/** A request to an address at which nothing listens. */
const idleRequest: UpstreamRequest = {
    upstream: testUpstream("u1", { address: "127.0.0.1:1" }),
    method: "GET",
    target: "/",
    headers: [],
    body: new Uint8Array(0),
    requestId: "r1",
    timeoutMs: 1_000,
    isRepeatable: true,
    signal: new AbortController().signal,
};

test("a connection is reused after a complete response", () =>
    withUpstream([okResponse("r1"), okResponse("r2")], async (call, connections) => {
        assert.is((await call("r1")).kind, "answer");
        assert.is((await call("r2")).kind, "answer");
        assert.is(connections(), 1);
    }));

// Guards against ids of callers that fill the heap, up to the size of a header each.
test("a connection that carried a very long request id is not kept", () => {
    const longId = "r".repeat(10_000);
    return withUpstream([okResponse(longId), okResponse("r2")], async (call, connections) => {
        assert.is((await call(longId)).kind, "answer");
        assert.is((await call("r2")).kind, "answer");
        assert.is(connections(), 2);
    });
});

// Guards against a response that reaches the wrong request, and a truncated response that looks complete.
for (
    const [name, response, expected] of [
        ["another request's response", okResponse("r9"), "foreign"],
        ["a response that names no request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "foreign"],
        [
            "a refusal that names no request",
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            "foreign",
        ],
        ["another request's refusal", refusal("r9"), "foreign"],
        ["an encoded body", okResponse("r1", "Content-Encoding: gzip\r\n"), "foreign"],
        [
            "a truncated body",
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
            "broken",
        ],
        [
            "a truncated chunked body",
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nab",
            "broken",
        ],
        ["an invalid response", "garbage\r\n\r\n", "broken"],
        ["a closed connection", undefined, "broken"],
    ] as const
) {
    test(`${name} is no response, and its connection is not reused`, () =>
        withUpstream([response, okResponse("r2")], async (call, connections) => {
            assert.is((await call("r1")).kind, expected);
            assert.is((await call("r2")).kind, "answer");
            assert.is(connections(), 2);
        }));
}

// Guards against a status that is no HTTP response and reaches a caller, or counts against another upstream.
for (const [id, isOwnFault] of [["r1", true], ["r9", false]] as const) {
    test(`a status of 600 in a response to ${id} is broken`, () =>
        withUpstream([`HTTP/1.1 600 Unknown\r\nX-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`], async call => {
            const result = await call("r1");
            assert.ok(result.kind === "broken" && result.hadHeaders);
            assert.is(result.isOwnFault, isOwnFault);
        }));
}

test("a response without a length ends when its connection closes", () =>
    withUpstream(["HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close\r\n\r\nok"], async call => {
        const result = await call("r1");
        assert.is(result.kind === "answer" && Buffer.from(result.answer.body).toString(), "ok");
    }));

// Guards against a truncated response that looks complete: undici accepts a reset as the end of one without a length.
test("a response without a length that ends with a reset is broken", () =>
    withUpstream(["HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Reset: 1\r\nConnection: close\r\n\r\nok"], async call => {
        assert.is((await call("r1")).kind, "broken");
    }));

test("extra bytes after a response do not reach a later request", () =>
    withUpstream([okResponse("r1") + okResponse("r1"), okResponse("r2")], async call => {
        assert.is((await call("r1")).kind, "answer");
        await new Promise(resolve => setTimeout(resolve, 50));
        const second = await call("r2");
        assert.is(second.kind === "answer" && second.answer.metadata.requestId, "r2");
    }));

// Guards against a refusal that the upstream repeats, while it runs the later request with the same id.
test("a request is not sent on a connection on which its id was used before", () =>
    withUpstream([refusal("r1"), refusal("r1") + okResponse("r1")], async (call, connections) => {
        await call("r1");
        await call("r1");
        assert.is(connections(), 2);
    }));

// Guards against a repeated response that cannot be told from that of a request without an id.
test("a connection on which a request without an id was sent is not reused", () =>
    withUpstream(
        ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", okResponse("r2")],
        async (call, connections) => {
            assert.is((await call(undefined)).kind, "answer");
            assert.is((await call("r2")).kind, "answer");
            assert.is(connections(), 2);
        },
    ));

// Guards against bytes that arrive after the connection was chosen for a request: they are read as its response.
test("a response that is repeated when the connection is in use again is not taken for the next one", () =>
    withUpstream([okResponse("r1"), okResponse("r1") + okResponse("r2")], async call => {
        assert.is((await call("r1")).kind, "answer");
        assert.is((await call("r2")).kind, "foreign");
    }));

// Guards against losing a request on a connection whose network path failed while it was idle.
test("a request that must not be repeated does not reuse a connection that was idle for long", () =>
    withUpstream(
        [okResponse("r1"), okResponse("r2"), okResponse("r3"), okResponse("r4")],
        async (call, connections, clock) => {
            await call("r1");
            await clock.advance(900);
            await call("r2");
            assert.is(connections(), 1);
            await clock.advance(1_100);
            await call("r3", 2_000, true);
            assert.is(connections(), 1);
            await clock.advance(1_100);
            assert.is((await call("r4")).kind, "answer");
            assert.is(connections(), 2);
        },
    ));

test("a call without a response ends at the timeout", () =>
    withUpstream([""], async call => {
        assert.is((await call("r1", 50)).kind, "timeout");
    }));

// Guards against treating a request that was never sent as one that may have run.
test("a refused connection is reported as such, and its upstream as down", async () => {
    const pool = new UpstreamConnectionPool({ clock: new VirtualClock(), codec: { decodeResponse } });
    const result = await pool.call(idleRequest);
    assert.is(result.kind, "refused");
    assert.ok(await pool.isDown(testUpstream("u1", { address: "127.0.0.1:1" })));
});

// Guards against an error for the caller, and against the same choice again, if an address is not one.
test("an upstream whose address is invalid counts as one that refuses connections", async () => {
    const pool = new UpstreamConnectionPool({ clock: new VirtualClock(), codec: { decodeResponse } });
    const upstream = testUpstream("u1", { address: "a]b:99999" });
    assert.is((await pool.call({ ...idleRequest, upstream })).kind, "refused");
});

const invalidRequests: Readonly<Record<string, Partial<UpstreamRequest>>> = {
    "a header name with a space": { headers: [["bad header", "1"]] },
    "a header value with a line break": { headers: [["x-a", "1\r\nx-b: 2"]] },
    "an invalid method": { method: "GE T" },
    "a target with a space": { target: "/a b" },
    "a target without a slash": { target: "a" },
};

// Guards against requests that count against healthy upstreams, since they cannot be sent to any.
for (const [name, changed] of Object.entries(invalidRequests)) {
    test(`a request with ${name} is invalid, and nothing is sent`, async () => {
        const pool = new UpstreamConnectionPool({ clock: new VirtualClock(), codec: { decodeResponse } });
        const result = await pool.call({ ...idleRequest, ...changed });
        assert.is(result.kind, "invalid");
    });
}

// Guards against a head that breaks off and reaches the caller as an answer with an empty body.
test("an answer that ends within its head is broken, wherever it ends", async () => {
    const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\nX-Last: 1\r\n\r\n";
    for (let length = 0; length < head.length; length++) {
        const server = createServer(socket => socket.once("data", () => socket.end(head.slice(0, length))));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const pool = new UpstreamConnectionPool({ clock: new VirtualClock(), codec: { decodeResponse } });
        const { kind } = await pool.call({
            upstream: testUpstream("u1", { address: `127.0.0.1:${(server.address() as AddressInfo).port}` }),
            method: "POST",
            target: "/x",
            headers: [],
            body: new Uint8Array(0),
            requestId: "r1",
            timeoutMs: 5_000,
            isRepeatable: false,
            signal: new AbortController().signal,
        });
        server.close();
        assert.is(kind, "broken", `${length} of ${head.length} bytes`);
    }
});

test.run();
