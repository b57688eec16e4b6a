/** Short keys for names in messages between instances. */
import { hash32 } from "@sniperoad/core";

/** Number of memoized keys above which the memo is cleared, so that removed names do not accumulate. */
const maxMemoized = 10_000;
const memo = new Map<string, number>();

const keyOf = (name: string): number => {
    const found = memo.get(name);
    if (found !== undefined) {
        return found;
    }
    if (memo.size >= maxMemoized) {
        memo.clear();
    }
    const key = hash32(name);
    memo.set(name, key);
    return key;
};

/** 32-bit key of an instance's process. */
export const instanceKey = (instance: string): number => keyOf(instance);

/**
 * 24-bit key of an upstream or organisation. Two names of a fleet share a key with a probability below 0.2 % at 200
 * names; both then see each other's counts.
 *
 * @example
 * counts.get(nameKey(upstream));
 */
export const nameKey = (name: string): number => keyOf(name) & 0xFF_FF_FF;
