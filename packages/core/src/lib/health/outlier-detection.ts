/** Judges each upstream of a service against the others. */
import type { RouteId, UpstreamId } from "../types.js";
import type { EjectionTarget } from "./capacity-floor.js";
import { emptySample, type Evidence, type Sample, type SamplesByGroup } from "./evidence.js";
import type { HealthSettings } from "./settings.js";

/** An upstream found bad, with the figures that decided. */
export interface Outlier extends EjectionTarget {
    readonly reason: "slow" | "failing";
    /** How far beyond the threshold; the worst is ejected first where the floor allows few. */
    readonly severity: number;
    readonly samples: number;
}

/** Sums over routes, each relative to what is normal on its route. */
interface Score {
    /** Samples with a latency. */
    readonly timed: number;
    /** Sum of latency divided by the median of the other upstreams on the same route. */
    readonly ratioSum: number;
    readonly answered: number;
    /** Failed answers beyond the median share of the others. */
    readonly excessFailures: number;
}

type Table = ReadonlyMap<UpstreamId, ReadonlyMap<RouteId, SamplesByGroup>>;

// Below this many samples a mean says too little to stand as a peer's value in a median.
const minPeerSamples = 1.5;
// Latency ratios of short requests are mostly noise of the network; this much is added on both sides of the ratio.
const latencySlackMs = 2;
/** From where on evidence counts as bad. */
interface Thresholds {
    readonly ratio: number;
    /** Of the mean latency, in standard errors of a distribution whose deviation equals its mean. */
    readonly deviations: number;
    readonly failureShare: number;
    readonly failures: number;
}

/** For the pooled evidence. Seven deviations keep chance below one in 10^7 for each judgement. */
const strong = (settings: HealthSettings): Thresholds => ({
    ratio: settings.slowLatencyRatio,
    deviations: 7,
    failureShare: settings.excessFailureShare,
    failures: 4,
});

/** For what is left without any one zone or observer: it need not prove the fault again, only point the same way. */
const support = (settings: HealthSettings): Thresholds => ({
    ratio: Math.sqrt(settings.slowLatencyRatio),
    deviations: 2.5,
    failureShare: settings.excessFailureShare / 2,
    failures: 1.2,
});

// What shows that a fault spares a route: answers of the last moments that are about as fast as usual, and hardly a
// failure. Older answers would not do, because they may be from before the fault.
const sparedTimed = 0.3;
const sparedRatio = 1.5;
const sparedBadness = 0.4;

const median = (values: readonly number[]): number | undefined => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle] : average(sorted[middle - 1], sorted[middle]);
};

const average = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || right === undefined ? undefined : (left + right) / 2;

const total = (groups: SamplesByGroup, without?: string): Sample => {
    const sum = emptySample();
    for (const [group, sample] of groups) {
        if (group !== without) {
            sum.timed += sample.timed;
            sum.latencySumMs += sample.latencySumMs;
            sum.recentTimed += sample.recentTimed;
            sum.recentLatencySumMs += sample.recentLatencySumMs;
            sum.answered += sample.answered;
            sum.failed += sample.failed;
        }
    }
    return sum;
};

/**
 * Completed work plus the requests in flight that are already older than usual for their route. Such a request bounds
 * its latency from below; a younger one says nothing yet.
 */
const withInFlight = (evidence: Evidence): Table => {
    const table = new Map<UpstreamId, Map<RouteId, SamplesByGroup>>();
    for (const [upstream, routes] of evidence.samples()) {
        const copies = [...routes].map(([route, groups]): [RouteId, SamplesByGroup] => [
            route,
            new Map([...groups].map(([group, sample]) => [group, { ...sample }])),
        ]);
        table.set(upstream, new Map(copies));
    }
    const usualMs = usualLatencies(table);
    for (const { observer, upstream, route, agesMs } of evidence.inFlight()) {
        const old = agesMs.filter(ageMs => ageMs > (usualMs.get(route) ?? Infinity));
        if (old.length === 0) {
            continue;
        }
        const routes = table.get(upstream) ?? new Map<RouteId, SamplesByGroup>();
        table.set(upstream, routes);
        const groups = routes.get(route) ?? new Map<string, Sample>();
        routes.set(route, groups);
        const group = evidence.groupOf(observer);
        const sample = groups.get(group) ?? emptySample();
        sample.timed += old.length;
        sample.latencySumMs += old.reduce((sum, ageMs) => sum + ageMs, 0);
        groups.set(group, sample);
    }
    return table;
};

const usualLatencies = (table: Table): ReadonlyMap<RouteId, number> => {
    const means = new Map<RouteId, number[]>();
    for (const routes of table.values()) {
        for (const [route, groups] of routes) {
            const { timed, latencySumMs } = total(groups);
            if (timed >= minPeerSamples) {
                means.set(route, [...means.get(route) ?? [], latencySumMs / timed]);
            }
        }
    }
    return new Map([...means].map(([route, values]) => [route, median(values)!]));
};

/** What is normal on a route, by the upstreams other than the judged one. */
interface Normal {
    readonly latencyMs: number | undefined;
    readonly failureShare: number;
}

interface RouteFigures {
    /** Sorted, over all upstreams of the route. */
    readonly latenciesMs: readonly number[];
    readonly failureShares: readonly number[];
    readonly own: ReadonlyMap<
        UpstreamId,
        { readonly latencyMs: number | undefined; readonly share: number | undefined; }
    >;
}

/** The figures of each route, sorted once, so that judging many upstreams does not sort once for each of them. */
const figuresOf = (table: Table): ReadonlyMap<RouteId, RouteFigures> => {
    const byRoute = new Map<RouteId, Map<UpstreamId, { latencyMs: number | undefined; share: number | undefined; }>>();
    for (const [upstream, routes] of table) {
        for (const [route, groups] of routes) {
            const { timed, latencySumMs, answered, failed } = total(groups);
            const own = byRoute.get(route) ?? new Map();
            byRoute.set(route, own);
            own.set(upstream, {
                latencyMs: timed >= minPeerSamples ? latencySumMs / timed : undefined,
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

/** Median of sorted values, one of which is left out. */
const medianWithout = (sorted: readonly number[], left: number | undefined): number | undefined => {
    const skipped = left === undefined ? sorted.length : sorted.indexOf(left);
    const at = (index: number) => sorted[index >= skipped ? index + 1 : index];
    const count = left === undefined ? sorted.length : sorted.length - 1;
    const middle = count >> 1;
    return count % 2 === 1 ? at(middle) : average(at(middle - 1), at(middle));
};

const normalOf = (figures: RouteFigures, judged: UpstreamId): Normal | undefined => {
    const own = figures.own.get(judged);
    const failureShare = medianWithout(figures.failureShares, own?.share);
    return failureShare === undefined
        ? undefined
        : { latencyMs: medianWithout(figures.latenciesMs, own?.latencyMs), failureShare };
};

const scoreOf = (sample: Sample, normal: Normal): Score => {
    const isTimed = normal.latencyMs !== undefined;
    return {
        timed: isTimed ? sample.timed : 0,
        ratioSum: isTimed
            ? (sample.latencySumMs + latencySlackMs * sample.timed) / (normal.latencyMs + latencySlackMs)
            : 0,
        answered: sample.answered,
        excessFailures: sample.failed - sample.answered * normal.failureShare,
    };
};

const addScores = (scores: readonly Score[]): Score =>
    scores.reduce((sum, score) => ({
        timed: sum.timed + score.timed,
        ratioSum: sum.ratioSum + score.ratioSum,
        answered: sum.answered + score.answered,
        excessFailures: sum.excessFailures + score.excessFailures,
    }), { timed: 0, ratioSum: 0, answered: 0, excessFailures: 0 });

/** How far a score is beyond the thresholds: at least 1 if bad. */
const badness = (score: Score, thresholds: Thresholds) => {
    const ratio = score.timed > 0 ? score.ratioSum / score.timed : 1;
    const slow = Math.min(ratio / thresholds.ratio, (ratio - 1) * Math.sqrt(score.timed) / thresholds.deviations);
    const share = score.answered > 0 ? score.excessFailures / score.answered : 0;
    const failing = Math.min(share / thresholds.failureShare, score.excessFailures / thresholds.failures);
    return { slow, failing, worst: Math.max(slow, failing) };
};

/** The evidence about one upstream on some of its routes. */
interface Case {
    readonly groups: SamplesByGroup;
    readonly normal: Normal;
}

const judgeCases = (cases: readonly Case[], settings: HealthSettings, isAgreementNeeded: boolean) => {
    const score = (without?: string): Score =>
        addScores(cases.map(({ groups, normal }) => scoreOf(total(groups, without), normal)));
    const all = score();
    const found = badness(all, strong(settings));
    const groups = new Set(cases.flatMap(entry => [...entry.groups.keys()]));
    // Without any one group the rest must still point the same way, so no single zone or observer decides.
    const isSupported = () => [...groups].every(group => badness(score(group), support(settings)).worst >= 1);
    return {
        answered: all.answered,
        isBad: found.worst >= 1 && (!isAgreementNeeded || isSupported()),
        reason: found.failing >= found.slow ? "failing" as const : "slow" as const,
        severity: found.worst,
        failing: badness(all, support(settings)).failing,
    };
};

const isSpared = ({ groups, normal }: Case, failing: number): boolean => {
    const { recentTimed, recentLatencySumMs } = total(groups);
    return recentTimed >= sparedTimed && failing < sparedBadness
        && recentLatencySumMs / recentTimed < sparedRatio * (normal.latencyMs ?? Infinity) + latencySlackMs;
};

/**
 * Finds the upstreams that are much slower than the others or fail much more often. The comparison is by median, so a
 * service that is slow or failing as a whole yields no verdict. If the fault spares some route of an
 * upstream, the others are judged one by one.
 *
 * @param isAgreementNeeded False judges by one observer's evidence alone.
 * @example
 * const verdicts = judge(evidence, defaultHealthSettings);
 */
export const detectOutliers = (
    evidence: Evidence,
    settings: HealthSettings,
    isAgreementNeeded = true,
): readonly Outlier[] => {
    const table = withInFlight(evidence);
    const figures = figuresOf(table);
    const verdicts: Outlier[] = [];
    for (const [upstream, routes] of table) {
        const cases: { route: RouteId; entry: Case; }[] = [];
        for (const [route, groups] of routes) {
            const normal = normalOf(figures.get(route)!, upstream);
            if (normal !== undefined) {
                cases.push({ route, entry: { groups, normal } });
            }
        }
        const byRoute = cases.map(({ route, entry }) => ({
            route,
            entry,
            result: judgeCases([entry], settings, isAgreementNeeded),
        }));
        const toVerdict = (route: RouteId | undefined, result: ReturnType<typeof judgeCases>): Outlier => ({
            upstream,
            route,
            reason: result.reason,
            severity: result.severity,
            samples: result.answered,
        });
        if (byRoute.some(({ entry, result }) => isSpared(entry, result.failing))) {
            const bad = byRoute.filter(({ result }) => result.isBad);
            verdicts.push(...bad.map(({ route, result }) => toVerdict(route, result)));
            continue;
        }
        const whole = judgeCases(cases.map(({ entry }) => entry), settings, isAgreementNeeded);
        if (whole.isBad) {
            verdicts.push(toVerdict(undefined, whole));
        }
    }
    return verdicts.sort((left, right) => right.severity - left.severity);
};
