import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetConfig } from "../config.js";
import type { PlatformObject } from "../ports.js";
import { id, type KeyId } from "../types.js";
import { configWithRevision, TestFleet, type TestInstance } from "./fixtures.js";

const write = (fleet: TestFleet, value: unknown) =>
    fleet.finish(fleet.platform.port().put("config", value, fleet.platform.peek("config")?.version ?? 0), 2);

// Guards against changes that wait for the next poll although the watch works.
test("a change arrives by a watch and listeners are notified", async () => {
    const fleet = new TestFleet();
    await write(fleet, configWithRevision(1));
    const { store } = fleet.start("i1");
    const seen: (readonly [number, number | undefined])[] = [];
    store.onChange(() => {
        throw new Error("a failing listener");
    });
    store.onChange((next: FleetConfig, previous) => seen.push([next.revision, previous?.revision]));
    assert.is(store.isWithdrawn(id<KeyId>("paws-1")), true);
    assert.is(await fleet.finish(store.refresh(), 2_000), 1);
    assert.is(store.isWithdrawn(id<KeyId>("paws-1")), false);
    await write(fleet, configWithRevision(2));
    await fleet.clock.advance(10);
    assert.equal(seen, [[1, undefined], [2, 1]]);
    store.stop();
});

// Guards against a failed watch or platform that keeps a change from an instance that peers can reach.
test("a change arrives from a peer while the platform is unavailable", async () => {
    const fleet = new TestFleet();
    await write(fleet, configWithRevision(4));
    const first = fleet.start("i1");
    await fleet.finish(first.store.refresh(), 10);
    fleet.platform.faults.isUnavailable = true;
    const second = fleet.start("i2");
    second.store.observePeerRevision(first.id, 4);
    assert.is(second.store.knownRevision, 4);
    await fleet.clock.advance(10);
    assert.is(second.store.revision, 4);
    // The peer does not have the revision that a wrong heartbeat names, so nothing is accepted.
    second.store.observePeerRevision(first.id, 5);
    await fleet.clock.advance(10);
    assert.equal([second.store.revision, second.store.knownRevision], [4, 5]);
});

// Guards against a malformed, invalid or reverted object that replaces a valid configuration, and against repeated log
// events.
test("an invalid platform value is reported once and the last valid one is kept", async () => {
    const fleet = new TestFleet();
    await write(fleet, configWithRevision(3));
    const { store, log } = fleet.start("i1");
    await fleet.finish(store.refresh());
    const faulty: readonly (readonly [value: unknown, event: string])[] = [
        [{ revision: 9 }, "config.rejected"],
        ["text", "config.rejected"],
        [{ ...configWithRevision(9), services: [] }, "config.rejected"],
        [configWithRevision(2), "config.reverted"],
    ];
    for (const [value, event] of faulty) {
        const before = log.events.length;
        await write(fleet, value);
        await fleet.clock.advance(10_000);
        await fleet.finish(store.refresh());
        await fleet.finish(store.refresh());
        assert.is(store.revision, 3);
        const news = log.events.slice(before);
        assert.equal(news.map(entry => [entry.name, entry.fields.level]), [[event, "error"]]);
    }
    await write(fleet, configWithRevision(4));
    await fleet.clock.advance(2_000);
    assert.is(store.revision, 4);
});

// Guards against a restarted process that accepts a stale watch event, older than what the previous process held.
test("the first configuration does not come from a watch", async () => {
    const fleet = new TestFleet();
    await write(fleet, configWithRevision(1));
    await write(fleet, configWithRevision(2));
    fleet.platform.faults.isWatchStale = true;
    const { store } = fleet.start("i1");
    await fleet.clock.advance(5_000);
    assert.is(store.current(), undefined);
    assert.is(await fleet.finish(store.refresh()), 2);
});

// Guards against a failed write of withdrawals that holds up a configuration that was read.
test("a configuration is accepted although the withdrawals cannot be written", async () => {
    const fleet = new TestFleet();
    const { store, withdrawals } = fleet.start("i1");
    fleet.platform.faults.isUnavailable = true;
    await fleet.finish(withdrawals.withdraw(id<KeyId>("a")));
    fleet.platform.faults.isUnavailable = false;
    await write(fleet, configWithRevision(1));
    fleet.platform.faults.lostReplies = 1;
    await fleet.finish(store.refresh().catch(() => 0));
    assert.is(store.revision, 1);
});

// Guards against watches that call the platform without a pause when their events are stale or calls fail.
test("stale watches and outages cost at most two calls a second", async () => {
    const fleet = new TestFleet();
    await write(fleet, configWithRevision(1));
    const { store } = fleet.start("i1");
    await fleet.finish(store.refresh());
    fleet.platform.faults.isWatchStale = true;
    await write(fleet, configWithRevision(2));
    await write(fleet, configWithRevision(3));
    const before = fleet.platform.calls.watches;
    await fleet.clock.advance(20_000);
    assert.ok(fleet.platform.calls.watches - before <= 40, `${fleet.platform.calls.watches - before} watches`);
    assert.is(await fleet.finish(store.refresh()), 3);
});

type Step = { readonly kind: string; readonly at: number; readonly value: number; };
const stepKinds = ["write", "refresh", "offer", "restart", "away", "back", "cut", "advance"];
const stepsArbitrary = fc.array(
    fc.record<Step>({ kind: fc.constantFrom(...stepKinds), at: fc.nat(2), value: fc.nat(40) }),
    { maxLength: 60, size: "max" },
);

/**
 * Runs random steps: `at` selects the instance, and `value` varies the step. Watches return any version that ever
 * existed, in any order and repeatedly.
 */
class RevertSimulation {
    readonly fleet = new TestFleet();
    readonly history: PlatformObject[] = [];
    readonly instances: TestInstance[] = [];
    readonly highest = [0, 0, 0];
    incarnations = 0;

    start(at: number): void {
        this.instances[at]?.store.stop();
        this.instances[at]?.withdrawals.stop();
        this.highest[at] = 0;
        this.instances[at] = this.fleet.start(`i${at}-${this.incarnations++}`, port => ({
            ...port,
            watch: async () => {
                await new Promise<void>(resolve => this.fleet.clock.after(20, resolve));
                return this.history[Math.floor(this.fleet.random() * this.history.length)];
            },
        }));
    }

    async run({ kind, at, value }: Step): Promise<void> {
        const { store } = this.instances[at]!;
        const peer = this.instances[(at + 1 + value % 2) % 3]!;
        switch (kind) {
            case "write": {
                const current = this.fleet.platform.peek("config");
                // Some writes bypass apply, and are malformed or have a lower revision.
                const revision = this.history.length + 1;
                const written = value % 7 === 0 ? "faulty" : configWithRevision(value % 5 === 0 ? 1 : revision);
                this.history.push({ version: (current?.version ?? 0) + 1, value: written });
                return void await write(this.fleet, written).catch(() => this.history.pop());
            }
            case "refresh":
                return void await this.fleet.finish(store.refresh(), 2_000).catch(() => {});
            case "offer":
                return store.observePeerRevision(peer.id, value % 3 === 0 ? value : peer.store.revision);
            case "restart":
                return this.start(at);
            case "cut":
                return this.fleet.network.dropMessages(peer.id, this.instances[at]!.id);
            case "advance":
                return this.fleet.clock.advance(value * 50);
            default:
                this.fleet.network.heal();
                this.fleet.platform.faults.isUnavailable = kind === "away";
        }
    }

    check(): void {
        this.instances.forEach(({ store }, at) => {
            assert.ok(store.revision >= this.highest[at]!, `${store.revision} after ${this.highest[at]}`);
            this.highest[at] = store.revision;
        });
    }
}

// Guards against any sequence in which an accepted configuration reverts (P9). A restarted process has no state of the
// previous one, so the read of the platform that precedes its being current must return at least the previous revision.
test("the revision never falls at any instance", async () => {
    let restarts = 0;
    const property = fc.asyncProperty(stepsArbitrary, async steps => {
        const search = new RevertSimulation();
        [0, 1, 2].forEach(at => search.start(at));
        for (const step of steps) {
            const before = search.instances[step.at]!.store.revision;
            await search.run(step);
            if (step.kind === "restart" && !search.fleet.platform.faults.isUnavailable) {
                const held = search.fleet.platform.peek("config")?.value as { revision?: number; } | undefined;
                const read = await search.fleet.finish(search.instances[step.at]!.store.refresh(), 10);
                assert.ok(read >= before || (held?.revision ?? 0) < before, `${read} after a restart at ${before}`);
                restarts++;
            }
            search.check();
        }
        search.instances.forEach(({ store, withdrawals }) => (store.stop(), withdrawals.stop()));
    });
    await fc.assert(property, { seed: 20_261_204, numRuns: 300 });
    assert.ok(restarts > 300, `${restarts} restarts`);
});

test.run();
