/** Estimates how long upstreams work on the requests of each route. */
import type { Clock, RouteId, ServiceId } from "@sniperoad/core";

/** Time after which an answer counts half. */
const halfLifeMs = 10_000;
/** Number of answers by which the mean of the service counts, since an instance sees few answers of a route. */
const priorWeight = 3;
/** Time since the last request of a route after which its objective no longer limits the wait. */
const activeMs = 10_000;
interface RouteWork {
    readonly targetLatencyMs: number;
    answers: number;
    totalMs: number;
    updatedMs: number;
    requestedMs: number;
}

/**
 * Keeps the mean work of each route of a service, with the mean of the service as a prior, and the wait that leaves all
 * active routes of a service within their objectives. It answers for long requests with a far deadline that share
 * upstreams with short urgent ones: the wait follows from the objective of the short ones.
 *
 * @example
 * work.recordAnswer(route, 140, waitMs);
 * work.meanMs(route, service, 100); // 113
 */
export class RequestWork {
    readonly #clock: Clock;
    readonly #services = new Map<ServiceId, Map<RouteId, RouteWork>>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    recordRequest(service: ServiceId, route: RouteId, targetLatencyMs: number): void {
        this.#of(service, route, targetLatencyMs).requestedMs = this.#clock.monotonicMs();
    }

    /** Records the time from the dispatch of a request to its answer, of which `waitMs` were expected to be a wait. */
    recordAnswer(service: ServiceId, route: RouteId, tookMs: number, waitMs: number): void {
        const entry = this.#services.get(service)?.get(route);
        if (entry !== undefined) {
            this.#decay(entry);
            entry.answers += 1;
            entry.totalMs += Math.max(tookMs / 2, tookMs - waitMs);
        }
    }

    /** Mean work of a route; `serviceMs` is the mean of its service. */
    meanMs(service: ServiceId, route: RouteId, serviceMs: number): number {
        const entry = this.#services.get(service)?.get(route);
        if (entry === undefined) {
            return serviceMs;
        }
        this.#decay(entry);
        return (entry.totalMs + priorWeight * serviceMs) / (entry.answers + priorWeight);
    }

    /**
     * Mean wait at the upstreams that leaves most requests of all active routes of a service within their objectives.
     * They wait there in the order of arrival, and unevenly since loads are old: a longer mean makes many requests late,
     * a shorter one leaves slots idle.
     *
     * @param waitShare share of the tightest objective; 0.15 and 0.4 differ by 2 in 100 requests that are answered
     */
    targetWaitMs(service: ServiceId, waitShare: number): number {
        const sinceMs = this.#clock.monotonicMs() - activeMs;
        const objectives = [...this.#services.get(service)?.values() ?? []]
            .filter(({ requestedMs }) => requestedMs >= sinceMs)
            .map(({ targetLatencyMs }) => targetLatencyMs);
        return objectives.length === 0 ? 0 : waitShare * Math.min(...objectives);
    }

    /** Removes routes without requests. */
    prune(): void {
        const sinceMs = this.#clock.monotonicMs() - 6 * activeMs;
        for (const [service, routes] of this.#services) {
            [...routes].filter(([, { requestedMs }]) => requestedMs < sinceMs).forEach(([route]) =>
                routes.delete(route)
            );
            if (routes.size === 0) {
                this.#services.delete(service);
            }
        }
    }

    #of(service: ServiceId, route: RouteId, targetLatencyMs: number): RouteWork {
        const routes = this.#services.get(service) ?? new Map<RouteId, RouteWork>();
        this.#services.set(service, routes);
        const nowMs = this.#clock.monotonicMs();
        const found = routes.get(route);
        const entry = found?.targetLatencyMs === targetLatencyMs
            ? found
            : { targetLatencyMs, answers: 0, totalMs: 0, updatedMs: nowMs, requestedMs: nowMs };
        routes.set(route, entry);
        return entry;
    }

    #decay(entry: RouteWork): void {
        const nowMs = this.#clock.monotonicMs();
        const factor = 0.5 ** ((nowMs - entry.updatedMs) / halfLifeMs);
        entry.answers *= factor;
        entry.totalMs *= factor;
        entry.updatedMs = nowMs;
    }
}
