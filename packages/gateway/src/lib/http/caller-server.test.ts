import { createConnection } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyMemory } from "../request/body-memory.js";
import { echo, exchange, get, withServer } from "./caller-server.fixture.js";

// Guards against normalising the path.
test("method, target and body arrive unchanged", () =>
    withServer(echo, async ({ port }) => {
        const target = "/a//b/../c%2Fd?x=%20&y";
        assert.match(await exchange(port, get(target)), new RegExp(`GET ${target.replace(/[.?]/g, "\\$&")} 0$`));
        const chunked =
            "PUT /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        assert.match(await exchange(port, chunked), /PUT \/x 3$/);
    }));

test("a response keeps the upstream's headers and has its own framing", () =>
    withServer(echo, async ({ port }) => {
        const response = await exchange(port, get("/"));
        assert.match(response, /x-mark: s/i);
        assert.not(/transfer-encoding/i.test(response));
        assert.match(response, /content-length: 7/i);
    }));

// Guards against an early end that passes for the end of the answer: without a length, any end of the connection does.
test("each answer with a body has a length, also the last one of a connection", () =>
    withServer(echo, async ({ port, flags }) => {
        for (const isLeaving of [false, true]) {
            flags.isLeaving = isLeaving;
            for (const method of ["GET", "POST"]) {
                const response = await exchange(port, get("/").replace("GET", method));
                assert.match(response, /content-length: [78]/i);
            }
        }
    }));

// Guards against request smuggling, and against input beyond the limits.
for (
    const [name, text, status] of [
        [
            "a request with two kinds of length",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ],
        ["a request that is not HTTP", "hello\r\n\r\n", 400],
        ["a header name with a space", get("/", "bad header: 1\r\n"), 400],
        ["a large header", get("/", `X: ${"x".repeat(600)}\r\n`), 431],
        [
            "a body beyond the limit",
            `POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 101\r\n\r\n${"x".repeat(101)}`,
            200,
        ],
    ] as const
) {
    test(`${name} gets ${status}`, () =>
        withServer(echo, async ({ port }) => {
            const response = await exchange(port, text);
            assert.match(response, new RegExp(`^HTTP/1.1 ${status} `));
            assert.is(response.endsWith("none"), name === "a body beyond the limit");
        }));
}

// Guards against running requests at upstreams for callers that have disconnected.
test("a request is aborted when its caller disconnects", () => {
    const aborted = new Promise<void>(resolve => {
        void withServer(received =>
            new Promise(done =>
                received.signal.addEventListener("abort", () => {
                    resolve();
                    done(undefined);
                })
            ), ({ port }) =>
            new Promise(close => {
                const socket = createConnection({ host: "127.0.0.1", port });
                socket.write(get("/"));
                setTimeout(() => {
                    socket.destroy();
                    close();
                }, 50);
            }));
    });
    return aborted;
});

test("a leaving instance sends Connection: close", () =>
    withServer(echo, async ({ port, flags }) => {
        flags.isLeaving = true;
        assert.match(await exchange(port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), /connection: close/i);
    }));

const until = async (isReached: () => boolean): Promise<void> => {
    while (!isReached()) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
};

// Guards against a graceful stop that aborts requests.
test("closing waits for requests in progress", () => {
    const ended: string[] = [];
    return withServer(async received => {
        await new Promise(resolve => setTimeout(resolve, 100));
        return echo(received);
    }, async ({ port, server }) => {
        const response = exchange(port, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n").then(text => ended.push(text));
        await until(() => server.activeRequestCount === 1);
        await server.close();
        await response;
        assert.match(ended[0] ?? "", /GET \/late 0$/);
    });
});

/** Sends requests one after the other, on kept connections as long as they last, until no connection is accepted. */
const sendUntilRefused = (port: number, onAnswer: () => void): Promise<void> =>
    new Promise(resolve => {
        const connect = (): void => {
            const socket = createConnection({ host: "127.0.0.1", port });
            let received = "";
            let isWaiting = false;
            const send = (): void => {
                received = "";
                isWaiting = true;
                socket.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
            };
            socket.on("connect", send);
            socket.on("data", data => {
                received += String(data);
                if (received.endsWith("GET /x 0")) {
                    isWaiting = false;
                    onAnswer();
                    if (!/connection: close/i.test(received)) {
                        send();
                    }
                }
            });
            socket.on("error", () => {});
            socket.on("close", hadError => {
                if (hadError && !isWaiting) {
                    resolve();
                }
                else {
                    connect();
                }
            });
        };
        connect();
    });

// Guards against requests that are read during a planned stop and end without an answer.
test("a stop under load answers each request that was read", () => {
    let read = 0;
    return withServer(async received => {
        read++;
        await new Promise(resolve => setTimeout(resolve, 5));
        return echo(received);
    }, async ({ port, flags, server }) => {
        let answered = 0;
        const clients = Array.from({ length: 20 }, () => sendUntilRefused(port, () => answered++));
        await until(() => answered > 50);
        flags.isLeaving = true;
        await until(() => answered > 100);
        await server.close();
        await Promise.all(clients);
        assert.is(answered, read);
    });
});

// Guards against a request that is on its way when the instance closes its listener.
test("a request that arrives on an idle connection shortly after the listener closed is answered", () =>
    withServer(echo, async ({ port, flags, server }) => {
        const socket = createConnection({ host: "127.0.0.1", port });
        let received = "";
        socket.on("data", data => received += String(data));
        const closed = new Promise(resolve => socket.on("close", resolve));
        socket.on("error", () => {});
        socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        await new Promise(resolve => setTimeout(resolve, 50));
        flags.isLeaving = true;
        const stopped = server.close();
        await new Promise(resolve => setTimeout(resolve, 50));
        socket.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        await Promise.all([closed, stopped]);
        assert.match(received, /connection: close[^]*GET \/late 0$/i);
    }));

// Guards against a response whose memory is freed while its caller still reads it, and against one that stays.
test("a large response reaches a slow reader whole, and its memory is freed then", async () => {
    const content = Buffer.alloc(8 * 1_048_576, "0123456789abcdef");
    const memory = new BodyMemory(content.length, true);
    memory.append(content);
    const body = memory.take();
    await withServer(() => Promise.resolve({ status: 200, headers: [], body }), async ({ port }) => {
        const socket = createConnection({ host: "127.0.0.1", port });
        socket.write("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const parts: Buffer[] = [];
        for await (const part of socket as AsyncIterable<Buffer>) {
            parts.push(part);
            await new Promise(resolve => setImmediate(resolve));
        }
        const received = Buffer.concat(parts);
        assert.ok(received.subarray(received.indexOf("\r\n\r\n") + 4).equals(content));
        await until(() => body.length === 0);
    });
});

test.run();
