import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ZoneId } from "../types.js";
import { TestFleet, testKeys } from "./test-fleet.js";
import type { TestInstance } from "./test-fleet.js";

/** Longer than a lease (2 s) plus the delay until another holder has taken over. */
const takeoverMs = 3_500;

/** Coordinators of all keys; "-" for a key without a coordinator. */
const coordinators = (fleet: TestFleet): readonly string[] => testKeys.map(key => fleet.coordinatorOf(key) ?? "-");
const currentCount = (fleet: TestFleet): number =>
    fleet.instances.filter(({ isRunning, membership }) => isRunning && membership.isCurrent()).length;
const instanceAt = (fleet: TestFleet, index: number): TestInstance => fleet.instances[index]!;

interface FaultCase {
    readonly name: string;
    readonly fault: (fleet: TestFleet) => void;
    /** Indexes of the instances that must be neither the coordinator of a key nor current after the fault. */
    readonly affected: readonly number[];
    /** Whether the affected instances that still run stay current; default: false. */
    readonly isStillCurrent?: boolean;
    /** Some holders may be unable to judge the lost instances; in that case, not every key has a coordinator. */
    readonly end?: (fleet: TestFleet) => void;
}

const instancesInZone = (fleet: TestFleet, zone: string): readonly TestInstance[] =>
    fleet.instances.filter(({ membership }) => membership.zone === zone);
const others = (fleet: TestFleet, instance: TestInstance): readonly TestInstance[] =>
    fleet.instances.filter(other => other !== instance);

const faultCases: readonly FaultCase[] = [
    { name: "kill", fault: fleet => fleet.kill(instanceAt(fleet, 2)), affected: [2] },
    { name: "pause longer than every lease", fault: fleet => fleet.pause(instanceAt(fleet, 2)), affected: [2] },
    {
        name: "outgoing messages lost",
        fault: fleet => {
            fleet.partition([instanceAt(fleet, 2)], others(fleet, instanceAt(fleet, 2)), true);
            instanceAt(fleet, 2).isCutOffFromPlatform = true;
        },
        affected: [2],
    },
    {
        name: "incoming messages lost",
        fault: fleet => {
            fleet.partition(others(fleet, instanceAt(fleet, 2)), [instanceAt(fleet, 2)], true);
            instanceAt(fleet, 2).isCutOffFromPlatform = true;
        },
        affected: [2],
    },
    {
        name: "zone partition",
        fault: fleet => {
            const zone = instancesInZone(fleet, "z1");
            fleet.partition(zone, fleet.instances.filter(other => !zone.includes(other)));
            zone.forEach(instance => instance.isCutOffFromPlatform = true);
        },
        affected: [1, 4],
    },
    {
        name: "outgoing messages to peers lost, platform reachable",
        fault: fleet => fleet.partition([instanceAt(fleet, 2)], others(fleet, instanceAt(fleet, 2)), true),
        affected: [2],
        isStillCurrent: true,
    },
];

for (const { name, fault, affected, isStillCurrent } of faultCases) {
    // Guards against two coordinators of one key, keys that stay without a coordinator, and instances that stay current
    // without contact.
    test(`fault: ${name}`, async () => {
        const fleet = await TestFleet.ready(7);
        assert.not.ok(coordinators(fleet).includes("-"));
        fault(fleet);
        await fleet.run(2 * takeoverMs);
        const lost = affected.map(index => instanceAt(fleet, index));
        assert.not.ok(coordinators(fleet).includes("-"));
        assert.not.ok(lost.some(instance => coordinators(fleet).includes(instance.name)));
        assert.is(
            lost.some(({ isRunning, membership }) => isRunning && membership.isCurrent()),
            isStillCurrent ?? false,
        );
        assert.ok(lost.every(({ membership }) => instanceAt(fleet, 0).membership.isGone(membership.self)));
        assert.equal(fleet.violations, []);
    });
}

// Guards against a resumed process that acts on leases from before its pause.
test("a resumed instance is not current until it has renewed contact", async () => {
    const fleet = await TestFleet.ready(7);
    const paused = instanceAt(fleet, 3);
    fleet.pause(paused);
    await fleet.run(60_000, 500);
    assert.not.ok(paused.membership.isCurrent());
    assert.ok(testKeys.every(key => paused.membership.coordinatorTerm(key) === undefined));
    fleet.resume(paused);
    assert.not.ok(paused.membership.isCurrent());
    await fleet.run(8_000);
    assert.ok(paused.membership.isCurrent());
    assert.is(fleet.seatedCount(), 7);
    assert.equal(fleet.violations, []);
});

// Guards against a platform outage that stops service or that leaves keys without a coordinator while the roster cannot
// change.
test("platform unavailable: a quorum stays current, the next seat's holder becomes coordinator", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(30_000, 200);
    assert.is(currentCount(fleet), 7);
    fleet.kill(instanceAt(fleet, 1));
    fleet.kill(instanceAt(fleet, 5));
    await fleet.run(takeoverMs);
    assert.is(currentCount(fleet), 5);
    assert.not.ok(coordinators(fleet).includes("-"));
    fleet.kill(instanceAt(fleet, 2));
    fleet.kill(instanceAt(fleet, 3));
    await fleet.run(2 * takeoverMs);
    assert.is(currentCount(fleet), 0, "three of seven seats are no quorum");
    fleet.platform.faults.isUnavailable = false;
    await fleet.run(3_000);
    assert.is(currentCount(fleet), 3);
    assert.equal(fleet.violations, []);
});

// Guards against a fleet that cannot recover after losing a quorum of holders, because no quorum is left to exclude
// them.
test("a lost quorum recovers through the instance list", async () => {
    const fleet = await TestFleet.ready(5);
    fleet.instances.slice(0, 4).forEach(instance => fleet.kill(instance));
    for (let index = 5; index < 9; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(20_000, 200);
    assert.equal([...new Set(coordinators(fleet))], ["-"]);
    await fleet.run(40_000, 200);
    assert.is(fleet.seatedCount(), 5);
    assert.not.ok(coordinators(fleet).includes("-"));
    assert.equal(fleet.violations, []);
});

// Guards against a second seat for an instance whose write took effect although its reply was lost.
test("each instance has one seat after lost replies", async () => {
    const fleet = new TestFleet({ seats: 7 });
    fleet.platform.faults.lostReplies = 5;
    for (let index = 0; index < 7; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(12_000);
    const seats = instanceAt(fleet, 0).membership.roster().seats;
    assert.is(new Set(seats.map(seat => seat.holder)).size, 7);
    assert.not.ok(coordinators(fleet).includes("-"));
    assert.equal(fleet.violations, []);
});

// Guards against joins that need the platform, and against being current on a roster that no quorum holds.
test("join while the platform is unavailable", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const joiner = fleet.start("joiner");
    assert.not.ok(joiner.membership.isCurrent());
    await fleet.run(2_000);
    assert.is(joiner.membership.roster().version, instanceAt(fleet, 0).membership.roster().version);
    assert.ok(joiner.membership.isCurrent());
    assert.ok(instanceAt(fleet, 0).membership.liveInstances().some(info => info.id === joiner.membership.self));
    assert.equal(fleet.violations, []);
});

// Guards against losing seats in graceful replacements during an outage, and against undoing handovers after it.
test("six of seven instances replaced while the platform is unavailable", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const successors: (string | undefined)[] = [];
    for (let index = 0; index < 6; index++) {
        const joiner = fleet.start(`new${index}`, instanceAt(fleet, index).info.zone);
        instanceAt(fleet, index).membership.onHandover(async successor => void successors.push(successor));
        await fleet.run(3_000);
        await fleet.leave(instanceAt(fleet, index));
        await fleet.run(3_000);
        assert.ok(joiner.membership.roster().seats.some(seat => seat.holder === joiner.membership.self));
    }
    assert.equal(successors, ["new0", "new1", "new2", "new3", "new4", "new5"]);
    assert.is(currentCount(fleet), 7);
    assert.not.ok(coordinators(fleet).includes("-"));
    const before = coordinators(fleet);
    fleet.platform.faults.isUnavailable = false;
    await fleet.run(15_000);
    const stored = fleet.platform.peek("roster")!.value as { seats: { holder: string; }[]; };
    assert.ok(stored.seats.every(seat => seat.holder.startsWith("new") || seat.holder === "i6"));
    assert.equal(coordinators(fleet), before);
    assert.equal(fleet.violations, []);
});

// Guards against a leaving instance that keeps its seat or acts as coordinator during its handover.
test("leaving vacates the seat, and a joining instance takes it", async () => {
    const fleet = await TestFleet.ready(7);
    const leaving = instanceAt(fleet, 4);
    let actedInHook = false;
    let successor: string | undefined = "hook not called";
    leaving.membership.onHandover(async to => {
        successor = to;
        actedInHook = testKeys.some(key => leaving.membership.coordinatorTerm(key) !== undefined);
    });
    leaving.membership.onHandover(() => Promise.reject(new Error("a hook may fail")));
    await fleet.leave(leaving);
    assert.is(successor, undefined);
    assert.not.ok(actedInHook);
    assert.is(fleet.seatedCount(), 6);
    assert.not.ok(instanceAt(fleet, 0).membership.liveInstances().some(info => info.id === leaving.membership.self));
    fleet.start("joiner");
    await fleet.run(9_000);
    assert.is(fleet.seatedCount(), 7);
    assert.ok(instanceAt(fleet, 0).membership.isGone(leaving.membership.self));
    assert.not.ok(coordinators(fleet).includes("-"));
    assert.equal(fleet.violations, []);
});

// Guards against keys that have no coordinator for one lease after an instance leaves.
test("the next seat's holder becomes coordinator after a stop notice", async () => {
    const fleet = await TestFleet.ready(7);
    const leaving = instanceAt(fleet, 4);
    const keys = testKeys.filter(key => fleet.coordinatorOf(key) === leaving.name);
    assert.ok(keys.length > 0);
    const epoch = leaving.membership.roster().seats.find(seat => seat.holder === leaving.membership.self)!.epoch;
    const next = keys.map(key => leaving.membership.nextCoordinator(key));
    fleet.beginLeave(leaving);
    await fleet.run(100);
    assert.equal(keys.map(key => fleet.coordinatorOf(key)), next);
    assert.equal(keys.map(key => instanceAt(fleet, 0).membership.coordinatorOf(key)), next);
    const terms = keys.map((key, index) =>
        fleet.instances.find(({ name }) => name === next[index])!.membership.coordinatorTerm(key)
    );
    assert.ok(terms.every(term => term?.predecessorEpoch === epoch));
    assert.equal(fleet.violations, []);
});

// Guards against a handover that changes zones, and with them the replica seats of claims, within one roster version.
test("a seat is handed over within its zone only", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const joiner = fleet.start("joiner", "z1" as ZoneId);
    await fleet.run(3_000);
    await fleet.leave(instanceAt(fleet, 0));
    assert.not.ok(joiner.membership.roster().seats.some(seat => seat.holder === joiner.membership.self));
    await fleet.leave(instanceAt(fleet, 1));
    assert.is(joiner.membership.roster().seats.find(seat => seat.holder === joiner.membership.self)?.zone, "z1");
    assert.equal(fleet.violations, []);
});

// Guards against a hook that prevents an instance from leaving.
test("a hook that hangs is abandoned after the handover timeout", async () => {
    const fleet = await TestFleet.ready(5);
    instanceAt(fleet, 1).membership.onHandover(() => new Promise(() => {}));
    await fleet.leave(instanceAt(fleet, 1));
    assert.is(fleet.seatedCount(), 5);
    await fleet.run(6_000);
    assert.is(fleet.seatedCount(), 4);
});

// Guards against a restarted process that keeps the leases of its former incarnation.
test("restart: the new incarnation waits for a seat", async () => {
    const fleet = await TestFleet.ready(5);
    fleet.kill(instanceAt(fleet, 0));
    const restarted = fleet.start("i0-again");
    await fleet.run(1_000);
    assert.ok(testKeys.every(key => restarted.membership.coordinatorTerm(key) === undefined));
    await fleet.run(14_000);
    assert.is(fleet.seatedCount(), 5);
    assert.not.ok(coordinators(fleet).includes("-"));
    assert.equal(fleet.violations, []);
});

// Guards against staying current on an old configuration while a peer holds a newer one that cannot be fetched.
test("an instance is not current while a peer holds a newer revision", async () => {
    const fleet = await TestFleet.ready(5);
    const { membership } = instanceAt(fleet, 0);
    instanceAt(fleet, 1).revision = 7;
    await fleet.run(1_000);
    assert.ok(membership.isCurrent(), "onPeerMismatch fetched it");
    instanceAt(fleet, 0).revision = 6;
    assert.not.ok(membership.isCurrent());
});

// Guards against term ids that change unnecessarily, which would empty buckets, and against ids that survive a gap.
test("a term lasts as long as the lease is uninterrupted", async () => {
    const fleet = await TestFleet.ready(7);
    const key = testKeys[0]!;
    const coordinator = fleet.instances.find(({ name }) => name === fleet.coordinatorOf(key))!;
    const term = coordinator.membership.coordinatorTerm(key)!;
    fleet.kill(fleet.instances.find(other => other !== coordinator)!);
    fleet.start("joiner");
    await fleet.run(20_000);
    assert.is(fleet.seatedCount(), 7);
    assert.is(coordinator.membership.coordinatorTerm(key), term);
    fleet.pause(coordinator);
    await fleet.run(2_500);
    fleet.resume(coordinator);
    await fleet.run(4_000);
    assert.is.not(coordinator.membership.coordinatorTerm(key)!.id, term.id);
    assert.equal(fleet.violations, []);
});

// Guards against replica seats that share a zone.
test("replica seats are in distinct zones", async () => {
    const fleet = await TestFleet.ready(7);
    for (const key of testKeys) {
        const seats = instanceAt(fleet, 0).membership.replicaSeats(key, 3);
        assert.is(new Set(seats.map(seat => seat.zone)).size, 3);
    }
});

// Guards against a startup that takes minutes because all instances write the same object.
test("44 instances that start together are seated within 5 s", async () => {
    const fleet = new TestFleet({ seats: 44 });
    for (let index = 0; index < 44; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(5_000, 500);
    assert.is(fleet.seatedCount(), 44);
});

test.run();
