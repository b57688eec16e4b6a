/** Fits straight lines to measured points. */

/** A straight line. */
export interface Line {
    readonly slope: number;
    readonly base: number;
}

/** One measured value at one size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A line fitted to the repetitions of one measurement. */
export interface MeasuredLine extends Line {
    /** Distance between the smallest and the largest slope of the repetitions. */
    readonly noise: number;
}

/**
 * Median of values; the mean of the two middle ones for an even count.
 *
 * @example
 * median([3, 1, 2]); // 2
 */
export const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = Math.floor(sorted.length / 2);
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

/**
 * Least-squares line through points.
 *
 * @throws RangeError when there are fewer than two sizes.
 * @example
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }]); // { slope: 2, base: 1 }
 */
export const fitLine = (points: readonly Point[]): Line => {
    const meanSize = points.reduce((sum, { size }) => sum + size, 0) / points.length;
    const meanValue = points.reduce((sum, { value }) => sum + value, 0) / points.length;
    const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
    if (!(spread > 0)) {
        throw new RangeError("a line needs measurements at two sizes or more");
    }
    const slope = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0) / spread;
    return { slope, base: meanValue - slope * meanSize };
};

/**
 * Median of the lines of several repetitions, each with one point at each size. A repetition that another process
 * disturbed changes the noise, but not the median.
 *
 * @throws RangeError when there is no repetition, or one of them has fewer than two sizes.
 */
export const fitRepetitions = (repetitions: readonly (readonly Point[])[]): MeasuredLine => {
    if (repetitions.length === 0) {
        throw new RangeError("a line needs at least one repetition");
    }
    const lines = repetitions.map(fitLine);
    const slopes = lines.map(({ slope }) => slope);
    const noise = Math.max(...slopes) - Math.min(...slopes);
    return { slope: median(slopes), base: median(lines.map(({ base }) => base)), noise };
};
