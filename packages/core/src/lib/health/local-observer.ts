/** What one instance sees of the upstreams of one service. */
import { match } from "ts-pattern";
import type { UpstreamResult } from "../ports.js";
import type { RouteId, UpstreamId } from "../types.js";
import type { DigestEntry } from "./messages.js";
import type { HealthSettings } from "./settings.js";

type OutcomeKind = "succeeded" | "failed" | "wrong" | "shed" | "ignored";

/** What a result says about the upstream that gave it. */
export const classifyResult = (result: UpstreamResult): OutcomeKind =>
    match(result)
        .with({ kind: "answer" }, ({ answer }) => answer.status >= 500 ? "failed" as const : "succeeded" as const)
        .with({ kind: "refused" }, { kind: "reset" }, { kind: "timeout" }, () => "failed" as const)
        .with({ kind: "truncated" }, { kind: "crossed" }, () => "wrong" as const)
        .with({ kind: "shed" }, () => "shed" as const)
        // The caller left, or the answer was whole but larger than the fleet passes on: neither is the upstream's fault.
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
    readonly startsMs: Set<{ readonly atMs: number; }>;
}

interface Avoidance {
    failuresInRow: number;
    untilMs: number;
}

/** One request in flight; end it exactly once. */
export interface Observation {
    /** Undefined: nothing was dispatched. */
    end(result: UpstreamResult | undefined, latencyMs: number): void;
}

// A digest message stays small even when an upstream hangs with many requests in flight.
const maxAges = 64;

/**
 * Counts results between digests and avoids upstreams that this instance alone cannot use.
 *
 * @example
 * const observation = observer.begin(upstream, route, nowMs);
 * observation.end(result, latencyMs);
 */
export class LocalObserver {
    readonly #settings: HealthSettings;
    readonly #nowMs: () => number;
    readonly #counters = new Map<string, Counters>();
    readonly #avoidances = new Map<UpstreamId, Avoidance>();
    #lastWorkMs = -Infinity;

    constructor(settings: HealthSettings, nowMs: () => number) {
        this.#settings = settings;
        this.#nowMs = nowMs;
    }

    startObservation(upstream: UpstreamId, route: RouteId): Observation {
        const counters = this.#countersOf(upstream, route);
        const start = { atMs: this.#nowMs() };
        counters.startsMs.add(start);
        this.#lastWorkMs = start.atMs;
        return {
            end: (result, latencyMs) => {
                if (!counters.startsMs.delete(start) || result === undefined) {
                    return;
                }
                this.#lastWorkMs = this.#nowMs();
                this.#count(counters, classifyResult(result), latencyMs);
            },
        };
    }

    /** Whether there has been work within the duration, or there is some now. */
    isBusy(withinMs: number): boolean {
        return this.#nowMs() - this.#lastWorkMs <= withinMs
            || [...this.#counters.values()].some(counters => counters.startsMs.size > 0);
    }

    /** The counts since the last call, and the requests in flight. */
    take(): DigestEntry[] {
        const nowMs = this.#nowMs();
        const entries: DigestEntry[] = [];
        for (const [key, counters] of this.#counters) {
            const { upstream, route, succeeded, failed, wrong, shed } = counters;
            const agesMs = [...counters.startsMs].slice(0, maxAges).map(({ atMs }) => Math.round(nowMs - atMs));
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
     * Whether this instance alone has trouble with the upstream. If it has trouble with half of the upstreams or more,
     * the trouble lies with itself or with the whole service, and avoiding would only crowd the rest.
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
            const avoidance = this.#avoidances.get(counters.upstream) ?? { failuresInRow: 0, untilMs: 0 };
            this.#avoidances.set(counters.upstream, avoidance);
            avoidance.failuresInRow++;
            if (avoidance.failuresInRow >= this.#settings.avoidAfterFailures) {
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
            startsMs: new Set<{ readonly atMs: number; }>(),
        };
        this.#counters.set(key, counters);
        return counters;
    }
}
