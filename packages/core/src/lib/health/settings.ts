/** Settings of outlier detection, ejection and return to service. */
import type { HalfLives } from "./evidence.js";

/** Settings of the health module; durations in milliseconds. */
export interface HealthSettings {
    /** Mean interval between the digests of an instance while it has something to report. */
    readonly digestIntervalMs: number;
    /** Timeout of a digest. */
    readonly callTimeoutMs: number;
    /** Lifetime of an ejection, counted from the time at which the instance sent the digest that confirmed it. */
    readonly leaseMs: number;
    /** Factor by which a coordinator extends the lease to allow for clock drift between instances. */
    readonly clockDriftFactor: number;
    /** Half-lives of the pooled evidence. */
    readonly halfLives: HalfLives;
    /** Mean latency, as a multiple of the median of the other upstreams, from which an upstream counts as slow. */
    readonly slowLatencyRatio: number;
    /** Excess over the median failure share of the other upstreams from which an upstream counts as failing. */
    readonly excessFailureShare: number;
    /** Duration of a first ejection. It doubles with each further ejection, up to `maxEjectionMs`. */
    readonly baseEjectionMs: number;
    readonly maxEjectionMs: number;
    /** Time at full weight after which the earlier ejections of an upstream no longer count. */
    readonly ejectionHistoryMs: number;
    /** Weights of the steps by which an upstream returns to full weight. */
    readonly returnWeights: readonly number[];
    /** Duration of each step. */
    readonly returnStepMs: number;
    /** Share of a service's capacity that probes may use in total. */
    readonly probeCapacityShare: number;
    /** Slot time that one probe is assumed to use. */
    readonly probeSlotMs: number;
    /** Consecutive successful probes before an ejected upstream starts to return. */
    readonly probesToReturn: number;
    /** Warm-up time of an upstream that is new in the instance list. */
    readonly warmupMs: number;
    /** Lifetime of a drain announcement that the instance list does not confirm. */
    readonly drainTtlMs: number;
    /** Consecutive failures after which an instance avoids an upstream on its own evidence. */
    readonly avoidAfterFailures: number;
    /** Time after the last of these failures for which the instance avoids the upstream. */
    readonly avoidanceMs: number;
    /** False only in tests that show that the floor is needed. */
    readonly isFloorEnforced: boolean;
    /** False only in tests that show that ended ejections must count while their leases may still run. */
    readonly countsUnexpiredEjections: boolean;
}

export const defaultHealthSettings: HealthSettings = {
    digestIntervalMs: 250,
    callTimeoutMs: 500,
    leaseMs: 3_000,
    clockDriftFactor: 1.02,
    halfLives: { latencyMs: 500, recentMs: 200, failureMs: 1_500 },
    slowLatencyRatio: 2.5,
    excessFailureShare: 0.25,
    baseEjectionMs: 5_000,
    maxEjectionMs: 300_000,
    ejectionHistoryMs: 300_000,
    returnWeights: [0.1, 0.3],
    returnStepMs: 3_000,
    probeCapacityShare: 0.02,
    probeSlotMs: 25,
    probesToReturn: 3,
    warmupMs: 10_000,
    drainTtlMs: 300_000,
    avoidAfterFailures: 2,
    avoidanceMs: 3_000,
    isFloorEnforced: true,
    countsUnexpiredEjections: true,
};
