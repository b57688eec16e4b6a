/** Keeps long and short requests of a service on different upstreams. */
import type { Clock, RouteId, ServiceId, UpstreamId } from "@sniperoad/core";
import type { GatewayRoute } from "../model.js";
import { nameKey } from "../name-key.js";
import type { KnownUpstream } from "../store/upstream-registry.js";

/** Quantile of the answer times that represents a route; a low one depends little on the load. */
const timeQuantile = 0.25;
/** Step of the estimate of the quantile, in the logarithm of the time. */
const quantileStep = 0.08;
/** Time after which an answer counts half for the share of a route. */
const halfLifeMs = 60_000;
/** Number of answers below which a route is not taken into account. */
const minAnswers = 8;
/** How much longer the requests of the long routes must take than those of the short ones. */
const minRatio = 2.5;
/** Number of upstreams below which none are kept apart. */
const minUpstreams = 4;
/** Part of their share of the work that long requests get of the upstreams; short ones need room for bursts. */
const longPart = 0.9;
/** Time for which the division of the routes is kept. */
const divisionMs = 1_000;

interface RouteTimes {
    readonly targetLatencyMs: number;
    logTime: number;
    count: number;
    updatedMs: number;
}

/** Long routes of a service, and their share of its work; none if mixing them with the others does no harm. */
interface Division {
    readonly longRoutes: ReadonlySet<RouteId>;
    readonly longShare: number;
    readonly atMs: number;
}

/**
 * Learns which routes of a service take much longer than others, and names the upstreams that the requests of a route
 * should leave to the others. A short request that waits behind a single long one misses its objective; loads from other
 * instances are too old to find an upstream without one. All instances use the same order of the upstreams, so no
 * message is needed.
 *
 * @example
 * separation.recordAnswer(service, route, 93);
 * selector.select({ candidates, avoided: separation.avoidedFor(service, route, candidates) });
 */
export class RouteSeparation {
    readonly #clock: Clock;
    readonly #services = new Map<ServiceId, Map<RouteId, RouteTimes>>();
    readonly #divisions = new Map<ServiceId, Division>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Records the time of a successful attempt. */
    recordAnswer(
        service: ServiceId,
        { id, targetLatencyMs }: Pick<GatewayRoute, "id" | "targetLatencyMs">,
        tookMs: number,
    ): void {
        const routes = this.#services.get(service) ?? new Map<RouteId, RouteTimes>();
        this.#services.set(service, routes);
        const nowMs = this.#clock.monotonicMs();
        const logTime = Math.log(Math.max(1, tookMs));
        const times = routes.get(id) ?? { targetLatencyMs, logTime, count: 0, updatedMs: nowMs };
        routes.set(id, times);
        times.logTime += quantileStep * (logTime < times.logTime ? timeQuantile - 1 : timeQuantile);
        times.count = decayedCount(times, nowMs) + 1;
        times.updatedMs = nowMs;
    }

    /** Upstreams that requests of a route should leave to the others; empty if the routes of the service are similar. */
    avoidedFor(
        service: ServiceId,
        route: Pick<GatewayRoute, "id">,
        candidates: readonly KnownUpstream[],
    ): ReadonlySet<UpstreamId> {
        const { longRoutes, longShare } = this.#division(service);
        if (longRoutes.size === 0 || candidates.length < minUpstreams) {
            return none;
        }
        const forLong = new Set(upstreamsOfShare(candidates, longShare * longPart));
        if (forLong.size === 0 || forLong.size === candidates.length) {
            return none;
        }
        const isLong = longRoutes.has(route.id);
        return new Set(candidates.map(({ listed }) => listed.id).filter(upstream => forLong.has(upstream) !== isLong));
    }

    #division(service: ServiceId): Division {
        const nowMs = this.#clock.monotonicMs();
        const found = this.#divisions.get(service);
        if (found !== undefined && nowMs - found.atMs < divisionMs) {
            return found;
        }
        const routes = [...this.#services.get(service) ?? []]
            .map(([id, times]) => ({
                id,
                targetMs: times.targetLatencyMs,
                timeMs: Math.exp(times.logTime),
                count: decayedCount(times, nowMs),
            }))
            .filter(({ count }) => count >= minAnswers)
            .sort((one, other) => one.timeMs - other.timeMs);
        const division = { ...divide(routes), atMs: nowMs };
        this.#divisions.set(service, division);
        return division;
    }
}

const none: ReadonlySet<UpstreamId> = new Set();

const decayedCount = ({ count, updatedMs }: RouteTimes, nowMs: number): number =>
    count * 0.5 ** ((nowMs - updatedMs) / halfLifeMs);

interface TimedRoute {
    readonly id: RouteId;
    readonly targetMs: number;
    readonly timeMs: number;
    readonly count: number;
}

/** Divides routes, which are sorted by time, where the time grows most. */
const divide = (routes: readonly TimedRoute[]): Omit<Division, "atMs"> => {
    const ratios = routes.slice(1).map(({ timeMs }, index) => timeMs / routes[index]!.timeMs);
    const maxRatio = Math.max(...ratios);
    const first = ratios.indexOf(maxRatio) + 1;
    const [short, long] = [routes.slice(0, first), routes.slice(first)];
    const isHarmful = short.some(({ targetMs, timeMs }) => timeMs + (long[0]?.timeMs ?? 0) > targetMs);
    if (!(maxRatio >= minRatio) || !isHarmful) {
        return { longRoutes: new Set(), longShare: 0 };
    }
    const workOf = (part: readonly TimedRoute[]): number =>
        part.reduce((sum, { count, timeMs }) => sum + count * timeMs, 0);
    return { longRoutes: new Set(long.map(({ id }) => id)), longShare: workOf(long) / workOf(routes) };
};

/** The same share of the upstreams of each zone, in an order that is the same at all instances. */
const upstreamsOfShare = (upstreams: readonly KnownUpstream[], share: number): readonly UpstreamId[] =>
    [...new Set(upstreams.map(({ listed }) => listed.zone))].flatMap(zone => {
        const ordered = upstreams.filter(({ listed }) => listed.zone === zone)
            .map(({ listed }) => listed.id)
            .sort((one, other) => nameKey(one) - nameKey(other));
        return ordered.filter((_, index) => index + 0.5 < share * ordered.length);
    });
