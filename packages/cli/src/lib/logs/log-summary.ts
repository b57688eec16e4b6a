/** Summarizes the logs of a fleet. */
import type { LogLine } from "./log-line.js";

/** Requests that ended in one interval. */
export interface IntervalCounts {
    /** Seconds since the earliest `request-done` line. */
    readonly fromSeconds: number;
    readonly answered: number;
    /** Failed at an upstream, timed out, ended with an unknown outcome, or has no status (the caller disconnected). */
    readonly failed: number;
    /** Ended with status 4xx or 503, from an instance or from an upstream. */
    readonly refused: number;
}

/** A cause or event name, with the number of its occurrences. */
export interface CountedName {
    readonly name: string;
    readonly count: number;
}

/** Result of {@link summarizeLogs}. */
export interface LogSummary {
    readonly intervals: readonly IntervalCounts[];
    /** Outcomes of requests with their reasons, most frequent first. Numbers in reasons are replaced by N. */
    readonly causes: readonly CountedName[];
    /** Other events, most frequent first. */
    readonly events: readonly CountedName[];
}

type RequestClass = "answered" | "failed" | "refused";

const requestClassOf = ({ fields }: LogLine): RequestClass => {
    const status = Number(fields.get("status") ?? Number.NaN);
    if (status >= 200 && status < 400) {
        return "answered";
    }
    return status === 429 || status === 503 || status >= 400 && status < 500 ? "refused" : "failed";
};

/**
 * Counts requests by time and cause, and all other events.
 *
 * @example
 * summarizeLogs(lines, 2).causes[0]; // { name: "answer 200", count: 4627 }
 */
export const summarizeLogs = (lines: readonly LogLine[], intervalSeconds: number): LogSummary => {
    const completed = lines.filter(({ event }) => event === "request-done");
    const others = lines.filter(({ event }) => event !== "request-done");
    return {
        intervals: intervalsOf(completed, intervalSeconds),
        causes: countByName(completed.map(causeOf)),
        events: countByName(others.map(({ event }) => event)),
    };
};

const intervalsOf = (completed: readonly LogLine[], intervalSeconds: number): readonly IntervalCounts[] => {
    const startMs = completed.reduce((earliest, { timeMs }) => Math.min(earliest, timeMs), Infinity);
    const counts = new Map<number, Record<RequestClass, number>>();
    for (const line of completed) {
        const interval = Math.floor((line.timeMs - startMs) / 1_000 / intervalSeconds);
        const entry = counts.get(interval) ?? { answered: 0, failed: 0, refused: 0 };
        entry[requestClassOf(line)]++;
        counts.set(interval, entry);
    }
    return [...counts]
        .sort(([left], [right]) => left - right)
        .map(([interval, entry]) => ({ fromSeconds: interval * intervalSeconds, ...entry }));
};

const causeOf = ({ fields }: LogLine): string => {
    const reason = fields.get("reason")?.replace(/\d+(\.\d+)*/g, "N");
    return [fields.get("outcome"), fields.get("status"), reason].filter(part => part !== undefined).join(" ");
};

const countByName = (names: readonly string[]): readonly CountedName[] => {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return [...counts].map(([name, count]) => ({ name, count })).sort((left, right) => right.count - left.count);
};

/** Length of the longest bar in characters. */
const chartWidth = 60;

/** One bar for each interval: `#` answered, `x` failed, `-` refused. */
export const summaryChart = (intervals: readonly IntervalCounts[]): readonly string[] => {
    const totalOf = ({ answered, failed, refused }: IntervalCounts): number => answered + failed + refused;
    const maxTotal = Math.max(1, ...intervals.map(totalOf));
    const bar = (count: number, mark: string): string => mark.repeat(Math.round(count / maxTotal * chartWidth));
    return intervals.map(interval => {
        const { fromSeconds, answered, failed, refused } = interval;
        const label = `${String(fromSeconds).padStart(6)} s ${String(totalOf(interval)).padStart(6)} `;
        return `${label}${bar(answered, "#")}${bar(failed, "x")}${bar(refused, "-")}`;
    });
};
