/** How often aggregators send digests. */

/** Bounds of the interval between the digests of an aggregator. */
const boundsMs = { min: 350, max: 900 };
/** Time added to the interval for each instance of the zone, so that large zones receive no more bytes than small ones. */
const perInstanceMs = 15;

/** Interval between the digests of an aggregator of a zone with this number of other instances. */
export const digestIntervalOf = (zoneSize: number): number =>
    Math.min(boundsMs.max, Math.max(boundsMs.min, zoneSize * perInstanceMs));
