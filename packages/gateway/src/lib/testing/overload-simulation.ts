/** Plays callers against the admission decisions of all instances of a fleet, on a virtual clock. */
import type { Clock, OrganisationId, Random, RouteId, UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { loadOf } from "../admission/service-load.js";
import type { ServiceLoad } from "../admission/service-load.js";
import { FleetLoad } from "../balance/fleet-load.js";
import { UpstreamSelector } from "../balance/upstream-selector.js";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import { knownUpstream, zoneA } from "./fixtures.js";
import { OracleQueue } from "./oracle-queue.js";
import { ReportedLoads, SimulatedUpstreams } from "./simulated-service.js";
import type { ReportDelays, SimulatedFaults, UpstreamEnd } from "./simulated-service.js";

/** A route of the service. */
export interface SimulatedRoute {
    readonly id: RouteId;
    readonly rank: number;
    readonly workMs: number;
    readonly targetLatencyMs: number;
    readonly deadlineMs: number;
    readonly requestsPerSecond: (nowMs: number) => number;
}

/** A sender of an equal part of the requests of each route. */
export interface SimulatedOrganisation {
    readonly id: OrganisationId;
    readonly declaredPerSecond: number;
    /** Its requests as a multiple of the usual number. */
    readonly factor: (nowMs: number) => number;
}

/** A load on one service. */
export interface SimulatedLoad {
    readonly name: string;
    readonly instances: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly routes: readonly SimulatedRoute[];
    readonly organisations: readonly SimulatedOrganisation[];
    readonly durationMs: number;
    readonly faults?: SimulatedFaults;
    /** Share of the callers that return after {@link impatientRetryMs}, whatever they are told. */
    readonly impatientShare?: number;
    readonly reports?: ReportDelays;
    /** Whether instances know the age of the loads, take them for the present ones, or do not know them. */
    readonly reportKind?: "dated" | "undated" | "none";
    /** Part of the work that does not vary; the rest is distributed exponentially. */
    readonly fixedWorkShare?: number;
    readonly maxAttempts?: number;
    readonly seed?: number;
}

/** A request for which an instance decides. */
export interface SimulatedCall {
    /** Unique name of the request; its repetitions have the same one. */
    readonly name: string;
    readonly route: SimulatedRoute;
    readonly organisation: SimulatedOrganisation;
    readonly workMs: number;
    readonly deadlineAtMs: number;
    readonly objectiveAtMs: number;
}

/** A decision of an instance; one that waits is made later. */
export type SimulatedVerdict = "admit" | { readonly retryAfterMs: number | undefined; };

/** The decisions of one instance. */
export interface SimulatedDecisions {
    readonly decide: (call: SimulatedCall) => SimulatedVerdict | Promise<SimulatedVerdict>;
    /** When the caller of a request that upstreams rejected may return. */
    readonly retryAfterMs: (call: SimulatedCall) => number | undefined;
    readonly onAnswer: (call: SimulatedCall, tookMs: number) => void;
}

/** What an instance knows. */
export interface InstanceContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly load: SimulatedLoad;
    /** Load of the service as reported. */
    readonly serviceLoad: () => ServiceLoad;
    /** Age of the reports. */
    readonly reportAgeMs: () => number;
    /** Requests of the service that all instances completed, ever, as reported. */
    readonly completed: () => number;
    /** Requests per second of an organisation at all instances, as reported. */
    readonly offeredPerSecond: (organisation: OrganisationId) => number;
}

/** How the requests of all instances are decided: by each instance, or by one queue that knows all upstreams. */
export type Policy = "oracle" | ((context: InstanceContext) => SimulatedDecisions);

/** What callers got, for one route and organisation. */
export interface Served {
    readonly route: RouteId;
    readonly organisation: OrganisationId;
    asked: number;
    inTime: number;
    late: number;
    /** Rejected for good. */
    refused: number;
    /** Admitted, but without an answer before the deadline. */
    lost: number;
    /** Times that a caller was told to return while it had time left, and did. */
    told: number;
}

/** Time after which impatient callers return. */
const impatientRetryMs = 20;
/** Part of the remaining time for which callers wait at most. */
const maxWaitShare = 1 / 3;
/** Extra attempts of all instances in a window, as in the requirements. */
const retryBudget = { share: 0.2, burst: 62, windowMs: 10_000 };
const offeredWindowMs = 600;
const stepMs = 5;

const defaultReports: ReportDelays = { ageMs: 250, intervalMs: 650 };

/** Sends requests to simulated upstreams as the dispatcher does, with the retries that the budget allows. */
class SimulatedDispatch {
    readonly upstreams: SimulatedUpstreams;
    readonly reported: ReportedLoads;
    readonly #load: SimulatedLoad;
    readonly #clock: VirtualClock;
    readonly #candidates: readonly KnownUpstream[];
    readonly #selector: UpstreamSelector;
    readonly #fleetLoad: FleetLoad;
    readonly #requests: SlidingWindowCounter;
    readonly #extra: SlidingWindowCounter;
    #cached: { readonly forAtMs: number; readonly untilMs: number; readonly load: ServiceLoad; } | undefined;

    constructor(load: SimulatedLoad, clock: VirtualClock, random: Random) {
        this.#load = load;
        this.#clock = clock;
        this.#candidates = Array.from(
            { length: load.upstreams },
            (_, index) => knownUpstream(`u${index}`, { slots: load.slots }),
        );
        const ids = this.#candidates.map(({ listed }) => listed.id);
        this.upstreams = new SimulatedUpstreams({ clock, random, ids, slots: load.slots, faults: load.faults ?? {} });
        const reported = new ReportedLoads(clock, load.reports ?? defaultReports, () => this.upstreams.completed);
        this.reported = reported;
        const kind = load.reportKind ?? "dated";
        this.#fleetLoad = new FleetLoad(() => {}, {
            inFlight: key => kind === "none" ? 0 : reported.latest.inFlight.get(key) ?? 0,
            loads: () =>
                kind === "none"
                    ? []
                    : [{ ...reported.latest, ...kind === "undated" ? { atMs: clock.monotonicMs() } : {} }],
        });
        const [gray, paths] = [new GrayFailureEstimator(clock), new PathBackoff(clock)];
        const floor = { pick: () => undefined };
        this.#selector = new UpstreamSelector({
            zone: zoneA,
            clock,
            random,
            gray,
            paths,
            load: this.#fleetLoad,
            floor,
        });
        this.#requests = new SlidingWindowCounter(clock, retryBudget.windowMs);
        this.#extra = new SlidingWindowCounter(clock, retryBudget.windowMs);
    }

    /** Load of the service as reported, calculated again for each report and each second of faults. */
    serviceLoad(): ServiceLoad {
        const nowMs = this.#clock.monotonicMs();
        const { atMs } = this.reported.latest;
        if (this.#cached === undefined || this.#cached.forAtMs !== atMs || this.#cached.untilMs <= nowMs) {
            const load = loadOf(this.#present(), {
                inFlight: upstream => this.#fleetLoad.inFlight(upstream),
                grayProbability: () => 0,
                isBackingOff: () => false,
                limitPerSecond: () => undefined,
                answerTimeMs: undefined,
            }, this.#clock);
            this.#cached = { forAtMs: atMs, untilMs: nowMs + 100, load };
        }
        return this.#cached.load;
    }

    async run(call: SimulatedCall): Promise<UpstreamEnd> {
        this.#requests.add(1);
        const tried = new Set<UpstreamId>();
        for (let attempt = 1;; attempt++) {
            const selection = this.#selector.select({
                candidates: this.#present(),
                tried,
                isRepeatable: false,
                answerTimeMs: -Math.log(0.75) * call.route.workMs,
            });
            if (selection === undefined) {
                return "not-run";
            }
            const { id } = selection.upstream.listed;
            tried.add(id);
            this.reported.change(id, 1);
            const end = await this.upstreams.run(id, call.workMs, call.deadlineAtMs);
            this.reported.change(id, -1);
            if (end !== "not-run" || attempt >= (this.#load.maxAttempts ?? 1) || !this.#tryRetry()) {
                return end;
            }
        }
    }

    #present(): readonly KnownUpstream[] {
        return this.#load.faults?.isGone === undefined
            ? this.#candidates
            : this.#candidates.filter(({ listed }) => !this.upstreams.isGone(listed.id));
    }

    #tryRetry(): boolean {
        const isAllowed = this.#extra.total() < this.#requests.total() * retryBudget.share + retryBudget.burst;
        this.#extra.add(isAllowed ? 1 : 0);
        return isAllowed;
    }
}

/** Requests that each organisation sent lately. */
const offeredBy = (clock: Clock, { organisations }: SimulatedLoad, reports: ReportDelays) => {
    const counters = new Map(organisations.map(({ id }) => [id, new SlidingWindowCounter(clock, offeredWindowMs)]));
    let reported = new Map<OrganisationId, number>();
    const publish = (): void => {
        const totals = new Map([...counters].map(([id, counter]) => [id, counter.total()]));
        clock.after(reports.ageMs, () => reported = totals);
        clock.after(reports.intervalMs, publish);
    };
    publish();
    return {
        add: (organisation: OrganisationId) => counters.get(organisation)!.add(1),
        perSecond: (organisation: OrganisationId) => (reported.get(organisation) ?? 0) * 1_000 / offeredWindowMs,
    };
};

/** Returns what one request gets: how it ended, or when its caller may return. */
type Handle = (call: SimulatedCall) => Promise<"answer" | "failed" | { readonly retryAfterMs: number | undefined; }>;

const createHandle = (load: SimulatedLoad, policy: Policy, clock: VirtualClock, random: Random) => {
    const dispatch = new SimulatedDispatch(load, clock, random);
    const offered = offeredBy(clock, load, load.reports ?? defaultReports);
    if (policy === "oracle") {
        const oracle = new OracleQueue(clock, dispatch.upstreams);
        return { offered, handle: (call => oracle.handle(call)) satisfies Handle as Handle };
    }
    const context: InstanceContext = {
        clock,
        random,
        load,
        serviceLoad: () => dispatch.serviceLoad(),
        reportAgeMs: () => clock.monotonicMs() - dispatch.reported.latest.atMs,
        completed: () => dispatch.reported.completed,
        offeredPerSecond: organisation => offered.perSecond(organisation),
    };
    const instances = Array.from({ length: load.instances }, () => policy(context));
    const handle: Handle = async call => {
        const instance = instances[Math.floor(random() * instances.length)]!;
        const verdict = await instance.decide(call);
        if (verdict !== "admit") {
            return verdict;
        }
        const startMs = clock.monotonicMs();
        const end = await dispatch.run(call);
        if (end === "answer") {
            instance.onAnswer(call, clock.monotonicMs() - startMs);
        }
        return end === "not-run" ? { retryAfterMs: instance.retryAfterMs(call) } : end;
    };
    return { offered, handle };
};

/**
 * Plays a load.
 *
 * @example
 * const served = await playOverload(burst, formerDecisions);
 */
export const playOverload = async (load: SimulatedLoad, policy: Policy): Promise<readonly Served[]> => {
    const clock = new VirtualClock();
    const [random, arrivals] = [seededRandom(load.seed ?? 11), seededRandom((load.seed ?? 11) + 1)];
    const { offered, handle } = createHandle(load, policy, clock, random);
    const served = new Map<string, Served>();
    const entryOf = (route: RouteId, organisation: OrganisationId): Served => {
        const key = `${route} ${organisation}`;
        const created = { route, organisation, asked: 0, inTime: 0, late: 0, refused: 0, lost: 0, told: 0 };
        const entry = served.get(key) ?? created;
        served.set(key, entry);
        return entry;
    };
    let called = 0;
    const fixed = load.fixedWorkShare ?? 0.5;
    const call = async (route: SimulatedRoute, organisation: SimulatedOrganisation): Promise<void> => {
        const sinceMs = clock.monotonicMs();
        const request: SimulatedCall = {
            name: `request ${++called}`,
            route,
            organisation,
            workMs: route.workMs * (fixed - (1 - fixed) * Math.log(1 - arrivals())),
            deadlineAtMs: sinceMs + route.deadlineMs,
            objectiveAtMs: sinceMs + route.targetLatencyMs,
        };
        const isImpatient = arrivals() < (load.impatientShare ?? 0);
        const entry = entryOf(route.id, organisation.id);
        entry.asked++;
        for (;;) {
            offered.add(organisation.id);
            const result = await handle(request);
            const nowMs = clock.monotonicMs();
            if (result === "answer" || result === "failed") {
                const isInTime = nowMs <= request.objectiveAtMs;
                entry[result === "failed" || nowMs > request.deadlineAtMs ? "lost" : isInTime ? "inTime" : "late"]++;
                return;
            }
            const leftMs = request.deadlineAtMs - nowMs;
            const waitMs = isImpatient ? impatientRetryMs : result.retryAfterMs ?? Infinity;
            if (waitMs >= leftMs || !isImpatient && waitMs > leftMs * maxWaitShare + 1) {
                entry.refused++;
                return;
            }
            entry.told++;
            await new Promise<void>(resolve => clock.after(waitMs, resolve));
        }
    };
    const arrive = (nowMs: number): void => {
        for (const route of load.routes) {
            for (const organisation of load.organisations) {
                const expected = route.requestsPerSecond(nowMs) * organisation.factor(nowMs) / load.organisations.length
                    * stepMs / 1_000;
                for (let left = expected; left > 0; left--) {
                    if (arrivals() <= left) {
                        void call(route, organisation);
                    }
                }
            }
        }
    };
    for (let nowMs = 0; nowMs < load.durationMs; nowMs += stepMs) {
        arrive(nowMs);
        await clock.advance(stepMs);
    }
    await clock.advance(Math.max(...load.routes.map(({ deadlineMs }) => deadlineMs)) + 1_000);
    return [...served.values()];
};
