import { seededRandom } from "@sniperoad/core/testing";
import { createConnection } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { echo, exchange, withServer } from "./caller-server.fixture.js";

// Guards against responses in another order, requests that run beside one another, and bytes that are lost or read twice
// where the parts in which a connection is read begin and end.
test("pipelined requests run one at a time and in order, however their bytes arrive", async () => {
    const random = seededRandom(1);
    for (let round = 0; round < 20; round++) {
        const numbers = Array.from({ length: 30 }, (_item, number) => number);
        const text = numbers.map(number => {
            const body = "x".repeat(Math.floor(random() * 90));
            const head = `PUT /${number} HTTP/1.1\r\nHost: a\r\n${number === 29 ? "Connection: close\r\n" : ""}`;
            return random() < 0.5
                ? `${head}Content-Length: ${body.length}\r\n\r\n${body}`
                : `${head}Transfer-Encoding: chunked\r\n\r\n1;a=b\r\ny\r\n0\r\nTrailer: t\r\n\r\n`;
        }).join("");
        let running = 0;
        let maxRunning = 0;
        await withServer(async received => {
            maxRunning = Math.max(maxRunning, ++running);
            await new Promise(resolve => setImmediate(resolve));
            running--;
            return echo(received);
        }, async ({ port }) => {
            const socket = createConnection({ host: "127.0.0.1", port, noDelay: true });
            let received = "";
            socket.on("data", data => received += String(data));
            const closed = new Promise(resolve => socket.on("close", resolve));
            for (let start = 0; start < text.length;) {
                const end = start + 1 + Math.floor(random() * 1_500);
                socket.write(text.slice(start, end));
                start = end;
                await new Promise(resolve => setImmediate(resolve));
            }
            await closed;
            assert.equal([...received.matchAll(/PUT \/(\d+) /g)].map(match => Number(match[1])), numbers);
        });
        assert.is(maxRunning, 1);
    }
});

// Guards against a request that runs although its connection closes before its response, so that its caller repeats it.
test("requests behind a response that closes the connection are not run", () => {
    const targets: string[] = [];
    return withServer(async received => {
        targets.push(received.request.target);
        await new Promise(resolve => setTimeout(resolve, 50));
        return echo(received);
    }, async ({ port, flags, server }) => {
        const response = exchange(port, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n".repeat(5));
        await new Promise(resolve => setTimeout(resolve, 25));
        assert.is(server.activeRequestCount, 1);
        flags.isLeaving = true;
        assert.match(await response, /GET \/first 0$/);
        assert.equal(targets, ["/first"]);
        assert.is(server.activeRequestCount, 0);
    });
});

// Guards against pipelined reads that wait for each other, although each of them would be answered in time.
test("pipelined requests that may be repeated run at the same time and are answered in order", async () => {
    let running = 0;
    let maxRunning = 0;
    await withServer(async received => {
        maxRunning = Math.max(maxRunning, ++running);
        const number = Number(received.request.target.split("/")[2]);
        await new Promise(resolve => setTimeout(resolve, 60 - number * 10));
        running--;
        return echo(received);
    }, async ({ port, server }) => {
        const heads = [0, 1, 2, 3, 4, 5].map(number =>
            `GET /safe/${number} HTTP/1.1\r\nHost: a\r\n${number === 5 ? "Connection: close\r\n" : ""}\r\n`
        );
        const received = await exchange(port, heads.join(""));
        assert.equal([...received.matchAll(/GET \/safe\/(\d)/g)].map(([, number]) => Number(number)), [
            0,
            1,
            2,
            3,
            4,
            5,
        ]);
        assert.is(server.activeRequestCount, 0);
    });
    assert.is(maxRunning, 4);
});

// Guards against a stop that cuts requests which run at upstreams.
test("a stop answers the pipelined requests that run, and the last answer closes the connection", async () => {
    const targets: string[] = [];
    await withServer(async received => {
        targets.push(received.request.target);
        await new Promise(resolve => setTimeout(resolve, received.request.target === "/safe/2" ? 20 : 60));
        return echo(received);
    }, async ({ port, flags, server }) => {
        const response = exchange(
            port,
            [0, 1, 2, 3, 4, 5].map(number => `GET /safe/${number} HTTP/1.1\r\nHost: a\r\n\r\n`).join(""),
        );
        while (server.activeRequestCount < 4) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        flags.isLeaving = true;
        const received = await response;
        assert.equal([...received.matchAll(/GET (\S+) 0/g)].map(([, target]) => target), targets);
        assert.is(targets.length, 4);
        assert.is(received.match(/connection: close/gi)?.length, 1);
        assert.ok(received.indexOf("connection: close") > received.indexOf("/safe/2 0"));
    });
});

// Guards against a request that runs twice: behind one that closes the connection it would be sent again.
test("a request that must not be repeated waits for the responses before it, and those behind it wait for it", async () => {
    const running = new Set<string>();
    await withServer(async received => {
        running.add(received.request.target);
        assert.ok(!running.has("/once") || running.size === 1);
        await new Promise(resolve => setTimeout(resolve, 20));
        running.delete(received.request.target);
        return echo(received);
    }, async ({ port }) => {
        const targets = ["/safe/1", "/safe/2", "/once", "/safe/3"];
        const text = targets.map((target, index) =>
            `GET ${target} HTTP/1.1\r\nHost: a\r\n${index === 3 ? "Connection: close\r\n" : ""}\r\n`
        );
        const received = await exchange(port, text.join(""));
        assert.equal([...received.matchAll(/GET (\S+) 0/g)].map(([, target]) => target), targets);
    });
});

// Guards against upstreams that work for a connection which has ended, and against requests that count for ever.
test("the end of a connection cancels all its requests", async () => {
    let cancelled = 0;
    await withServer(({ signal }) =>
        new Promise(resolve => {
            signal.addEventListener("abort", () => {
                cancelled++;
                resolve(undefined);
            });
        }), async ({ port, server }) => {
        const socket = createConnection({ host: "127.0.0.1", port });
        socket.write("GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3));
        while (server.activeRequestCount < 3) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        socket.destroy();
        while (server.activeRequestCount > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        assert.is(cancelled, 3);
    });
});

// Guards against requests that follow each other within one turn of the event loop, while all others wait.
test("requests that are answered at once leave turns to others", async () => {
    let turn = 0;
    let isDone = false;
    const countTurn = (): void => {
        turn++;
        if (!isDone) {
            setImmediate(countTurn);
        }
    };
    countTurn();
    const handledByTurn = new Map<number, number>();
    await withServer(received => {
        const endMs = performance.now() + 6;
        while (performance.now() < endMs) {
            // Takes more than half of the time of a turn.
        }
        handledByTurn.set(turn, (handledByTurn.get(turn) ?? 0) + 1);
        return echo(received);
    }, async ({ port }) => {
        const last = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        await exchange(port, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n".repeat(20) + last);
    });
    isDone = true;
    assert.ok(Math.max(...handledByTurn.values()) <= 3, [...handledByTurn.values()].join());
});

test.run();
