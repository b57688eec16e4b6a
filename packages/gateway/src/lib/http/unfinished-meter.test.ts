import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryBudget } from "../request/memory-budget.js";
import { compactRequest, requestHeapBytes } from "./header-memory.js";
import { UnfinishedMeter } from "./unfinished-meter.js";

const createMeter = () => {
    const budget = new MemoryBudget({ clock: new VirtualClock(), maxBytes: 1_000_000, upstreamBytes: () => 0 });
    return { budget, meter: new UnfinishedMeter({ account: budget.heap.open(), maxBytes: () => 20_000 }) };
};

// Guards against headers, trailers and chunk extensions whose objects the parser keeps without a bound.
test("bytes without progress are counted and bounded", () => {
    const { budget, meter } = createMeter();
    assert.is(meter.add(16_384), undefined);
    assert.ok(budget.usedBytes > 16_384);
    assert.is(meter.add(16_384), "too-long");
    meter.reset();
    assert.is(budget.usedBytes, 0);
    assert.is(meter.add(16_384), undefined);
});

// Guards against many connections whose headers together fill the heap before any of them is complete.
test("bytes for which there is no memory are not counted", () => {
    const { budget, meter } = createMeter();
    const other = budget.heap.open();
    other.resize(980_000);
    assert.is(meter.add(2_000), "no-memory");
    assert.is(budget.usedBytes, 980_000);
});

// Guards against a request that reaches the upstream with other headers than it was sent with.
test("a compact request has the same headers, and counts for more than it holds", () => {
    const headers = [["x-a", "1"], ["x-a", ""], ["x-b", "two words"]] as const;
    const request = { requestId: "r", host: "h", method: "GET", target: "/", headers, key: "k", deadlineMs: 5 };
    const compact = compactRequest(request);
    assert.equal(compact.headers, headers);
    assert.equal(compactRequest({ ...request, headers: [] }).headers, []);
    assert.is(compact.key, "k");
    assert.ok(requestHeapBytes("/", headers.flat()) > 8_192);
});

test.run();
