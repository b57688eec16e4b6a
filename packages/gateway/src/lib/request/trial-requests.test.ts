import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TrialRequests } from "./trial-requests.js";

const upstream = id<UpstreamId>("u1");

// Guards against many requests to an upstream that answers without end, all sent before the first one has ended.
test("an upstream with an excess gets one request at a time", () => {
    const trials = new TrialRequests(new VirtualClock());
    trials.recordExcess(upstream);
    const end = trials.tryBegin(upstream);
    assert.ok(end);
    assert.is(trials.tryBegin(upstream), undefined);
    end();
    assert.ok(trials.tryBegin(upstream));
    assert.ok(trials.tryBegin(id<UpstreamId>("u2")));
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
