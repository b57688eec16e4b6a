import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamStatement } from "../model.js";
import { nameKey } from "../name-key.js";
import { knownUpstream, noColdUpstreams, noStatement, TestFleet } from "../testing/index.js";
import { LimitMeters } from "./limit-meters.js";
import { UpstreamStatements } from "./upstream-statements.js";
import type { SharedStatement } from "./upstream-statements.js";
import { WillingUpstreams } from "./willing-upstreams.js";

const upstream = knownUpstream("u1").listed;

const limited = (limitPerSecond: number | undefined): UpstreamStatement => ({ ...noStatement, limitPerSecond });
const leaving: UpstreamStatement = { ...noStatement, isLeaving: true };

const startStatements = () => {
    const clock = new VirtualClock();
    const shared: (number | undefined)[] = [];
    const events: string[] = [];
    const listed = { current: upstream };
    const statements: UpstreamStatements = new UpstreamStatements({
        clock,
        random: () => 0,
        log: { event: name => void events.push(name) },
        listedOf: () => [listed.current],
        share: sent => sent.forEach(({ limitPerSecond }) => shared.push(limitPerSecond)),
    });
    return { clock, statements, shared, events, listed };
};

// Guards against a limit that stays after the upstream no longer names it, and against one that is never sent again.
test("a limit holds while it is named, and each change is sent twice", async () => {
    const { clock, statements, shared, events } = startStatements();
    statements.recordAnswer(upstream, limited(undefined));
    assert.equal(shared, []);
    statements.recordAnswer(upstream, limited(5));
    await clock.advance(1_000);
    assert.equal(shared, [5, 5]);
    statements.recordAnswer(upstream, limited(5.1));
    assert.equal(shared, [5, 5]);
    await clock.advance(2_000);
    statements.recordAnswer(upstream, limited(5));
    assert.equal(shared, [5, 5, 5]);
    statements.recordAnswer(upstream, limited(undefined));
    await clock.advance(1_000);
    assert.is(statements.limitOf(upstream), undefined);
    assert.equal(shared, [5, 5, 5, undefined, undefined]);
    assert.equal(events, ["upstream-stated", "upstream-stated"]);
});

// Guards against statements of a former process, and against older ones that arrive late.
test("a shared statement counts for its process only, and only if it is the newest", async () => {
    const { clock, statements, listed } = startStatements();
    const sharedBy = (limitPerSecond: number | undefined, ageMs: number, incarnation = 0) =>
        statements.recordShared([{ key: 0, incarnation, ageMs, limitPerSecond, isLeaving: false }]);
    await clock.advance(10_000);
    sharedBy(5, 100);
    sharedBy(9, 500);
    assert.is(statements.limitOf(upstream), 5);
    sharedBy(7, 0, 1);
    assert.is(statements.limitOf(upstream), 5);
    listed.current = { ...upstream, startedMs: 1 };
    assert.is(statements.limitOf(listed.current), undefined);
    sharedBy(7, 0, 1);
    assert.is(statements.limitOf(listed.current), 7);
});

// Guards against an upstream that leaves and is used again after a stale answer, or when its entry reappears.
test("an upstream that has stated that it leaves is not used until its process is replaced", async () => {
    const { clock, statements, listed } = startStatements();
    const reach = () => ({ live: 1, known: 1 });
    const willing = new WillingUpstreams({
        clock,
        random: () => 0,
        statements,
        meters: new LimitMeters({ clock, remoteInFlight: () => 0, reach }),
        cold: noColdUpstreams,
        reach,
    });
    const isUsed = () => willing.among([{ listed: listed.current, warmupEndMs: 0 }]).length === 1;
    assert.ok(isUsed());
    statements.recordAnswer(upstream, leaving);
    statements.recordAnswer(upstream, noStatement);
    assert.not(isUsed());
    statements.retain(() => false);
    await clock.advance(60_000);
    statements.retain(() => false);
    assert.not(isUsed());
    listed.current = { ...upstream, startedMs: 1 };
    assert.ok(isUsed());
});

// Guards against requests to an upstream that has asked this instance for a pause, and against one that never ends.
test("an upstream that has asked for a pause is not used until its end", async () => {
    const { clock, statements, shared, listed } = startStatements();
    statements.recordAnswer(upstream, { ...noStatement, retryAfterMs: 1_500 });
    assert.equal(shared, []);
    await clock.advance(1_000);
    statements.recordAnswer(upstream, { ...noStatement, retryAfterMs: 100 });
    assert.is(statements.pausedForMs(upstream), 500);
    await clock.advance(500);
    assert.is(statements.pausedForMs(upstream), 0);
    statements.recordAnswer(upstream, { ...noStatement, retryAfterMs: 1e12 });
    assert.is(statements.pausedForMs(upstream), 60_000);
    listed.current = { ...upstream, startedMs: 1 };
    assert.is(statements.pausedForMs(listed.current), 0);
});

// Guards against a caller that waits in vain, or returns before any upstream of the service takes its request.
test("a service whose upstreams all pause accepts requests when the first pause ends", () => {
    const { clock, statements } = startStatements();
    const other = { ...upstream, id: id<UpstreamId>("u2") };
    const reach = () => ({ live: 1, known: 1 });
    const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach });
    const willing = new WillingUpstreams({ clock, random: () => 0, statements, meters, cold: noColdUpstreams, reach });
    const upstreams = [upstream, other].map(listed => ({ listed, warmupEndMs: 0 }));
    statements.recordAnswer(upstream, { ...noStatement, retryAfterMs: 800 });
    assert.is(willing.acceptingInMs(upstreams), 0);
    assert.equal(willing.among(upstreams).map(({ listed }) => listed.id), ["u2"]);
    statements.recordAnswer(other, { ...noStatement, retryAfterMs: 300 });
    assert.is(willing.acceptingInMs(upstreams), 300);
    assert.equal(willing.among(upstreams), []);
});

// Guards against an older statement that hides a newer one, or is hidden by it.
test("a leave that another instance heard earlier counts", async () => {
    const { clock, statements } = startStatements();
    await clock.advance(1_000);
    statements.recordAnswer(upstream, limited(5));
    statements.recordShared([{ key: 0, incarnation: 0, ageMs: 500, limitPerSecond: undefined, isLeaving: true }]);
    assert.ok(statements.isLeaving(upstream));
    assert.is(statements.limitOf(upstream), 5);
});

// Guards against instances that start later and never hear of a statement, and against repetitions by all instances.
test("a statement is sent again by one of the instances that hold it", async () => {
    const { clock, statements, shared } = startStatements();
    statements.recordAnswer(upstream, leaving);
    await clock.advance(1_000);
    assert.is(shared.length, 2);
    statements.renew();
    assert.is(shared.length, 2);
    await clock.advance(5_000);
    statements.recordShared([{ key: 0, incarnation: 0, ageMs: 6_000, limitPerSecond: undefined, isLeaving: true }]);
    statements.renew();
    assert.is(shared.length, 2);
    await clock.advance(5_001);
    statements.renew();
    assert.is(shared.length, 3);
});

// Guards against any order of statements after which an upstream gets a request that it has asked not to get.
test("no upstream gets a request after it leaves or during a pause, whatever is stated when", async () => {
    const event = fc.record({
        gapMs: fc.integer({ min: 0, max: 900 }),
        name: fc.constantFrom("u1", "u2", "u3"),
        isShared: fc.boolean(),
        isRestarted: fc.boolean(),
        statement: fc.record({
            limitPerSecond: fc.option(fc.double({ min: 0, max: 50, noNaN: true }), { nil: undefined }),
            isLeaving: fc.boolean(),
            retryAfterMs: fc.option(fc.integer({ min: 0, max: 3_000 }), { nil: undefined }),
        }),
    });
    await fc.assert(
        fc.asyncProperty(fc.array(event, { maxLength: 60 }), async events => {
            const clock = new VirtualClock();
            const listed = new Map(["u1", "u2", "u3"].map(name => [name, knownUpstream(name).listed]));
            const statements: UpstreamStatements = new UpstreamStatements({
                clock,
                random: () => 0.5,
                log: { event: () => {} },
                listedOf: key => [...listed.values()].filter(({ id: upstreamId }) => nameKey(upstreamId) === key),
                share: () => {},
            });
            const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach: () => ({ live: 1, known: 1 }) });
            const reach = () => ({ live: 1, known: 1 });
            const willing = new WillingUpstreams({
                clock,
                random: () => 0.5,
                statements,
                meters,
                cold: noColdUpstreams,
                reach,
            });
            const hasLeft = new Set<string>();
            const pauseEndMs = new Map<string, number>();
            for (const { gapMs, name, isShared, isRestarted, statement } of events) {
                await clock.advance(gapMs);
                if (isRestarted) {
                    listed.set(name, { ...listed.get(name)!, startedMs: listed.get(name)!.startedMs + 1 });
                    hasLeft.delete(name);
                    pauseEndMs.delete(name);
                }
                const current = listed.get(name)!;
                const { limitPerSecond, isLeaving, retryAfterMs } = statement;
                if (isShared) {
                    const key = nameKey(name);
                    statements.recordShared([{
                        key,
                        incarnation: current.startedMs,
                        ageMs: 40,
                        limitPerSecond,
                        isLeaving,
                    }]);
                }
                else {
                    statements.recordAnswer(current, statement);
                    pauseEndMs.set(
                        name,
                        Math.max(pauseEndMs.get(name) ?? 0, clock.monotonicMs() + (retryAfterMs ?? 0)),
                    );
                }
                if (isLeaving) {
                    hasLeft.add(name);
                }
                const candidates = [...listed.values()].map(upstreamListed => ({
                    listed: upstreamListed,
                    warmupEndMs: 0,
                }));
                for (const { listed: { id: received } } of willing.among(candidates)) {
                    assert.not(hasLeft.has(received), `${received} has left`);
                    assert.ok((pauseEndMs.get(received) ?? 0) <= clock.monotonicMs(), `${received} pauses`);
                    meters.recordOwn(received);
                }
            }
        }),
        { seed: 27, numRuns: 200 },
    );
});

// Guards against statements that do not reach every instance.
for (const [count, zoneCount] of [[44, 4], [293, 5]] as const) {
    test(`${count} instances hear a statement within 50 ms`, async () => {
        const fleet = new TestFleet({ zoneCount });
        fleet.add(count);
        await fleet.clock.advance(4_000);
        const statement: SharedStatement = { key: 1, incarnation: 2, ageMs: 3, limitPerSecond: 4.5, isLeaving: true };
        const [first, ...others] = fleet.instances;
        first!.exchange.sendToAll({ kind: "statements", statements: [statement] });
        await fleet.clock.advance(50);
        assert.equal(others.filter(({ received }) => received.statements.length === 0).map(({ self }) => self.id), []);
        assert.equal(others[0]!.received.statements[0], statement);
    });
}

test.run();
