/** Detects outliers by comparing each upstream of a service with the others. */
import type { RouteId, UpstreamId } from "../types.js";
import type { EjectionTarget } from "./capacity-floor.js";
import { emptySample, type Evidence, type Sample, type SamplesByGroup } from "./evidence.js";
import type { HealthSettings } from "./settings.js";

/** An upstream that deviates from the others, with the values that show it. */
export interface Outlier extends EjectionTarget {
    readonly reason: "slow" | "failing";
    /** Ratio to the threshold. The most severe outlier is ejected first if the floor allows only some. */
    readonly severity: number;
    /** Decayed number of responses and failures. */
    readonly samples: number;
}

/** Sums over routes, relative to the baseline of each route. */
interface Score {
    /** Samples with a latency. */
    readonly latencyCount: number;
    /** Sum of the latencies, each divided by the median of the other upstreams on the same route. */
    readonly ratioSum: number;
    readonly answered: number;
    /** Failures above the number expected from the median failure share of the others. */
    readonly excessFailures: number;
}

type SampleTable = ReadonlyMap<UpstreamId, ReadonlyMap<RouteId, SamplesByGroup>>;

// With fewer samples, the mean of an upstream is too uncertain to enter a median.
const minPeerSamples = 1.5;
// Added to both sides of a latency ratio, because ratios of short latencies are mostly network noise.
const latencySlackMs = 2;

/** Limits from which evidence shows an outlier. */
interface Thresholds {
    readonly ratio: number;
    /** Deviation of the mean latency, in standard errors of a distribution whose standard deviation equals its mean. */
    readonly deviations: number;
    readonly failureShare: number;
    readonly failures: number;
}

/**
 * Limits for the pooled evidence. Seven deviations keep the probability of a false positive below 10^-7 for each check.
 */
const primaryThresholds = (settings: HealthSettings): Thresholds => ({
    ratio: settings.slowLatencyRatio,
    deviations: 7,
    failureShare: settings.excessFailureShare,
    failures: 4,
});

/**
 * Limits for the evidence without any one group. They are lower, because that evidence only has to corroborate the
 * fault.
 */
const corroborationThresholds = (settings: HealthSettings): Thresholds => ({
    ratio: Math.sqrt(settings.slowLatencyRatio),
    deviations: 2.5,
    failureShare: settings.excessFailureShare / 2,
    failures: 1.2,
});

// A fault leaves a route unaffected if its recent responses are about as fast as usual and almost none fails. Older
// responses may be from before the fault.
const unaffectedMinCount = 0.3;
const unaffectedMaxLatencyRatio = 1.5;
const unaffectedMaxSeverity = 0.4;

const median = (values: readonly number[]): number | undefined => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle] : average(sorted[middle - 1], sorted[middle]);
};

const average = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || right === undefined ? undefined : (left + right) / 2;

const sumGroups = (groups: SamplesByGroup, without?: string): Sample => {
    const sum = emptySample();
    for (const [group, sample] of groups) {
        if (group !== without) {
            sum.latencyCount += sample.latencyCount;
            sum.latencySumMs += sample.latencySumMs;
            sum.recentLatencyCount += sample.recentLatencyCount;
            sum.recentLatencySumMs += sample.recentLatencySumMs;
            sum.answered += sample.answered;
            sum.failed += sample.failed;
        }
    }
    return sum;
};

/**
 * Adds the requests in flight that are already older than the usual latency of their route. Their age is a lower bound
 * of their latency; younger requests carry no information yet.
 */
const includeInFlight = (evidence: Evidence): SampleTable => {
    const table = new Map<UpstreamId, Map<RouteId, SamplesByGroup>>();
    for (const [upstream, routes] of evidence.samples()) {
        const copies = [...routes].map(([route, groups]): [RouteId, SamplesByGroup] => [
            route,
            new Map([...groups].map(([group, sample]) => [group, { ...sample }])),
        ]);
        table.set(upstream, new Map(copies));
    }
    const medianMs = medianLatencies(table);
    for (const { observer, upstream, route, agesMs } of evidence.inFlight()) {
        const overdue = agesMs.filter(ageMs => ageMs > (medianMs.get(route) ?? Infinity));
        if (overdue.length === 0) {
            continue;
        }
        const routes = table.get(upstream) ?? new Map<RouteId, SamplesByGroup>();
        table.set(upstream, routes);
        const groups = routes.get(route) ?? new Map<string, Sample>();
        routes.set(route, groups);
        const group = evidence.groupOf(observer);
        const sample = groups.get(group) ?? emptySample();
        sample.latencyCount += overdue.length;
        sample.latencySumMs += overdue.reduce((sum, ageMs) => sum + ageMs, 0);
        groups.set(group, sample);
    }
    return table;
};

const medianLatencies = (table: SampleTable): ReadonlyMap<RouteId, number> => {
    const means = new Map<RouteId, number[]>();
    for (const routes of table.values()) {
        for (const [route, groups] of routes) {
            const { latencyCount, latencySumMs } = sumGroups(groups);
            if (latencyCount >= minPeerSamples) {
                means.set(route, [...means.get(route) ?? [], latencySumMs / latencyCount]);
            }
        }
    }
    return new Map([...means].map(([route, values]) => [route, median(values)!]));
};

/** Baseline of a route: medians over the upstreams other than the one under evaluation. */
interface Baseline {
    readonly latencyMs: number | undefined;
    readonly failureShare: number;
}

interface RouteValues {
    /** Sorted, over all upstreams of the route. */
    readonly latenciesMs: readonly number[];
    readonly failureShares: readonly number[];
    readonly own: ReadonlyMap<
        UpstreamId,
        { readonly latencyMs: number | undefined; readonly share: number | undefined; }
    >;
}

/** Sorts the values of each route once, instead of once for each upstream. */
const valuesByRoute = (table: SampleTable): ReadonlyMap<RouteId, RouteValues> => {
    const byRoute = new Map<RouteId, Map<UpstreamId, { latencyMs: number | undefined; share: number | undefined; }>>();
    for (const [upstream, routes] of table) {
        for (const [route, groups] of routes) {
            const { latencyCount, latencySumMs, answered, failed } = sumGroups(groups);
            const own = byRoute.get(route) ?? new Map();
            byRoute.set(route, own);
            own.set(upstream, {
                latencyMs: latencyCount >= minPeerSamples ? latencySumMs / latencyCount : undefined,
                share: answered >= minPeerSamples ? failed / answered : undefined,
            });
        }
    }
    const sorted = (values: readonly (number | undefined)[]): readonly number[] =>
        values.filter(value => value !== undefined).sort((left, right) => left - right);
    return new Map([...byRoute].map(([route, own]) => [route, {
        latenciesMs: sorted([...own.values()].map(({ latencyMs }) => latencyMs)),
        failureShares: sorted([...own.values()].map(({ share }) => share)),
        own,
    }]));
};

/** Median of sorted values with one value left out. */
const medianWithout = (sorted: readonly number[], left: number | undefined): number | undefined => {
    const skipped = left === undefined ? sorted.length : sorted.indexOf(left);
    const at = (index: number) => sorted[index >= skipped ? index + 1 : index];
    const count = left === undefined ? sorted.length : sorted.length - 1;
    const middle = count >> 1;
    return count % 2 === 1 ? at(middle) : average(at(middle - 1), at(middle));
};

const baselineOf = (values: RouteValues, upstream: UpstreamId): Baseline | undefined => {
    const own = values.own.get(upstream);
    const failureShare = medianWithout(values.failureShares, own?.share);
    return failureShare === undefined
        ? undefined
        : { latencyMs: medianWithout(values.latenciesMs, own?.latencyMs), failureShare };
};

const scoreOf = (sample: Sample, baseline: Baseline): Score => {
    const isTimed = baseline.latencyMs !== undefined;
    return {
        latencyCount: isTimed ? sample.latencyCount : 0,
        ratioSum: isTimed
            ? (sample.latencySumMs + latencySlackMs * sample.latencyCount) / (baseline.latencyMs + latencySlackMs)
            : 0,
        answered: sample.answered,
        excessFailures: sample.failed - sample.answered * baseline.failureShare,
    };
};

const addScores = (scores: readonly Score[]): Score =>
    scores.reduce((sum, score) => ({
        latencyCount: sum.latencyCount + score.latencyCount,
        ratioSum: sum.ratioSum + score.ratioSum,
        answered: sum.answered + score.answered,
        excessFailures: sum.excessFailures + score.excessFailures,
    }), { latencyCount: 0, ratioSum: 0, answered: 0, excessFailures: 0 });

/** Ratio of a score to the limits; 1 or more shows an outlier. */
const severityOf = (score: Score, thresholds: Thresholds) => {
    const ratio = score.latencyCount > 0 ? score.ratioSum / score.latencyCount : 1;
    const slow = Math.min(
        ratio / thresholds.ratio,
        (ratio - 1) * Math.sqrt(score.latencyCount) / thresholds.deviations,
    );
    const share = score.answered > 0 ? score.excessFailures / score.answered : 0;
    const failing = Math.min(share / thresholds.failureShare, score.excessFailures / thresholds.failures);
    return { slow, failing, max: Math.max(slow, failing) };
};

/** Evidence about one upstream on one route, with the baseline of the route. */
interface RouteEvidence {
    readonly groups: SamplesByGroup;
    readonly baseline: Baseline;
}

const evaluate = (evidence: readonly RouteEvidence[], settings: HealthSettings, requiresCorroboration: boolean) => {
    const score = (without?: string): Score =>
        addScores(evidence.map(({ groups, baseline }) => scoreOf(sumGroups(groups, without), baseline)));
    const all = score();
    const severity = severityOf(all, primaryThresholds(settings));
    const groups = new Set(evidence.flatMap(entry => [...entry.groups.keys()]));
    // The evidence must hold without any one group, so that no single zone or observer decides.
    const isCorroborated = () =>
        [...groups].every(group => severityOf(score(group), corroborationThresholds(settings)).max >= 1);
    return {
        answered: all.answered,
        isOutlier: severity.max >= 1 && (!requiresCorroboration || isCorroborated()),
        reason: severity.failing >= severity.slow ? "failing" as const : "slow" as const,
        severity: severity.max,
        failing: severityOf(all, corroborationThresholds(settings)).failing,
    };
};

const isUnaffected = ({ groups, baseline }: RouteEvidence, failing: number): boolean => {
    const { recentLatencyCount, recentLatencySumMs } = sumGroups(groups);
    return recentLatencyCount >= unaffectedMinCount && failing < unaffectedMaxSeverity
        && recentLatencySumMs / recentLatencyCount
            < unaffectedMaxLatencyRatio * (baseline.latencyMs ?? Infinity) + latencySlackMs;
};

/**
 * Finds the upstreams that are much slower than the others or fail much more often. They are compared with the median,
 * so a service that is slow or failing as a whole has no outliers. If a fault leaves some route of an upstream
 * unaffected, its other routes are evaluated one by one.
 *
 * @param requiresCorroboration False accepts the evidence of a single group.
 * @example
 * const outliers = detectOutliers(evidence, defaultHealthSettings);
 */
export const detectOutliers = (
    evidence: Evidence,
    settings: HealthSettings,
    requiresCorroboration = true,
): readonly Outlier[] => {
    const table = includeInFlight(evidence);
    const values = valuesByRoute(table);
    const outliers: Outlier[] = [];
    for (const [upstream, routes] of table) {
        const evidenceByRoute: { route: RouteId; entry: RouteEvidence; }[] = [];
        for (const [route, groups] of routes) {
            const baseline = baselineOf(values.get(route)!, upstream);
            if (baseline !== undefined) {
                evidenceByRoute.push({ route, entry: { groups, baseline } });
            }
        }
        const byRoute = evidenceByRoute.map(({ route, entry }) => ({
            route,
            entry,
            result: evaluate([entry], settings, requiresCorroboration),
        }));
        const toOutlier = (route: RouteId | undefined, result: ReturnType<typeof evaluate>): Outlier => ({
            upstream,
            route,
            reason: result.reason,
            severity: result.severity,
            samples: result.answered,
        });
        if (byRoute.some(({ entry, result }) => isUnaffected(entry, result.failing))) {
            const affected = byRoute.filter(({ result }) => result.isOutlier);
            outliers.push(...affected.map(({ route, result }) => toOutlier(route, result)));
            continue;
        }
        const combined = evaluate(evidenceByRoute.map(({ entry }) => entry), settings, requiresCorroboration);
        if (combined.isOutlier) {
            outliers.push(toOutlier(undefined, combined));
        }
    }
    return outliers.sort((left, right) => right.severity - left.severity);
};
