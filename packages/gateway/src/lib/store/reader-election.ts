/** Which instances read a collection from the store on behalf of all. */
import { hash32 } from "@sniperoad/core";
import type { InstanceId } from "@sniperoad/core";
import type { CollectionState } from "../fleet/heartbeat.js";
import type { SharedCollection } from "./state-exchange.js";

/**
 * Readers of each collection. Of the list of upstreams two may be cut off at once and one still hears of a change; the
 * configuration changes seldom, and a cut reader of it is replaced within its bound.
 */
export const readerCounts: Readonly<Record<SharedCollection, number>> = { config: 2, upstreams: 3 };
/** Readers in trouble beyond which the store itself is taken to be down, so that no further instance tries. */
const troubledReadersMax = 6;
/**
 * Age of the last own read above which a reader counts as in trouble: a watch returns within its wait of 1,000 ms and
 * a delay of the store.
 */
export const failingReadAgeMs = 1_500;

/** A candidate for reading: an instance that is heard. */
export interface ReaderCandidate {
    readonly id: InstanceId;
    readonly feed: Pick<CollectionState, "isReading" | "readAgeMs">;
}

/**
 * Whether an instance should read. Candidates are ranked by a hash of their ids; those in trouble are passed over, up
 * to a number. All instances that hear the same candidates come to the same result, without an exchange.
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
    const better = others.filter(({ id }) => {
        const rank = rankOf(id, collection);
        return rank < ownRank || rank === ownRank && id < self;
    });
    const troubled = better.filter(({ feed }) => feed.isReading && (feed.readAgeMs ?? 0) > failingReadAgeMs).length;
    return better.length - troubled < readerCounts[collection] && troubled < troubledReadersMax;
};

const rankOf = (id: InstanceId, collection: string): number => hash32(`${collection}|${id}`);
