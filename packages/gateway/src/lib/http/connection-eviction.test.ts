import { test } from "uvu";
import * as assert from "uvu/assert";
import { connectionToEvict } from "./connection-eviction.js";
import type { EvictionCandidate } from "./connection-eviction.js";

const busy = {
    hasRequested: true,
    isLingering: false,
    isRetired: false,
    isIdle: false,
    idleSinceMs: 0,
    workBytes: 100_000,
};
const idle = { ...busy, isIdle: true, workBytes: 0 };
const limits = { nowMs: 10_000, busyBytes: 65_536, mayRetire: true };
const evicted = (candidates: readonly EvictionCandidate[], mayRetire = true): EvictionCandidate | undefined =>
    connectionToEvict(candidates, candidate => candidate, { ...limits, mayRetire });

// Guards against room that is made by a connection with requests while there is one without.
test("connections without requests in progress make room first", () => {
    const silent = { ...idle, hasRequested: false };
    const lingering = { ...idle, isLingering: true };
    const longIdle = { ...idle, idleSinceMs: 1_000 };
    const shortIdle = { ...idle, idleSinceMs: 8_000 };
    assert.is(evicted([busy, longIdle, silent, lingering]), silent);
    assert.is(evicted([busy, longIdle, lingering]), lingering);
    assert.is(evicted([busy, shortIdle, longIdle]), longIdle);
});

// Guards against ordinary callers that are closed beside a crowd, and against more retired connections than fit.
test("the busiest connection retires, if it is busy and there may be one more", () => {
    const busier = { ...busy, workBytes: 200_000 };
    assert.is(evicted([busy, busier]), busier);
    assert.is(evicted([{ ...busier, isRetired: true }, busy]), busy);
    assert.is(evicted([busy, busier], false), undefined);
    assert.is(evicted([{ ...busy, workBytes: 60_000 }, { ...idle, idleSinceMs: 9_500 }]), undefined);
});

test.run();
