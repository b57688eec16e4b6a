import { id } from "@sniperoad/core";
import type { OrganisationId, UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetLoad } from "../balance/fleet-load.js";
import { RetryBudget } from "../balance/retry-budget.js";
import { UpstreamSelector } from "../balance/upstream-selector.js";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { SharedOutcomes } from "../health/shared-outcomes.js";
import type { ResponseMetadata } from "../model.js";
import { knownUpstream, reportsService, testRoute, zoneA } from "../testing/index.js";
import { CrashTracker } from "./crash-tracker.js";
import type { UpstreamRequest, UpstreamResult } from "./ports.js";
import { UpstreamDispatcher } from "./upstream-dispatcher.js";
import type { DispatchedRequest } from "./upstream-dispatcher.js";

const marks: ResponseMetadata = {
    requestId: undefined,
    isNotRun: false,
    isMisdirected: false,
    isFromUpstream: true,
    isEncoded: false,
};

const answer = (status: number, changed: Partial<ResponseMetadata> = {}): UpstreamResult => ({
    kind: "answer",
    answer: { status, headers: [], body: new Uint8Array(0), marks: { ...marks, ...changed } },
});

interface Script {
    /** Result of each call in turn; the time until it comes. */
    readonly results: readonly (readonly [result: UpstreamResult, afterMs?: number])[];
    readonly isIdempotent?: boolean;
    readonly maxAttempts?: number;
    readonly isDown?: boolean;
    /** Requests whose share of extra attempts is saved up. */
    readonly savedRequests?: number;
    /** Upstreams that have just failed. */
    readonly suspects?: readonly string[];
    readonly seed?: number;
}

/** After the target latency of the route and before the end of a silent call. */
const silenceCheckMs = 700;

const play = async (script: Script) => {
    const { results, isIdempotent = false, maxAttempts = 2, isDown = false, savedRequests = 2 } = script;
    const { suspects = [], seed = 1 } = script;
    const clock = new VirtualClock();
    const calls: UpstreamRequest[] = [];
    const gray = new GrayFailureEstimator(clock);
    const paths = new PathBackoff(clock);
    const load = new FleetLoad();
    const floor = { pick: () => undefined, recordUse: () => {}, recordOutcome: () => {} };
    const crashes = new CrashTracker({ clock, announce: () => {} });
    const retryBudget = new RetryBudget(() => ({ share: 1, burst: 1_000 }));
    for (let request = 0; request < savedRequests; request++) {
        retryBudget.recordRequest(reportsService, 1);
    }
    suspects.forEach(name => [1, 2].forEach(() => gray.recordFailure(id<UpstreamId>(name))));
    const attempts = new UpstreamDispatcher({
        clock,
        log: { event: () => {} },
        client: {
            call: call => {
                const [result, afterMs = 10] = results[calls.length]!;
                calls.push(call);
                return new Promise(resolve => {
                    clock.after(afterMs, () => resolve(result));
                    call.signal.addEventListener("abort", () => resolve({ kind: "cancelled" }));
                });
            },
            closeIdle: () => {},
            isDown: () => Promise.resolve(isDown),
        },
        codec: { upstreamHeaders: () => [] },
        selector: new UpstreamSelector({ zone: zoneA, clock, random: seededRandom(seed), gray, paths, load, floor }),
        load,
        paths,
        outcomes: new SharedOutcomes({ clock, gray, floor, announce: () => {} }),
        floor,
        retryBudget,
        candidates: () => ["u1", "u2", "u3"].map(name => knownUpstream(name)),
        crashes,
    });
    const caller = new AbortController();
    const work: DispatchedRequest = {
        request: {
            requestId: "r1",
            host: "h",
            method: "POST",
            target: "/reports/1",
            headers: [],
            key: undefined,
            deadlineMs: 1_000,
        },
        body: new Uint8Array(0),
        route: testRoute({ isIdempotent, maxAttempts }),
        service: reportsService,
        organisation: id<OrganisationId>("org-1"),
        fingerprint: "f1",
        deadlineAtMs: 1_000,
        signal: caller.signal,
    };
    const run = attempts.run(work);
    await clock.advance(silenceCheckMs);
    const isPausedEarly = calls[0] !== undefined && paths.isBackingOff(calls[0].upstream.id);
    await clock.advance(1_500 - silenceCheckMs);
    return { result: await run, calls, load, crashes, isPausedEarly };
};

const broken: UpstreamResult = { kind: "broken", reason: "reset", hadHeaders: false };
const refused: UpstreamResult = { kind: "refused", reason: "refused" };

// Guards against a second run of a request that may have run.
for (
    const [name, result] of [
        ["a broken connection", broken],
        ["a timeout", { kind: "timeout" }],
        ["another request's answer", { kind: "foreign", reason: "other" }],
        ["the upstream's failure", answer(500)],
    ] as const
) {
    test(`a request that may not be repeated is sent once after ${name}`, async () => {
        const { calls, result: outcome } = await play({ results: [[result]] });
        assert.is(calls.length, 1);
        assert.is.not(outcome.kind, "not-run");
    });
}

for (
    const [name, result] of [
        ["a refused connection", refused],
        ["an upstream that shed it", answer(503, { isNotRun: true })],
        ["another upstream's address", answer(421, { isNotRun: true, isMisdirected: true })],
    ] as const
) {
    test(`any request is sent again after ${name}`, async () => {
        const { calls, result: outcome } = await play({ results: [[result], [answer(200)]] });
        assert.is(calls.length, 2);
        assert.is.not(calls[0]!.upstream.id, calls[1]!.upstream.id);
        assert.is(outcome.kind, "answer");
    });
}

// Guards against requests lost to a cut path: a connection that was not made is no attempt.
test("vain connections are no attempts", async () => {
    const served = await play({ results: [[refused], [refused], [answer(200)]], maxAttempts: 1 });
    assert.is(served.result.kind, "answer");
    const lost = await play({ results: [[refused], [refused], [refused]] });
    assert.is(lost.result.kind, "not-run");
});

// Guards against a refusal that says "not run" after an attempt that may have run.
test("not run is said only when no attempt may have run", async () => {
    const first = await play({ results: [[broken], [refused], [refused]], isIdempotent: true });
    assert.is(first.result.kind, "unknown");
    const second = await play({ results: [[refused], [refused], [refused]], isIdempotent: true });
    assert.is(second.result.kind, "not-run");
});

test("an idempotent request is sent again after a failure, up to its attempts", async () => {
    const again = await play({ results: [[answer(500)], [answer(200)]], isIdempotent: true });
    assert.is(again.result.kind === "answer" && again.result.answer.status, 200);
    const once = await play({ results: [[answer(500)]], isIdempotent: true, maxAttempts: 1 });
    assert.is(once.result.kind === "answer" && once.result.answer.status, 500);
});

// Guards against an upstream that hangs and takes the caller's whole time.
test("an idempotent request that hangs is answered by a second upstream", async () => {
    const { result, calls, load } = await play({ results: [[answer(200), 5_000], [answer(201)]], isIdempotent: true });
    assert.is(result.kind === "answer" && result.answer.status, 201);
    assert.ok(calls[0]!.signal.aborted, "the first attempt is cancelled");
    assert.is(load.localInFlight(), 0);
});

test("a request that may not be repeated is not hedged", async () => {
    const { calls } = await play({ results: [[answer(200), 800]] });
    assert.is(calls.length, 1);
});

test("an answer without the upstream's mark is no success", async () => {
    const { result } = await play({ results: [[answer(200, { isFromUpstream: false })]] });
    assert.is(result.kind, "unknown");
});

// Guards against innocent requests that are blamed for a connection that broke on the way.
test("only a process that has ended counts as a crash", async () => {
    for (const isDown of [false, true]) {
        const { crashes } = await play({ results: [[broken]], isDown });
        assert.is(crashes.report().length, isDown ? 1 : 0);
    }
});

// Guards against a request that takes down one upstream after the other.
test("a request is a suspect after three crashes and until a minute has passed", async () => {
    const clock = new VirtualClock();
    const guard = new CrashTracker({ clock, announce: () => {} });
    ["u1", "u2", "u2"].forEach(name => guard.recordCrash("f1", id<UpstreamId>(name)));
    assert.not(guard.isSuspect("f1"));
    guard.recordCrash("f1", id<UpstreamId>("u3"));
    assert.ok(guard.isSuspect("f1"));
    assert.not(guard.isSuspect("f2"));
    await clock.advance(guard.suspectMs + 1);
    assert.not(guard.isSuspect("f1"));
});

// Guards against repeatable requests that explore suspects when the extra attempts are used up: each failure is final.
test("without an extra attempt left a repeatable request goes to no suspect", async () => {
    for (let seed = 1; seed <= 60; seed++) {
        const { calls } = await play({
            results: [[answer(200)]],
            isIdempotent: true,
            savedRequests: 0,
            suspects: ["u1", "u2"],
            seed,
        });
        assert.is(calls[0]?.upstream.id, "u3");
    }
});

// Guards against further requests on a path that has been silent for as long as a whole request should take.
test("a silent upstream is passed over before its call ends", async () => {
    const { isPausedEarly } = await play({ results: [[{ kind: "timeout" }, 1_400]] });
    assert.ok(isPausedEarly);
});

test.run();
