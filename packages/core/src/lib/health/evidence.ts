/** Pooled evidence about the upstreams of one service. */
import type { InstanceId, RouteId, UpstreamId, ZoneId } from "../types.js";
import type { DigestEntry } from "./messages.js";

/** Exponentially decaying counts, which are therefore not whole numbers. */
export interface Sample {
    /** Responses with a latency, and the sum of their latencies. */
    latencyCount: number;
    latencySumMs: number;
    /** The same with a shorter half-life, to show early whether a new fault affects only some routes. */
    recentLatencyCount: number;
    recentLatencySumMs: number;
    answered: number;
    failed: number;
}

/** Source of evidence. A verdict needs more than one zone, or more than one instance in a fleet of one zone. */
export interface Observer {
    readonly instance: InstanceId;
    readonly zone: ZoneId;
}

/** Requests in flight from one observer to one upstream on one route. */
export interface InFlight {
    readonly observer: Observer;
    readonly upstream: UpstreamId;
    readonly route: RouteId;
    readonly agesMs: readonly number[];
}

/** Evidence about one upstream on one route, by group of observers. */
export type SamplesByGroup = Map<string, Sample>;

/**
 * Half-lives of evidence. Latency decays sooner, because old fast responses would mask a new slowdown. Failures decay
 * later, because a single route has few of them.
 */
export interface HalfLives {
    readonly latencyMs: number;
    readonly recentMs: number;
    readonly failureMs: number;
}

/**
 * Minimum interval between decays. Digests arrive much more often than decay matters, and each decay visits every
 * sample.
 */
const minDecayIntervalMs = 50;

/** Time without a digest, several digest intervals, after which the requests in flight of an observer are discarded. */
const inFlightTtlMs = 1_000;

export const emptySample = (): Sample => ({
    latencyCount: 0,
    latencySumMs: 0,
    recentLatencyCount: 0,
    recentLatencySumMs: 0,
    answered: 0,
    failed: 0,
});

/**
 * Pools the digests of all observers with exponential decay.
 *
 * @example
 * evidence.add(observer, entries, nowMs);
 */
export class Evidence {
    readonly #halfLives: HalfLives;
    readonly #samples = new Map<UpstreamId, Map<RouteId, SamplesByGroup>>();
    readonly #inFlight = new Map<InstanceId, { readonly atMs: number; readonly entries: readonly InFlight[]; }>();
    #decayedAtMs: number;
    readonly #groupOf: (observer: Observer) => string;

    constructor(halfLives: HalfLives, nowMs: number, groupOf: (observer: Observer) => string) {
        this.#halfLives = halfLives;
        this.#decayedAtMs = nowMs;
        this.#groupOf = groupOf;
    }

    /** Adds the counts of a digest, and replaces the requests in flight of its observer. */
    add(observer: Observer, entries: readonly DigestEntry[], nowMs: number): void {
        this.decay(nowMs);
        for (const entry of entries) {
            const sample = this.#sample(entry.upstream, entry.route, this.#groupOf(observer));
            sample.latencyCount += entry.succeeded;
            sample.latencySumMs += entry.latencySumMs;
            sample.recentLatencyCount += entry.succeeded;
            sample.recentLatencySumMs += entry.latencySumMs;
            sample.answered += entry.succeeded + entry.failed + entry.wrong;
            sample.failed += entry.failed + entry.wrong;
        }
        const inFlight = entries.filter(entry => entry.agesMs.length > 0)
            .map(({ upstream, route, agesMs }) => ({ observer, upstream, route, agesMs }));
        this.#inFlight.set(observer.instance, { atMs: nowMs, entries: inFlight });
    }

    /**
     * Discards the evidence about an upstream on one route or on all, so that its return is judged by new requests
     * only.
     */
    discard(upstream: UpstreamId, route: RouteId | undefined): void {
        if (route === undefined) {
            this.#samples.delete(upstream);
        }
        else {
            this.#samples.get(upstream)?.delete(route);
        }
    }

    decay(nowMs: number): void {
        if (nowMs - this.#decayedAtMs < minDecayIntervalMs) {
            return;
        }
        const latencyFactor = 0.5 ** ((nowMs - this.#decayedAtMs) / this.#halfLives.latencyMs);
        const recentFactor = 0.5 ** ((nowMs - this.#decayedAtMs) / this.#halfLives.recentMs);
        const failureFactor = 0.5 ** ((nowMs - this.#decayedAtMs) / this.#halfLives.failureMs);
        this.#decayedAtMs = nowMs;
        for (const routes of this.#samples.values()) {
            for (const groups of routes.values()) {
                for (const [group, sample] of groups) {
                    sample.latencyCount *= latencyFactor;
                    sample.latencySumMs *= latencyFactor;
                    sample.recentLatencyCount *= recentFactor;
                    sample.recentLatencySumMs *= recentFactor;
                    sample.answered *= failureFactor;
                    sample.failed *= failureFactor;
                    // Removes samples whose counts have decayed to almost nothing, so that memory does not grow.
                    if (sample.latencyCount + sample.answered < 0.01) {
                        groups.delete(group);
                    }
                }
            }
        }
        for (const [instance, { atMs }] of this.#inFlight) {
            if (nowMs - atMs > inFlightTtlMs) {
                this.#inFlight.delete(instance);
            }
        }
    }

    samples(): ReadonlyMap<UpstreamId, ReadonlyMap<RouteId, SamplesByGroup>> {
        return this.#samples;
    }

    inFlight(): readonly InFlight[] {
        return [...this.#inFlight.values()].flatMap(({ entries }) => entries);
    }

    groupOf(observer: Observer): string {
        return this.#groupOf(observer);
    }

    #sample(upstream: UpstreamId, route: RouteId, group: string): Sample {
        const routes = this.#samples.get(upstream) ?? new Map<RouteId, SamplesByGroup>();
        this.#samples.set(upstream, routes);
        const groups = routes.get(route) ?? new Map<string, Sample>();
        routes.set(route, groups);
        const sample = groups.get(group) ?? emptySample();
        groups.set(group, sample);
        return sample;
    }
}
