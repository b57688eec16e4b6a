import { test } from "uvu";
import * as assert from "uvu/assert";
import { id, type KeyId } from "../types.js";
import { TestFleet } from "./fixtures.js";
import { maxWithdrawals } from "./messages.js";

const key = (text: string) => id<KeyId>(text);
const stored = (fleet: TestFleet) =>
    (fleet.platform.peek("withdrawals")?.value as { keys: string[]; } | undefined)?.keys;

// Guards against a withdrawal that waits for the platform: it must reach every instance that can be reached within 5 s.
test("a withdrawal in an outage reaches all reachable instances, and the rest later", async () => {
    const fleet = new TestFleet();
    const instances = Array.from({ length: 44 }, (_, index) => fleet.start(`i${index}`));
    instances.forEach(({ withdrawals }) => withdrawals.stop());
    fleet.platform.faults.isUnavailable = true;
    fleet.network.dropMessages("i0", "i7");
    const report = await fleet.finish(instances[0]!.withdrawals.withdraw(key("paws-1")), 2_500);
    assert.equal(report, { heldBy: 43, of: 44, missing: ["i7" as never], isOnPlatform: false });
    assert.is(instances.filter(({ withdrawals }) => withdrawals.has(key("paws-1"))).length, 43);
    // The heartbeat of any other instance announces it to i7.
    instances[7]!.withdrawals.observePeerSize(instances[9]!.id, instances[9]!.withdrawals.size);
    await fleet.clock.advance(10);
    assert.ok(instances[7]!.withdrawals.has(key("paws-1")));
    fleet.platform.faults.isUnavailable = false;
    await fleet.finish(instances[20]!.store.refresh(), 10);
    assert.equal(stored(fleet), ["paws-1"]);
    const writes = fleet.platform.calls.writes;
    await fleet.finish(instances[21]!.store.refresh(), 10);
    assert.is(fleet.platform.calls.writes, writes);
});

// Guards against a restarted instance that admits a withdrawn key before it has the set, or that waits for the set
// forever.
test("an instance with a smaller set is behind until it has the set or loses its peer", async () => {
    const fleet = new TestFleet();
    const [first, second] = [fleet.start("i1"), fleet.start("i2")];
    fleet.platform.faults.isUnavailable = true;
    fleet.network.dropMessages("i2", "i1");
    second.withdrawals.observePeerSize(first.id, 1);
    assert.ok(second.store.isBehind());
    await fleet.clock.advance(3_100);
    assert.not(second.store.isBehind());
    fleet.network.heal();
    await fleet.finish(first.withdrawals.withdraw(key("a")), 10);
    const third = fleet.start("i3");
    third.withdrawals.observePeerSize(first.id, first.withdrawals.size);
    assert.ok(third.store.isBehind());
    await fleet.clock.advance(10);
    assert.equal([third.store.isBehind(), third.withdrawals.has(key("a"))], [false, true]);
});

// Guards against different sets of equal size, which heartbeats cannot show.
test("different sets of equal size are merged", async () => {
    const fleet = new TestFleet();
    const [first, second] = [fleet.start("i1"), fleet.start("i2")];
    fleet.platform.faults.isUnavailable = true;
    fleet.network.dropMessages("i1", "i2");
    fleet.network.dropMessages("i2", "i1");
    await fleet.finish(Promise.all([first.withdrawals.withdraw(key("a")), second.withdrawals.withdraw(key("b"))]));
    // One comparison must merge both sides.
    second.withdrawals.stop();
    fleet.network.heal();
    await fleet.clock.advance(3_000);
    for (const { withdrawals } of [first, second]) {
        assert.equal([withdrawals.size, withdrawals.has(key("a")), withdrawals.has(key("b"))], [2, true, true]);
    }
});

// Guards against withdrawals lost to concurrent writers or lost replies, and against a restart that loses them.
test("concurrent writers lose nothing and a new process loads the set", async () => {
    const fleet = new TestFleet();
    const instances = [0, 1, 2, 3].map(index => fleet.start(`i${index}`));
    fleet.platform.faults.lostReplies = 1;
    // Without contact, each writer learns of the others only by conflicts.
    instances.forEach(from => instances.forEach(to => fleet.network.dropMessages(from.id, to.id)));
    await fleet.finish(Promise.all(instances.map(({ withdrawals }, index) => withdrawals.withdraw(key(`k${index}`)))));
    assert.equal(stored(fleet), ["k0", "k1", "k2", "k3"]);
    const later = fleet.start("i9");
    await fleet.finish(later.store.refresh());
    assert.is(later.withdrawals.size, 4);
});

// Guards against an object written by hand that is overwritten, and against a set that exceeds the platform's limit.
test("a malformed object is kept and the size of the set is limited", async () => {
    const fleet = new TestFleet();
    const { withdrawals, log } = fleet.start("i1");
    await fleet.finish(fleet.platform.port().put("withdrawals", { keys: ["BAD KEY"] }, 0));
    const report = await fleet.finish(withdrawals.withdraw(key("a")));
    assert.is(report.isOnPlatform, false);
    assert.is(fleet.platform.peek("withdrawals")!.version, 1);
    await fleet.finish(withdrawals.synchronise());
    assert.is(log.events.filter(entry => entry.name === "config.withdrawals.rejected").length, 1);
    const keys = Array.from({ length: maxWithdrawals }, (_, index) => `k${index}`);
    await fleet.finish(fleet.platform.port().put("withdrawals", { keys }, 1));
    await fleet.finish(withdrawals.synchronise());
    assert.is(withdrawals.size, maxWithdrawals);
    for (const faulty of ["one-more", "BAD KEY", ""]) {
        try {
            await fleet.finish(withdrawals.withdraw(key(faulty)), 1);
            assert.unreachable();
        }
        catch (error) {
            assert.instance(error, RangeError);
        }
    }
});

test.run();
