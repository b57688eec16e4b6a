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
const answer = {
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

// Guards against a request that goes on crashing upstreams through other instances.
test("second crash stops the request everywhere", async () => {
    const { clock, guards, request } = await setUp();
    guards[0]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(request("/bad")).kind), ["suspect", "suspect", "suspect"]);
    guards[1]!.recordResult(request("/bad"), testUpstream("u2"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(request("/bad")).kind), Array(3).fill("quarantined"));
    assert.equal(guards.map(guard => guard.check(request("/good")).kind), Array(3).fill("clear"));
});

// Guards against one crash that several instances report being counted twice.
test("one crash counts once", async () => {
    const { clock, guards, request } = await setUp();
    guards[0]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    guards[1]!.recordResult(request("/bad"), testUpstream("u1"), crash);
    await clock.advance(2);
    assert.is(guards[2]!.check(request("/bad")).kind, "suspect");
});

// Guards against the quarantine of requests that were only in flight beside the one that crashes.
test("suspects run apart and a completed one is cleared", async () => {
    const { clock, guards, request } = await setUp();
    const [bad, beside] = [request("/bad"), request("/beside")];
    guards[0]!.recordResult(bad, testUpstream("u1"), crash);
    guards[0]!.recordResult(beside, testUpstream("u1"), crash);
    await clock.advance(2);
    const permits = [
        guards[1]!.acquirePermit(bad, testUpstream("u2")),
        guards[2]!.acquirePermit(beside, testUpstream("u2")),
    ];
    await clock.advance(10);
    assert.equal((await Promise.all(permits)).filter(isGranted => isGranted).length, 1);
    guards[2]!.recordResult(beside, testUpstream("u3"), answer);
    guards[1]!.recordResult(bad, testUpstream("u2"), crash);
    await clock.advance(2);
    assert.equal(guards.map(guard => guard.check(beside).kind), Array(3).fill("clear"));
    assert.is(guards[0]!.check(bad).kind, "quarantined");
});

// Guards against suspicion that is lost with the instance that saw the crash.
test("a new instance learns what peers know", async () => {
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

// Guards against a quarantine that neither time nor an operator ends.
test("quarantine ends by time or override", async () => {
    const { clock, guards, request } = await setUp();
    const crashTwice = (target: string) => {
        guards[0]!.recordResult(request(target), testUpstream("u1"), crash);
        guards[0]!.recordResult(request(target), testUpstream("u2"), crash);
    };
    crashTwice("/a");
    crashTwice("/b");
    await clock.advance(2);
    assert.is(guards[1]!.check(request("/a")).kind, "quarantined");
    const event = guards[0]!.fingerprint(request("/a"));
    assert.ok(guards[0]!.lift(event));
    await clock.advance(2);
    assert.is(guards[1]!.check(request("/a")).kind, "clear");
    await clock.advance(600_000);
    assert.is(guards[1]!.check(request("/b")).kind, "clear");
});

// Guards against an override that outlives two further crashes at the instances that only heard of it.
test("crashes after an override count anew", async () => {
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

// Guards against a lost connection of a living upstream being taken for a crash.
test("a reset without a crash suspects nothing", async () => {
    const { guards, request } = await setUp();
    guards[0]!.recordResult(request("/x"), testUpstream("u1"), { kind: "reset", isCrash: false });
    assert.is(guards[0]!.check(request("/x")).kind, "clear");
});

test.run();
