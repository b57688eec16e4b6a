import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ListedUpstream } from "../model.js";
import { reportsService, testUpstream } from "../testing/index.js";
import { expiredEntryGraceMs, UpstreamRegistry } from "./upstream-registry.js";

const listOf = (...upstreams: ListedUpstream[]) =>
    new Map(upstreams.map(upstream => [upstream.id as string, upstream]));
const names = (held: UpstreamRegistry) => held.forService(reportsService).map(({ listed }) => listed.id).sort();

const fromStore = { isAfterOutage: false, isFromInstance: false };
const afterOutage = { isAfterOutage: true, isFromInstance: false };
const fromInstance = { isAfterOutage: false, isFromInstance: true };

const start = () => {
    const clock = new VirtualClock();
    const held = new UpstreamRegistry(clock);
    held.replace({ revision: 10, items: listOf(testUpstream("u1"), testUpstream("u2")) }, fromStore);
    return { clock, held };
};

// Guards against requests to an upstream that has announced its leave.
test("a leaving upstream gets nothing", () => {
    const { held } = start();
    held.apply({
        fromRevision: 10,
        toRevision: 11,
        changes: [{ name: "u1", value: testUpstream("u1", { state: "leaving" }) }],
    });
    assert.equal(names(held), ["u2"]);
});

// Guards against changes applied to a list that lacks earlier ones.
test("changes after a gap are refused", () => {
    const { held } = start();
    assert.not(held.apply({ fromRevision: 12, toRevision: 13, changes: [{ name: "u1", value: undefined }] }));
    assert.equal(names(held), ["u1", "u2"]);
});

test("changes that are known already are no gap", () => {
    const { held } = start();
    assert.ok(held.apply({ fromRevision: 8, toRevision: 10, changes: [{ name: "u1", value: undefined }] }));
    assert.equal(names(held), ["u1", "u2"]);
});

// Guards against the loss of live upstreams whose entries lapsed while the store was away.
test("entries missing after an outage are kept for the grace", async () => {
    const { clock, held } = start();
    held.replace({ revision: 20, items: listOf(testUpstream("u2")) }, afterOutage);
    assert.equal(names(held), ["u1", "u2"]);
    assert.equal(held.all().map(({ id }) => id), ["u2"]);
    await clock.advance(expiredEntryGraceMs);
    assert.equal(names(held), ["u2"]);
});

test("an entry that comes back in the grace stays", async () => {
    const { clock, held } = start();
    held.replace({ revision: 20, items: listOf(testUpstream("u2")) }, afterOutage);
    held.apply({ fromRevision: 20, toRevision: 21, changes: [{ name: "u1", value: testUpstream("u1") }] });
    await clock.advance(expiredEntryGraceMs * 2);
    assert.equal(names(held), ["u1", "u2"]);
});

// Guards against beliefs about a former process of an upstream that starts again under its id.
test("a restart under the same id is told once", () => {
    const restarted: string[] = [];
    const held = new UpstreamRegistry(new VirtualClock(), upstream => restarted.push(upstream));
    const list = (revision: number, startedMs: number, warmupLeftMs: number) =>
        held.replace({ revision, items: listOf(testUpstream("u1", { startedMs, warmupLeftMs })) }, fromStore);
    list(10, 1, 0);
    list(11, 1, 5);
    assert.equal(restarted, []);
    list(12, 2, 0);
    assert.equal(restarted, ["u1"]);
});

// Guards against requests to a server that is gone while the store is well.
test("entries missing from a list are dropped at once without an outage", () => {
    const { held } = start();
    held.replace({ revision: 20, items: listOf(testUpstream("u2")) }, fromStore);
    assert.equal(names(held), ["u2"]);
});

// Guards against a fetch of the whole list by all instances whenever another collection changes.
test("an equal list keeps its revision", () => {
    const { held } = start();
    assert.not(
        held.replace({ revision: 30, items: listOf(testUpstream("u1"), testUpstream("u2")) }, fromStore),
    );
    assert.is(held.revision, 10);
});

// Guards against an instance that fetches the same list of another one for ever.
test("an equal list of another instance brings its revision", () => {
    const { held } = start();
    assert.not(
        held.replace({ revision: 30, items: listOf(testUpstream("u1"), testUpstream("u2")) }, fromInstance),
    );
    assert.is(held.revision, 30);
});

test.run();
