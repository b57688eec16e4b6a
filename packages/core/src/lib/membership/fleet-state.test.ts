import { test } from "uvu";
import * as assert from "uvu/assert";
import { id } from "../types.js";
import type { InstanceId, ZoneId } from "../types.js";
import { FleetState } from "./fleet-state.js";
import type { Heartbeat } from "./messages.js";
import type { FleetRoster } from "./seats.js";
import { assignSeat, createVacantSeats, mergeRosters, seatAfterHandover, vacateSeat, withSeat } from "./seats.js";
import { defaultMembershipSettings, leaseWithDriftMs } from "./settings.js";

const settings = { ...defaultMembershipSettings, seats: 3 };
const leaseWithDrift = leaseWithDriftMs(settings);
const zone = id<ZoneId>("z");
const names = ["a", "b", "c", "d", "e"].map(name => id<InstanceId>(name));
const [a, b, c, d, e] = names as [InstanceId, InstanceId, InstanceId, InstanceId, InstanceId];
const report = {
    revision: 0,
    withdrawals: 0,
    load: 0,
    isLeaving: false,
    isStale: false,
    about: { id: a, zone, address: "10.0.0.1:80", peerAddress: "10.0.0.1:81", state: "live" as const },
};

const assign = (roster: FleetRoster, index: number, holder: InstanceId): FleetRoster => ({
    version: roster.version + 1,
    seats: assignSeat(roster, index, holder, zone),
});
const vacate = (roster: FleetRoster, index: number): FleetRoster => ({
    version: roster.version + 1,
    seats: vacateSeat(roster, index, roster.seats[index]!),
});
const empty: FleetRoster = { version: 1, seats: createVacantSeats(3) };
/** Version 4: the seats are held by a, b and c. */
const full = assign(assign(assign(empty, 0, a), 1, b), 2, c);

const heartbeat = (sequence: number, fields: Partial<Heartbeat> = {}): Heartbeat => ({
    sequence,
    voter: full.seats[1]!.epoch,
    roster: full.version,
    digest: 0,
    revision: 0,
    withdrawals: 0,
    load: 0,
    ...fields,
});

/** State of an instance that accepted the rosters and started one round of heartbeats at time 0. */
const stateOf = (self: InstanceId, ...rosters: readonly FleetRoster[]): FleetState => {
    const state = new FleetState(self, settings);
    rosters.forEach(roster => state.accept(roster, 0));
    state.beginRound(0);
    return state;
};
/** Starts a round and returns the heartbeat for a peer. */
const sendHeartbeat = (state: FleetState, to: InstanceId, nowMs: number): Heartbeat => {
    state.beginRound(nowMs);
    return state.compose(state.peers.getOrCreate(to, nowMs), report, nowMs);
};
/** Starts a round and receives a peer's echo of it. */
const receiveEcho = (state: FleetState, from: InstanceId, nowMs: number, fields: Partial<Heartbeat> = {}): void => {
    const { sequence } = sendHeartbeat(state, from, nowMs);
    const voter = state.roster?.seats.find(seat => seat.holder === from)?.epoch;
    state.receive(from, heartbeat(sequence, { echo: sequence, voter, ...fields }), nowMs);
};
const keyOf = (state: FleetState, nowMs: number): string | undefined =>
    Array.from({ length: 40 }, (_, index) => `k${index}`).find(key => state.coordinatorTerm(key, nowMs) !== undefined);

// Guards against votes by a new holder while the former holder's votes are still valid.
test("a new holder does not vote for one lease", () => {
    const state = stateOf(a, full);
    receiveEcho(state, b, leaseWithDrift - 100);
    assert.is(sendHeartbeat(state, b, leaseWithDrift - 10).grant, undefined);
    assert.is(sendHeartbeat(state, b, leaseWithDrift).grant, full.seats[1]!.epoch);
});

// Guards against an exclusion that starts before the last lease has ended, and a lease that starts before a promise
// has.
test("grant and exclusion of a seat never overlap", () => {
    const state = stateOf(a, full);
    const excludesB = (nowMs: number) =>
        sendHeartbeat(state, b, nowMs).excludes?.includes(full.seats[1]!.epoch) === true;
    const receivedMs = leaseWithDrift - 10;
    receiveEcho(state, b, receivedMs);
    assert.is(sendHeartbeat(state, b, leaseWithDrift + 10).grant, full.seats[1]!.epoch);
    assert.not.ok(excludesB(receivedMs + leaseWithDrift - 1));
    const excludedMs = receivedMs + leaseWithDrift;
    assert.ok(excludesB(excludedMs));
    const renewedMs = excludedMs + 500;
    receiveEcho(state, b, renewedMs);
    receiveEcho(state, b, renewedMs + 1_500);
    assert.is(sendHeartbeat(state, b, renewedMs + leaseWithDrift - 1).grant, undefined);
    assert.is(sendHeartbeat(state, b, renewedMs + leaseWithDrift).grant, full.seats[1]!.epoch);
});

// Guards against a promise that ends with a handover, although the next coordinator in rank still acts on it.
test("a promise applies to the seat after a handover", () => {
    const state = stateOf(a, full);
    assert.equal(sendHeartbeat(state, b, leaseWithDrift).excludes, [full.seats[1]!.epoch, full.seats[2]!.epoch]);
    assert.ok(state.acceptHandover(b, 1, seatAfterHandover(full.seats[1]!, d, zone)!, leaseWithDrift + 10));
    receiveEcho(state, d, leaseWithDrift + 20);
    assert.is(sendHeartbeat(state, d, leaseWithDrift + 30).grant, undefined);
    receiveEcho(state, d, 2 * leaseWithDrift);
    assert.is(sendHeartbeat(state, d, 2 * leaseWithDrift).grant, full.seats[1]!.epoch + 1);
});

// Guards against the exclusion of a new holder for the former holder's silence.
test("a new holder is not excluded before one lease", () => {
    const state = stateOf(a, full);
    assert.ok(sendHeartbeat(state, b, leaseWithDrift).excludes?.includes(full.seats[1]!.epoch));
    const next = assign(vacate(full, 1), 1, d);
    const { epoch } = next.seats[1]!;
    state.accept(next, 10_000);
    assert.not.ok(sendHeartbeat(state, d, 10_000 + leaseWithDrift - 1).excludes?.includes(epoch));
    assert.ok(sendHeartbeat(state, d, 10_000 + leaseWithDrift).excludes?.includes(epoch));
});

// Guards against delayed messages that extend a lease: it must start at the send time of the echoed message.
test("a lease starts at the send time of the echoed message", () => {
    const state = stateOf(a, full);
    state.receive(b, heartbeat(1), 0);
    state.receive(c, heartbeat(1), 0);
    const { sequence } = sendHeartbeat(state, b, 10_000);
    state.receive(b, heartbeat(2, { echo: sequence, grant: full.seats[0]!.epoch }), 11_900);
    assert.ok(keyOf(state, 11_999));
    assert.is(keyOf(state, 12_000), undefined);
});

interface CountCase {
    readonly name: string;
    readonly fields: Partial<Heartbeat>;
    readonly counts: boolean;
}

const countCases: readonly CountCase[] = [
    { name: "at this version", fields: {}, counts: true },
    { name: "at an older version", fields: { roster: full.version - 1 }, counts: true },
    { name: "at a newer version", fields: { roster: full.version + 1 }, counts: false },
    { name: "of a seat held before", fields: { voter: 1_000 }, counts: false },
    { name: "for an older epoch", fields: { grant: 1_000 }, counts: false },
];

for (const { name, fields, counts } of countCases) {
    // Guards against quorums of different rosters without a common voter.
    test(`a grant ${name} ${counts ? "counts" : "does not count"}`, () => {
        const state = stateOf(a, full);
        state.receive(b, heartbeat(1), 0);
        state.receive(c, heartbeat(1), 0);
        const { sequence } = sendHeartbeat(state, b, 10_000);
        state.receive(b, heartbeat(2, { echo: sequence, grant: full.seats[0]!.epoch, ...fields }), 10_010);
        assert.is(keyOf(state, 10_020) !== undefined, counts);
    });
}

// Guards against a second holder whose quorum shares no voter with the first holder's.
test("a vacated seat is assignable when a quorum holds the version", () => {
    const vacated = vacate(full, 2);
    const state = stateOf(a, full, vacated);
    state.receive(b, heartbeat(1), 10);
    assert.not.ok(state.isAssignable(2));
    state.receive(b, heartbeat(2, { roster: vacated.version }), 20);
    assert.ok(state.isAssignable(2));
});

// Guards against taking over a key while instances at the older version may still act for it.
test("a vacancy takes effect one lease after a quorum holds it", () => {
    const vacated = vacate(full, 2);
    const state = stateOf(a, full, vacated);
    assert.is(state.excludedSinceMs(2, 60_000), undefined);
    state.receive(b, heartbeat(1, { roster: vacated.version }), 60_000);
    assert.is(state.excludedSinceMs(2, 60_000 + leaseWithDrift - 1), undefined);
    assert.is(state.excludedSinceMs(2, 60_000 + leaseWithDrift), 60_000 + leaseWithDrift);
});

// Guards against a new holder that acts while the instance that was coordinator during the vacancy still may.
test("a new holder acts one lease after a quorum holds the assignment", () => {
    const assigned = assign(vacate(full, 2), 2, d);
    const state = stateOf(d, assigned);
    const granted = (from: InstanceId, nowMs: number, roster: number) =>
        receiveEcho(state, from, nowMs, { roster, grant: assigned.seats[2]!.epoch });
    granted(a, 10_000, assigned.version);
    granted(b, 10_100, assigned.version);
    granted(a, 10_100 + leaseWithDrift - 100, assigned.version);
    granted(b, 10_100 + leaseWithDrift - 90, assigned.version);
    const knownMs = 10_000;
    assert.is(keyOf(state, knownMs + leaseWithDrift - 1), undefined);
    assert.ok(keyOf(state, knownMs + leaseWithDrift));
});

// Guards against handovers that are lost or undone when rosters are merged.
test("merging rosters keeps handovers, and newer assignments take precedence", () => {
    const handed = withSeat(full, 1, seatAfterHandover(full.seats[1]!, d, zone)!);
    const again = withSeat(handed, 1, seatAfterHandover(handed.seats[1]!, e, zone)!);
    const later = assign(vacate(full, 1), 1, a);
    const holder = (held: FleetRoster, seen: FleetRoster) => mergeRosters(held, seen).seats[1]!.holder;
    assert.is(holder(handed, full), d);
    assert.is(holder(full, handed), d);
    assert.is(holder(again, handed), e);
    assert.is(holder(handed, vacate(full, 2)), d);
    assert.is(holder(handed, vacate(full, 1)), undefined);
    assert.is(holder(again, later), a);
    assert.is(holder(later, again), a);
    assert.ok(later.seats[1]!.epoch > again.seats[1]!.epoch);
});

test.run();
