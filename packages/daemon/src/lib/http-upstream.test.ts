import { id } from "@sniperoad/core";
import type { RequestId, Upstream, UpstreamRequest, UpstreamResult } from "@sniperoad/core";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpUpstreams, maxAnswerBytes } from "./http-upstream.js";

/** Writes raw responses, which can violate the protocol in ways that node:http does not allow. */
type Script = (socket: Socket, requestId: string, target: string) => void;

const ampleTimeoutMs = 30_000;

const closers: (() => unknown)[] = [];
// Closes servers after failed assertions too; an open server would keep the process running.
test.after.each(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const openUpstream = async (script: Script) => {
    const sockets: Socket[] = [];
    // Ids of the requests on each connection, in the order in which the connections were opened.
    const seen: string[][] = [];
    const server: Server = createServer(socket => {
        const requests: string[] = [];
        sockets.push(socket);
        seen.push(requests);
        let text = "";
        socket.on("error", () => {}).on("data", piece => {
            text += String(piece);
            while (text.includes("\r\n\r\n")) {
                const head = text.slice(0, text.indexOf("\r\n\r\n") + 4);
                text = text.slice(head.length);
                const requestId = /x-request-id: (\S+)/i.exec(head)?.[1] ?? "none";
                requests.push(requestId);
                script(socket, requestId, head.split(" ")[1]!);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const upstream = {
        id: "u1",
        service: "s",
        zone: "z",
        state: "live",
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    } as Upstream;
    const upstreams = new HttpUpstreams();
    closers.push(() => {
        upstreams.close();
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { upstreams, upstream, server, sockets, seen };
};

const request = (name: string, change: Partial<UpstreamRequest> = {}): UpstreamRequest => ({
    id: id<RequestId>(name),
    method: "GET",
    target: "/x",
    headers: [["x-request-id", name]],
    body: new Uint8Array(0),
    timeoutMs: ampleTimeoutMs,
    signal: new AbortController().signal,
    ...change,
});

const answer = (requestId: string, headers = "content-length: 2\r\n", body = "ok", status = "200 OK") =>
    `HTTP/1.1 ${status}\r\nx-request-id: ${requestId}\r\n${headers}\r\n${body}`;
const whole: Script = (socket, requestId) => void socket.write(answer(requestId));
const notRun = "sniperoad-not-run: 1\r\ncontent-length: 0\r\n";

interface Case {
    readonly name: string;
    readonly script: Script;
    readonly expected: string;
    /** Whether the connection may carry the next request. */
    readonly isKept: boolean;
    readonly change?: Partial<UpstreamRequest>;
}

const cases: readonly Case[] = [
    { name: "complete", script: whole, expected: "answer 200 ok", isKept: true },
    {
        name: "chunked",
        script: (socket, requestId) =>
            void socket.write(answer(requestId, "transfer-encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n")),
        expected: "answer 200 ok",
        isKept: true,
    },
    {
        name: "no body",
        script: (socket, requestId) => void socket.write(answer(requestId, "", "", "204 No Content")),
        expected: "answer 204 ",
        isKept: true,
    },
    {
        name: "truncated",
        script: (socket, requestId) => void socket.end(answer(requestId, "content-length: 9\r\n")),
        expected: "truncated",
        isKept: false,
    },
    {
        name: "truncated chunks",
        script: (socket, requestId) => void socket.end(answer(requestId, "transfer-encoding: chunked\r\n", "5\r\nok")),
        expected: "truncated",
        isKept: false,
    },
    {
        name: "no length",
        script: (socket, requestId) => void socket.end(answer(requestId, "connection: close\r\n")),
        expected: "truncated",
        isKept: false,
    },
    {
        name: "crossed id",
        script: (socket, requestId) => void socket.write(answer(`${requestId}-of-another`)),
        expected: "crossed",
        isKept: false,
    },
    {
        name: "oversize",
        script: (socket, requestId) => {
            const sizeBytes = maxAnswerBytes + 1;
            socket.write(answer(requestId, `content-length: ${sizeBytes}\r\n`, "x".repeat(sizeBytes)));
        },
        expected: "oversize",
        isKept: false,
    },
    {
        name: "shed",
        script: (socket, requestId) =>
            void socket.write(answer(requestId, `${notRun}retry-after: 3\r\n`, "", "503 Unavailable")),
        expected: "shed 3000",
        isKept: true,
    },
    {
        name: "503 after a possible execution",
        script: (socket, requestId) => void socket.write(answer(requestId, undefined, undefined, "503 Unavailable")),
        expected: "answer 503 ok",
        isKept: true,
    },
    {
        name: "status outside 100 to 599",
        script: (socket, requestId) => void socket.write(answer(requestId, undefined, undefined, "600 Unknown")),
        expected: "truncated",
        isKept: false,
    },
    { name: "timeout", script: () => {}, expected: "timeout", isKept: false, change: { timeoutMs: 50 } },
    { name: "reset", script: socket => void socket.resetAndDestroy(), expected: "reset", isKept: false },
    { name: "not HTTP", script: socket => void socket.end("hello\r\n\r\n"), expected: "reset", isKept: false },
];

const describe = (result: UpstreamResult): string => {
    if (result.kind === "answer") {
        return `answer ${result.answer.status} ${Buffer.from(result.answer.body).toString()}`;
    }
    return result.kind === "shed" ? `shed ${result.retryAfterMs}` : result.kind;
};

// Guards against accepting a partial response or that of another request, and against reusing a connection on which
// data of an earlier request may still arrive.
test("each fault is classified and closes its connection", async () => {
    for (const { name, script, expected, isKept, change } of cases) {
        const { upstreams, upstream, seen } = await openUpstream((socket, requestId, target) =>
            (requestId === "r1" ? script : whole)(socket, requestId, target)
        );
        assert.is(describe(await upstreams.send(upstream, request("r1", change))), expected, name);
        assert.is(describe(await upstreams.send(upstream, request("r2"))), "answer 200 ok", `${name}, next request`);
        const used = seen.filter(requests => requests.length > 0);
        assert.equal(used, isKept ? [["r1", "r2"]] : [["r1"], ["r2"]], `${name}, connections`);
    }
});

// Guards against delivering a response of a cancelled request to the next one.
test("a cancelled request closes its connection", async () => {
    const held: (() => void)[] = [];
    const caller = new AbortController();
    const { upstreams, upstream, seen } = await openUpstream((socket, requestId) => {
        if (requestId === "r1") {
            held.push(() => socket.write(answer(requestId)));
            caller.abort();
        }
        else {
            held.forEach(release => release());
            whole(socket, requestId, "");
        }
    });
    assert.is(describe(await upstreams.send(upstream, request("r1", { signal: caller.signal }))), "cancelled");
    assert.is(describe(await upstreams.send(upstream, request("r2"))), "answer 200 ok");
    assert.equal(seen, [["r1"], ["r2"]]);
});

// Guards against treating a refused connection as a possible execution, and a process that has exited as a lost
// connection.
test("a refused connection is distinguished from a crash", async () => {
    const { upstreams, upstream, server } = await openUpstream(socket => {
        server.close();
        socket.resetAndDestroy();
    });
    assert.equal(await upstreams.send(upstream, request("r1")), { kind: "reset", isCrash: true });
    assert.equal(await upstreams.send(upstream, request("r2")), { kind: "refused" });
});

// Guards against treating a lost connection as a crash while the upstream still runs.
test("a reset alone is not a crash", async () => {
    const { upstreams, upstream } = await openUpstream(socket => void socket.resetAndDestroy());
    assert.equal(await upstreams.send(upstream, request("r1")), { kind: "reset", isCrash: false });
});

// Guards against swapped responses when several connections to one upstream are open.
test("concurrent requests receive their own responses", async () => {
    const waiting: (() => void)[] = [];
    const { upstreams, upstream, seen } = await openUpstream((socket, requestId) => {
        waiting.push(() => socket.write(answer(requestId, "content-length: 2\r\n", requestId)));
        if (waiting.length === 10) {
            waiting.reverse().forEach(release => release());
        }
    });
    const names = Array.from({ length: 10 }, (_, index) => `r${index}`);
    const results = await Promise.all(names.map(name => upstreams.send(upstream, request(name))));
    assert.equal(results.map(describe), names.map(name => `answer 200 ${name}`));
    assert.is(seen.length, 10);
});

// Guards against readmitting an ejected upstream although its probe failed.
test("a probe requests /health and reports faults", async () => {
    const targets: string[] = [];
    const { upstreams, upstream } = await openUpstream((socket, requestId, target) => {
        targets.push(target);
        socket.write(answer(targets.length === 1 ? requestId : "crossed"));
    });
    assert.is(describe(await upstreams.probe(upstream)), "answer 200 ok");
    assert.is(describe(await upstreams.probe(upstream)), "crossed");
    assert.equal(targets, ["/health", "/health"]);
});

// Guards against idle connections to upstreams that are no longer listed.
test("retain closes the idle connections to other upstreams", async () => {
    const { upstreams, upstream, sockets } = await openUpstream(whole);
    await upstreams.send(upstream, request("r1"));
    const closed = new Promise(resolve => sockets[0]!.on("close", resolve));
    upstreams.retain([]);
    await closed;
});

test.run();
