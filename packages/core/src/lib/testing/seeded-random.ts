/** Reproducible random numbers. */
import type { Random } from "../ports.js";

/**
 * Creates a random number generator with a fixed seed (mulberry32).
 *
 * @example
 * const random = seededRandom(7);
 * random(); // the same number in each run
 */
export const seededRandom = (seed: number): Random => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6D2B79F5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
};
