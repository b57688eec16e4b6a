import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Heartbeat } from "../fleet/heartbeat.js";
import { idlePayload, zoneA } from "../testing/index.js";
import { GrayFailureEstimator } from "./gray-failure-estimator.js";
import { PathBackoff } from "./path-backoff.js";
import { SharedOutcomes } from "./shared-outcomes.js";

const upstream = id<UpstreamId>("u1");
const noFloor = { recordOutcome: () => {} };

// Guards against requests that go on to an upstream after its first failure.
test("one failure after a success makes an upstream a suspect", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordSuccess(upstream);
    gray.recordSuccess(upstream);
    assert.ok(gray.probability(upstream) < 0.05);
    gray.recordFailure(upstream);
    assert.ok(gray.probability(upstream) > 0.5);
});

// Guards against an upstream that stays out because of the failures that good ones have too.
test("three successes clear a suspect", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordFailure(upstream);
    for (let count = 0; count < 3; count++) {
        gray.recordSuccess(upstream);
    }
    assert.ok(gray.probability(upstream) < 0.4);
});

// Guards against an upstream that one instance's broken path takes out at all instances.
test("one silence is weak evidence, two are strong", () => {
    const gray = new GrayFailureEstimator(new VirtualClock());
    gray.recordSuccess(upstream);
    gray.recordSuccess(upstream);
    gray.recordSilence(upstream);
    assert.ok(gray.probability(upstream) < 0.2);
    gray.recordSilence(upstream);
    assert.ok(gray.probability(upstream) > 0.4);
});

test("without outcomes the estimate returns to the usual share", async () => {
    const clock = new VirtualClock();
    const gray = new GrayFailureEstimator(clock);
    gray.recordFailure(upstream);
    await clock.advance(20_000);
    assert.ok(Math.abs(gray.probability(upstream) - 0.3) < 0.01);
});

test("a path pauses longer with each failure in a row", async () => {
    const clock = new VirtualClock();
    const paths = new PathBackoff(clock);
    const pauses: number[] = [];
    for (let failure = 0; failure < 5; failure++) {
        paths.recordFailure(upstream);
        const startMs = clock.monotonicMs();
        while (paths.isBackingOff(upstream)) {
            await clock.advance(100);
        }
        pauses.push(clock.monotonicMs() - startMs);
    }
    assert.equal(pauses, [500, 1_000, 2_000, 4_000, 4_000]);
    paths.recordSuccess(upstream);
    assert.not(paths.isBackingOff(upstream));
});

const beatOf = (sequence: number, outcomes: Heartbeat["outcomes"]): Heartbeat => ({
    ...idlePayload,
    id: id("i1~0"),
    zone: zoneA,
    callerAddress: "10.0.0.1:1",
    peerAddress: "10.0.0.1:2",
    sequence,
    outcomes,
});

// Guards against a failure that counts twice because beats repeat it.
test("a repeated outcome counts once", () => {
    const clock = new VirtualClock();
    const gray = new GrayFailureEstimator(clock);
    const outcomes = new SharedOutcomes({ clock, gray, floor: noFloor, announce: () => {} });
    const first = beatOf(1, [{ sequence: 1, upstream, kind: "failure" }]);
    outcomes.recordHeartbeat(first, undefined);
    const once = gray.probability(upstream);
    outcomes.recordHeartbeat(beatOf(2, [{ sequence: 1, upstream, kind: "failure" }]), first);
    assert.is(gray.probability(upstream), once);
});

// Guards against a failure that is lost with one datagram.
test("a failure is reported for a while, a success once", async () => {
    const clock = new VirtualClock();
    const told = { count: 0 };
    const outcomes = new SharedOutcomes({
        clock,
        gray: new GrayFailureEstimator(clock),
        floor: noFloor,
        announce: () => told.count++,
    });
    outcomes.record(upstream, "success");
    outcomes.record(upstream, "failure");
    assert.is(told.count, 1);
    assert.is(outcomes.report().length, 2);
    assert.equal(outcomes.report().map(({ kind }) => kind), ["failure"]);
    await clock.advance(1_000);
    assert.is(outcomes.report().length, 0);
});

// Guards against a datagram to the whole fleet for each failure of an upstream that all avoid already.
test("only news is announced", () => {
    const clock = new VirtualClock();
    const told = { count: 0 };
    const announce = (): void => {
        told.count++;
    };
    const outcomes = new SharedOutcomes({ clock, gray: new GrayFailureEstimator(clock), floor: noFloor, announce });
    outcomes.record(upstream, "failure");
    assert.is(told.count, 1);
    outcomes.record(upstream, "failure");
    assert.is(told.count, 1);
    outcomes.record(upstream, "success");
    assert.is(told.count, 2);
});

test.run();
