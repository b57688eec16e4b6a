import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UnexpectedErrors } from "./unexpected-errors.js";

const setUp = () => {
    const clock = new VirtualClock();
    const exits: number[] = [];
    const events: string[] = [];
    const log = { event: (name: string) => void events.push(name) };
    const errors = new UnexpectedErrors({ clock, log, exit: () => exits.push(clock.monotonicMs()) });
    return { clock, exits, events, errors };
};

// Guards against one malformed message that ends the requests of all callers.
test("single errors are logged and the process goes on", async () => {
    const { clock, exits, events, errors } = setUp();
    for (let index = 0; index < 100; index++) {
        errors.record(new Error("unexpected"));
        await clock.advance(1_000);
    }
    assert.is(errors.count, 100);
    assert.is(events.length, 100);
    assert.equal(exits, []);
});

// Guards against a damaged process that fails every request without end.
test("many errors within a short time end the process", () => {
    const { exits, errors } = setUp();
    Array.from({ length: 20 }).forEach(() => errors.record("not even an error"));
    assert.is(exits.length, 1);
});

test.run();
