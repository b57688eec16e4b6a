/** Results of the upstreams of one service at one instance. */
import { match } from "ts-pattern";
import type { UpstreamResult } from "../ports.js";
import type { RouteId, UpstreamId } from "../types.js";
import type { DigestEntry } from "./messages.js";
import type { HealthSettings } from "./settings.js";

type OutcomeKind = "succeeded" | "failed" | "wrong" | "shed" | "ignored";

/** Classifies a result by what it shows about the upstream. */
export const classifyResult = (result: UpstreamResult): OutcomeKind =>
    match(result)
        .with({ kind: "answer" }, ({ answer }) => answer.status >= 500 ? "failed" as const : "succeeded" as const)
        .with({ kind: "refused" }, { kind: "reset" }, { kind: "timeout" }, () => "failed" as const)
        .with({ kind: "truncated" }, { kind: "crossed" }, () => "wrong" as const)
        .with({ kind: "shed" }, () => "shed" as const)
        // The caller disconnected, or the response was complete but above the size limit: neither is a fault of the
        // upstream.
        .with({ kind: "cancelled" }, { kind: "oversize" }, () => "ignored" as const)
        .exhaustive();

interface Counters {
    readonly upstream: UpstreamId;
    readonly route: RouteId;
    succeeded: number;
    failed: number;
    wrong: number;
    shed: number;
    latencySumMs: number;
    readonly starts: Set<{ readonly atMs: number; }>;
}

/** Consecutive failures of an upstream at this instance, and the time until which it is avoided. */
interface Avoidance {
    consecutiveFailures: number;
    untilMs: number;
}

/** A request in flight. Call `end` exactly once. */
export interface Observation {
    /** The result is undefined if nothing was dispatched. */
    end(result: UpstreamResult | undefined, latencyMs: number): void;
}

/** Maximum number of ages in a digest entry, so that digests stay small while many requests to an upstream hang. */
const maxAges = 64;

/**
 * Counts results between digests, and tracks the upstreams to avoid after consecutive failures at this instance.
 *
 * @example
 * const observation = observer.startObservation(upstream, route);
 * observation.end(result, latencyMs);
 */
export class LocalObserver {
    readonly #settings: HealthSettings;
    readonly #nowMs: () => number;
    readonly #counters = new Map<string, Counters>();
    readonly #avoidances = new Map<UpstreamId, Avoidance>();
    #lastActivityMs = -Infinity;

    constructor(settings: HealthSettings, nowMs: () => number) {
        this.#settings = settings;
        this.#nowMs = nowMs;
    }

    startObservation(upstream: UpstreamId, route: RouteId): Observation {
        const counters = this.#countersOf(upstream, route);
        const start = { atMs: this.#nowMs() };
        counters.starts.add(start);
        this.#lastActivityMs = start.atMs;
        return {
            end: (result, latencyMs) => {
                if (!counters.starts.delete(start) || result === undefined) {
                    return;
                }
                this.#lastActivityMs = this.#nowMs();
                this.#count(counters, classifyResult(result), latencyMs);
            },
        };
    }

    /** Whether a request is in flight, or started or ended within the duration. */
    isBusy(withinMs: number): boolean {
        return this.#nowMs() - this.#lastActivityMs <= withinMs
            || [...this.#counters.values()].some(counters => counters.starts.size > 0);
    }

    /** Returns and resets the counts since the last call, with the ages of the requests in flight. */
    takeEntries(): DigestEntry[] {
        const nowMs = this.#nowMs();
        const entries: DigestEntry[] = [];
        for (const [key, counters] of this.#counters) {
            const { upstream, route, succeeded, failed, wrong, shed } = counters;
            const agesMs = [...counters.starts].slice(0, maxAges).map(({ atMs }) => Math.round(nowMs - atMs));
            const latencySumMs = Math.round(counters.latencySumMs);
            if (succeeded + failed + wrong + shed + agesMs.length > 0) {
                entries.push({ upstream, route, succeeded, failed, wrong, shed, latencySumMs, agesMs });
            }
            else {
                this.#counters.delete(key);
            }
            counters.succeeded =
                counters.failed =
                counters.wrong =
                counters.shed =
                counters.latencySumMs =
                    0;
        }
        return entries;
    }

    /**
     * Whether to avoid the upstream after failures at this instance. None is avoided if this would apply to half of the
     * upstreams or more: the cause is then probably this instance or the whole service, and avoidance would only
     * overload the rest.
     */
    isAvoided(upstream: UpstreamId, upstreamCount: number): boolean {
        const nowMs = this.#nowMs();
        if ((this.#avoidances.get(upstream)?.untilMs ?? 0) <= nowMs) {
            return false;
        }
        const avoided = [...this.#avoidances.values()].filter(({ untilMs }) => untilMs > nowMs).length;
        return avoided * 2 < upstreamCount;
    }

    #count(counters: Counters, kind: OutcomeKind, latencyMs: number): void {
        if (kind === "ignored") {
            return;
        }
        counters[kind]++;
        if (kind === "succeeded") {
            counters.latencySumMs += latencyMs;
            this.#avoidances.delete(counters.upstream);
        }
        if (kind === "failed" || kind === "wrong") {
            const avoidance = this.#avoidances.get(counters.upstream) ?? { consecutiveFailures: 0, untilMs: 0 };
            this.#avoidances.set(counters.upstream, avoidance);
            avoidance.consecutiveFailures++;
            if (avoidance.consecutiveFailures >= this.#settings.avoidAfterFailures) {
                avoidance.untilMs = this.#nowMs() + this.#settings.avoidanceMs;
            }
        }
    }

    #countersOf(upstream: UpstreamId, route: RouteId): Counters {
        const key = `${upstream}|${route}`;
        const existing = this.#counters.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const counters = {
            upstream,
            route,
            succeeded: 0,
            failed: 0,
            wrong: 0,
            shed: 0,
            latencySumMs: 0,
            starts: new Set<{ readonly atMs: number; }>(),
        };
        this.#counters.set(key, counters);
        return counters;
    }
}
