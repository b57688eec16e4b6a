import { test } from "uvu";
import * as assert from "uvu/assert";
import { TurnBudget } from "./turn-budget.js";

// Guards against connections with many small chunks that delay those of other callers by seconds.
test("work beyond the time of a turn continues in the next ones, in order", () => {
    let nowMs = 0;
    let turns: (() => void)[] = [];
    const budget = new TurnBudget({ clock: { monotonicMs: () => nowMs }, nextTurn: task => turns.push(task) });
    const done: string[] = [];
    /** Work of 6 ms a time, of which two fit into a turn. */
    const work = (name: string, count: number) => (): void => {
        done.push(name);
        nowMs += 6;
        if (count > 1) {
            budget.continueLater(work(name, count - 1), 0);
        }
    };
    ["a", "b", "c"].forEach(name => budget.continueLater(work(name, 2), 0));
    const counts: number[] = [];
    while (turns.length > 0) {
        const current = turns;
        turns = [];
        current.forEach(task => task());
        counts.push(done.length);
    }
    assert.equal(done, ["a", "b", "c", "a", "b", "c"]);
    assert.ok(counts.every((count, index) => count - (counts[index - 1] ?? 0) <= 2), counts.join());
    assert.not(budget.isContended);
});

// Guards against an ordinary request that waits for a round of many busy connections in each of its steps.
test("connections that have used less are served first", () => {
    const turns: (() => void)[] = [];
    const budget = new TurnBudget({ clock: { monotonicMs: () => 0 }, nextTurn: task => turns.push(task) });
    const done: string[] = [];
    ([["busiest", 1_000_000], ["busy", 8_192], ["first", 100], ["second", 1_500]] as const).forEach((
        [name, usedBytes],
    ) => budget.continueLater(() => done.push(name), usedBytes));
    turns.shift()!();
    assert.equal(done, ["first", "second", "busy", "busiest"]);
});

test.run();
