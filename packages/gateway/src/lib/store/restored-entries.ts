/** Tells entries of a restored copy from entries that were written again after the restore. */
import type { ListedUpstream } from "../model.js";

/** What is known of an upstream from before the store was restored. */
export interface FormerEntry {
    readonly listed: ListedUpstream;
    /** Revision of the entry in which the process was last live; undefined: not known. */
    readonly liveRevision: number | undefined;
    readonly isRemoved: boolean;
}

/**
 * Returns the entry to hold after a restore of the store. The copy may name as live an upstream that has since left or been
 * removed, or the process that has since been replaced. Requests to it would be lost or rejected, so it is held as leaving,
 * or as before, until its entry is written again.
 *
 * @example
 * reconcileRestored(listed, { listed: held, liveRevision: 50, isRemoved: false }).state; // "leaving"
 */
export const reconcileRestored = (listed: ListedUpstream, former: FormerEntry | undefined): ListedUpstream => {
    if (former === undefined || listed.startedMs > former.listed.startedMs) {
        return listed;
    }
    const wasUsed = !former.isRemoved && former.listed.state === "live";
    if (listed.startedMs < former.listed.startedMs) {
        const { state, entryRevision } = former.listed;
        return isUpTo(listed, entryRevision)
            ? { ...former.listed, state: former.isRemoved ? "leaving" : state, entryRevision: listed.entryRevision }
            : listed;
    }
    const isOfCopy = isUpTo(listed, former.liveRevision ?? former.listed.entryRevision);
    return !wasUsed && isOfCopy ? { ...listed, state: "leaving" } : listed;
};

/**
 * Returns the entry to hold within an epoch. An entry of the same revision is the same one, so what
 * {@link reconcileRestored} held in its place stays.
 */
export const reconcileUnchanged = (listed: ListedUpstream, held: ListedUpstream | undefined): ListedUpstream =>
    held?.entryRevision !== undefined
        && held.entryRevision === listed.entryRevision
        && (held.startedMs > listed.startedMs || held.startedMs === listed.startedMs && held.state === "leaving")
        ? held
        : listed;

/** Whether the entry may be as old as a revision; a revision that is not known may be any. */
const isUpTo = ({ entryRevision }: ListedUpstream, revision: number | undefined): boolean =>
    entryRevision === undefined || revision === undefined || entryRevision <= revision;
