import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { DistributedOutcome } from "../fleet/digest.js";
import { nameKey } from "../name-key.js";
import { GrayFailureEstimator } from "./gray-failure-estimator.js";
import { PathBackoff } from "./path-backoff.js";
import { SharedOutcomes } from "./shared-outcomes.js";

const upstream = id<UpstreamId>("u1");
const noFloor = { recordOutcome: () => {} };

// Guards against sending more requests to an upstream after its first failure.
test("one failure after successes makes an upstream a suspect", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordSuccess(upstream);
    gray.recordSuccess(upstream);
    assert.ok(gray.probability(upstream) < 0.05);
    gray.recordFailure(upstream);
    assert.ok(gray.probability(upstream) > 0.5);
});

// Guards against avoiding an upstream for failures that healthy ones have too.
test("three successes clear a suspect", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordFailure(upstream);
    for (let count = 0; count < 3; count++) {
        gray.recordSuccess(upstream);
    }
    assert.ok(gray.probability(upstream) < 0.4);
});

// Guards against all instances avoiding an upstream because the network path of one instance has failed.
test("one missing response is weak evidence of a gray failure, two are strong evidence", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordSuccess(upstream);
    gray.recordSuccess(upstream);
    gray.recordSilence(upstream);
    assert.ok(gray.probability(upstream) < 0.2);
    gray.recordSilence(upstream);
    assert.ok(gray.probability(upstream) > 0.4);
});

// Guards against avoiding an upstream for ever after a failure, because it gets no requests that could clear it.
test("without outcomes the estimate returns to the long-term fraction of gray upstreams", async () => {
    const clock = new VirtualClock();
    const gray = new GrayFailureEstimator(clock);
    gray.recordFailure(upstream);
    await clock.advance(20_000);
    assert.ok(Math.abs(gray.probability(upstream) - 0.3) < 0.01);
});

// Guards against retrying a failed path too often.
test("the backoff doubles with each consecutive failure up to 4 s", async () => {
    const clock = new VirtualClock();
    const backoff = new PathBackoff(clock);
    const durationsMs: number[] = [];
    for (let failure = 0; failure < 5; failure++) {
        backoff.recordFailure(upstream);
        const startMs = clock.monotonicMs();
        while (backoff.isBackingOff(upstream)) {
            await clock.advance(100);
        }
        durationsMs.push(clock.monotonicMs() - startMs);
    }
    assert.equal(durationsMs, [500, 1_000, 2_000, 4_000, 4_000]);
    backoff.recordSuccess(upstream);
    assert.not(backoff.isBackingOff(upstream));
});

const ownKey = 1;

const createOutcomes = (announce: () => void = () => {}) => {
    const clock = new VirtualClock();
    const gray = new GrayFailureEstimator(clock);
    const upstreamsOf = (key: number) => key === nameKey(upstream) ? [upstream] : [];
    return {
        clock,
        gray,
        outcomes: new SharedOutcomes({ clock, gray, floor: noFloor, ownKey, upstreamsOf, announce }),
    };
};

const failureFrom = (origin: number, sequence: number): DistributedOutcome => ({
    origin,
    sequence,
    upstreamKey: nameKey(upstream),
    kind: "failure",
});

// Guards against counting a failure twice because two aggregators distribute it, and its origin hears of it too.
test("a repeated outcome counts once, and an own one not again", () => {
    const { gray, outcomes } = createOutcomes();
    outcomes.recordDistributed([failureFrom(2, 1)]);
    const once = gray.probability(upstream);
    outcomes.recordDistributed([failureFrom(2, 1), failureFrom(ownKey, 1)]);
    assert.is(gray.probability(upstream), once);
    outcomes.recordDistributed([failureFrom(2, 2)]);
    assert.ok(gray.probability(upstream) > once);
});

// Guards against outcomes that are lost because they arrive after a later one of the same instance.
test("an outcome that arrives after a later one counts", () => {
    const { gray, outcomes } = createOutcomes();
    outcomes.recordDistributed([failureFrom(2, 2)]);
    const once = gray.probability(upstream);
    outcomes.recordDistributed([failureFrom(2, 1)]);
    assert.ok(gray.probability(upstream) > once);
});

test("the successes of a digest count", () => {
    const { gray, outcomes } = createOutcomes();
    const before = gray.probability(upstream);
    outcomes.recordSuccesses([{ key: nameKey(upstream), count: 2 }, { key: 7, count: 1 }]);
    assert.ok(gray.probability(upstream) < before / 3);
});

// Guards against losing a failure with one datagram.
test("a failure is reported repeatedly, a success once", async () => {
    const announcements = { count: 0 };
    const { clock, outcomes } = createOutcomes(() => announcements.count++);
    outcomes.record(upstream, "success");
    outcomes.record(upstream, "success");
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    const first = outcomes.take();
    assert.equal(first.successes, [{ upstream, count: 2 }]);
    assert.equal(first.outcomes.map(({ kind }) => kind), ["failure"]);
    assert.equal(outcomes.take().successes, []);
    assert.is(outcomes.take().outcomes.length, 1);
    await clock.advance(1_000);
    assert.is(outcomes.take().outcomes.length, 0);
});

// Guards against a datagram to the whole fleet for each failure of an upstream that all instances already avoid.
test("only an outcome that changes the decisions of other instances is announced", () => {
    const announcements = { count: 0 };
    const { outcomes } = createOutcomes(() => announcements.count++);
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    outcomes.record(upstream, "success");
    assert.is(announcements.count, 2);
});

test.run();
