import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamResult } from "../ports.js";
import {
    allowAllClaimGate,
    allowAllCrashGuard,
    allowAllRateLimiter,
    noopLog,
    noopMetrics,
    roundRobinChooser,
    seededRandom,
    staticFleet,
    StaticMembership,
    testRoute,
    testUpstream,
    VirtualClock,
} from "../testing/index.js";
import { header } from "../types.js";
import type { CallerRequest, HttpResponse, InstanceId, KeyId, OrganisationId, RequestId } from "../types.js";
import { RequestPipeline } from "./pipeline.js";
import type { PipelineContext } from "./pipeline.js";

const successResult: UpstreamResult = {
    kind: "answer",
    draining: false,
    answer: { status: 200, headers: [["x-request-id", "u"]], body: new TextEncoder().encode("ok") },
};
const reportRoute = testRoute({ method: "POST", path: "/reports", idempotent: false });

const setUp = (results: UpstreamResult[] = [successResult], overrides: Partial<PipelineContext> = {}) => {
    const clock = new VirtualClock();
    const fleet = staticFleet(["i1"], ["z1"]);
    const sent: (readonly (readonly [string, string])[])[] = [];
    const keys = { isValid: true };
    const pipeline = new RequestPipeline({
        clock,
        random: seededRandom(1),
        sha256: () => "0".repeat(64),
        log: noopLog,
        metrics: noopMetrics,
        membership: new StaticMembership("i1" as InstanceId, fleet),
        rules: {
            authenticate: headers =>
                header(headers, "authorization") === "Bearer k1.s"
                    ? {
                        kind: "authenticated",
                        organisation: "org-1" as OrganisationId,
                        key: "k1" as KeyId,
                        headers: headers.filter(([name]) => name !== "authorization"),
                    }
                    : {
                        kind: "refused",
                        reason: header(headers, "authorization") ? "wrong-secret" : "no-key",
                        status: 401,
                        remedy: "send a key",
                    },
            isKeyValid: () => keys.isValid,
            mayUse: () => true,
            matchRoute: (method, target) =>
                target === "/reports" && method === "POST"
                    ? { kind: "route", route: reportRoute }
                    : target.startsWith("/lookup/")
                    ? { kind: "route", route: testRoute() }
                    : { kind: "not-found" },
        },
        rates: allowAllRateLimiter,
        claims: allowAllClaimGate,
        chooser: roundRobinChooser(() => [testUpstream("u1"), testUpstream("u2")]),
        crashes: allowAllCrashGuard,
        upstreams: {
            send: async (_upstream, request) => {
                sent.push(request.headers);
                return results[Math.min(sent.length, results.length) - 1]!;
            },
        },
        ...overrides,
    });
    return { pipeline, sent, fleet, keys, clock };
};

const createCall = (overrides: Partial<CallerRequest> = {}): CallerRequest => ({
    id: "r1" as RequestId,
    method: "GET",
    target: "/lookup/1?q=2",
    headers: [["authorization", "Bearer k1.s"]],
    body: new Uint8Array(0),
    signal: new AbortController().signal,
    ...overrides,
});

const outcomeOf = (response: HttpResponse) => `${response.status} ${header(response.headers, "sniperoad-outcome")}`;
const authorizationHeader = ["authorization", "Bearer k1.s"] as const;
const idempotencyKeyHeader = ["idempotency-key", "01890a5d-ac96-774b-bcce-b302099a8057"] as const;
const report = { method: "POST", target: "/reports", headers: [authorizationHeader, idempotencyKeyHeader] } as const;

// Guards against a key that reaches an upstream, and against a response without its request id.
test("the key is removed and the id added", async () => {
    const { pipeline, sent } = setUp();
    const response = await pipeline.handle(
        createCall({ headers: [authorizationHeader, ["x-api-key", "k1.s"], ["accept", "a"]] }),
    );
    assert.is(outcomeOf(response), "200 ran");
    assert.is(header(response.headers, "x-request-id"), "r1");
    assert.equal(sent[0]!.map(([name]) => name), ["accept", "x-request-id", "sniperoad-deadline-ms"]);
});

// Guards against refusals with a wrong status or a false "not run".
test("refusals have their status and outcome", async () => {
    const table: [string, Partial<CallerRequest>, string][] = [
        ["no key", { headers: [] }, "401 not-run"],
        ["wrong key", { headers: [["authorization", "Bearer x"]] }, "401 not-run"],
        [
            "wrong key, possible retry",
            { headers: [["authorization", "Bearer x"], idempotencyKeyHeader] },
            "401 unknown",
        ],
        ["no route", { target: "/nowhere" }, "404 not-run"],
        ["bad deadline", { headers: [authorizationHeader, ["sniperoad-deadline-ms", "soon"]] }, "400 not-run"],
        ["no idempotency key", { method: "POST", target: "/reports" }, "400 not-run"],
    ];
    for (const [name, request, expected] of table) {
        const { pipeline, sent } = setUp();
        assert.is(outcomeOf(await pipeline.handle(createCall(request))), expected, name);
        assert.is(sent.length, 0, name);
    }
});

// Guards against a retry of a request that may have run, and against a missing retry of one that did not.
test("results lead to a retry, a response or a refusal", async () => {
    const table: [string, UpstreamResult, Partial<CallerRequest>, string, number][] = [
        ["lookup reset", { kind: "reset" }, {}, "200 ran", 2],
        ["lookup truncated", { kind: "truncated" }, {}, "200 ran", 2],
        ["lookup crossed", { kind: "crossed" }, {}, "200 ran", 2],
        ["lookup refused", { kind: "refused" }, {}, "200 ran", 2],
        ["lookup oversize", { kind: "oversize" }, {}, "502 unknown", 1],
        ["report reset", { kind: "reset" }, report, "502 unknown", 1],
        ["report timeout", { kind: "timeout" }, report, "504 unknown", 1],
        ["report truncated", { kind: "truncated" }, report, "502 unknown", 1],
        ["report crossed", { kind: "crossed" }, report, "502 unknown", 1],
        ["report refused", { kind: "refused" }, report, "200 ran", 2],
        ["report shed", { kind: "shed", retryAfterMs: 9, draining: false }, report, "200 ran", 2],
    ];
    for (const [name, first, request, expected, dispatches] of table) {
        const { pipeline, sent } = setUp([first, successResult]);
        assert.is(outcomeOf(await pipeline.handle(createCall(request))), expected, name);
        assert.is(sent.length, dispatches, name);
    }
});

// Guards against the dispatch of a waiting request after its key was withdrawn or the instance stopped being current.
test("the key and the instance are checked right before dispatch", async () => {
    for (const [change, expected] of [["key", "401 not-run"], ["membership", "503 not-run"]] as const) {
        const late = {
            acquire: async () => {
                if (change === "key") {
                    context.keys.isValid = false;
                }
                else {
                    context.fleet.stale.add("i1" as InstanceId);
                }
                return allowAllRateLimiter.acquire("org-1" as OrganisationId, 0);
            },
        };
        const context = setUp([successResult], { rates: late });
        const response = context.pipeline.handle(createCall());
        // An instance that is not current waits a short time before it refuses the request.
        await context.clock.advance(900);
        assert.is(outcomeOf(await response), expected, change);
        assert.is(context.sent.length, 0, change);
    }
});

// Guards against a shutdown that interrupts a request or admits another one.
test("drain waits for requests and refuses new ones", async () => {
    let finish = (_result: UpstreamResult): void => {};
    const upstreams = { send: () => new Promise<UpstreamResult>(resolve => finish = resolve) };
    const { pipeline } = setUp([], { upstreams });
    const open = pipeline.handle(createCall());
    await new Promise(resolve => setImmediate(resolve));
    let isDrained = false;
    const drained = pipeline.drain().then(() => isDrained = true);
    assert.is(outcomeOf(await pipeline.handle(createCall())), "503 not-run");
    assert.not(isDrained);
    finish(successResult);
    assert.is(outcomeOf(await open), "200 ran");
    await drained;
});

test.run();
