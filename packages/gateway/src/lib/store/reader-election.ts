/** Elects the instances that read a collection from the store on behalf of the fleet. */
import type { ReaderState } from "../fleet/heartbeat.js";
import type { SharedCollection } from "./state-messages.js";

/**
 * Number of readers per collection. If two of the three readers of the upstream list are partitioned at once, the third
 * still receives changes. The configuration changes rarely, so fewer readers suffice: a partitioned reader is replaced
 * within the time in which a change must be in force.
 */
export const readerCounts: Readonly<Record<SharedCollection, number>> = { config: 2, upstreams: 3, evacuations: 2 };
/**
 * Number of instances that replace each failing reader. They may be partitioned as well, and a change of the configuration
 * leaves time for two of such rounds only.
 */
const successorCounts: Readonly<Record<SharedCollection, number>> = { config: 2, upstreams: 1, evacuations: 2 };
/**
 * Number of failing readers at which the store itself may be down, so that no further instance reads permanently. The
 * others then only probe it, since it may also turn away many instances and serve the rest.
 */
const maxFailingReaders: Readonly<Record<SharedCollection, number>> = { config: 12, upstreams: 6, evacuations: 12 };
/** Mean time between two probes of a collection by any instances, while all first-ranked readers fail. */
export const probeIntervalMs = 500;

/** A live instance, which may become a reader. */
export interface ReaderCandidate {
    /** See `instanceKey`. */
    readonly key: number;
    readonly state: ReaderState;
}

/** Whether an instance reads permanently, makes a single read once in a while, or neither. */
export type ReaderRole = "read" | "probe" | "rest";

/**
 * Decides the role of an instance. Candidates are ranked by their keys, and failing ones are passed over. If the first
 * {@link maxFailingReaders} all fail, whoever the store answers reads. Instances with the same candidates reach the same
 * result without communication.
 *
 * @example
 * roleOf({ key: instanceKey(self.id), state: reader.state }, "upstreams", candidates);
 */
export const roleOf = (
    self: ReaderCandidate,
    collection: SharedCollection,
    others: Iterable<ReaderCandidate>,
): ReaderRole => {
    const ownRank = rankOf(self.key, collection);
    const count = readerCounts[collection];
    const successorCount = successorCounts[collection];
    let [available, failing, working, workingAnywhere] = [0, 0, 0, 0];
    for (const { key, state } of others) {
        const isBetter = rankOf(key, collection) < ownRank;
        workingAnywhere += state === "working" ? 1 : 0;
        if (isBetter) {
            available += state === "failing" ? 0 : 1;
            failing += state === "failing" ? 1 : 0;
            working += state === "working" ? 1 : 0;
        }
        if (working >= count) {
            return "rest";
        }
    }
    if (failing < maxFailingReaders[collection]) {
        return available < count + failing * (successorCount - 1) ? "read" : "rest";
    }
    if (self.state === "working" || self.state === "starting") {
        return "read";
    }
    return workingAnywhere < count && self.state === "idle" ? "probe" : "rest";
};

/** Ranks that begin at other keys, so that an instance of a large fleet does not read two collections. */
const rankOf = (key: number, collection: SharedCollection): number => (key ^ rankMasks[collection]) >>> 0;

const rankMasks: Readonly<Record<SharedCollection, number>> = { config: 0, upstreams: ~0, evacuations: 0x80_00_00_00 };
