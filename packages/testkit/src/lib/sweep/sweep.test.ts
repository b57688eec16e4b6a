import { test } from "uvu";
import * as assert from "uvu/assert";
import { isWithinBound } from "../scenarios/scenario-dsl.js";
import { sweepSeed } from "./sweep.js";

// Guards against a change that breaks a guarantee under combined faults; a short form of `npm run sweep`.
test("guarantees hold under random faults", async () => {
    for (const seed of [1, 2, 3, 4]) {
        const { measurements, schedule } = await sweepSeed(seed);
        assert.equal(measurements.filter(measurement => !isWithinBound(measurement)), [], `seed ${seed}: ${schedule}`);
    }
});

test.run();
