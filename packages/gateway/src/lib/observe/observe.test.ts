import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LineWriter } from "./line-writer.js";
import { rateLimitedLog } from "./rate-limited-log.js";

// Guards against a stalled reader of standard output that blocks requests.
test("a full pipe blocks no write and uses bounded memory", () => {
    const pending: ((written: number) => void)[] = [];
    const texts: string[] = [];
    const writer = new LineWriter((bytes, done) => {
        texts.push(bytes.toString());
        pending.push(written => done(null, written));
    });
    for (let line = 0; line < 10_000; line++) {
        writer.write(`event=test number=${line} ${"x".repeat(100)}`);
    }
    assert.is(pending.length, 1);
    assert.ok(writer.droppedCount > 5_000);
    pending[0]!(texts[0]!.length);
    writer.write("event=after");
    pending[1]!(texts[1]!.length);
    assert.match(texts[2]!, /event=log-lines-dropped count=\d+\nevent=after/);
});

test("partial writes lose no bytes", async () => {
    const parts: string[] = [];
    const writer = new LineWriter((bytes, done) => {
        const written = Math.min(5, bytes.length);
        parts.push(bytes.subarray(0, written).toString());
        done(null, written);
    });
    writer.write("event=start");
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.is(parts.join(""), "event=start\n");
});

// Guards against a write for each line of a request, and against lines that are lost at the exit of the process.
test("lines are collected and written together, or at the exit", async () => {
    const texts: string[] = [];
    const writer = new LineWriter(
        (bytes, done) => {
            texts.push(bytes.toString());
            done(null, bytes.length);
        },
        { collectMs: 5, writeBytesSync: bytes => texts.push(`exit ${bytes.toString()}`) },
    );
    writer.write("event=first");
    writer.write("event=second");
    await new Promise(resolve => setTimeout(resolve, 100));
    writer.write("event=last");
    writer.flushSync();
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.equal(texts, ["event=first\nevent=second\n", "exit event=last\n"]);
});

// Guards against a log that grows with the load, and against omitting failures under load.
test("under load only events of successful requests are omitted", async () => {
    const clock = new VirtualClock();
    const names: string[] = [];
    const log = rateLimitedLog({ event: name => names.push(name) }, clock);
    for (let line = 0; line < 1_000; line++) {
        log.event("request-done", { status: 200 });
        log.event("request-done", { status: 503 });
    }
    assert.ok(names.length >= 1_000 && names.length <= 1_200);
    await clock.advance(1_000);
    log.event("request-done", { status: 200 });
    assert.ok(names.includes("routine-lines-omitted"));
});

test.run();
