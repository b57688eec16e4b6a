import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { playHedging } from "../balance/hedging-service.fixture.js";
import { knownUpstream, reportsService } from "../testing/index.js";
import { RejectionMonitor } from "./rejection-monitor.js";

const setUp = (others = 0) => {
    const clock = new VirtualClock();
    const recorded: string[] = [];
    const monitor = new RejectionMonitor({
        clock,
        usage: () => ({ admitted: others, offered: 0 }),
        requestsPerSecond: () => 100,
        outcomes: { record: (upstream, kind) => void recorded.push(`${upstream} ${kind}`) },
    });
    return { clock, recorded, monitor };
};

// Guards against an upstream that attracts requests because it rejects them, and against avoiding one that is full.
test("a rejection counts against an upstream with room only", async () => {
    const { clock, recorded, monitor } = setUp();
    monitor.recordRejection(knownUpstream("u1", { slots: 3 }), 1);
    monitor.recordRejection(knownUpstream("u2", { slots: 3 }), 3);
    await clock.advance(1_100);
    assert.equal(recorded, ["u1 silence"]);
    assert.equal(monitor.report(), [{ organisation: `rejections/${reportsService}`, admitted: 1, offered: 0 }]);
});

// Guards against avoiding the upstreams that rejected first when all of a service reject.
test("rejections by a whole service, which others report, count against no upstream", async () => {
    const { clock, recorded, monitor } = setUp(60);
    monitor.recordRejection(knownUpstream("u1"), 0);
    await clock.advance(1_100);
    assert.equal(recorded, []);
});

const shares = (arrivals: readonly number[]): readonly number[] => {
    const mean = arrivals.reduce((sum, count) => sum + count, 0) / arrivals.length;
    return arrivals.map(count => count / mean);
};

// Guards against both, with dispatchers, estimators and reports of several instances.
test("one rejecting upstream gets few requests, and all of them get the same", async () => {
    const [one, all] = await Promise.all([
        playHedging({ trouble: "one-rejects" }),
        playHedging({ trouble: "all-reject" }),
    ]);
    assert.ok(shares(one.arrivals)[0]! < 0.6, `${shares(one.arrivals)[0]} of the mean`);
    assert.ok(Math.max(...shares(all.arrivals)) < 1.4, `busiest to mean ${Math.max(...shares(all.arrivals))}`);
});

test.run();
