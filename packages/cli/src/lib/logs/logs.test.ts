import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseLogLine } from "./log-line.js";
import { summarizeLogs, summaryChart } from "./log-summary.js";
import { requestTimeline } from "./request-timeline.js";

const at = (seconds: number): string => `time=${new Date(seconds * 1_000).toISOString()}`;
const linesOf = (...texts: readonly string[]) => texts.map(text => parseLogLine(text)!);

// Guards against misreading lines with a collector's prefix, and values with spaces or quotes.
for (
    const [name, text, expected] of [
        ["a plain line", `${at(0)} event=start instance=a-1`, { instance: "a-1" }],
        ["a prefix", `  1.5 host-3 ${at(0)} event=start instance=a-1`, { instance: "a-1" }],
        ["a quoted value", `${at(0)} event=x reason="it said \\"no\\""`, { reason: 'it said "no"' }],
        ["a truncated value", `${at(0)} event=x reason="it`, { reason: "it" }],
        ["other text", "GET / 200", undefined],
        ["no event", `${at(0)} instance=a-1`, undefined],
        ["a bad time", "time=2026-99-99T00:00:00Z event=x", undefined],
    ] as const
) {
    test(`log lines: ${name}`, () => {
        const line = parseLogLine(text);
        assert.equal(line === undefined ? undefined : Object.fromEntries(line.fields), expected);
    });
}

// Guards against a timeline without the events that explain the selection of the upstream.
test("a timeline contains the request and its upstream's other events at that time", () => {
    const lines = linesOf(
        `${at(2)} event=request-done request=r1 outcome=answer status=500`,
        `${at(1)} event=attempt request=r1 upstream=u1 status=500`,
        `${at(1.5)} event=attempt request=r2 upstream=u1 status=500`,
        `${at(9)} event=attempt request=r3 upstream=u1 status=200`,
        `${at(1)} event=attempt request=r4 upstream=u2 status=200`,
    );
    const { lines: own, upstreams } = requestTimeline(lines, "r1");
    assert.equal(own.map(({ event }) => event), ["attempt", "request-done"]);
    assert.equal(upstreams.map(entry => entry.lines.map(({ fields }) => fields.get("request"))), [["r2"]]);
});

test("a summary counts requests by time and cause", () => {
    const lines = linesOf(
        `${at(10)} event=request-done outcome=answer status=200`,
        `${at(11)} event=request-done outcome=over-rate status=429 reason="a has 9 of 8"`,
        `${at(11)} event=request-done outcome=over-rate status=429 reason="a has 12 of 8"`,
        `${at(13)} event=request-done outcome=unknown status=504 reason="no answer in time"`,
        `${at(13)} event=store-lost`,
    );
    const { intervals, causes, events } = summarizeLogs(lines, 2);
    assert.equal(intervals, [
        { fromSeconds: 0, answered: 1, failed: 0, refused: 2 },
        { fromSeconds: 2, answered: 0, failed: 1, refused: 0 },
    ]);
    assert.equal(causes[0], { name: "over-rate 429 a has N of N", count: 2 });
    assert.equal(events, [{ name: "store-lost", count: 1 }]);
    assert.equal(summaryChart(intervals).map(line => line.replace(/[^#x-]/g, "").length), [60, 20]);
});

test.run();
