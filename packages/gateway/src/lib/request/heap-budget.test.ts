import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryBudget, smallBodyBytes } from "./memory-budget.js";

const maxBytes = 100 * smallBodyBytes;
const maxHeapBytes = 40 * smallBodyBytes;

const createBudget = () => {
    const budget = new MemoryBudget({ clock: new VirtualClock(), maxBytes, maxHeapBytes, upstreamBytes: () => 0 });
    const tryOpen = (sizeBytes: number, owner?: string): boolean => budget.heap.open().tryResize(sizeBytes, owner);
    return { budget, tryOpen };
};

// Guards against a process that V8 ends, although its machine has memory left.
test("headers fill their part of the heap, of which the last eighth is for ordinary ones", () => {
    const { budget, tryOpen } = createBudget();
    const large = maxHeapBytes / 4;
    assert.ok(["a", "b", "c"].every(owner => tryOpen(large, owner)));
    assert.not(tryOpen(large, "d"));
    assert.ok(tryOpen(10_000, "d"));
    assert.not(budget.isExceeded);
});

// Guards against headers and bodies that each keep to a bound whose sum exceeds the memory.
test("headers and bodies share the memory", () => {
    const { budget, tryOpen } = createBudget();
    const body = budget.open({ owner: "a", waitMs: 500, onGranted: () => {}, onRejected: () => {} });
    assert.ok(body.request(maxBytes * 0.8));
    assert.not(tryOpen(maxHeapBytes / 4, "b"));
    body.close();
    assert.ok(tryOpen(maxHeapBytes / 4, "b"));
    assert.is(budget.usedBytes, maxHeapBytes / 4);
});

// Guards against one organisation whose headers keep out those of all others.
test("an owner has at most half of the heap for large headers, unless it has a single one", () => {
    const { tryOpen } = createBudget();
    assert.ok(tryOpen(maxHeapBytes * 0.3, "a"));
    assert.not(tryOpen(maxHeapBytes * 0.3, "a"));
    assert.ok(tryOpen(maxHeapBytes * 0.3, "b"));
});

// Guards against memory that stays counted, so that after a crowd nothing is admitted.
test("an account that shrinks or closes gives its bytes back, and bodies that wait get them", () => {
    const { budget } = createBudget();
    const granted: string[] = [];
    const header = budget.heap.open();
    assert.ok(header.tryResize(maxHeapBytes / 2, "a"));
    const body = budget.open({
        owner: "b",
        waitMs: 500,
        onGranted: () => granted.push("body"),
        onRejected: () => {},
    });
    assert.not(body.request(maxBytes * 0.8));
    header.resize(1_000);
    assert.equal(granted, ["body"]);
    header.close();
    body.close();
    assert.is(budget.usedBytes, 0);
});

test.run();
