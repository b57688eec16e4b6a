import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryBudget, smallBodyBytes } from "./memory-budget.js";

const maxBytes = 1_000 * smallBodyBytes;
const large = (share: number): number => Math.floor(maxBytes * share);

const createBudget = () => {
    const clock = new VirtualClock();
    const upstream = { bytes: 0 };
    const events: string[] = [];
    const budget = new MemoryBudget({ clock, maxBytes, upstreamBytes: () => upstream.bytes });
    const open = (name: string, owner: string | undefined = name) =>
        budget.open({
            owner,
            waitMs: 500,
            onGranted: () => events.push(`${name} granted`),
            onRejected: reason => events.push(`${name} ${reason}`),
        });
    const wait = async (durationMs: number, isCrowded = false): Promise<void> => {
        await clock.advance(durationMs);
        budget.review(isCrowded);
    };
    return { budget, open, wait, events, upstream };
};

// Guards against uploads that together exceed the memory, and against one that is served before those that came first.
test("bodies beyond the budget wait and are served in their order", () => {
    const { open, events } = createBudget();
    const first = open("first");
    assert.ok(first.request(large(0.5)));
    assert.not(open("second").request(large(0.6)));
    assert.not(open("third").request(large(0.2)));
    first.close();
    assert.equal(events, ["second granted", "third granted"]);
});

// Guards against a caller that waits for its whole deadline and is then rejected.
test("a body that waits too long is rejected", async () => {
    const { open, wait, events } = createBudget();
    open("first").request(large(0.5));
    open("second").request(large(0.6));
    await wait(499);
    assert.equal(events, []);
    await wait(1);
    assert.equal(events, ["second memory"]);
});

// Guards against large uploads that keep ordinary requests out.
test("large bodies leave room for small ones, which do not wait behind them", () => {
    const { open } = createBudget();
    assert.ok(open("first").request(large(0.5)));
    assert.ok(open("second").request(large(0.37)));
    assert.not(open("third").request(large(0.02)));
    assert.ok(Array.from({ length: 120 }, () => open("small").request(smallBodyBytes)).every(Boolean));
});

// Guards against one organisation that takes the memory of all others.
test("an organisation has at most half of the budget, unless it sends a single body", () => {
    const { open } = createBudget();
    const single = open("a");
    assert.ok(single.request(large(0.8)));
    single.close();
    assert.ok(open("b1", "b").request(large(0.3)));
    assert.not(open("b2", "b").request(large(0.3)));
    assert.ok(open("c").request(large(0.3)), "it does not wait behind a body that waits for its share");
});

// Guards against bodies of unknown length that each wait for what another one holds.
test("of the bodies that hold memory, one waits for more and the others are rejected", () => {
    const { open, events } = createBudget();
    const [first, second] = [open("first"), open("second")];
    first.request(large(0.4));
    second.request(large(0.4));
    assert.not(first.request(large(0.6)));
    assert.not(second.request(large(0.6)));
    assert.equal(events, ["first granted", "second memory"]);
});

// Guards against callers that stop just short of the end, or send a byte at a time, and so keep the memory.
test("a body without progress is given up, sooner while memory or connections are scarce", async () => {
    for (
        const [share, isCrowded, stallMs] of [[0.1, false, 10_000], [0.6, false, 2_000], [0.1, true, 2_000]] as const
    ) {
        const { open, wait, events } = createBudget();
        const body = open("body");
        body.request(large(share));
        await wait(stallMs - 1, isCrowded);
        body.receive(20_000);
        await wait(stallMs - 1, isCrowded);
        body.receive(1);
        assert.equal(events, []);
        await wait(1, isCrowded);
        assert.equal(events, ["body stalled"]);
    }
});

// Guards against giving up work that was accepted, for bodies that arrive later.
test("a complete body is never given up", async () => {
    const { open, wait, events } = createBudget();
    const body = open("body");
    body.request(large(0.8));
    body.complete();
    open("other").request(large(0.8));
    await wait(60_000);
    assert.equal(events, ["other memory"]);
});

// Guards against a connection for each of any number of bodies that wait.
test("the number of bodies that wait is bounded", () => {
    const { open, events } = createBudget();
    open("first").request(large(0.8));
    const waiting = Array.from({ length: 200 }, (_item, number) => open(`body-${number}`));
    waiting.forEach(body => body.request(large(0.5)));
    assert.ok(events.length > 100 && events.every(event => event.endsWith("memory")));
});

// Guards against a budget for each kind of buffer whose sum exceeds the memory.
test("unread responses and responses of upstreams count with the bodies", () => {
    const { budget, open, upstream, events } = createBudget();
    upstream.bytes = large(0.3);
    const release = budget.hold(large(0.4), "a");
    assert.not(open("body").request(large(0.3)));
    assert.ok(budget.hasRoomFor("a"));
    upstream.bytes = large(0.6);
    assert.not(budget.hasRoomFor("a"));
    upstream.bytes = 0;
    const releaseMore = budget.hold(large(0.2), "a");
    assert.not(budget.hasRoomFor("a"), "its share is used");
    assert.ok(budget.hasRoomFor("b"));
    release();
    release();
    releaseMore();
    assert.equal(events, ["body granted"]);
    assert.is(budget.heldBytes, 0);
});

// Guards against callers of an owner that take no responses, so that its other callers get none either.
test("untaken responses of an owner count towards its share, which leaves room for small ones", () => {
    const { budget, open } = createBudget();
    budget.hold(large(0.3), "a");
    assert.not(open("first", "a").request(large(0.2)));
    assert.ok(open("second", "b").request(large(0.2)));
    budget.hold(large(0.15), "a");
    assert.ok(budget.hasRoomFor("a"));
    budget.hold(large(0.1), "a");
    assert.not(budget.hasRoomFor("a"));
});

test.run();
