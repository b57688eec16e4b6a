import { VirtualClock } from "@sniperoad/core/testing";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { noStatement, testUpstream } from "../testing/index.js";
import { MemoryBudget } from "./memory-budget.js";
import type { UpstreamResult } from "./ports.js";
import { UpstreamConnectionPool } from "./upstream-connection-pool.js";

const megabyte = 1_048_576;
const answerBytes = 2 * megabyte;
const maxBytes = 4 * megabyte;

type Call = (owner: string, timeoutMs?: number) => Promise<UpstreamResult>;

/** Runs a pool and a server whose answers have a length, or none. */
const withPool = async (
    hasLength: boolean,
    run: (call: Call, budget: MemoryBudget, clock: VirtualClock) => Promise<void>,
): Promise<void> => {
    const body = Buffer.alloc(answerBytes, "a");
    const server = createServer((_incoming, response) => {
        response.writeHead(200, hasLength ? { "content-length": answerBytes } : {}).end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const clock = new VirtualClock();
    const budget: MemoryBudget = new MemoryBudget({ clock, maxBytes, upstreamBytes: () => pool.bufferedBytes });
    const metadata = { isNotRun: false, isMisdirected: false, isFromUpstream: true, isEncoded: false };
    const pool: UpstreamConnectionPool = new UpstreamConnectionPool({
        clock,
        codec: { decodeResponse: () => ({ ...metadata, requestId: undefined, statement: noStatement }) },
        memory: budget,
    });
    const call: Call = (owner, timeoutMs = 10_000) =>
        pool.call({
            upstream: testUpstream("u1", { address: `127.0.0.1:${(server.address() as AddressInfo).port}` }),
            method: "GET",
            target: "/",
            headers: [],
            body: new Uint8Array(0),
            requestId: undefined,
            owner,
            timeoutMs,
            isRepeatable: true,
            signal: new AbortController().signal,
        });
    try {
        await run(call, budget, clock);
    }
    finally {
        pool.retain(() => false);
        server.closeAllConnections();
        server.close();
    }
};

const bodyBytes = (result: UpstreamResult): number => result.kind === "answer" ? result.answer.body.length : -1;

// Guards against responses that are read although there is no memory for them.
test("a response waits at its upstream until there is memory for it", () =>
    withPool(true, async (call, budget) => {
        const release = budget.hold(3 * megabyte, "a");
        let isDone = false;
        const result = call("b").finally(() => isDone = true);
        await new Promise(resolve => setTimeout(resolve, 100));
        assert.not(isDone);
        assert.is(budget.usedBytes, 3 * megabyte);
        release();
        assert.is(bodyBytes(await result), answerBytes);
        assert.is(budget.usedBytes, 0);
    }));

// Guards against an upstream that is blamed for the callers of an instance.
test("a response that gets no memory in time is given up without blame", () =>
    withPool(true, async (call, budget, clock) => {
        budget.hold(3 * megabyte, "a");
        const result = call("b");
        await new Promise(resolve => setTimeout(resolve, 100));
        await clock.advance(5_000);
        budget.review(false);
        assert.is((await result).kind, "no-memory");
        assert.is(budget.usedBytes, 3 * megabyte);
    }));

// Guards against responses whose size is not known before they arrive.
test("a response without a length is given up when the memory is used", () =>
    withPool(false, async (call, budget) => {
        const release = budget.hold(3 * megabyte, "a");
        assert.is((await call("b")).kind, "no-memory");
        release();
        assert.is(bodyBytes(await call("b")), answerBytes);
    }));

test.run();
