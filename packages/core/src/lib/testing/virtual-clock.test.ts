import { test } from "uvu";
import * as assert from "uvu/assert";
import { seededRandom } from "./seeded-random.js";
import { PausableClock, VirtualClock } from "./virtual-clock.js";

// Guards against timers that fire out of order, which would make scenarios depend on insertion order.
test("timers run in order of their due time", async () => {
    const clock = new VirtualClock();
    const random = seededRandom(1);
    const seen: number[] = [];
    for (let index = 0; index < 200; index++) {
        const delayMs = Math.floor(random() * 1000);
        clock.after(delayMs, () => seen.push(delayMs));
    }
    await clock.advance(1000);
    assert.equal(seen, [...seen].sort((left, right) => left - right));
    assert.is(seen.length, 200);
});

// Guards against a pause that hides elapsed time from the process.
test("a paused clock defers timers while time advances", async () => {
    const clock = new VirtualClock();
    const process = new PausableClock(clock);
    let firedAtMs = -1;
    process.after(10, () => firedAtMs = process.monotonicMs());
    process.pause();
    await clock.advance(500);
    assert.is(firedAtMs, -1);
    process.resume();
    assert.is(firedAtMs, 500);
});

test.run();
