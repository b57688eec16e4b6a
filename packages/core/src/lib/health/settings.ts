/** Numbers that govern evidence, ejection and return. */
import type { HalfLives } from "./evidence.js";

/** Settings of the health module; durations in milliseconds. */
export interface HealthSettings {
    readonly digestIntervalMs: number;
    readonly callTimeoutMs: number;
    /** An ejection holds this long after the instance sent the digest that confirmed it. */
    readonly leaseMs: number;
    /** How much longer than the lease a home assumes that an ejection may still be in use. */
    readonly clockDriftFactor: number;
    /** Half-lives of pooled evidence. */
    readonly halfLives: HalfLives;
    /** Mean latency, as a multiple of the median of the other upstreams, from which an upstream counts as slow. */
    readonly slowLatencyRatio: number;
    /** Share of failed answers above the median of the others from which an upstream counts as failing. */
    readonly excessFailureShare: number;
    /** Wait before the first return; doubles with each further ejection up to `maxWaitMs`. */
    readonly baseEjectionMs: number;
    readonly maxEjectionMs: number;
    /** After this long at full weight an upstream's earlier ejections are forgotten. */
    readonly ejectionHistoryMs: number;
    /** Weights of the steps of return before full weight. */
    readonly returnWeights: readonly number[];
    /** Time at each step of return. */
    readonly returnStepMs: number;
    /** Share of a service's capacity that probes may use in total. */
    readonly probeCapacityShare: number;
    /** Slot time of one probe. */
    readonly probeSlotMs: number;
    /** Good probes, in a row, before an ejected upstream starts to return. */
    readonly probesToReturn: number;
    /** An upstream counts as cold this long after it first appears in a list that it was not in before. */
    readonly warmupMs: number;
    /** How long a drain sign holds when the instance list never confirms it. */
    readonly drainTtlMs: number;
    /** Failures in a row after which an instance avoids an upstream by itself. */
    readonly avoidAfterFailures: number;
    readonly avoidanceMs: number;
    /** False only in a test that shows the floor to be needed. */
    readonly isFloorEnforced: boolean;
    /** False only in a test that shows the count of ejections still in use elsewhere to be needed. */
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
