import { id } from "@sniperoad/core";
import type { RouteId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { reportsService } from "../testing/index.js";
import { playHedging } from "./hedging-service.fixture.js";
import type { HedgingResult, HedgingTrial } from "./hedging-service.fixture.js";
import { Hedging } from "./hedging.js";
import type { HedgeRequest, HedgingOptions } from "./hedging.js";

const route = { id: id<RouteId>("r-1"), targetLatencyMs: 400, maxAttempts: 3 };
const slowRequest: HedgeRequest = {
    route,
    service: reportsService,
    rank: 0,
    leftMs: 500,
    sent: 1,
    hasUpstream: true,
};

const setUp = (overrides: Partial<HedgingOptions> = {}) => {
    const clock = new VirtualClock();
    const denied: string[] = [];
    const hedging = new Hedging({
        clock,
        random: seededRandom(5),
        share: () => undefined,
        retryBudget: { tryAcquire: () => true },
        hasHope: (_route, leftMs) => leftMs >= 100,
        hasRoom: () => true,
        onDenied: reason => denied.push(reason),
        ...overrides,
    });
    return { clock, hedging, denied };
};

// Guards against a delay that leaves no time for a second response, or hedges most requests.
test("the delay is the route's usual time, within bounds of its objective", () => {
    const { hedging } = setUp();
    assert.is(Math.round(hedging.delayMs(route)), 220);
    for (const [tookMs, delayMs] of [[1, 40], [100, 114], [900, 220]] as const) {
        const fresh = setUp().hedging;
        Array.from({ length: 100 }, () => fresh.recordAttempt(route.id, tookMs));
        assert.is(Math.round(fresh.delayMs(route)), delayMs);
    }
});

// Guards against hedged requests that cannot help their caller, or harm others.
test("a request is not hedged without need, room, time, share or budget", () => {
    const reasons = [
        [{}, { sent: 3 }],
        [{}, { leftMs: 50 }],
        [{ hasRoom: () => false }, {}],
        [{}, { hasUpstream: false }],
        [{ share: () => 0 }, {}],
        [{ retryBudget: { tryAcquire: () => false } }, {}],
    ] as const;
    const denied = reasons.map(([overrides, request]) => {
        const { hedging, denied: found } = setUp(overrides);
        assert.not(hedging.tryHedge({ ...slowRequest, ...request }));
        return found[0];
    });
    assert.equal(denied, ["attempts", "deadline", "no-room", "no-upstream", "share", "budget"]);
});

// Guards against a share that instances with few requests never reach, or all exceed.
test("hedged requests stay at their share of the requests, also at many instances with few of them", async () => {
    const { clock } = setUp();
    const random = seededRandom(7);
    const instances = Array.from({ length: 100 }, () => setUp({ clock, random, share: () => 0.02 }).hedging);
    let [requests, hedged] = [0, 0];
    for (let nowMs = 0; nowMs < 40_000; nowMs += 50) {
        for (const hedging of instances) {
            if (random() < 0.05) {
                requests++;
                hedging.recordRequest(reportsService);
                hedged += hedging.tryHedge(slowRequest) ? 1 : 0;
            }
        }
        await clock.advance(50);
    }
    assert.ok(hedged > 0.01 * requests && hedged <= 0.022 * requests, `${hedged} of ${requests}`);
});

const compare = async (trial: HedgingTrial): Promise<readonly HedgingResult[]> =>
    Promise.all([playHedging({ ...trial, hedgeShare: 0 }), playHedging(trial)]);

// Guards against hedged requests that do not help callers of upstreams that hang for 3 s at a time.
test("with gray upstreams hedged requests save failures and the slowest responses, and waste no work", async () => {
    const [without, hedged] = await compare({ trouble: "gray" }) as [HedgingResult, HedgingResult];
    const text = JSON.stringify({ without, hedged });
    assert.ok(hedged.failed <= 0.5 * without.failed, text);
    assert.ok(hedged.p999Ms <= 0.8 * without.p999Ms, text);
    assert.ok(hedged.workMs <= 1.05 * without.workMs, text);
});

// Guards against callers that wait for the few slow upstreams of a service.
test("with a few slow upstreams hedged requests shorten the slowest responses", async () => {
    const [without, hedged] = await compare({ trouble: "slow" }) as [HedgingResult, HedgingResult];
    const text = JSON.stringify({ without, hedged });
    assert.ok(hedged.p99Ms <= 0.7 * without.p99Ms && hedged.p999Ms <= 0.7 * without.p999Ms, text);
    assert.ok(hedged.workMs <= 1.05 * without.workMs, text);
});

// Guards against extra work for a service that needs none.
test("without trouble hedged requests cost little work", async () => {
    const [without, hedged] = await compare({ trouble: "none" }) as [HedgingResult, HedgingResult];
    const text = JSON.stringify({ without, hedged });
    assert.ok(hedged.workMs <= 1.05 * without.workMs && hedged.p999Ms <= without.p999Ms, text);
});

test.run();
