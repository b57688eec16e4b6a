import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEventLog, formatEvent } from "./event-log.js";

const values: readonly (readonly [value: string | number | boolean | undefined, text: string])[] = [
    ["plain", " key=plain"],
    ["10.0.0.1:80", " key=10.0.0.1:80"],
    ["", ' key=""'],
    ["two words", ' key="two words"'],
    ["a=b", ' key="a=b"'],
    ['say "x"', ' key="say \\"x\\""'],
    ["line\nevent=forged", ' key="line\\nevent=forged"'],
    ["\u001b[2J", ' key="\\u001b[2J"'],
    [1.5, " key=1.5"],
    [true, " key=true"],
    [undefined, ""],
];

// Guards against callers that forge log lines or fields with the data they send.
test("each event is one line with quoted values", () => {
    for (const [key, text] of values) {
        assert.is(formatEvent(new Date(0), "test", { key }), `time=1970-01-01T00:00:00.000Z event=test${text}`);
    }
});

// Guards against log lines that are lost, merged or lack the instance name.
test("events are written once and in order", () => {
    const lines: string[] = [];
    const log = createEventLog({ instance: "a-1", write: line => lines.push(line) });
    log.event("first", { port: 1 });
    log.event("second", {});
    assert.equal(lines.map(line => line.replace(/^time=\S+ /, "")), [
        "event=first instance=a-1 port=1",
        "event=second instance=a-1",
    ]);
});

test.run();
