/** How often aggregators send digests and outcomes. */

/** Bounds of the interval between the digests of an aggregator. */
const boundsMs = { min: 350, max: 900 };
/** Time added to the interval for each instance of the zone, so that large zones receive no more bytes than small ones. */
const perInstanceMs = 15;

/** Interval between the digests of an aggregator of a zone with this number of other instances. */
export const digestIntervalOf = (zoneSize: number): number =>
    Math.min(boundsMs.max, Math.max(boundsMs.min, zoneSize * perInstanceMs));

/** Bounds of the minimum time between urgent messages of an aggregator. */
const urgentBoundsMs = { min: 40, max: 150 };
/** Time added to it for each instance of the zone, since large zones have more outcomes to report. */
const urgentPerInstanceMs = 2.5;
/** Minimum time between urgent messages of a standby, which only make up for lost ones. */
const standbyUrgentMs = 180;

/** Minimum time between urgent messages of an aggregator of a zone with this number of other instances. */
export const urgentGapOf = (zoneSize: number, isStandby: boolean): number =>
    isStandby
        ? standbyUrgentMs
        : Math.min(urgentBoundsMs.max, Math.max(urgentBoundsMs.min, zoneSize * urgentPerInstanceMs));
