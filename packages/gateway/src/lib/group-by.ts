/** `Map.groupBy`, which Node.js 20 lacks. */

/**
 * Groups entries by key, in order.
 *
 * @example
 * groupBy([1, 2, 3], value => value % 2); // Map { 1 => [1, 3], 0 => [2] }
 */
export const groupBy = <T, Key>(entries: Iterable<T>, keyOf: (entry: T) => Key): Map<Key, T[]> => {
    const groups = new Map<Key, T[]>();
    for (const entry of entries) {
        const key = keyOf(entry);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [entry]);
        }
        else {
            group.push(entry);
        }
    }
    return groups;
};
