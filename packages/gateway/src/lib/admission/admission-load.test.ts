import { id } from "@sniperoad/core";
import type { RouteId, UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetLoad } from "../balance/fleet-load.js";
import { UpstreamSelector } from "../balance/upstream-selector.js";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { nameKey } from "../name-key.js";
import { knownUpstream, zoneA } from "../testing/index.js";
import { Admission } from "./admission.js";
import type { AdmissionRequest } from "./admission.js";
import { AnswerTimes } from "./answer-times.js";
import { utilizationOf } from "./service-load.js";

const upstreamCount = 16;
const meanWorkMs = 200;
/** Lower quartile of the exponentially distributed work. */
const lowerQuartileMs = -Math.log(0.75) * meanWorkMs;
/** Requests beyond its slots that an upstream accepts. */
const upstreamQueue = 12;
const targetLatencyMs = 600;
const deadlineMs = 4_000;
const instanceCount = 44;
/** Age of what an instance knows of the requests of the others. */
const loadDelayMs = 250;
/** Retry delay without a decision on it. */
const fixedRetryMs = 250;
const stepMs = 5;

interface Load {
    readonly requestsPerSecond: (nowMs: number) => number;
    readonly durationMs: number;
    /** Whether requests are admitted without a decision. */
    readonly isUnlimited?: boolean;
    /** Whether instances know the loads with their age, take them for the present ones, or do not know them. */
    readonly reports?: "dated" | "undated" | "none";
}

/** What callers got, by rank. */
interface Served {
    asked: number;
    inTime: number;
    late: number;
    notServed: number;
}

/** One service's upstreams, which run requests in their slots and refuse those for which their queue is full. */
class SimulatedUpstreams {
    readonly #clock: VirtualClock;
    readonly #slots: number;
    readonly #running = new Map<UpstreamId, number>();
    readonly #waiting = new Map<UpstreamId, (() => void)[]>();

    constructor(clock: VirtualClock, slots: number) {
        this.#clock = clock;
        this.#slots = slots;
    }

    /** Runs a request; resolves with whether it ran. */
    run(upstream: UpstreamId, workMs: number): Promise<boolean> {
        const waiting = this.#waiting.get(upstream) ?? [];
        this.#waiting.set(upstream, waiting);
        if (waiting.length >= upstreamQueue) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            waiting.push(() => {
                this.#running.set(upstream, (this.#running.get(upstream) ?? 0) + 1);
                this.#clock.after(workMs, () => {
                    this.#running.set(upstream, this.#running.get(upstream)! - 1);
                    resolve(true);
                    this.#start(upstream);
                });
            });
            this.#start(upstream);
        });
    }

    #start(upstream: UpstreamId): void {
        if ((this.#running.get(upstream) ?? 0) < this.#slots) {
            this.#waiting.get(upstream)?.shift()?.();
        }
    }
}

/** An instance's decisions, with what it knows of the others' requests. */
const setUp = ({ isUnlimited = false, reports = "dated" }: Load) => {
    const clock = new VirtualClock();
    const random = seededRandom(11);
    const candidates = Array.from({ length: upstreamCount }, (_, index) => knownUpstream(`u${index}`));
    /** Requests in flight from all instances, as of {@link loadDelayMs} ago. */
    const inFlight = new Map<number, number>();
    const load = new FleetLoad(() => {}, {
        inFlight: key => inFlight.get(key) ?? 0,
        loads: () => [{ atMs: clock.monotonicMs() - (reports === "dated" ? loadDelayMs : 0), inFlight }],
    });
    const report = (upstream: UpstreamId, change: number) =>
        clock.after(reports === "none" ? Infinity : loadDelayMs, () => {
            inFlight.set(nameKey(upstream), (inFlight.get(nameKey(upstream)) ?? 0) + change);
        });
    const gray = new GrayFailureEstimator(clock);
    const paths = new PathBackoff(clock);
    const selector = new UpstreamSelector({
        zone: zoneA,
        clock,
        random,
        gray,
        paths,
        load,
        floor: { pick: () => undefined },
    });
    const instances = Array.from({ length: instanceCount }, () => {
        const times = new AnswerTimes<RouteId>(clock);
        const shareWithin = (route: RouteId, limitMs: number) => times.shareWithin(route, limitMs);
        return { times, admission: new Admission({ random, shareWithin }) };
    });
    const upstreams = new SimulatedUpstreams(clock, candidates[0]!.listed.slots);
    const state = {
        inFlight: (u: UpstreamId) => load.inFlight(u),
        grayProbability: () => 0,
        isBackingOff: () => false,
        limitPerSecond: () => undefined,
        answerTimeMs: undefined,
    };

    /** Returns 0 for an answer, otherwise when the caller may return, or undefined. */
    const attempt = async (rank: number, leftMs: number): Promise<number | undefined> => {
        const { times, admission } = instances[Math.floor(random() * instanceCount)]!;
        const request: AdmissionRequest = {
            route: id<RouteId>(`r${rank}`),
            targetLatencyMs,
            priority: rank,
            leftMs,
            utilization: utilizationOf(candidates, state, clock),
        };
        const decision = isUnlimited ? { kind: "admit" as const } : admission.decide(request);
        if (decision.kind === "reject") {
            return decision.retryAfterMs;
        }
        const selection = {
            candidates,
            tried: new Set<UpstreamId>(),
            isRepeatable: false,
            answerTimeMs: lowerQuartileMs,
        };
        const upstream = selector.select(selection)!.upstream.listed.id;
        const startMs = clock.monotonicMs();
        report(upstream, 1);
        const hasRun = await upstreams.run(upstream, -Math.log(1 - random()) * meanWorkMs);
        report(upstream, -1);
        if (hasRun) {
            times.record(request.route, clock.monotonicMs() - startMs);
            return 0;
        }
        return isUnlimited ? fixedRetryMs : admission.retryAfterMs(request);
    };
    return { clock, random, attempt };
};

const play = async (load: Load): Promise<readonly Served[]> => {
    const { clock, random, attempt } = setUp(load);
    const served: Served[] = [0, 1, 2].map(() => ({ asked: 0, inTime: 0, late: 0, notServed: 0 }));
    const call = async (rank: number): Promise<void> => {
        const sinceMs = clock.monotonicMs();
        const entry = served[rank]!;
        entry.asked++;
        for (;;) {
            const retryAfterMs = await attempt(rank, sinceMs + deadlineMs - clock.monotonicMs());
            const tookMs = clock.monotonicMs() - sinceMs;
            if (retryAfterMs === 0 && tookMs <= deadlineMs) {
                entry[tookMs <= targetLatencyMs ? "inTime" : "late"]++;
                return;
            }
            if (retryAfterMs === undefined || retryAfterMs === 0 || tookMs + retryAfterMs >= deadlineMs) {
                entry.notServed++;
                return;
            }
            await new Promise<void>(resolve => clock.after(retryAfterMs, resolve));
        }
    };
    for (let nowMs = 0; nowMs < load.durationMs; nowMs += stepMs) {
        for (let left = load.requestsPerSecond(nowMs) * stepMs / 1_000; left > 0; left--) {
            if (random() <= left) {
                void call(Math.floor(random() * 3));
            }
        }
        await clock.advance(stepMs);
    }
    await clock.advance(deadlineMs + 10_000);
    return served;
};

const capacityPerSecond = upstreamCount * knownUpstream("u0").listed.slots * 1_000 / meanWorkMs;
const burst = (nowMs: number): number => capacityPerSecond * (nowMs >= 2_000 && nowMs < 8_000 ? 1.7 : 0.6);
const total = (served: readonly Served[], key: keyof Served): number =>
    served.reduce((sum, entry) => sum + entry[key], 0);

// Guards against a burst in which nearly all requests are answered after their objective, since all of them wait.
test("in a burst of 1.7 times the capacity more requests meet their objective than without admission", async () => {
    const [limited, unlimited] = await Promise.all([
        play({ requestsPerSecond: burst, durationMs: 10_000 }),
        play({ requestsPerSecond: burst, durationMs: 10_000, isUnlimited: true }),
    ]);
    const text = JSON.stringify({ limited, unlimited });
    assert.ok(total(limited, "inTime") >= 1.15 * total(unlimited, "inTime"), text);
    // The most urgent requests are served more often, and the least urgent ones are not starved.
    const shares = limited.map(({ asked, inTime }) => inTime / asked);
    assert.ok(shares[0]! >= shares[1]! && shares[1]! >= shares[2]! && shares[2]! >= 0.25 * shares[0]!, text);
});

// Guards against refusals while the service has room for all requests.
test("at 0.8 of the capacity no request is rejected", async () => {
    const served = await play({ requestsPerSecond: () => 0.8 * capacityPerSecond, durationMs: 8_000 });
    assert.is(total(served, "notServed"), 0);
});

// Guards against instances that all choose the upstreams which were idle when the loads were reported.
for (const share of [0.6, 0.8, 1]) {
    test(`at ${share} of the capacity old loads place better than no loads, and than loads taken for new`, async () => {
        const load = { requestsPerSecond: () => share * capacityPerSecond, durationMs: 8_000, isUnlimited: true };
        const [dated, undated, none] = await Promise.all([
            play(load),
            play({ ...load, reports: "undated" }),
            play({ ...load, reports: "none" }),
        ]);
        const text = JSON.stringify({ dated, undated, none });
        assert.ok(total(dated, "inTime") > total(undated, "inTime"), text);
        assert.ok(total(dated, "inTime") > total(none, "inTime"), text);
    });
}

test.run();
