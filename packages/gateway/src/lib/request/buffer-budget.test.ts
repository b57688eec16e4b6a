import { test } from "uvu";
import * as assert from "uvu/assert";
import { BufferBudget } from "./buffer-budget.js";

// Guards against ordinary responses that are given up because another one has no end.
test("the largest buffer is evicted when the limit is exceeded", () => {
    const budget = new BufferBudget(100);
    const evicted: string[] = [];
    const small = budget.open(() => evicted.push("small"));
    const large = budget.open(() => evicted.push("large"));
    large.add(70);
    small.add(20);
    assert.equal(evicted, []);
    small.add(20);
    assert.equal(evicted, ["large"]);
    assert.is(budget.totalBytes, 40);
    // What an evicted buffer still receives no longer counts.
    large.add(500);
    large.close();
    small.close();
    assert.is(budget.totalBytes, 0);
    assert.equal(evicted, ["large"]);
});

// Guards against ordinary responses that are given up because callers do not take those that came before.
test("a buffer is evicted when other memory is used up, unless it is small", () => {
    let isExceeded = false;
    const budget = new BufferBudget(1_000_000, () => isExceeded);
    const evicted: string[] = [];
    const small = budget.open(reason => evicted.push(`small ${reason}`));
    const large = budget.open(reason => evicted.push(`large ${reason}`));
    large.add(100_000);
    isExceeded = true;
    small.add(1_000);
    small.add(1_000);
    assert.equal(evicted, ["large memory"]);
});

test.run();
