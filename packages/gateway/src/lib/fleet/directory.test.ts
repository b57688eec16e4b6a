import { id } from "@sniperoad/core";
import type { InstanceId, ZoneId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayInstance } from "../model.js";
import { instanceKey } from "../name-key.js";
import { zoneA } from "../testing/index.js";
import { Directory, maxDirectoryAddresses } from "./directory.js";
import { downAfterMs, Roster } from "./roster.js";
import type { MemberState } from "./roster.js";

const instance = (number: number): GatewayInstance => ({
    id: id<InstanceId>(`i${number}~0`),
    zone: number % 2 === 0 ? zoneA : id<ZoneId>("zone-b"),
    callerAddress: `10.0.0.${number}:1`,
    peerAddress: `10.0.0.${number}:2`,
    capacity: 0,
});

const hear = (roster: Roster, number: number, state: Partial<MemberState> = {}): void => {
    const info = instance(number);
    roster.learn(info);
    roster.recordHeard(instanceKey(info.id), { isReady: true, isLeaving: false, ...state }, 0);
};

const directoryOf = (options: { readonly isReady?: boolean; } = {}) => {
    const clock = new VirtualClock();
    const roster = new Roster(clock);
    const directory = new Directory({
        self: instance(0),
        roster,
        clock,
        random: seededRandom(1),
        isReady: () => options.isReady ?? true,
        keepMs: 1_000,
    });
    return { clock, roster, directory };
};

// Guards against callers that are sent to an instance that is down, leaving or not ready.
test("the directory lists only instances that accept requests", async () => {
    const { clock, roster, directory } = directoryOf();
    hear(roster, 2);
    await clock.advance(downAfterMs + 1);
    [4, 6, 8].forEach(number => hear(roster, number));
    hear(roster, 10, { isLeaving: true });
    hear(roster, 12, { isReady: false });
    const { addresses } = directory.answer(zoneA);
    assert.equal([...addresses].sort(), ["10.0.0.0:1", "10.0.0.4:1", "10.0.0.6:1", "10.0.0.8:1"]);
});

test("the directory prefers the caller's zone if it has enough instances", () => {
    const { roster, directory } = directoryOf();
    [1, 2, 3, 4, 5, 6].forEach(number => hear(roster, number));
    assert.is(directory.answer(zoneA).addresses.length, 4);
    assert.is(directory.answer(id<ZoneId>("zone-b")).addresses.length, 7);
});

// Guards against a partitioned instance that sends all callers to itself.
test("the directory lists all known instances if fewer than half of them are live", async () => {
    const { clock, roster, directory } = directoryOf();
    [2, 4, 6, 8, 10].forEach(number => hear(roster, number));
    await clock.advance(downAfterMs + 1);
    hear(roster, 12);
    assert.is(directory.answer(zoneA).addresses.length, 7);
});

// Guards against callers that are sent to instances that ended, after most of the fleet has ended at once.
test("the directory lists no instance that was not heard for 5 seconds", async () => {
    const { clock, roster, directory } = directoryOf();
    [2, 4, 6, 8, 10].forEach(number => hear(roster, number));
    await clock.advance(5_001);
    hear(roster, 12);
    assert.equal([...directory.answer(zoneA).addresses].sort(), ["10.0.0.0:1", "10.0.0.12:1"]);
});

test("the directory lists a sample of a large fleet", () => {
    const { roster, directory } = directoryOf({ isReady: false });
    for (let number = 1; number < 200; number++) {
        hear(roster, number);
    }
    assert.is(directory.answer(undefined).addresses.length, maxDirectoryAddresses);
});

// Guards against callers that are sent to the address of a process that has been replaced.
test("a restarted process replaces the previous one at its address, also if the previous one is named again", () => {
    const { roster } = directoryOf();
    const previous = instance(2);
    const restarted = { ...previous, id: id<InstanceId>("i2~1") };
    hear(roster, 2);
    roster.learn(restarted);
    roster.recordHeard(instanceKey(restarted.id), { isReady: true, isLeaving: false }, -1);
    roster.learn(previous);
    roster.recordHeard(instanceKey(previous.id), { isReady: false, isLeaving: false }, 0);
    assert.equal(roster.known().map(({ info, isReady }) => [info.id, isReady]), [["i2~1", true]]);
});

test.run();
