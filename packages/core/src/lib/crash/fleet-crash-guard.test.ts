import { createHash } from "node:crypto";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RoutedRequest } from "../stages.js";
import {
    FakeNetwork,
    noopLog,
    noopMetrics,
    seededRandom,
    staticFleet,
    StaticMembership,
    testRequest,
    testUpstream,
    VirtualClock,
} from "../testing/index.js";
import type { InstanceId } from "../types.js";
import { FleetCrashGuard } from "./fleet-crash-guard.js";

const names = ["i1", "i2", "i3"];
const crash = { kind: "reset", isCrash: true } as const;
const successResult = {
    kind: "answer",
    draining: false,
    answer: { status: 200, headers: [], body: new Uint8Array(0) },
} as const;

const setUp = async () => {
    const clock = new VirtualClock();
    const network = new FakeNetwork({ clock, random: seededRandom(1), delayMs: () => 1 });
    const fleet = staticFleet(names, ["z1", "z2", "z3"]);
    const join = (name: string) => {
        const { peers, clock: own } = network.join(name as InstanceId);
        const membership = new StaticMembership(name as InstanceId, fleet);
        const sha256 = (data: string | Uint8Array) => createHash("sha256").update(data).digest("hex");
        return new FleetCrashGuard({ clock: own, sha256, peers, membership, log: noopLog, metrics: noopMetrics });
    };
    const guards = names.map(join);
    await clock.advance(3_000);
    const request = (target: string): RoutedRequest => testRequest(clock, { target });
    return { clock, network, fleet, guards, request, join };
};

// Guards against a request that continues to crash upstreams through other instances.
test("a second crash stops the request at all instances", async () => {
    const { clock, guards, request } = await setUp();
    guards[0]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(request("/bad")).kind), ["suspect", "suspect", "suspect"]);
    guards[1]!.recordResult(request("/bad"), testUpstream("u2"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(request("/bad")).kind), Array(3).fill("quarantined"));
    assert.equal(guards.map(guard => guard.check(request("/good")).kind), Array(3).fill("clear"));
});

// Guards against counting one crash twice when several instances report it.
test("one crash counts once", async () => {
    const { clock, guards, request } = await setUp();
    guards[0]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    guards[1]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    await clock.advance(2);
    assert.is(guards[2]!.check(request("/bad")).kind, "suspect");
});

// Guards against the quarantine of requests that were only in flight together with the one that crashes.
test("suspects run on separate upstreams and a completed one is cleared", async () => {
    const { clock, guards, request } = await setUp();
    const [bad, harmless] = [request("/bad"), request("/harmless")];
    guards[0]!.recordResult(bad, testUpstream("u1"), crash);
    guards[0]!.recordResult(harmless, testUpstream("u1"), crash);
    await clock.advance(2);
    const permits = [
        guards[1]!.acquirePermit(bad, testUpstream("u2")),
        guards[2]!.acquirePermit(harmless, testUpstream("u2")),
    ];
    await clock.advance(10);
    assert.equal((await Promise.all(permits)).filter(isGranted => isGranted).length, 1);
    guards[2]!.recordResult(harmless, testUpstream("u3"), successResult);
    guards[1]!.recordResult(bad, testUpstream("u2"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(harmless).kind), Array(3).fill("clear"));
    assert.is(guards[0]!.check(bad).kind, "quarantined");
});

// Guards against the loss of a suspicion with the instance that observed the crash.
test("a new instance synchronises the suspicions of its peers", async () => {
    const { clock, network, guards, request, join, fleet } = await setUp();
    guards[0]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    await clock.advance(2);
    network.kill("i1");
    fleet.excluded.add("i1" as InstanceId);
    fleet.roster = staticFleet([...names, "i4"], ["z1"]).roster;
    const joined = join("i4");
    const done = joined.synchronise();
    await clock.advance(600);
    await done;
    assert.is(joined.check(request("/bad")).kind, "suspect");
});

// Guards against a quarantine that ends neither with time nor when an operator lifts it.
test("a quarantine expires and can be lifted", async () => {
    const { clock, guards, request } = await setUp();
    const crashTwice = (target: string) => {
        guards[0]!.recordResult(request(target), testUpstream("u1"), crash);
        guards[0]!.recordResult(request(target), testUpstream("u2"), crash);
    };
    crashTwice("/a");
    crashTwice("/b");
    await clock.advance(2);
    assert.is(guards[1]!.check(request("/a")).kind, "quarantined");
    const fingerprint = guards[0]!.fingerprint(request("/a"));
    assert.ok(guards[0]!.lift(fingerprint));
    await clock.advance(2);
    assert.is(guards[1]!.check(request("/a")).kind, "clear");
    await clock.advance(600_000);
    assert.is(guards[1]!.check(request("/b")).kind, "clear");
});

// Guards against a lift that still applies after two more crashes, at instances that received it as a message.
test("crashes after a lift are counted from zero", async () => {
    const { clock, guards, request } = await setUp();
    const bad = request("/bad");
    const crashAt = async (guard: number, upstream: string) => {
        guards[guard]!.recordResult(bad, testUpstream(upstream), crash);
        await clock.advance(2);
    };
    await crashAt(0, "u1");
    await crashAt(1, "u2");
    assert.ok(guards[2]!.lift(guards[0]!.fingerprint(bad)));
    await clock.advance(2);
    await crashAt(0, "u1");
    assert.equal(guards.map(guard => guard.check(bad).kind), Array(3).fill("suspect"));
    await crashAt(1, "u2");
    assert.equal(guards.map(guard => guard.check(bad).kind), Array(3).fill("quarantined"));
});

// Guards against treating a lost connection to a live upstream as a crash.
test("a reset without a crash causes no suspicion", async () => {
    const { guards, request } = await setUp();
    guards[0]!.recordResult(request("/x"), testUpstream("u1"), { kind: "reset", isCrash: false });
    assert.is(guards[0]!.check(request("/x")).kind, "clear");
});

test.run();
