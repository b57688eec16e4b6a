/** Elects the instances that read a collection from the store on behalf of the fleet. */
import type { SharedCollection } from "./state-exchange.js";

/**
 * Number of readers per collection. If two of the three readers of the upstream list are partitioned at once, the third
 * still receives changes. The configuration changes rarely, so fewer readers suffice: a partitioned reader is replaced
 * within the time in which a change must be in force.
 */
export const readerCounts: Readonly<Record<SharedCollection, number>> = { config: 2, upstreams: 3 };
/** Number of failing readers at which the store itself is considered down, so that no further instance reads. */
const maxFailingReaders = 6;
/**
 * Age of the last read above which a reader is considered failing: a watch returns within its timeout of 1,000 ms and
 * the delay of the store.
 */
export const failingReadAgeMs = 1_500;

/** A live instance, which may become a reader. */
export interface ReaderCandidate {
    /** See `instanceKey`. */
    readonly key: number;
    /** Time since its last read; undefined: it does not read. */
    readonly readAgeMs: number | undefined;
}

/**
 * Whether an instance should read. Candidates are ranked by their keys, and failing ones are skipped up to
 * {@link maxFailingReaders}. Instances with the same candidates reach the same result without communication.
 *
 * @example
 * shouldRead(instanceKey(self.id), "upstreams", candidates);
 */
export const shouldRead = (
    selfKey: number,
    collection: SharedCollection,
    others: Iterable<ReaderCandidate>,
): boolean => {
    const ownRank = rankOf(selfKey, collection);
    let [working, failing] = [0, 0];
    for (const { key, readAgeMs } of others) {
        if (rankOf(key, collection) < ownRank) {
            const isFailing = readAgeMs !== undefined && readAgeMs > failingReadAgeMs;
            working += isFailing ? 0 : 1;
            failing += isFailing ? 1 : 0;
            // Most instances of a large fleet decide after a few candidates.
            if (working >= readerCounts[collection] || failing >= maxFailingReaders) {
                return false;
            }
        }
    }
    return true;
};

/** Opposite ranks, so that an instance of a large fleet does not read both collections. */
const rankOf = (key: number, collection: SharedCollection): number => collection === "config" ? key : ~key >>> 0;
