/** Simulates a service whose upstreams fail or are slow, and instances that dispatch idempotent requests to it. */
import { id } from "@sniperoad/core";
import type { RouteId, UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { SharedOutcomes } from "../health/shared-outcomes.js";
import type { GatewayRoute } from "../model.js";
import { nameKey } from "../name-key.js";
import { CrashTracker } from "../request/crash-tracker.js";
import type { DispatchedRequest } from "../request/dispatch.js";
import type { UpstreamRequest, UpstreamResult } from "../request/ports.js";
import { UpstreamDispatcher } from "../request/upstream-dispatcher.js";
import { aloneBudget, knownUpstream, noStatement, reportsService, testRoute, zoneA } from "../testing/index.js";
import { FleetLoad } from "./fleet-load.js";
import { Hedging } from "./hedging.js";
import { UpstreamSelector } from "./upstream-selector.js";

const upstreamCount = 24;
const slots = 3;
const instanceCount = 6;
const meanWorkMs = 93;
/** The response must arrive within this multiple of the objective. */
const timeoutFactor = 2.5;
const durationMs = 60_000;
/** Time until other instances know of a failure, and of ordinary successes and loads. */
const reportMs = { failure: 60, other: 300 };

/** How upstreams fail: in gray periods, or a few that are always slow. */
export type Trouble = "gray" | "slow" | "none";

/** A simulated minute. */
export interface HedgingTrial {
    readonly trouble: Trouble;
    /** Part of the capacity that callers use. */
    readonly utilization?: number;
    readonly hedgeShare?: number | undefined;
    /** Fraction of the objective after which requests are hedged, instead of the observed quantile. */
    readonly fixedDelay?: number;
    readonly targetLatencyMs?: number;
    readonly seed?: number;
}

/** What callers and upstreams saw. */
export interface HedgingResult {
    readonly requests: number;
    readonly failed: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    readonly hedged: number;
    /** Time for which slots were in use. */
    readonly workMs: number;
}

const grayPeriodMs = 3_000;
const grayShare = 0.3;

/** Upstreams that run requests in their slots, in the order of arrival. */
class SimulatedService {
    workMs = 0;
    readonly candidates = Array.from({ length: upstreamCount }, (_, index) => knownUpstream(`u${index}`, { slots }));
    readonly #clock: VirtualClock;
    readonly #random: () => number;
    readonly #trouble: Trouble;
    readonly #running = new Map<UpstreamId, number>();
    readonly #waiting = new Map<UpstreamId, (() => void)[]>();
    readonly #grayUntilMs = new Map<UpstreamId, number>();

    constructor(clock: VirtualClock, random: () => number, trouble: Trouble) {
        this.#clock = clock;
        this.#random = random;
        this.#trouble = trouble;
        this.candidates.forEach(({ listed }) => this.#waiting.set(listed.id, []));
    }

    /** Lets upstreams turn gray so that {@link grayShare} of them are. */
    turnGray(stepMs: number): void {
        const nowMs = this.#clock.monotonicMs();
        const onset = grayShare / (1 - grayShare) * stepMs / grayPeriodMs;
        for (const { listed } of this.#trouble === "gray" ? this.candidates : []) {
            if (!this.#isGray(listed.id) && this.#random() < onset) {
                this.#grayUntilMs.set(listed.id, nowMs + grayPeriodMs);
            }
        }
    }

    call({ upstream, signal, timeoutMs: limitMs }: UpstreamRequest): Promise<UpstreamResult> {
        return new Promise(resolve => {
            const state = { hasStarted: false, isEnded: false, startedMs: 0 };
            const end = (result: UpstreamResult): void => {
                if (state.isEnded) {
                    return;
                }
                state.isEnded = true;
                if (state.hasStarted) {
                    this.workMs += this.#clock.monotonicMs() - state.startedMs;
                    this.#running.set(upstream.id, this.#running.get(upstream.id)! - 1);
                    this.#startNext(upstream.id);
                }
                resolve(result);
            };
            this.#waiting.get(upstream.id)!.push(() => {
                if (!state.isEnded) {
                    state.hasStarted = true;
                    state.startedMs = this.#clock.monotonicMs();
                    this.#running.set(upstream.id, (this.#running.get(upstream.id) ?? 0) + 1);
                    this.#run(upstream.id, end);
                }
            });
            this.#startNext(upstream.id);
            this.#clock.after(limitMs, () => end({ kind: "timeout" }));
            signal.addEventListener("abort", () => end({ kind: "cancelled" }));
        });
    }

    #run(upstream: UpstreamId, end: (result: UpstreamResult) => void): void {
        const failure = this.#isGray(upstream) && this.#random() < 0.75 ? Math.floor(this.#random() * 3) : undefined;
        // A tenth of the work is fixed, so that most requests are similar and some take long.
        const slowness = this.#trouble === "slow" && Number(upstream.slice(1)) < 3 ? 5 : 1;
        const workMs = meanWorkMs * slowness * (0.4 - 0.6 * Math.log(1 - this.#random()));
        if (failure === undefined) {
            this.#clock.after(workMs, () => end(responded(this.#random() < 0.012 ? 500 : 200)));
        }
        else if (failure < 2) {
            const broken: UpstreamResult = { kind: "broken", reason: "reset", hadHeaders: false };
            this.#clock.after(10, () => end(failure === 0 ? responded(500) : broken));
        }
    }

    #isGray(upstream: UpstreamId): boolean {
        return this.#clock.monotonicMs() < (this.#grayUntilMs.get(upstream) ?? -Infinity);
    }

    #startNext(upstream: UpstreamId): void {
        while ((this.#running.get(upstream) ?? 0) < slots && this.#waiting.get(upstream)!.length > 0) {
            this.#waiting.get(upstream)!.shift()!();
        }
    }
}

const responded = (status: number): UpstreamResult => ({
    kind: "answer",
    answer: {
        status,
        headers: [],
        body: new Uint8Array(0),
        metadata: {
            requestId: undefined,
            isNotRun: false,
            isMisdirected: false,
            isFromUpstream: true,
            isEncoded: false,
            statement: noStatement,
        },
    },
});

const routeOf = (targetLatencyMs: number): GatewayRoute =>
    testRoute({
        id: id<RouteId>("r-1"),
        isIdempotent: true,
        maxAttempts: 3,
        targetLatencyMs,
        timeoutMs: targetLatencyMs * timeoutFactor,
    });

/** An instance that dispatches requests, and tells the others of outcomes and loads. */
const createInstance = (
    index: number,
    { trial, clock, random, service, loads }: Readonly<{
        trial: HedgingTrial;
        clock: VirtualClock;
        random: () => number;
        service: SimulatedService;
        loads: Map<number, number>[];
    }>,
    share: (index: number, outcomes: SharedOutcomes) => void,
) => {
    const gray = new GrayFailureEstimator(clock);
    const paths = new PathBackoff(clock);
    const floor = { pick: () => undefined, recordUse: () => {}, recordOutcome: () => {} };
    const upstreamsOf = (key: number) =>
        service.candidates.map(({ listed }) => listed.id).filter(u => nameKey(u) === key);
    const others = () => loads.filter((_, other) => other !== index);
    const load = new FleetLoad(() => {}, {
        inFlight: key => others().reduce((sum, counts) => sum + (counts.get(key) ?? 0), 0),
        loads: () => others().map(inFlight => ({ atMs: clock.monotonicMs() - reportMs.other / 2, inFlight })),
    });
    const outcomes: SharedOutcomes = new SharedOutcomes({
        clock,
        gray,
        floor,
        ownKey: index,
        upstreamsOf,
        announce: () => void clock.after(reportMs.failure, () => share(index, outcomes)),
    });
    const retryBudget = aloneBudget(clock, { share: 0.2, burst: 168 / instanceCount, windowMs: 10_000 });
    const counts = { hedged: 0 };
    const hedging = new Hedging({
        clock,
        random,
        share: () => trial.hedgeShare,
        retryBudget,
        hasHope: (_route, leftMs) => leftMs > 40,
        hasRoom: () => true,
        onHedge: result => counts.hedged += result === "sent" ? 1 : 0,
    });
    const { fixedDelay } = trial;
    const dispatcher = new UpstreamDispatcher({
        clock,
        log: { event: () => {} },
        client: { call: request => service.call(request), closeIdle: () => {}, isDown: () => Promise.resolve(false) },
        codec: { upstreamHeaders: () => [] },
        selector: new UpstreamSelector({ zone: zoneA, clock, random, gray, paths, load, floor }),
        load,
        paths,
        outcomes,
        floor,
        meters: { recordOwn: () => {} },
        statements: { recordAnswer: () => {} },
        outages: { recordRefused: () => {}, recordAnswered: () => {} },
        retryBudget,
        candidates: () => service.candidates,
        crashes: new CrashTracker({ clock, ownKey: index, upstreamsOf, announce: () => {} }),
        hasHope: (_route, leftMs) => leftMs > 40,
        hedging: fixedDelay === undefined
            ? hedging
            : Object.assign(hedging, { delayMs: (route: GatewayRoute) => route.targetLatencyMs * fixedDelay }),
        answerTimeMs: () => meanWorkMs * 0.6,
        onAnswer: () => {},
    });
    return { dispatcher, retryBudget, outcomes, load, counts };
};

/** Plays a minute and returns what callers and upstreams saw. */
export const playHedging = async (trial: HedgingTrial): Promise<HedgingResult> => {
    const { trouble, utilization = 0.3, seed = 1, targetLatencyMs = 404 } = trial;
    const route = routeOf(targetLatencyMs);
    const clock = new VirtualClock();
    const random = seededRandom(seed);
    const service = new SimulatedService(clock, seededRandom(seed + 100), trouble);
    const loads = Array.from({ length: instanceCount }, () => new Map<number, number>());
    const share = (from: number, outcomes: SharedOutcomes): void => {
        const taken = outcomes.take();
        instances.filter((_, index) => index !== from).forEach(other => {
            other.outcomes.recordDistributed(taken.outcomes.map(({ sequence, upstream, kind }) => ({
                origin: from,
                sequence,
                upstreamKey: nameKey(upstream),
                kind,
            })));
            other.outcomes.recordSuccesses(taken.successes.map(entry => ({ ...entry, key: nameKey(entry.upstream) })));
        });
        loads[from] = new Map(instances[from]!.load.report().map(entry => [nameKey(entry.upstream), entry.count]));
    };
    const instances = loads.map((_, index) => createInstance(index, { trial, clock, random, service, loads }, share));
    const tookMs: number[] = [];
    const request = async (): Promise<void> => {
        const { dispatcher, retryBudget } = instances[Math.floor(random() * instanceCount)]!;
        const startMs = clock.monotonicMs();
        retryBudget.recordRequest(reportsService);
        const result = await dispatcher.run(dispatchedAt(startMs, route));
        tookMs.push(result.kind === "answer" && !result.isFailure ? clock.monotonicMs() - startMs : Infinity);
    };
    const perMs = utilization * upstreamCount * slots / meanWorkMs;
    for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
        service.turnGray(5);
        instances.forEach(({ outcomes }, index) =>
            (nowMs + index * 50) % reportMs.other === 0 && share(index, outcomes)
        );
        for (let left = 5 * perMs; left > 0; left--) {
            if (random() <= left) {
                void request();
            }
        }
        await clock.advance(5);
    }
    await clock.advance(2 * route.timeoutMs);
    const served = tookMs.filter(Number.isFinite).sort((one, other) => one - other);
    const quantile = (part: number): number => Math.round(served[Math.floor(part * served.length)]!);
    return {
        requests: tookMs.length,
        failed: tookMs.length - served.length,
        p99Ms: quantile(0.99),
        p999Ms: quantile(0.999),
        hedged: instances.reduce((sum, { counts }) => sum + counts.hedged, 0),
        workMs: Math.round(service.workMs),
    };
};

const dispatchedAt = (startMs: number, route: GatewayRoute): DispatchedRequest => ({
    request: {
        requestId: "r1",
        host: "h",
        method: "GET",
        target: "/reports/1",
        headers: [],
        key: undefined,
        deadlineMs: route.timeoutMs,
    },
    body: new Uint8Array(0),
    route,
    service: reportsService,
    organisation: undefined,
    fingerprint: "f1",
    rank: 0,
    deadlineAtMs: startMs + route.timeoutMs,
    signal: new AbortController().signal,
});
