/** Collects the log lines about one request. */
import type { LogLine } from "./log-line.js";

/** Time before and after an attempt in which other events of its upstream are included. */
const contextMs = 3_000;
/** Maximum events of one upstream; those nearest in time are included. */
const maxUpstreamLines = 12;

/** Lines of a request, and other lines about the upstreams to which it was sent. */
export interface RequestTimeline {
    readonly lines: readonly LogLine[];
    readonly upstreams: readonly { readonly upstream: string; readonly lines: readonly LogLine[]; }[];
}

/**
 * Collects the lines of a request, and those of its upstreams at about the same time.
 *
 * @example
 * requestTimeline(lines, "4711").lines.map(line => line.text);
 */
export const requestTimeline = (all: readonly LogLine[], request: string): RequestTimeline => {
    const lines = byTime(all.filter(({ fields }) => fields.get("request") === request));
    const attempts = lines.filter(({ event, fields }) => event === "attempt" && fields.has("upstream"));
    const upstreams = attempts.map(attempt => {
        const upstream = attempt.fields.get("upstream")!;
        const inWindow = all.filter(({ timeMs, fields }) =>
            fields.get("upstream") === upstream
            && fields.get("request") !== request
            && Math.abs(timeMs - attempt.timeMs) <= contextMs
        );
        const distance = (line: LogLine): number => Math.abs(line.timeMs - attempt.timeMs);
        const nearest = [...inWindow].sort((left, right) => distance(left) - distance(right)).slice(
            0,
            maxUpstreamLines,
        );
        return { upstream, lines: byTime(nearest) };
    });
    return { lines, upstreams };
};

const byTime = (lines: readonly LogLine[]): readonly LogLine[] =>
    [...lines].sort((left, right) => left.timeMs - right.timeMs);
