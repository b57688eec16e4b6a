import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankSeats } from "../rendezvous.js";
import { id, type OrganisationId } from "../types.js";
import type { DistributedRateLimiter } from "./distributed-rate-limiter.js";
import { shareKey } from "./options.js";
import { RateFleet, type TestOrganisation } from "./rate-fleet.fixture.js";

const small: TestOrganisation = { id: "small", ratePerSecond: 5, burst: 10 };
const organisation = id<OrganisationId>(small.id);
/** Coordinators wait for currentWindowMs at first, and the bucket takes 2 s to fill. */
const filledMs = 5_100;

const fleetWithFullBuckets = async (organisations: readonly TestOrganisation[] = [small]): Promise<RateFleet> => {
    const fleet = new RateFleet({ organisations, instances: 8 });
    await fleet.clock.advance(filledMs);
    return fleet;
};

/** Acquires tokens at one instance at the same time, and returns those granted without using them. */
const acquireTokens = async (fleet: RateFleet, member: number, count: number) => {
    const { limiter } = fleet.members[member]!;
    const endMs = fleet.clock.monotonicMs() + 20;
    const pending = Array.from({ length: count }, () => limiter.acquire(organisation, endMs));
    await fleet.clock.advance(20);
    return (await Promise.all(pending)).flatMap(decision => decision.kind === "granted" ? [decision.token] : []);
};

const nonCoordinatorIndex = (fleet: RateFleet): number => (fleet.coordinatorIndex(small.id) + 1) % 8;

// Guards against state that grows with the number of organisations ever used.
test("idle organisations leave no state", async () => {
    const many = Array.from({ length: 500 }, (_, index) => ({ ...small, id: `o${index}` }));
    const fleet = await fleetWithFullBuckets(many);
    many.forEach((rated, index) => void fleet.send(index % 8, rated.id));
    await fleet.clock.advance(100);
    const buckets = () => fleet.members.reduce((sum, member) => sum + member.coordinator.bucketCount, 0);
    const entries = () =>
        fleet.members.reduce((sum, member) => sum + (member.limiter as DistributedRateLimiter).organisationCount, 0);
    assert.is(buckets(), 500);
    assert.is(entries(), 500);
    await fleet.clock.advance(65_000);
    assert.is(buckets(), 0);
    assert.is(entries(), 0);
});

// Guards against a bucket that is dropped while idle and is empty when it is created again.
test("an idle organisation keeps its whole burst", async () => {
    const fleet = await fleetWithFullBuckets();
    await acquireTokens(fleet, 0, 1);
    await fleet.clock.advance(65_000);
    assert.is((await acquireTokens(fleet, 0, 12)).length, 10);
});

// Guards against a returned token that stays debited, and against one that can still be used.
test("returned tokens can be granted to another instance", async () => {
    const fleet = await fleetWithFullBuckets();
    const member = nonCoordinatorIndex(fleet);
    const tokens = await acquireTokens(fleet, member, 10);
    assert.is(tokens.length, 10);
    tokens.forEach(token => token.release());
    await fleet.clock.advance(90);
    assert.is((await acquireTokens(fleet, (member + 1) % 8, 12)).length, 10);
    assert.not(tokens[0]!.consume());
});

// Guards against tokens that remain usable after a pause longer than the lifetime of their batch.
test("a token expires with time and can be used once", async () => {
    const fleet = await fleetWithFullBuckets();
    const [early, late] = await acquireTokens(fleet, nonCoordinatorIndex(fleet), 2);
    assert.ok(early!.consume());
    assert.not(early!.consume());
    await fleet.clock.advance(121);
    assert.not(late!.consume());
});

// Guards against a Retry-After value that does not follow from the rate.
test("a refusal names the time until the next token", async () => {
    const fleet = await fleetWithFullBuckets();
    await acquireTokens(fleet, 0, 10);
    const decision = fleet.members[0]!.limiter.acquire(organisation, fleet.clock.monotonicMs() + 5);
    await fleet.clock.advance(5);
    const result = await decision;
    assert.is(result.kind, "refused");
    assert.ok(result.kind === "refused" && result.retryAfterMs >= 80 && result.retryAfterMs <= 400);
});

// Guards against a successor that starts with an empty or full bucket after a graceful leave, and against two
// coordinators that act at the same time.
test("a handover transfers the level and stops the former coordinator", async () => {
    const fleet = await fleetWithFullBuckets();
    const leaving = fleet.coordinatorIndex(small.id);
    const member = nonCoordinatorIndex(fleet);
    (await acquireTokens(fleet, member, 4)).forEach(token => token.consume());
    const former = fleet.members[leaving]!;
    const successor = fleet.members[(leaving + 2) % 8]!;
    const handed = former.coordinator.handOver(() => successor.id);
    const draw = { organisation, share: 0, draw: 1_000, need: 1, ahead: 0, reports: [] };
    assert.not(former.coordinator.draw(former.id, draw).isHome);
    await fleet.clock.advance(10);
    assert.is(await handed, 1);
    fleet.changeFleet(() => {
        const seats = fleet.fleet.roster.seats.map(seat =>
            seat.holder === former.id ? { ...seat, holder: successor.id, epoch: 2 } : seat
        );
        fleet.fleet.roster = { version: 2, seats };
    });
    assert.is((await acquireTokens(fleet, member, 10)).length, 6);
});

// Guards against a handover that arrived long before the term and lacks what another coordinator granted in between.
test("a term that starts late ignores a handover", async () => {
    const fleet = await fleetWithFullBuckets();
    await acquireTokens(fleet, 0, 1);
    const former = fleet.members[fleet.coordinatorIndex(small.id)]!;
    const handed = former.coordinator.handOver(() => fleet.members[nonCoordinatorIndex(fleet)]!.id);
    await fleet.clock.advance(1_500);
    assert.is(await handed, 1);
    fleet.changeFleet(() => fleet.fleet.excluded.add(former.id));
    const coordinator = fleet.members[fleet.coordinatorIndex(small.id)]!;
    const member = fleet.members.findIndex(entry => entry !== coordinator && entry !== former);
    assert.is((await acquireTokens(fleet, member, 1)).length, 0);
});

// Guards against using a handed-over bucket in a term that another coordinator may have preceded, however soon the term
// starts.
test("a handover with an epoch is used only by the term that follows it", async () => {
    for (const predecessorEpoch of [7, 8, undefined]) {
        const fleet = await fleetWithFullBuckets();
        const key = shareKey(organisation, 0);
        await acquireTokens(fleet, 0, 1);
        const former = fleet.members[fleet.coordinatorIndex(small.id)]!;
        const others = rankSeats(fleet.fleet.roster.seats, key).filter(seat => seat.holder !== former.id);
        const handed = former.coordinator.handOver(() => others[0]!.holder, 7);
        await fleet.clock.advance(10);
        assert.is(await handed, 1);
        fleet.predecessorEpoch = predecessorEpoch;
        fleet.changeFleet(() => fleet.fleet.excluded.add(former.id));
        const member = fleet.members.findIndex(({ id: name }) => name === others[1]!.holder);
        assert.is((await acquireTokens(fleet, member, 12)).length > 0, predecessorEpoch === 7);
    }
});

test.run();
