import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TrialRequests } from "./trial-requests.js";

const upstream = id<UpstreamId>("u1");

// Guards against many requests to an upstream that answers without end, all sent before the first one has ended.
test("an upstream with an excess gets one request at a time", async () => {
    const clock = new VirtualClock();
    const trials = new TrialRequests(clock);
    trials.recordExcess(upstream);
    await clock.advance(250);
    const end = trials.tryBegin(upstream);
    assert.ok(end);
    assert.is(trials.tryBegin(upstream), undefined);
    end();
    assert.ok(trials.tryBegin(upstream));
    assert.ok(trials.tryBegin(id<UpstreamId>("u2")));
});

// Guards against an upstream whose endless responses follow each other and take the event loop.
test("the pause between trial requests grows up to 4 s", async () => {
    const clock = new VirtualClock();
    const trials = new TrialRequests(clock);
    trials.recordExcess(upstream);
    const sentMs: number[] = [];
    for (; clock.monotonicMs() < 30_000; await clock.advance(50)) {
        const end = trials.tryBegin(upstream);
        if (end !== undefined) {
            sentMs.push(clock.monotonicMs());
            trials.recordExcess(upstream);
            end();
        }
    }
    assert.equal(sentMs.slice(0, 6), [250, 750, 1_750, 3_750, 7_750, 11_750]);
});

// Guards against a pause that grows by requests that were all sent at the same time.
test("excesses within a pause do not prolong it", async () => {
    const clock = new VirtualClock();
    const trials = new TrialRequests(clock);
    for (let count = 0; count < 50; count++) {
        trials.recordExcess(upstream);
    }
    await clock.advance(250);
    assert.ok(trials.tryBegin(upstream));
});

// Guards against an upstream that is held back after it has recovered.
test("a whole response ends the trial, and so does time", async () => {
    const clock = new VirtualClock();
    const trials = new TrialRequests(clock);
    const isFree = (): boolean => [1, 2].every(() => trials.tryBegin(upstream) !== undefined);
    trials.recordExcess(upstream);
    assert.not(isFree());
    trials.recordWhole(upstream);
    assert.ok(isFree());
    trials.recordExcess(upstream);
    await clock.advance(9_000);
    assert.not(isFree());
    await clock.advance(1_000);
    assert.ok(isFree());
});

test("an upstream that is no longer listed is forgotten", () => {
    const trials = new TrialRequests(new VirtualClock());
    trials.recordExcess(upstream);
    trials.tryBegin(upstream);
    trials.retain(() => false);
    assert.ok(trials.tryBegin(upstream));
});

test.run();
