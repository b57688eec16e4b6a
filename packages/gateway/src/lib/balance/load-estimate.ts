/** Estimates what is in flight at upstreams from reports that are older than most of the requests in them. */

/** What the instances of a zone had in flight. */
export interface RemoteLoad {
    /** Monotonic time to which the counts refer. */
    readonly atMs: number;
    /** Requests in flight by key of the upstream, see `nameKey`. */
    readonly inFlight: ReadonlyMap<number, number>;
}

/** An upstream that a request can be sent to. */
export interface LoadedUpstream {
    /** See `nameKey`. */
    readonly key: number;
    readonly slots: number;
}

/**
 * How fast differences between upstreams fade, in lower quartiles of the answer times. They fade faster than requests
 * end, since all instances avoid the upstreams that were reported as loaded.
 */
const fadePerAnswerTime = 0.75;

/**
 * Requests in flight from other instances that are to be expected at each upstream. The older a report is compared to
 * the time of an answer, the closer the estimate is to the mean: the requests that were reported have ended, and others
 * have been sent by instances that saw the same report. Without that, many instances send their requests to the few
 * upstreams that were idle a moment ago, which is worse than a random choice.
 *
 * @param answerTimeMs lower quartile of the time from the dispatch of a request to its answer
 * @example
 * expectedInFlight(upstreams, loads, clock.monotonicMs(), 150);
 */
export const expectedInFlight = (
    upstreams: readonly LoadedUpstream[],
    loads: readonly RemoteLoad[],
    nowMs: number,
    answerTimeMs: number,
): number[] => {
    const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const expected = upstreams.map(() => 0);
    for (const { atMs, inFlight } of loads) {
        const persistence = Math.exp(-fadePerAnswerTime * Math.max(0, nowMs - atMs) / answerTimeMs);
        const counts = upstreams.map(({ key }) => inFlight.get(key) ?? 0);
        const meanPerSlot = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, slots);
        counts.forEach((count, index) => {
            const mean = meanPerSlot * upstreams[index]!.slots;
            expected[index]! += mean + (count - mean) * persistence;
        });
    }
    return expected;
};
