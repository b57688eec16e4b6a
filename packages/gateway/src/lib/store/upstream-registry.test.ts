import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ListedUpstream } from "../model.js";
import { reportsService, testUpstream } from "../testing/index.js";
import { expiredEntryGraceMs, UpstreamRegistry } from "./upstream-registry.js";

const itemsOf = (...upstreams: ListedUpstream[]) =>
    new Map(upstreams.map(upstream => [upstream.id as string, upstream]));
const usableIds = (upstreams: UpstreamRegistry) =>
    upstreams.forService(reportsService).map(({ listed }) => listed.id).sort();

const fromStore = { isAfterOutage: false, isFromPeer: false };
const afterOutage = { isAfterOutage: true, isFromPeer: false };
const fromPeer = { isAfterOutage: false, isFromPeer: true };

const createRegistry = () => {
    const clock = new VirtualClock();
    const upstreams = new UpstreamRegistry(clock);
    upstreams.replace({ revision: 10, items: itemsOf(testUpstream("u1"), testUpstream("u2")) }, fromStore);
    return { clock, upstreams };
};

// Guards against requests to an upstream that has announced its leave.
test("a leaving upstream receives no requests", () => {
    const { upstreams } = createRegistry();
    upstreams.apply({
        fromRevision: 10,
        toRevision: 11,
        changes: [{ name: "u1", value: testUpstream("u1", { state: "leaving" }) }],
    });
    assert.equal(usableIds(upstreams), ["u2"]);
});

// Guards against changes applied to a list that lacks earlier ones.
test("changes after a gap are rejected", () => {
    const { upstreams } = createRegistry();
    assert.not(upstreams.apply({ fromRevision: 12, toRevision: 13, changes: [{ name: "u1", value: undefined }] }));
    assert.equal(usableIds(upstreams), ["u1", "u2"]);
});

test("changes that are already applied are ignored", () => {
    const { upstreams } = createRegistry();
    assert.ok(upstreams.apply({ fromRevision: 8, toRevision: 10, changes: [{ name: "u1", value: undefined }] }));
    assert.equal(usableIds(upstreams), ["u1", "u2"]);
});

// Guards against the removal of live upstreams whose entries expired during an outage of the store.
test("entries missing after an outage are kept for the grace period", async () => {
    const { clock, upstreams } = createRegistry();
    upstreams.replace({ revision: 20, items: itemsOf(testUpstream("u2")) }, afterOutage);
    assert.equal(usableIds(upstreams), ["u1", "u2"]);
    assert.equal(upstreams.all().map(({ id }) => id), ["u2"]);
    await clock.advance(expiredEntryGraceMs);
    assert.equal(usableIds(upstreams), ["u2"]);
});

test("an entry that returns within the grace period is kept", async () => {
    const { clock, upstreams } = createRegistry();
    upstreams.replace({ revision: 20, items: itemsOf(testUpstream("u2")) }, afterOutage);
    upstreams.apply({ fromRevision: 20, toRevision: 21, changes: [{ name: "u1", value: testUpstream("u1") }] });
    await clock.advance(expiredEntryGraceMs * 2);
    assert.equal(usableIds(upstreams), ["u1", "u2"]);
});

// Guards against applying what was learned about the previous process of an upstream that restarts under its id.
test("a restart under the same id is reported once", () => {
    const restarted: string[] = [];
    const upstreams = new UpstreamRegistry(new VirtualClock(), upstream => restarted.push(upstream));
    const list = (revision: number, startedMs: number, warmupLeftMs: number) =>
        upstreams.replace({ revision, items: itemsOf(testUpstream("u1", { startedMs, warmupLeftMs })) }, fromStore);
    list(10, 1, 0);
    list(11, 1, 5);
    assert.equal(restarted, []);
    list(12, 2, 0);
    assert.equal(restarted, ["u1"]);
});

// Guards against a service whose upstreams all count as cold again whenever the list is read, and against a warm-up that
// an upstream reports again and nobody takes.
test("a warm-up counts from the report of it, not from the list that contains it", async () => {
    const clock = new VirtualClock();
    const upstreams = new UpstreamRegistry(clock);
    const cold = testUpstream("u1", { warmupLeftMs: 4_000 });
    upstreams.replace({ revision: 10, items: itemsOf(cold) }, fromStore);
    await clock.advance(1_000);
    upstreams.replace({ revision: 11, items: itemsOf(cold, testUpstream("u2")) }, fromStore);
    assert.is(upstreams.get(cold.id)?.warmupEndMs, 4_000);
    upstreams.apply({ fromRevision: 11, toRevision: 12, changes: [{ name: "u1", value: cold }] });
    assert.is(upstreams.get(cold.id)?.warmupEndMs, 5_000);
});

// Guards against requests to an upstream that was removed while the store is available.
test("entries missing from a list are removed immediately if there was no outage", () => {
    const { upstreams } = createRegistry();
    upstreams.replace({ revision: 20, items: itemsOf(testUpstream("u2")) }, fromStore);
    assert.equal(usableIds(upstreams), ["u2"]);
});

// Guards against a fetch of the whole list by all instances whenever another collection changes.
test("an equal list from the store keeps the current revision", () => {
    const { upstreams } = createRegistry();
    assert.not(
        upstreams.replace({ revision: 30, items: itemsOf(testUpstream("u1"), testUpstream("u2")) }, fromStore),
    );
    assert.is(upstreams.revision, 10);
});

// Guards against an instance that fetches the same list from another one forever.
test("the revision of an equal list from another instance is adopted", () => {
    const { upstreams } = createRegistry();
    assert.not(
        upstreams.replace({ revision: 30, items: itemsOf(testUpstream("u1"), testUpstream("u2")) }, fromPeer),
    );
    assert.is(upstreams.revision, 30);
});

test.run();
