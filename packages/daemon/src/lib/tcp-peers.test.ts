import { id, PeerUnavailableError } from "@sniperoad/core";
import type { InstanceId, PeerMethod } from "@sniperoad/core";
import { createConnection, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import * as z from "zod";
import { encodeFrame, protocolVersion } from "./frames.js";
import { systemClock } from "./system-ports.js";
import { TcpPeers } from "./tcp-peers.js";

const addMethod: PeerMethod<{ a: number; b: number; }, number> = {
    name: "test.add",
    request: z.strictObject({ a: z.number(), b: z.number() }),
    reply: z.number(),
};
const noteMethod: PeerMethod<string, void> = { name: "test.note", request: z.string(), reply: z.void() };
const blobMethod: PeerMethod<number, string> = { name: "test.blob", request: z.number(), reply: z.string() };
const wrongMethod = { ...addMethod, reply: z.string() as unknown as typeof addMethod.reply };
const unknownMethod = { ...addMethod, name: "test.unknown" };

const serverId = id<InstanceId>("server");
const ampleTimeoutMs = 30_000;
const tooLarge = 2_000_000;

const closers: (() => unknown)[] = [];
// Closes connections after failed assertions too; an open server would keep the process running.
test.after.each(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const openPeers = async () => {
    const events: string[] = [];
    const log = { event: (name: string) => void events.push(name) };
    const serverPeers = new TcpPeers({ self: serverId, clock: systemClock, log });
    const clientPeers = new TcpPeers({ self: id<InstanceId>("client"), clock: systemClock, log });
    serverPeers.handle(addMethod, (_from, { a, b }) => a + b);
    serverPeers.handle(blobMethod, (_from, sizeBytes) => "x".repeat(sizeBytes));
    const port = await serverPeers.listen("127.0.0.1", 0);
    clientPeers.setAddress(serverId, `127.0.0.1:${port}`);
    closers.push(() => [clientPeers, serverPeers].forEach(peers => peers.close()));
    return { clientPeers, serverPeers, port, events };
};

const resultOf = (call: Promise<unknown>): Promise<unknown> =>
    call.catch((error: unknown) => error instanceof PeerUnavailableError ? "unavailable" : String(error));

// Guards against calls that fail with an error that their callers do not handle.
test("calls return a reply or fail with PeerUnavailableError", async () => {
    const { clientPeers } = await openPeers();
    const body = { a: 1, b: 2 };
    const unknownPeer = id<InstanceId>("nobody");
    const calls: readonly (readonly [name: string, call: Promise<unknown>, expected: unknown])[] = [
        ["good", clientPeers.call(serverId, addMethod, body, ampleTimeoutMs), 3],
        ["unknown method", clientPeers.call(serverId, unknownMethod, body, ampleTimeoutMs), "unavailable"],
        [
            "bad request",
            clientPeers.call(serverId, addMethod, { a: "x" } as unknown as typeof body, ampleTimeoutMs),
            "unavailable",
        ],
        ["bad reply", clientPeers.call(serverId, wrongMethod, body, ampleTimeoutMs), "unavailable"],
        ["unknown address", clientPeers.call(unknownPeer, addMethod, body, ampleTimeoutMs), "unavailable"],
        ["oversize reply", clientPeers.call(serverId, blobMethod, tooLarge, ampleTimeoutMs), "unavailable"],
        [
            "oversize request",
            clientPeers.call(serverId, noteMethod, "x".repeat(tooLarge), ampleTimeoutMs),
            "unavailable",
        ],
    ];
    const kinds = await Promise.all(calls.map(([, call]) => resultOf(call)));
    calls.forEach(([name, , expected], index) => assert.is(kinds[index], expected, name));
    clientPeers.notify(serverId, noteMethod, "x".repeat(tooLarge));
    assert.is(await clientPeers.call(serverId, addMethod, body, ampleTimeoutMs), 3);
});

/** A proxy before a port whose first connection becomes silent on demand, without a reset. */
const openProxy = async (port: number) => {
    const state = { accepted: 0, isFirstSilent: false };
    const sockets: Socket[] = [];
    const server = createServer(near => {
        const isFirst = ++state.accepted === 1;
        const far = createConnection({ host: "127.0.0.1", port });
        sockets.push(near, far);
        const pass = (from: Socket, to: Socket) =>
            from.on("data", (chunk: Buffer) => !(isFirst && state.isFirstSilent) && to.write(chunk))
                .on("error", () => to.destroy())
                .on("close", () => to.destroy());
        pass(near, far);
        pass(far, near);
    });
    const proxyPort = await new Promise<number>(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
    closers.push(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { state, port: proxyPort };
};

// Guards against calls that fail until the kernel gives up a connection that became silent without a reset.
test("a call without a reply makes the next one use a new connection", async () => {
    const { clientPeers, port, events } = await openPeers();
    const proxy = await openProxy(port);
    clientPeers.setAddress(serverId, `127.0.0.1:${proxy.port}`);
    assert.is(await clientPeers.call(serverId, addMethod, { a: 1, b: 2 }, ampleTimeoutMs), 3);
    proxy.state.isFirstSilent = true;
    assert.is(await resultOf(clientPeers.call(serverId, addMethod, { a: 1, b: 2 }, 50)), "unavailable");
    assert.is(await clientPeers.call(serverId, addMethod, { a: 2, b: 2 }, ampleTimeoutMs), 4);
    assert.ok(events.includes("peer-connection-silent"));
});

// Guards against calls that are lost when another one on their connection takes too long.
test("a call in flight gets its reply although another one had none in time", async () => {
    const { clientPeers, serverPeers } = await openPeers();
    serverPeers.handle(addMethod, (_from, { a }) => new Promise(resolve => setTimeout(() => resolve(a), 200)));
    const patient = clientPeers.call(serverId, addMethod, { a: 7, b: 0 }, ampleTimeoutMs);
    assert.is(await resultOf(clientPeers.call(serverId, addMethod, { a: 1, b: 0 }, 20)), "unavailable");
    assert.is(await patient, 7);
});

// Guards against notifications that are lost or attributed to another sender.
test("a notification carries the id of its sender", async () => {
    const { clientPeers, serverPeers } = await openPeers();
    const received = new Promise(resolve => serverPeers.handle(noteMethod, (from, text) => resolve(`${from} ${text}`)));
    clientPeers.notify(serverId, noteMethod, "hello");
    assert.is(await received, "client hello");
});

// Guards against calls that wait for their timeout although the connection is closed.
test("closing a connection fails its pending calls", async () => {
    const { clientPeers, serverPeers } = await openPeers();
    serverPeers.handle(addMethod, () => {
        serverPeers.close();
        return new Promise<number>(() => {});
    });
    assert.is(await resultOf(clientPeers.call(serverId, addMethod, { a: 1, b: 1 }, ampleTimeoutMs)), "unavailable");
});

// Guards against a port scanner, or a peer of another release, whose invalid data closes connections of other peers.
test("invalid data on a connection does not affect other connections", async () => {
    const { clientPeers, port, events } = await openPeers();
    for (const garbage of [Buffer.alloc(64, 0xFF), Buffer.from("GET / HTTP/1.1\r\n\r\n"), Buffer.alloc(8)]) {
        const first = clientPeers.call(serverId, addMethod, { a: 2, b: 2 }, ampleTimeoutMs);
        const socket = createConnection({ host: "127.0.0.1", port });
        const closed = new Promise(resolve => socket.on("close", resolve));
        socket.on("error", () => {}).resume().write(garbage);
        await closed;
        assert.is(await first, 4);
        assert.is(await clientPeers.call(serverId, addMethod, { a: 2, b: 3 }, ampleTimeoutMs), 5);
    }
    assert.equal(events, Array(3).fill("peer-frame-rejected"));
});

// Guards against delivering a late reply to a later call.
test("a reply after its timeout is not delivered", async () => {
    const { clientPeers, serverPeers } = await openPeers();
    const replies: ((value: number) => void)[] = [];
    serverPeers.handle(addMethod, () => new Promise<number>(resolve => replies.push(resolve)));
    assert.is(await resultOf(clientPeers.call(serverId, addMethod, { a: 1, b: 1 }, 20)), "unavailable");
    const second = clientPeers.call(serverId, addMethod, { a: 2, b: 2 }, ampleTimeoutMs);
    while (replies.length < 2) {
        await new Promise(setImmediate);
    }
    replies[0]!(111);
    replies[1]!(222);
    assert.is(await second, 222);
});

// Guards against a peer that answers calls to another peer.
test("replies are accepted only from the called peer", async () => {
    const { clientPeers, serverPeers } = await openPeers();
    const clientPort = await clientPeers.listen("127.0.0.1", 0);
    const impostor = createConnection({ host: "127.0.0.1", port: clientPort });
    serverPeers.handle(addMethod, async (_from, { a, b }) => {
        const reply = { version: protocolVersion, kind: "reply", body: 666 } as const;
        for (const sequence of [1, 2, 3]) {
            impostor.write(encodeFrame({ ...reply, sequence }));
        }
        // A request on the same connection is answered after the forged replies have been read.
        const answered = new Promise(resolve => impostor.once("data", resolve));
        const method = unknownMethod.name;
        impostor.write(encodeFrame({ ...reply, kind: "request", sequence: 9, from: "forger", method }));
        await answered;
        return a + b;
    });
    assert.is(await clientPeers.call(serverId, addMethod, { a: 1, b: 1 }, ampleTimeoutMs), 2);
    impostor.destroy();
});

// Guards against silent connections that take all descriptors of a process.
test("connections beyond the bound replace those without a message", async () => {
    const peers = new TcpPeers({ self: serverId, clock: systemClock, log: { event: () => {} }, maxIncoming: 2 });
    closers.push(() => peers.close());
    peers.handle(addMethod, (_from, { a, b }) => a + b);
    const port = await peers.listen("127.0.0.1", 0);
    const { clientPeers } = await openPeers();
    const target = id<InstanceId>("bounded");
    clientPeers.setAddress(target, `127.0.0.1:${port}`);
    assert.is(await clientPeers.call(target, addMethod, { a: 1, b: 1 }, ampleTimeoutMs), 2);
    let closedCount = 0;
    for (let number = 0; number < 5; number++) {
        const silent = createConnection({ host: "127.0.0.1", port });
        silent.on("error", () => {}).on("close", () => closedCount++);
        closers.push(() => silent.destroy());
        await new Promise(resolve => silent.once("connect", resolve));
    }
    // On the connection that was opened first.
    assert.is(await clientPeers.call(target, addMethod, { a: 2, b: 2 }, ampleTimeoutMs), 4);
    assert.is(closedCount, 4);
});

test.run();
