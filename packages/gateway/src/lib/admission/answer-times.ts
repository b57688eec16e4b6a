/** Estimates how long upstreams take to answer the requests of a route or service. */
import type { Clock } from "@sniperoad/core";

/** Upper bound of the first bucket; each further one is larger by {@link bucketGrowth}. */
const firstBucketMs = 4;
const bucketGrowth = 1.25;
/** Enough for times of up to 60 s. */
const bucketCount = 44;
/** Time after which an answer counts half, so that the estimate follows the load. */
const halfLifeMs = 10_000;
/** Number of answers below which nothing is estimated; a share of 5 % needs 20 to be seen at all. */
const minAnswers = 20;

interface Histogram {
    readonly counts: number[];
    total: number;
    updatedMs: number;
}

/**
 * Counts answer times in buckets of logarithmic width, whose counts decay exponentially. It answers for load that slows
 * all upstreams down: requests that have too little time left are known as hopeless before they take a slot.
 *
 * @example
 * times.record(route.id, 140);
 * times.shareWithin(route.id, 50); // 0.02
 */
export class AnswerTimes<Key extends string> {
    readonly #clock: Clock;
    readonly #histograms = new Map<Key, Histogram>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Records the time from the dispatch of a request to its successful answer. */
    record(key: Key, tookMs: number): void {
        const histogram = this.#decayed(key);
        const counts = histogram.counts;
        counts[bucketOf(tookMs)]! += 1;
        histogram.total += 1;
    }

    /** Share of recent answers that took no longer than `limitMs`; undefined with too few answers for an estimate. */
    shareWithin(key: Key, limitMs: number): number | undefined {
        const { counts, total } = this.#decayed(key);
        if (total < minAnswers) {
            return undefined;
        }
        return counts.slice(0, bucketOf(limitMs) + 1).reduce((sum, count) => sum + count, 0) / total;
    }

    /** Time within which a share of the recent answers arrived; undefined with too few answers for an estimate. */
    quantile(key: Key, share: number): number | undefined {
        const { counts, total } = this.#decayed(key);
        if (total < minAnswers) {
            return undefined;
        }
        let remaining = total * share;
        const index = counts.findIndex(count => (remaining -= count) <= 0);
        return firstBucketMs * bucketGrowth ** index;
    }

    #decayed(key: Key): Histogram {
        const nowMs = this.#clock.monotonicMs();
        const histogram = this.#histograms.get(key)
            ?? { counts: new Array<number>(bucketCount).fill(0), total: 0, updatedMs: nowMs };
        this.#histograms.set(key, histogram);
        const factor = 0.5 ** ((nowMs - histogram.updatedMs) / halfLifeMs);
        histogram.counts.forEach((count, index) => histogram.counts[index] = count * factor);
        histogram.total *= factor;
        histogram.updatedMs = nowMs;
        return histogram;
    }
}

const bucketOf = (timeMs: number): number =>
    Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log(timeMs / firstBucketMs) / Math.log(bucketGrowth))));
