import { id, problemAnswer } from "@sniperoad/core";
import type { CallerRequest, HttpResponse, RequestId } from "@sniperoad/core";
import { createConnection } from "node:net";
import { request as send } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startHttpServer } from "./http-server.js";
import type { HttpServerContext } from "./http-server.js";

const adminToken = "a-token-of-16-or-more";
const maxBodyBytes = 1_000;

const closers: (() => unknown)[] = [];
// Closes servers after failed assertions too; an open server would keep the process running.
test.after.each(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const openServer = async (change: Partial<HttpServerContext> = {}) => {
    const handled: CallerRequest[] = [];
    const withdrawn: string[] = [];
    const context: HttpServerContext = {
        instance: "a-1",
        random: () => 0.5,
        maxBodyBytes,
        adminToken,
        handle: async (request): Promise<HttpResponse> => {
            handled.push(request);
            return { status: 200, headers: [["x-request-id", request.id]], body: request.body };
        },
        directory: zone => ({ addresses: ["10.0.0.1:80"], keepMs: 5, zone }),
        status: () => ({ isCurrent: true }),
        withdraw: async key => {
            if (key === "none") {
                throw new Error("no key none; check its id");
            }
            withdrawn.push(key);
            return { confirmed: 1 };
        },
        liftQuarantine: fingerprint => fingerprint === "known",
        isLeaving: () => false,
        ...change,
    };
    const server = await startHttpServer(context, "127.0.0.1", 0);
    closers.push(() => server.close());
    return { server, handled, withdrawn, url: `http://127.0.0.1:${server.port}` };
};

type Call = Parameters<typeof send>[1];
const call = async (url: string, options: Call = {}) => {
    const response = await send(url, { ...options, reset: true });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
};

/** Sends bytes and reads until the server closes the connection. */
const sendRaw = (port: number, text: string): Promise<string> =>
    new Promise(resolve => {
        let read = "";
        const socket = createConnection({ host: "127.0.0.1", port }, () => socket.write(text));
        socket.on("data", chunk => read += String(chunk)).on("error", () => {}).on("close", () => resolve(read));
    });

// Guards against requests that are altered or truncated before they reach the pipeline.
test("a request reaches the pipeline unchanged", async () => {
    const { handled, url } = await openServer();
    const body = "x".repeat(maxBodyBytes);
    const { status, text, headers } = await call(`${url}/a%2Fb?c=d`, { method: "POST", body, headers: { "X-A": "1" } });
    assert.equal([status, text, headers["x-request-id"]], [200, body, handled[0]!.id]);
    assert.equal([handled[0]!.method, handled[0]!.target], ["POST", "/a%2Fb?c=d"]);
    assert.ok(handled[0]!.headers.some(([name, value]) => name === "x-a" && value === "1"));
});

const chunk = (size: number) => `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
const head = (headers: string) => `POST /a HTTP/1.1\r\nhost: a\r\nsniperoad-attempt: 1\r\n${headers}\r\n\r\n`;

const badRequests: readonly (readonly [name: string, text: string, expected: RegExp])[] = [
    [
        "declared length above the limit",
        head("content-length: 1001"),
        /^HTTP\/1\.1 413 [^]*connection: close[^]*request-too-large/i,
    ],
    [
        "oversize chunks",
        head("transfer-encoding: chunked") + chunk(600) + chunk(600),
        /^HTTP\/1\.1 413 [^]*"outcome":"not-run"/,
    ],
    ["not HTTP", "hello\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["malformed header", "GET / HTTP/1.1\r\nhost: a\r\nbad header: 1\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["no host", "GET / HTTP/1.1\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["two lengths", head("content-length: 1\r\ncontent-length: 2"), /^HTTP\/1\.1 400 /],
    ["length and chunks", head("content-length: 1\r\ntransfer-encoding: chunked"), /^HTTP\/1\.1 400 /],
    ["large headers", head(`x-large: ${"x".repeat(20_000)}`), /^HTTP\/1\.1 431 /],
];

// Guards against unbounded memory use, request smuggling and callers without a response.
test("invalid requests are rejected and not handled", async () => {
    const { server, handled, url } = await openServer();
    for (const [name, text, expected] of badRequests) {
        assert.match(await sendRaw(server.port, text), expected, name);
    }
    assert.is(handled.length, 0);
    assert.is((await call(url)).status, 200);
});

const token = { authorization: `Bearer ${adminToken}` };
const withdrawals = "/admin/withdrawals";
const withdrawal = (key: unknown) => JSON.stringify({ key });

const operatorCalls:
    readonly (readonly [path: string, headers: Record<string, string>, body: string, status: number])[] = [
        [withdrawals, {}, withdrawal("k1"), 401],
        [withdrawals, { authorization: "Bearer wrong" }, withdrawal("k1"), 401],
        [withdrawals, { authorization: `Bearer ${"x".repeat(adminToken.length)}` }, withdrawal("k1"), 401],
        [withdrawals, token, withdrawal("k1"), 200],
        [withdrawals, token, withdrawal(5), 400],
        [withdrawals, token, "{", 400],
        [withdrawals, token, withdrawal("none"), 422],
        ["/admin/quarantine/known/lift", {}, "", 401],
        ["/admin/quarantine/known/lift", token, "", 200],
        ["/admin/quarantine/other/lift", token, "", 404],
    ];

// Guards against unauthorized changes by callers.
test("operator calls require the token", async () => {
    const { withdrawn, url } = await openServer();
    for (const [path, headers, body, status] of operatorCalls) {
        assert.is((await call(url + path, { method: "POST", headers, body })).status, status, `${path} ${body}`);
    }
    assert.equal(withdrawn, ["k1"]);
    const closed = await openServer({ adminToken: undefined });
    for (const headers of [{}, { authorization: "Bearer " }, token]) {
        const options = { method: "POST", headers, body: withdrawal("k1") } as const;
        assert.is((await call(closed.url + withdrawals, options)).status, 401);
    }
    assert.equal(closed.withdrawn, []);
});

// Guards against directory or status requests that are handled as callers' requests.
test("directory and status answer without a key", async () => {
    const { handled, url } = await openServer();
    const directory = await call(`${url}/directory?zone=z1`);
    assert.equal(JSON.parse(directory.text), { addresses: ["10.0.0.1:80"], keepMs: 5, zone: "z1" });
    assert.equal(JSON.parse((await call(`${url}/admin/status`)).text), { isCurrent: true });
    assert.is(handled.length, 0);
});

// Guards against callers that keep using connections of an instance that is about to stop.
test("a leaving instance closes its connections", async () => {
    const { url } = await openServer({ isLeaving: () => true });
    const response = await send(url);
    assert.is(response.headers["connection"], "close");
    await response.body.dump();
});

// Guards against a shutdown that interrupts a request.
test("close waits for requests in flight", async () => {
    const waiting: (() => void)[] = [];
    const { server, url } = await openServer({
        handle: async ({ id: requestId }) => {
            await new Promise<void>(resolve => waiting.push(resolve));
            return problemAnswer({ type: "leaving", outcome: "not-run" }, requestId);
        },
    });
    const pendingCall = call(url);
    while (waiting.length === 0) {
        await new Promise(setImmediate);
    }
    const closed = server.close();
    waiting[0]!();
    assert.is((await pendingCall).status, 503);
    await closed;
});

// Guards against work for a caller that has disconnected.
test("a request is aborted when its caller disconnects", async () => {
    const aborted = new Promise<void>(resolve => {
        void openServer({
            handle: ({ signal, id: requestId }) =>
                new Promise(done => {
                    signal.addEventListener("abort", () => {
                        resolve();
                        done(problemAnswer({ type: "cancelled", outcome: "not-run" }, id<RequestId>(requestId)));
                    });
                    caller.abort();
                }),
        }).then(({ server, url }) => {
            call(url, { signal: caller.signal }).catch(() => server.close());
        });
    });
    const caller = new AbortController();
    await aborted;
});

test.run();
