import { id } from "@sniperoad/core";
import type { RouteId, ServiceId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { knownUpstream } from "../testing/index.js";
import { Admission } from "./admission.js";
import type { AdmissionRequest, RejectionCause } from "./admission.js";
import { AnswerTimes } from "./answer-times.js";
import { utilizationOf } from "./service-load.js";
import type { ExpectedTimes } from "./service-pressures.js";

const route = id<RouteId>("r1");
const service = id<ServiceId>("reports");
const request: AdmissionRequest = {
    route,
    service,
    organisation: undefined,
    fingerprint: "f1",
    targetLatencyMs: 600,
    priority: 1,
    leftMs: 3_000,
    utilization: 0.5,
};
const unknown: ExpectedTimes = { level: undefined, waitMs: 0, workMs: undefined };

const setUp = (expected = unknown) => {
    const rejected: string[] = [];
    const clock = new VirtualClock();
    const times = new AnswerTimes<RouteId>(clock);
    const shareWithin = (of: RouteId, limitMs: number) => times.shareWithin(of, limitMs);
    const onReject = (rank: number, cause: RejectionCause) => rejected.push(`${rank} ${cause}`);
    const levelOf = (_organisation: unknown, level: number) => level;
    const admission = new Admission({
        clock,
        random: seededRandom(1),
        shareWithin,
        expected: () => expected,
        levelOf,
        onReject,
    });
    return { clock, times, admission, rejected };
};

// Guards against requests that take a slot, or wait until their deadline, although no answer can arrive before it.
test("a request without hope is rejected at once, and no return is promised", () => {
    const { times, admission } = setUp();
    Array.from({ length: 100 }).forEach(() => times.record(route, 300));
    assert.is(admission.decide({ ...request, leftMs: 350 }).kind, "admit");
    const hopeless = admission.decide({ ...request, leftMs: 200 });
    assert.is(hopeless.kind, "reject");
    assert.is(hopeless.kind === "reject" && hopeless.retryAfterMs, undefined);
});

// Guards against admission by pressure that starves a rank or serves a less urgent one more often.
test("under pressure the share of each rank falls with its urgency, and none falls to nothing", () => {
    for (const level of [0, 0.5, 1, 3]) {
        const { admission } = setUp({ level, waitMs: 200, workMs: 100 });
        const shares = [0, 1, 2, 3].map(priority => {
            const names = Array.from({ length: 2_000 }, (_, index) => `f${index}`);
            const admitted = names.filter(fingerprint =>
                admission.decide({ ...request, priority, fingerprint }).kind === "admit"
            );
            return admitted.length / names.length;
        });
        assert.ok(shares.every((share, rank) => rank === 0 || share <= shares[rank - 1]! + 0.01), shares.join(" "));
        assert.ok(shares[0]! > 0.7 && shares[3]! > 0.015, shares.join(" "));
        assert.is(level > 0 || shares.every(share => share === 1), true);
    }
});

// Guards against callers that get through by returning at once, again and again.
test("a request that returns at once gets the same decision, and later another one", async () => {
    const { admission, clock } = setUp({ level: 0.7, waitMs: 200, workMs: 100 });
    const decide = () => admission.decide(request).kind;
    const first = decide();
    assert.ok(Array.from({ length: 20 }, decide).every(kind => kind === first));
    const later = new Set<string>();
    for (let period = 0; period < 20; period++) {
        await clock.advance(500);
        later.add(decide());
    }
    assert.equal([...later].sort(), ["admit", "reject"]);
});

// Guards against requests that wait at an upstream until their deadline.
test("a request whose expected wait exceeds the time left is rejected", () => {
    const { admission, rejected } = setUp({ level: 0, waitMs: 900, workMs: 200 });
    assert.is(admission.decide({ ...request, leftMs: 1_100 }).kind, "admit");
    assert.is(admission.decide({ ...request, leftMs: 950 }).kind, "reject");
    assert.equal(rejected, ["1 wait"]);
});

test("without known answer times only a fraction of the objective is hopeless", () => {
    const { admission } = setUp();
    assert.is(admission.decide({ ...request, leftMs: 70 }).kind, "admit");
    assert.is(admission.decide({ ...request, leftMs: 50 }).kind, "reject");
});

// Guards against requests that all wait while the service time is not known.
test("without a known service time less urgent requests are rejected first as the load grows, and the most urgent ones last", () => {
    const { admission } = setUp();
    const admitted = [0.9, 2.5, 2.8, 3.3, 3.8, 4.5].map(utilization =>
        [0, 1, 2, 3].filter(priority => admission.decide({ ...request, utilization, priority }).kind === "admit")
    );
    assert.equal(admitted, [[0, 1, 2, 3], [0, 1, 2, 3], [0, 1, 2], [0, 1], [0], []]);
});

// Guards against callers that wait in vain for upstreams that refuse requests without being full.
test("callers return soon while the service has room", () => {
    const { admission } = setUp();
    const delays = [0, 1, 2].map(priority => admission.retryAfterMs({ ...request, priority, utilization: 0.4 })!);
    assert.ok(delays.every(delay => delay > 0 && delay < 100), delays.join(" "));
});

// Guards against callers that return all at once, in any order, or after their deadline.
test("callers return in the order of their urgency, spread, and within a third of the time left", () => {
    const { admission } = setUp();
    const delays = (priority: number, leftMs = 3_000) =>
        Array.from({ length: 200 }, () => admission.retryAfterMs({ ...request, priority, leftMs, utilization: 1 })!);
    const means = [0, 1, 2].map(priority => delays(priority).reduce((sum, delay) => sum + delay, 0) / 200);
    assert.ok(means[0]! < means[1]! && means[1]! < means[2]!, means.join(" "));
    assert.ok(new Set(delays(1).map(delay => Math.round(delay / 20))).size > 5);
    assert.ok(Math.max(...delays(2, 600)) <= 200);
});

// Guards against callers that return long before they are admitted, and add to the requests that are rejected.
test("under pressure callers return when they can expect to be admitted, within a third of the time left", () => {
    const delays = (level: number, leftMs: number) => {
        const { admission } = setUp({ level, waitMs: 200, workMs: 100 });
        const decisions = Array.from(
            { length: 200 },
            (_, index) => admission.decide({ ...request, leftMs, fingerprint: `f${index}` }),
        );
        return decisions.flatMap(decision => decision.kind === "reject" ? decision.retryAfterMs ?? [] : []);
    };
    const [mild, strong] = [delays(0.3, 30_000), delays(1.5, 30_000)];
    // One of 1 / share chances of half a second each is expected to be sufficient.
    assert.ok(mild.every(delay => delay >= 0.7 * 500 * Math.exp(0.3) && delay <= 1.3 * 500 * Math.exp(0.3)));
    assert.ok(Math.min(...strong) > Math.max(...mild));
    assert.ok(new Set(strong.map(delay => Math.round(delay / 20))).size > 10);
    assert.is(Math.max(...delays(1.5, 1_500)), 500);
});

// Guards against a promise to a caller whose time is over when it returns.
test("no return is promised if too little time would be left", () => {
    const { times, admission } = setUp();
    Array.from({ length: 100 }).forEach(() => times.record(route, 300));
    assert.is(admission.retryAfterMs({ ...request, leftMs: 310 }), undefined);
    assert.ok(admission.retryAfterMs({ ...request, leftMs: 1_000 })! > 0);
});

test("answer times are forgotten", async () => {
    const { clock, times } = setUp();
    Array.from({ length: 100 }).forEach(() => times.record(route, 300));
    await clock.advance(60_000);
    assert.is(times.shareWithin(route, 1_000), undefined);
    Array.from({ length: 40 }).forEach((_, index) => times.record(route, index < 10 ? 20 : 900));
    assert.ok(Math.abs(times.shareWithin(route, 100)! - 0.25) < 0.03);
});

// Guards against room at upstreams that fail or cannot be reached.
test("the utilization counts the slots of upstreams that serve requests", () => {
    const clock = new VirtualClock();
    const candidates = ["u1", "u2", "u3", "u4"].map(name => knownUpstream(name));
    const slots = candidates[0]!.listed.slots;
    const state = {
        inFlight: () => slots,
        grayProbability: (upstream: string) => upstream === "u1" ? 1 : 0,
        isBackingOff: (upstream: string) => upstream === "u2",
        limitPerSecond: () => undefined,
        answerTimeMs: undefined,
    };
    assert.is(utilizationOf(candidates, state, clock), 1);
    assert.is(utilizationOf(candidates, { ...state, inFlight: upstream => upstream === "u1" ? 99 : 0 }, clock), 0);
    assert.is(utilizationOf([], state, clock), 0);
    // An upstream that takes 5 requests of 100 ms a second has work for half a slot.
    const limited = { ...state, limitPerSecond: () => 5, answerTimeMs: 100 };
    assert.ok(utilizationOf(candidates, limited, clock) > 2 * utilizationOf(candidates, state, clock));
});

// Guards against callers that return while no upstream accepts requests, or wait although that comes too late.
test("a retry delay is not shorter than the time for which a service is closed", () => {
    const clock = new VirtualClock();
    const admission = new Admission({
        clock,
        random: () => 0,
        shareWithin: () => 1,
        expected: () => unknown,
        levelOf: () => 0,
        onReject: () => {},
    });
    const urgent = { ...request, targetLatencyMs: 300, priority: 0, leftMs: 1_500, utilization: 0 };
    assert.is(admission.retryAfterMs(urgent, 400), 400);
    assert.is(admission.retryAfterMs(urgent, 600), undefined);
});

test.run();
