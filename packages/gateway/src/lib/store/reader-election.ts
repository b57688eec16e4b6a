/** Elects the instances that read a collection from the store on behalf of the fleet. */
import { hash32 } from "@sniperoad/core";
import type { InstanceId } from "@sniperoad/core";
import type { CollectionState } from "../fleet/heartbeat.js";
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
    readonly id: InstanceId;
    readonly collectionState: Pick<CollectionState, "isReading" | "readAgeMs">;
}

/**
 * Whether an instance should read. Candidates are ranked by a hash of their ids, and failing ones are skipped up to
 * {@link maxFailingReaders}. Instances with the same candidates reach the same result without communication.
 *
 * @example
 * shouldRead(self, "upstreams", members);
 */
export const shouldRead = (
    self: InstanceId,
    collection: SharedCollection,
    others: readonly ReaderCandidate[],
): boolean => {
    const ownRank = rankOf(self, collection);
    const higherRanked = others.filter(({ id }) => {
        const rank = rankOf(id, collection);
        return rank < ownRank || rank === ownRank && id < self;
    });
    const failing =
        higherRanked.filter(({ collectionState }) =>
            collectionState.isReading && (collectionState.readAgeMs ?? 0) > failingReadAgeMs
        ).length;
    return higherRanked.length - failing < readerCounts[collection] && failing < maxFailingReaders;
};

const rankOf = (id: InstanceId, collection: string): number => hash32(`${collection}|${id}`);
