/** Order of the store's states across restores from a copy, after which it issues revisions again. */

/** Revisions of the store stay below this number, and epochs below 2^21, so that ordinals are exact numbers. */
const revisionsPerEpoch = 2 ** 32;

/** Highest epoch whose ordinals are exact numbers. */
export const maxStoreEpoch = 2 ** 21 - 1;

/**
 * Combines an epoch and a revision to a number that orders the states of the store.
 *
 * @example
 * ordinalOf(1, 90) > ordinalOf(0, 100); // true
 */
export const ordinalOf = (epoch: number, revision: number): number => epoch * revisionsPerEpoch + revision;

/** Epoch of an ordinal. */
export const epochOf = (ordinal: number): number => Math.floor(ordinal / revisionsPerEpoch);

/** Revision of an ordinal within its epoch. */
export const revisionOf = (ordinal: number): number => ordinal % revisionsPerEpoch;
