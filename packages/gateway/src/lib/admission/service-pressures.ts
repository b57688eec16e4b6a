/** Reviews the pressure on each service from what the instance knows of the whole fleet. */
import type { Clock, RouteId, ServiceId } from "@sniperoad/core";
import type { FleetSize } from "../rates/fleet-rate-limiter.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import { RequestWork } from "./request-work.js";
import type { ServiceLoad } from "./service-load.js";
import { ServicePressure } from "./service-pressure.js";

/** Window over which completed requests are counted. */
const completedWindowMs = 1_900;
/** Mean time that the window covers, as it slides in steps of 100 ms. */
const coveredMs = 1_950;
/** Time without requests after which the state of a service is removed. */
const idleMs = 60_000;

/** Options of {@link ServicePressures}. */
export interface ServicePressuresOptions {
    readonly clock: Clock;
    /** Load of a service from the instances that are heard; see `loadOf`. */
    readonly loadOf: (service: ServiceId) => ServiceLoad;
    /** Mean age of the reports on the loads of other instances. */
    readonly reportAgeMs: () => number;
    readonly fleetSize: () => FleetSize;
    /** See `admissionWaitShare` of the settings; with 0 nothing is estimated. */
    readonly waitShare: () => number;
    /** Called after each review. */
    readonly onReview: (service: ServiceId, pressure: Pick<ServicePressure, "level" | "waitMs">) => void;
}

/** What is expected of a request at its service. */
export interface ExpectedTimes {
    /** See `ServicePressure.level`; undefined if too little is known of the service. */
    readonly level: number | undefined;
    /** Expected wait for a slot. */
    readonly waitMs: number;
    /** Expected work; undefined if it is not known. */
    readonly workMs: number | undefined;
}

const unknownTimes: ExpectedTimes = { level: undefined, waitMs: 0, workMs: undefined };

interface ServiceState {
    readonly pressure: ServicePressure;
    readonly completed: SlidingWindowCounter;
    usedMs: number;
}

/**
 * Keeps a {@link ServicePressure} for each service that gets requests. If fewer than half of the instances are heard,
 * those that are not are taken to have as many requests as the others.
 *
 * @example
 * const { level, waitMs, workMs } = pressures.expected(service, route);
 */
export class ServicePressures {
    readonly #options: ServicePressuresOptions;
    readonly #states = new Map<ServiceId, ServiceState>();
    readonly #work: RequestWork;

    constructor(options: ServicePressuresOptions) {
        this.#options = options;
        this.#work = new RequestWork(options.clock);
    }

    /** Records a request of a caller. */
    recordRequest(service: ServiceId, route: RouteId, targetLatencyMs: number): void {
        this.#of(service).usedMs = this.#options.clock.monotonicMs();
        this.#work.recordRequest(service, route, targetLatencyMs);
    }

    /** Records requests that upstreams have answered, to any instance. */
    recordCompleted(service: ServiceId, count: number): void {
        this.#states.get(service)?.completed.add(count);
    }

    /** Records the time from the dispatch of a request of this instance to its answer. */
    recordAnswer(service: ServiceId, route: RouteId, tookMs: number): void {
        this.recordCompleted(service, 1);
        this.recordWork(service, route, tookMs);
    }

    /** The same for a request that is counted as completed elsewhere. */
    recordWork(service: ServiceId, route: RouteId, tookMs: number): void {
        this.#work.recordAnswer(service, route, tookMs, this.#states.get(service)?.pressure.waitMs ?? 0);
    }

    expected(service: ServiceId, route: RouteId): ExpectedTimes {
        if (this.#options.waitShare() <= 0) {
            return unknownTimes;
        }
        const { pressure } = this.#of(service);
        if (pressure.isDue) {
            this.#review(service);
        }
        const serviceMs = pressure.serviceTimeMs;
        return serviceMs === undefined
            ? unknownTimes
            : { level: pressure.level, waitMs: pressure.waitMs, workMs: this.#work.meanMs(service, route, serviceMs) };
    }

    /** Highest level of a service. */
    get highestLevel(): number {
        return Math.max(0, ...[...this.#states.values()].map(({ pressure }) => pressure.level));
    }

    /** Reviews all services; to be called every `pressureIntervalMs`. */
    review(): void {
        const sinceMs = this.#options.clock.monotonicMs() - idleMs;
        const isOff = this.#options.waitShare() <= 0;
        for (const [service, { usedMs }] of this.#states) {
            if (isOff || usedMs < sinceMs) {
                this.#states.delete(service);
            }
            else {
                this.#review(service);
            }
        }
        this.#work.prune();
    }

    #review(service: ServiceId): void {
        const { loadOf, reportAgeMs, fleetSize, waitShare } = this.#options;
        const { pressure, completed } = this.#of(service);
        const { live, known } = fleetSize();
        const scale = live * 2 < known ? known / live : 1;
        const { inFlight, slots, busy } = loadOf(service);
        pressure.review({
            load: { inFlight: inFlight * scale, slots, busy: Math.min(slots, busy * scale) },
            completedPerSecond: completed.total() * scale * 1_000 / coveredMs,
            reportAgeMs: reportAgeMs(),
            targetWaitMs: this.#work.targetWaitMs(service, waitShare()),
        });
        this.#options.onReview(service, pressure);
    }

    #of(service: ServiceId): ServiceState {
        const { clock } = this.#options;
        const found = this.#states.get(service);
        if (found !== undefined) {
            return found;
        }
        const created = {
            pressure: new ServicePressure(clock),
            completed: new SlidingWindowCounter(clock, completedWindowMs),
            usedMs: clock.monotonicMs(),
        };
        this.#states.set(service, created);
        return created;
    }
}
