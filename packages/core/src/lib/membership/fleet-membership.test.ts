import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ZoneId } from "../types.js";
import { TestFleet, testKeys } from "./test-fleet.js";
import type { TestInstance } from "./test-fleet.js";

const leaseSpanMs = 3_500;

/** Homes of all keys; a key without one is listed as "-". */
const homes = (fleet: TestFleet): readonly string[] => testKeys.map(key => fleet.homeOf(key) ?? "-");
const current = (fleet: TestFleet): number =>
    fleet.instances.filter(({ isRunning, membership }) => isRunning && membership.isCurrent()).length;
const at = (fleet: TestFleet, index: number): TestInstance => fleet.instances[index]!;

interface FaultCase {
    readonly name: string;
    readonly fault: (fleet: TestFleet) => void;
    /** Instances that must not be home of any key, nor current, after the fault. */
    readonly out: readonly number[];
    readonly isStillCurrent?: boolean;
    /** Some holders may be unable to judge the lost ones; then not every key has a home. */
    readonly end?: (fleet: TestFleet) => void;
}

const zoneOf = (fleet: TestFleet, zone: string): readonly TestInstance[] =>
    fleet.instances.filter(({ membership }) => membership.zone === zone);
const others = (fleet: TestFleet, instance: TestInstance): readonly TestInstance[] =>
    fleet.instances.filter(other => other !== instance);

const faultCases: readonly FaultCase[] = [
    { name: "kill", fault: fleet => fleet.kill(at(fleet, 2)), out: [2] },
    { name: "pause past every lease", fault: fleet => fleet.pause(at(fleet, 2)), out: [2] },
    {
        name: "cut of what an instance sends",
        fault: fleet => {
            fleet.cut([at(fleet, 2)], others(fleet, at(fleet, 2)), true);
            at(fleet, 2).isCutFromPlatform = true;
        },
        out: [2],
    },
    {
        name: "cut of what an instance hears",
        fault: fleet => {
            fleet.cut(others(fleet, at(fleet, 2)), [at(fleet, 2)], true);
            at(fleet, 2).isCutFromPlatform = true;
        },
        out: [2],
    },
    {
        name: "zone cut",
        fault: fleet => {
            const zone = zoneOf(fleet, "z1");
            fleet.cut(zone, fleet.instances.filter(other => !zone.includes(other)));
            zone.forEach(instance => instance.isCutFromPlatform = true);
        },
        out: [1, 4],
    },
    {
        name: "cut in one direction from the platform's side only",
        fault: fleet => fleet.cut([at(fleet, 2)], others(fleet, at(fleet, 2)), true),
        out: [2],
        isStillCurrent: true,
    },
];

for (const { name, fault, out, isStillCurrent } of faultCases) {
    // Guards against two homes of one key, against keys that stay without a home, and against currency without contact.
    test(`fault: ${name}`, async () => {
        const fleet = await TestFleet.ready(7);
        assert.not.ok(homes(fleet).includes("-"));
        fault(fleet);
        await fleet.run(2 * leaseSpanMs);
        const lost = out.map(index => at(fleet, index));
        assert.not.ok(homes(fleet).includes("-"));
        assert.not.ok(lost.some(instance => homes(fleet).includes(instance.name)));
        assert.is(
            lost.some(({ isRunning, membership }) => isRunning && membership.isCurrent()),
            isStillCurrent ?? false,
        );
        assert.ok(lost.every(({ membership }) => at(fleet, 0).membership.isGone(membership.self)));
        assert.equal(fleet.faults, []);
    });
}

// Guards against a resumed process that acts on rights from before its pause.
test("a resumed instance refuses until it has asked again", async () => {
    const fleet = await TestFleet.ready(7);
    const paused = at(fleet, 3);
    fleet.pause(paused);
    await fleet.run(60_000, 500);
    assert.not.ok(paused.membership.isCurrent());
    assert.ok(testKeys.every(key => paused.membership.coordinatorTerm(key) === undefined));
    fleet.resume(paused);
    assert.not.ok(paused.membership.isCurrent());
    await fleet.run(8_000);
    assert.ok(paused.membership.isCurrent());
    assert.is(fleet.seated(), 7);
    assert.equal(fleet.faults, []);
});

// Guards against an outage that stops service, and against a frozen roster that leaves keys without a home.
test("platform away: service by quorum, next seat is home", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(30_000, 200);
    assert.is(current(fleet), 7);
    fleet.kill(at(fleet, 1));
    fleet.kill(at(fleet, 5));
    await fleet.run(leaseSpanMs);
    assert.is(current(fleet), 5);
    assert.not.ok(homes(fleet).includes("-"));
    fleet.kill(at(fleet, 2));
    fleet.kill(at(fleet, 3));
    await fleet.run(2 * leaseSpanMs);
    assert.is(current(fleet), 0, "three of seven seats are no quorum");
    fleet.platform.faults.isUnavailable = false;
    await fleet.run(3_000);
    assert.is(current(fleet), 3);
    assert.equal(fleet.faults, []);
});

// Guards against a fleet that can never act again after it lost a quorum of holders: no quorum can exclude them.
test("lost quorum recovers by the instance list", async () => {
    const fleet = await TestFleet.ready(5);
    fleet.instances.slice(0, 4).forEach(instance => fleet.kill(instance));
    for (let index = 5; index < 9; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(20_000, 200);
    assert.equal([...new Set(homes(fleet))], ["-"]);
    await fleet.run(40_000, 200);
    assert.is(fleet.seated(), 5);
    assert.not.ok(homes(fleet).includes("-"));
    assert.equal(fleet.faults, []);
});

// Guards against a second seat for an instance whose write took effect although the reply was lost.
test("lost replies leave one seat each", async () => {
    const fleet = new TestFleet({ seats: 7 });
    fleet.platform.faults.lostReplies = 5;
    for (let index = 0; index < 7; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(12_000);
    const seats = at(fleet, 0).membership.roster().seats;
    assert.is(new Set(seats.map(seat => seat.holder)).size, 7);
    assert.not.ok(homes(fleet).includes("-"));
    assert.equal(fleet.faults, []);
});

// Guards against a join that works only with the platform, and against currency on a roster that no quorum shares.
test("join while the platform is away", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const joiner = fleet.start("joiner");
    assert.not.ok(joiner.membership.isCurrent());
    await fleet.run(2_000);
    assert.is(joiner.membership.roster().version, at(fleet, 0).membership.roster().version);
    assert.ok(joiner.membership.isCurrent());
    assert.ok(at(fleet, 0).membership.liveInstances().some(info => info.id === joiner.membership.self));
    assert.equal(fleet.faults, []);
});

// Guards against an outage in which graceful replacement loses seats, and against a return that undoes hand-overs.
test("six of seven replaced while the platform is away", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const handed: (string | undefined)[] = [];
    for (let index = 0; index < 6; index++) {
        const joiner = fleet.start(`new${index}`, at(fleet, index).info.zone);
        at(fleet, index).membership.onHandover(async successor => void handed.push(successor));
        await fleet.run(3_000);
        await fleet.leave(at(fleet, index));
        await fleet.run(3_000);
        assert.ok(joiner.membership.roster().seats.some(seat => seat.holder === joiner.membership.self));
    }
    assert.equal(handed, ["new0", "new1", "new2", "new3", "new4", "new5"]);
    assert.is(current(fleet), 7);
    assert.not.ok(homes(fleet).includes("-"));
    const before = homes(fleet);
    fleet.platform.faults.isUnavailable = false;
    await fleet.run(15_000);
    const stored = fleet.platform.peek("roster")!.value as { seats: { holder: string; }[]; };
    assert.ok(stored.seats.every(seat => seat.holder.startsWith("new") || seat.holder === "i6"));
    assert.equal(homes(fleet), before);
    assert.equal(fleet.faults, []);
});

// Guards against a graceful leave that keeps its seat, or that acts as home while it hands over.
test("leave vacates the seat, a joiner takes it", async () => {
    const fleet = await TestFleet.ready(7);
    const leaver = at(fleet, 4);
    let actedInHook = false;
    let successor: string | undefined = "none asked";
    leaver.membership.onHandover(async to => {
        successor = to;
        actedInHook = testKeys.some(key => leaver.membership.coordinatorTerm(key) !== undefined);
    });
    leaver.membership.onHandover(() => Promise.reject(new Error("a hook may fail")));
    await fleet.leave(leaver);
    assert.is(successor, undefined);
    assert.not.ok(actedInHook);
    assert.is(fleet.seated(), 6);
    assert.not.ok(at(fleet, 0).membership.liveInstances().some(info => info.id === leaver.membership.self));
    fleet.start("joiner");
    await fleet.run(9_000);
    assert.is(fleet.seated(), 7);
    assert.ok(at(fleet, 0).membership.isGone(leaver.membership.self));
    assert.not.ok(homes(fleet).includes("-"));
    assert.equal(fleet.faults, []);
});

// Guards against a leave that leaves its keys without a home for a lease while no other instance may act for them.
test("the next seat is home once the leaver says it stopped", async () => {
    const fleet = await TestFleet.ready(7);
    const leaver = at(fleet, 4);
    const keys = testKeys.filter(key => fleet.homeOf(key) === leaver.name);
    assert.ok(keys.length > 0);
    const epoch = leaver.membership.roster().seats.find(seat => seat.holder === leaver.membership.self)!.epoch;
    const next = keys.map(key => leaver.membership.nextHome(key));
    fleet.beginLeave(leaver);
    await fleet.run(100);
    assert.equal(keys.map(key => fleet.homeOf(key)), next);
    assert.equal(keys.map(key => at(fleet, 0).membership.coordinatorOf(key)), next);
    const terms = keys.map((key, index) =>
        fleet.instances.find(({ name }) => name === next[index])!.membership.coordinatorTerm(key)
    );
    assert.ok(terms.every(term => term?.predecessorEpoch === epoch));
    assert.equal(fleet.faults, []);
});

// Guards against a hand-over that changes zones at one roster version, and with them the holder seats of claims.
test("a seat is handed over within its zone only", async () => {
    const fleet = await TestFleet.ready(7);
    fleet.platform.faults.isUnavailable = true;
    await fleet.run(5_000);
    const joiner = fleet.start("joiner", "z1" as ZoneId);
    await fleet.run(3_000);
    await fleet.leave(at(fleet, 0));
    assert.not.ok(joiner.membership.roster().seats.some(seat => seat.holder === joiner.membership.self));
    await fleet.leave(at(fleet, 1));
    assert.is(joiner.membership.roster().seats.find(seat => seat.holder === joiner.membership.self)?.zone, "z1");
    assert.equal(fleet.faults, []);
});

// Guards against a hook that keeps an instance from leaving.
test("a hook that hangs ends with the time for it", async () => {
    const fleet = await TestFleet.ready(5);
    at(fleet, 1).membership.onHandover(() => new Promise(() => {}));
    await fleet.leave(at(fleet, 1));
    assert.is(fleet.seated(), 5);
    await fleet.run(6_000);
    assert.is(fleet.seated(), 4);
});

// Guards against a restart that keeps the rights of the former incarnation.
test("restart: the new incarnation waits for a seat", async () => {
    const fleet = await TestFleet.ready(5);
    fleet.kill(at(fleet, 0));
    const again = fleet.start("i0-again");
    await fleet.run(1_000);
    assert.ok(testKeys.every(key => again.membership.coordinatorTerm(key) === undefined));
    await fleet.run(14_000);
    assert.is(fleet.seated(), 5);
    assert.not.ok(homes(fleet).includes("-"));
    assert.equal(fleet.faults, []);
});

// Guards against currency on an old configuration: a peer holds a newer one and it cannot be fetched.
test("a newer revision at a peer ends currency", async () => {
    const fleet = await TestFleet.ready(5);
    const { membership } = at(fleet, 0);
    at(fleet, 1).revision = 7;
    await fleet.run(1_000);
    assert.ok(membership.isCurrent(), "differsAt fetched it");
    at(fleet, 0).revision = 6;
    assert.not.ok(membership.isCurrent());
});

// Guards against term ids that change without need, which would empty buckets, and against ids that stay after a gap.
test("a term lasts while the right does", async () => {
    const fleet = await TestFleet.ready(7);
    const key = testKeys[0]!;
    const home = fleet.instances.find(({ name }) => name === fleet.homeOf(key))!;
    const term = home.membership.coordinatorTerm(key)!;
    fleet.kill(fleet.instances.find(other => other !== home)!);
    fleet.start("joiner");
    await fleet.run(20_000);
    assert.is(fleet.seated(), 7);
    assert.is(home.membership.coordinatorTerm(key), term);
    fleet.pause(home);
    await fleet.run(2_500);
    fleet.resume(home);
    await fleet.run(4_000);
    assert.is.not(home.membership.coordinatorTerm(key)!.id, term.id);
    assert.equal(fleet.faults, []);
});

// Guards against holders that share a zone, and against keys that move with a change of holder.
test("holders are in distinct zones", async () => {
    const fleet = await TestFleet.ready(7);
    for (const key of testKeys) {
        const seats = at(fleet, 0).membership.replicaSeats(key, 3);
        assert.is(new Set(seats.map(seat => seat.zone)).size, 3);
    }
});

// Guards against a start that takes minutes because all instances write one object.
test("44 instances that start together are seated within 5 s", async () => {
    const fleet = new TestFleet({ seats: 44 });
    for (let index = 0; index < 44; index++) {
        fleet.start(`i${index}`);
    }
    await fleet.run(5_000, 500);
    assert.is(fleet.seated(), 44);
});

test.run();
