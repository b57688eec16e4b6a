/** Text form of a collection in lines, so that it can be sent in parts. */
import * as z from "zod";
import { StateFormatError } from "../errors.js";

const headSchema = z.strictObject({ fields: z.record(z.string(), z.unknown()), lists: z.array(z.string()) });
const itemSchema = z.tuple([z.string(), z.unknown()]);

/**
 * Converts a value to lines: one with its fields, and one for each item of its lists. The same items in the same order
 * give the same lines at each instance.
 *
 * @example
 * toLines({ version: 3, routes: [{ id: "a" }] });
 * // ['{"fields":{"version":3},"lists":["routes"]}', '["routes",{"id":"a"}]']
 */
export const toLines = (value: object): readonly string[] => {
    const entries = Object.entries(value);
    const lists = entries.filter((entry): entry is [string, unknown[]] => Array.isArray(entry[1]));
    const fields = Object.fromEntries(entries.filter(([, field]) => !Array.isArray(field)));
    return [
        JSON.stringify({ fields, lists: lists.map(([name]) => name) }),
        ...lists.flatMap(([name, items]) => items.map(item => JSON.stringify([name, item]))),
    ];
};

/**
 * Converts lines back to the value; the inverse of {@link toLines}.
 *
 * @throws StateFormatError if a line is not one that {@link toLines} writes
 */
export const fromLines = (lines: readonly string[]): Readonly<Record<string, unknown>> => {
    const head = headSchema.safeParse(parse(lines[0] ?? ""));
    if (!head.success) {
        throw new StateFormatError("a state does not begin with its fields; run the same release on all instances");
    }
    const items = new Map(head.data.lists.map((name): [string, unknown[]] => [name, []]));
    for (const line of lines.slice(1)) {
        const item = itemSchema.safeParse(parse(line));
        const list = item.success ? items.get(item.data[0]) : undefined;
        if (!item.success || list === undefined) {
            throw new StateFormatError("a line of a state is in no list; run the same release on all instances");
        }
        list.push(item.data[1]);
    }
    return { ...head.data.fields, ...Object.fromEntries(items) };
};

const parse = (line: string): unknown => {
    try {
        return JSON.parse(line);
    }
    catch {
        // The schemas reject undefined with an error that names the remedy.
        return undefined;
    }
};
