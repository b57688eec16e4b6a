import { VirtualClock } from "@sniperoad/core/testing";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { noStatement, testUpstream } from "../testing/index.js";
import { UpstreamConnectionPool } from "./upstream-connection-pool.js";

const block = "x".repeat(65_536);
const megabyte = 1_048_576;

/** What an upstream sends: once at the start, and then again and again until the connection is closed. */
interface EndlessResponse {
    readonly start: string;
    readonly repeated: string;
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
const endlessResponses: Readonly<Record<string, EndlessResponse>> = {
    "a body until the connection closes": { start: `${okHead}Connection: close\r\n\r\n`, repeated: block },
    "a chunked body": {
        start: `${okHead}Transfer-Encoding: chunked\r\n\r\n`,
        repeated: `10000\r\n${block}\r\n`,
    },
    "a chunk extension": { start: `${okHead}Transfer-Encoding: chunked\r\n\r\n1;`, repeated: block },
    "trailers": { start: `${okHead}Transfer-Encoding: chunked\r\n\r\n0\r\n`, repeated: `T: ${block}\r\n` },
    "headers": { start: okHead, repeated: "X-A: b\r\n".repeat(1_000) },
    "a header line": { start: `${okHead}X-A: `, repeated: block },
    "informational responses": { start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000) },
    "bytes that are no response": { start: "", repeated: block },
};

const withEndlessUpstream = async (
    { start, repeated }: EndlessResponse,
    run: (address: string, openSockets: ReadonlySet<Socket>) => Promise<void>,
): Promise<void> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        const send = (): void => {
            while (!socket.destroyed && socket.write(repeated)) {
                // Fills the socket's buffer; the rest follows when it has drained.
            }
        };
        socket.on("error", () => {});
        socket.on("close", () => sockets.delete(socket));
        socket.on("drain", () => setImmediate(send));
        socket.once("data", () => {
            socket.write(start);
            send();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    try {
        await run(`127.0.0.1:${(server.address() as AddressInfo).port}`, sockets);
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.close();
    }
};

const createPool = (clock = new VirtualClock()): UpstreamConnectionPool =>
    new UpstreamConnectionPool({
        clock,
        codec: {
            decodeResponse: (_status, headers) => ({
                requestId: headers.find(([name]) => name === "x-id")?.[1],
                isNotRun: false,
                isMisdirected: false,
                isFromUpstream: true,
                isEncoded: false,
                statement: noStatement,
            }),
        },
        maxBufferedBytes: 24 * megabyte,
    });

const callOnce = (pool: UpstreamConnectionPool, address: string, timeoutMs: number) =>
    pool.call({
        upstream: testUpstream("u1", { address }),
        method: "GET",
        target: "/",
        headers: [],
        body: new Uint8Array(0),
        requestId: "r1",
        timeoutMs,
        isRepeatable: true,
        signal: new AbortController().signal,
    });

// Guards against an upstream that sends without end: the caller must get a result, and the connection must be closed.
for (const [name, response] of Object.entries(endlessResponses)) {
    test(`${name} without end ends the call in time, closes the connection and is no response`, () =>
        withEndlessUpstream(response, async (address, openSockets) => {
            const pool = createPool();
            const result = await callOnce(pool, address, 400);
            assert.ok(["broken", "timeout"].includes(result.kind), result.kind);
            await new Promise(resolve => setTimeout(resolve, 100));
            assert.is(openSockets.size, 0);
            assert.is(pool.bufferedBytes, 0);
        }));
}

// Guards against a process that exceeds its memory through responses that are small each, but not together.
test("50 endless bodies at once stay within the bound of the buffers", () =>
    withEndlessUpstream(endlessResponses["a chunked body"]!, async address => {
        const pool = createPool();
        let peakBytes = 0;
        const sampler = setInterval(() => peakBytes = Math.max(peakBytes, pool.bufferedBytes), 1);
        const results = await Promise.all(Array.from({ length: 50 }, () => callOnce(pool, address, 1_000)));
        clearInterval(sampler);
        assert.ok(results.every(({ kind }) => kind === "broken" || kind === "timeout"));
        assert.ok(peakBytes <= 24 * megabyte, `${peakBytes} bytes`);
    }));

// Guards against requests that are all sent to a faulty upstream before the first one shows what it sends.
test("an upstream gets one request at a time after a response without end", () =>
    withEndlessUpstream(endlessResponses["trailers"]!, async address => {
        const clock = new VirtualClock();
        const pool = createPool(clock);
        assert.is((await callOnce(pool, address, 1_000)).kind, "broken");
        await clock.advance(250);
        const results = await Promise.all(Array.from({ length: 5 }, () => callOnce(pool, address, 1_000)));
        assert.equal(results.map(({ kind }) => kind).sort(), ["broken", "refused", "refused", "refused", "refused"]);
    }));

const bodyBytes = 540_000;
const largeBody = Buffer.from(Array.from({ length: bodyBytes }, (_item, index) => index % 251));
const chunksOf = (sizeBytes: number): readonly Buffer[] =>
    Array.from({ length: Math.ceil(bodyBytes / sizeBytes) }, (_item, index) => {
        const chunk = largeBody.subarray(index * sizeBytes, (index + 1) * sizeBytes);
        return Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n")]);
    });
const chunkedHead = Buffer.from(`${okHead}Transfer-Encoding: chunked\r\n\r\n`);
const lastChunk = Buffer.from("0\r\nX-Trailer: 1\r\n\r\n");
const largeResponses: Readonly<Record<string, Buffer>> = {
    "with a length": Buffer.concat([Buffer.from(`${okHead}Content-Length: ${bodyBytes}\r\n\r\n`), largeBody]),
    "in chunks of 64 kB": Buffer.concat([chunkedHead, ...chunksOf(65_536), lastChunk]),
    "in chunks of 100 bytes": Buffer.concat([chunkedHead, ...chunksOf(100), lastChunk]),
    "until the connection closes": Buffer.concat([Buffer.from(`${okHead}Connection: close\r\n\r\n`), largeBody]),
};

// Guards against bytes that are lost or out of order where a response is parsed in pieces and waits for its turn.
for (const [name, response] of Object.entries(largeResponses)) {
    test(`a large body ${name} arrives whole beside endless responses`, () =>
        withEndlessUpstream(endlessResponses["headers"]!, async faultyAddress => {
            const server = createServer(socket => {
                socket.on("error", () => {});
                socket.once("data", () => name.includes("closes") ? socket.end(response) : socket.write(response));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
            const pool = createPool();
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const [result] = await Promise.all([
                callOnce(pool, address, 10_000),
                ...Array.from({ length: 30 }, () => callOnce(pool, faultyAddress, 10_000)),
            ]);
            pool.retain(() => false);
            server.close();
            assert.is(result.kind, "answer", JSON.stringify(result));
            assert.ok(result.kind === "answer" && largeBody.equals(Buffer.from(result.answer.body)));
        }));
}

test.run();
