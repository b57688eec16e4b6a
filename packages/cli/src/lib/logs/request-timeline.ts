/** What the logs of a fleet tell about one request. */
import type { LogLine } from "./log-line.js";

/** Time around an attempt within which other events of its upstream are shown. */
const aroundMs = 3_000;
/** Most events of one upstream; the nearest ones are shown. */
const maxUpstreamLines = 12;

/** Lines of a request, and what else was logged about the upstreams that it was sent to. */
export interface RequestTimeline {
    readonly lines: readonly LogLine[];
    readonly upstreams: readonly { readonly upstream: string; readonly lines: readonly LogLine[]; }[];
}

/**
 * Collects the lines of a request, and those on its upstreams at about the same time.
 *
 * @example
 * requestStory(lines, "4711").lines.map(line => line.text);
 */
export const requestTimeline = (all: readonly LogLine[], request: string): RequestTimeline => {
    const lines = byTime(all.filter(({ fields }) => fields.get("request") === request));
    const attempts = lines.filter(({ event, fields }) => event === "attempt" && fields.has("upstream"));
    const upstreams = attempts.map(attempt => {
        const upstream = attempt.fields.get("upstream")!;
        const near = all.filter(({ timeMs, fields }) =>
            fields.get("upstream") === upstream
            && fields.get("request") !== request
            && Math.abs(timeMs - attempt.timeMs) <= aroundMs
        );
        const distance = (line: LogLine): number => Math.abs(line.timeMs - attempt.timeMs);
        const nearest = [...near].sort((left, right) => distance(left) - distance(right)).slice(0, maxUpstreamLines);
        return { upstream, lines: byTime(nearest) };
    });
    return { lines, upstreams };
};

const byTime = (lines: readonly LogLine[]): readonly LogLine[] =>
    [...lines].sort((left, right) => left.timeMs - right.timeMs);
