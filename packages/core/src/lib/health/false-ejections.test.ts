import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestFleet } from "./test-fleet.js";

const runMs = 600_000;

const countEjections = async (fleet: TestFleet, startFault: () => void): Promise<number> => {
    fleet.startLoad(0.5);
    await fleet.clock.advance(5_000);
    startFault();
    await fleet.clock.advance(runMs);
    fleet.stopLoad();
    const events = fleet.logs.flatMap(({ events }) => events).filter(({ name }) => name === "upstream-ejected");
    console.log(`false ejections: ${events.length}, served: ${fleet.upstreams.map(({ served }) => served).join(" ")}`);
    return events.length;
};

// Guards against an ejection on the evidence of one instance that alone receives no responses of an upstream.
test("one instance without responses of one upstream causes no ejection", async () => {
    const fleet = new TestFleet({ instances: 44, zones: 3, upstreams: 6, slots: 3, seed: 11 });
    assert.is(await countEjections(fleet, () => fleet.lostAnswers.add("i5>u2")), 0);
});

// Guards against an instance whose incoming network fails, so that all upstreams appear to fail.
test("one instance without responses of any upstream causes no ejection", async () => {
    const fleet = new TestFleet({ instances: 44, zones: 4, upstreams: 8, slots: 2, seed: 12 });
    const cut = () => {
        fleet.upstreams.forEach(({ listed }) => fleet.lostAnswers.add(`i7>${listed.id}`));
        fleet.contexts.forEach(({ membership }) => fleet.network.dropMessages(membership.self, "i7"));
    };
    assert.is(await countEjections(fleet, cut), 0);
});

// Guards against detection by absolute latency: when all upstreams are slow, ejecting some would overload the rest.
test("a service that is slow as a whole has no ejection", async () => {
    const fleet = new TestFleet({ instances: 44, zones: 3, upstreams: 6, slots: 3, seed: 13 });
    assert.is(await countEjections(fleet, () => fleet.upstreams.forEach(upstream => upstream.slowFactor = 5)), 0);
});

test.run();
