import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { uuidV7 } from "./idempotency-key.js";

// Guards against keys that the fleet refuses, or whose time it would misread.
test("a key is a UUIDv7 that contains its time", () => {
    const bytes = fc.uint8Array({ minLength: 10, maxLength: 10 });
    fc.assert(
        fc.property(fc.nat({ max: 2 ** 48 - 1 }), bytes, (timeMs, random) => {
            const key = uuidV7(new Date(timeMs), random);
            assert.match(key, /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/);
            assert.is(Number.parseInt(key.replace("-", "").slice(0, 12), 16), timeMs);
        }),
        { seed: 7, numRuns: 1_000 },
    );
});

// Guards against keys that repeat because random bits were dropped.
test("all random bits are used", () => {
    const key = (fill: number) => BigInt(`0x${uuidV7(new Date(0), new Uint8Array(10).fill(fill)).replaceAll("-", "")}`);
    const differing = (key(0xFF) ^ key(0)).toString(2).replaceAll("0", "").length;
    assert.is(differing, 74);
    assert.throws(() => uuidV7(new Date(0), new Uint8Array(9)), /pass crypto\.randomBytes\(10\)/);
});

test.run();
