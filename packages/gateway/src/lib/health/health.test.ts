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

const heartbeatOf = (sequence: number, outcomes: Heartbeat["outcomes"]): Heartbeat => ({
    ...idlePayload,
    id: id("i1~0"),
    zone: zoneA,
    callerAddress: "10.0.0.1:1",
    peerAddress: "10.0.0.1:2",
    sequence,
    outcomes,
});

// Guards against counting a failure twice because heartbeats repeat it.
test("a repeated outcome counts once", () => {
    const clock = new VirtualClock();
    const gray = new GrayFailureEstimator(clock);
    const outcomes = new SharedOutcomes({ clock, gray, floor: noFloor, announce: () => {} });
    const first = heartbeatOf(1, [{ sequence: 1, upstream, kind: "failure" }]);
    outcomes.recordHeartbeat(first, undefined);
    const once = gray.probability(upstream);
    outcomes.recordHeartbeat(heartbeatOf(2, [{ sequence: 1, upstream, kind: "failure" }]), first);
    assert.is(gray.probability(upstream), once);
});

// Guards against losing a failure with one datagram.
test("a failure is reported repeatedly, a success once", async () => {
    const clock = new VirtualClock();
    const announcements = { count: 0 };
    const outcomes = new SharedOutcomes({
        clock,
        gray: new GrayFailureEstimator(clock),
        floor: noFloor,
        announce: () => announcements.count++,
    });
    outcomes.record(upstream, "success");
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    assert.is(outcomes.report().length, 2);
    assert.equal(outcomes.report().map(({ kind }) => kind), ["failure"]);
    await clock.advance(1_000);
    assert.is(outcomes.report().length, 0);
});

// Guards against a datagram to the whole fleet for each failure of an upstream that all instances already avoid.
test("only an outcome that changes the decisions of other instances is announced", () => {
    const clock = new VirtualClock();
    const announcements = { count: 0 };
    const announce = (): void => {
        announcements.count++;
    };
    const outcomes = new SharedOutcomes({ clock, gray: new GrayFailureEstimator(clock), floor: noFloor, announce });
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    outcomes.record(upstream, "failure");
    assert.is(announcements.count, 1);
    outcomes.record(upstream, "success");
    assert.is(announcements.count, 2);
});

test.run();
