/** Parses the log lines of instances. */

/** A logged event. */
export interface LogLine {
    /** Unix time in milliseconds, by the clock of the instance. */
    readonly timeMs: number;
    readonly event: string;
    /** All fields except the time and the event, in their order. */
    readonly fields: ReadonlyMap<string, string>;
    /** The line from its `time` field on. */
    readonly text: string;
}

const fieldPattern = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

const unquote = (value: string): string => {
    if (!value.startsWith('"')) {
        return value;
    }
    try {
        return JSON.parse(value) as string;
    }
    catch {
        // The value of a truncated line has no closing quote; the part that is left is kept.
        return value.slice(1);
    }
};

/**
 * Parses one line; returns undefined for text that is not a logged event. A collector's prefix is ignored.
 *
 * @example
 * parseLogLine("time=1970-01-01T00:00:00.000Z event=start instance=a-1")?.event; // "start"
 */
export const parseLogLine = (line: string): LogLine | undefined => {
    const start = line.search(/\btime=\d{4}-/);
    if (start < 0) {
        return undefined;
    }
    const text = line.slice(start).trimEnd();
    const fields = new Map([...text.matchAll(fieldPattern)].map(([, key, value]) => [key!, unquote(value!)]));
    const timeMs = Date.parse(fields.get("time") ?? "");
    const event = fields.get("event");
    if (Number.isNaN(timeMs) || event === undefined) {
        return undefined;
    }
    fields.delete("time");
    fields.delete("event");
    return { timeMs, event, fields, text };
};
