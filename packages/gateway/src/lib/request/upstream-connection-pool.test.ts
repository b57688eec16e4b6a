import { VirtualClock } from "@sniperoad/core/testing";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ResponseMetadata } from "../model.js";
import { testUpstream } from "../testing/index.js";
import type { UpstreamResult } from "./ports.js";
import { UpstreamConnectionPool } from "./upstream-connection-pool.js";

const decodeResponse = (_status: number, headers: readonly (readonly [string, string])[]): ResponseMetadata => ({
    requestId: headers.find(([name]) => name === "x-id")?.[1],
    isNotRun: false,
    isMisdirected: false,
    isFromUpstream: true,
    isEncoded: headers.some(([name]) => name === "content-encoding"),
});

type TestCall = (id: string, timeoutMs?: number, isRepeatable?: boolean) => Promise<UpstreamResult>;

/** A server that answers the requests of all connections with scripted bytes; undefined closes the connection. */
const withUpstream = async (
    answers: readonly (string | undefined)[],
    run: (call: TestCall, connections: () => number, clock: VirtualClock) => Promise<void>,
): Promise<void> => {
    const clock = new VirtualClock();
    let asked = 0;
    let opened = 0;
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        opened++;
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("data", () => {
            const answer = answers[asked++];
            if (answer === undefined) {
                socket.destroy();
            }
            else {
                socket.write(answer, () => {
                    if (answer.includes("X-Reset: 1")) {
                        setTimeout(() => socket.resetAndDestroy(), 20);
                    }
                    else if (answer.includes("Connection: close")) {
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
        await run(call, () => opened, clock);
    }
    finally {
        pool.retain(() => false);
        sockets.forEach(socket => socket.destroy());
        server.close();
    }
};

const whole = (id: string, more = ""): string => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\n${more}Content-Length: 2\r\n\r\nok`;

test("a connection with whole answers is used again", () =>
    withUpstream([whole("r1"), whole("r2")], async (call, connections) => {
        assert.is((await call("r1")).kind, "answer");
        assert.is((await call("r2")).kind, "answer");
        assert.is(connections(), 1);
    }));

// Guards against answers that reach another request than their own, and against half answers that look whole.
for (
    const [name, answer, expected] of [
        ["another request's answer", whole("r9"), "foreign"],
        ["an encoded body", whole("r1", "Content-Encoding: gzip\r\n"), "foreign"],
        [
            "a body that ends early",
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
            "broken",
        ],
        [
            "chunks that end early",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nab",
            "broken",
        ],
        ["bytes that are no answer", "garbage\r\n\r\n", "broken"],
        ["a closed connection", undefined, "broken"],
    ] as const
) {
    test(`${name} is no answer, and its connection is not used again`, () =>
        withUpstream([answer, whole("r2")], async (call, connections) => {
            assert.is((await call("r1")).kind, expected);
            assert.is((await call("r2")).kind, "answer");
            assert.is(connections(), 2);
        }));
}

test("an answer without a length ends with its connection", () =>
    withUpstream(["HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close\r\n\r\nok"], async call => {
        const result = await call("r1");
        assert.is(result.kind === "answer" && Buffer.from(result.answer.body).toString(), "ok");
    }));

// Guards against half an answer that looks whole: undici takes a reset as the end of an answer without a length.
test("an answer without a length that ends with a reset is broken", () =>
    withUpstream(["HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Reset: 1\r\nConnection: close\r\n\r\nok"], async call => {
        assert.is((await call("r1")).kind, "broken");
    }));

test("extra bytes after an answer reach no later request", () =>
    withUpstream([whole("r1") + whole("r1"), whole("r2")], async call => {
        assert.is((await call("r1")).kind, "answer");
        await new Promise(resolve => setTimeout(resolve, 50));
        const second = await call("r2");
        assert.is(second.kind === "answer" && second.answer.marks.requestId, "r2");
    }));

// Guards against requests that are lost on a connection whose path was cut while it was idle.
test("a call that cannot be repeated takes no connection that has been quiet for long", () =>
    withUpstream([whole("r1"), whole("r2"), whole("r3"), whole("r4")], async (call, connections, clock) => {
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
    }));

test("silence ends at the timeout", () =>
    withUpstream([""], async call => {
        assert.is((await call("r1", 50)).kind, "timeout");
    }));

// Guards against a request that is sent again although it was never sent.
test("a refused connection states that nothing was sent", async () => {
    const pool = new UpstreamConnectionPool({ clock: new VirtualClock(), codec: { decodeResponse } });
    const result = await pool.call({
        upstream: testUpstream("u1", { address: "127.0.0.1:1" }),
        method: "GET",
        target: "/",
        headers: [],
        body: new Uint8Array(0),
        requestId: "r1",
        timeoutMs: 1_000,
        isRepeatable: true,
        signal: new AbortController().signal,
    });
    assert.is(result.kind, "refused");
    assert.ok(await pool.isDown(testUpstream("u1", { address: "127.0.0.1:1" })));
});

test.run();
