import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankSeats } from "./rendezvous.js";
import { staticFleet } from "./testing/index.js";
import type { InstanceId } from "./types.js";

const names = Array.from({ length: 44 }, (_, index) => `i${index}`);

// Guards against a change of holder that moves keys, which would drop buckets and claims.
test("a change of holder moves no key", () => {
    const { seats } = staticFleet(names, ["a", "b", "c"]).roster;
    const replaced = seats.map((seat, index) => index === 7 ? { ...seat, holder: "new" as InstanceId } : seat);
    const order = (list: typeof seats) => rankSeats(list, "rate/paw/0").map(seat => seat.id);
    assert.equal(order(replaced), order(seats));
});

// Guards against a hash that assigns most keys to a few seats.
test("keys are distributed evenly", () => {
    const { seats } = staticFleet(names, ["a"]).roster;
    const counts = new Map<string, number>();
    for (let index = 0; index < 4400; index++) {
        const first = rankSeats(seats, `service/${index}`)[0]!.id;
        counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    assert.is(counts.size, 44);
    assert.ok(Math.max(...counts.values()) < 150);
});

test.run();
