import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankSeats } from "../rendezvous.js";
import { id, type OrganisationId } from "../types.js";
import type { DistributedRateLimiter } from "./distributed-rate-limiter.js";
import { shareKey } from "./options.js";
import { RateFleet, type TestOrganisation } from "./rate-fleet.fixture.js";

const small: TestOrganisation = { id: "small", ratePerSecond: 5, burst: 10 };
const organisation = id<OrganisationId>(small.id);
/** Homes wait for currentWindowMs at first, and the bucket takes 2 s to fill. */
const filledMs = 5_100;

const filledFleet = async (organisations: readonly TestOrganisation[] = [small]): Promise<RateFleet> => {
    const fleet = new RateFleet({ organisations, instances: 8 });
    await fleet.clock.advance(filledMs);
    return fleet;
};

/** Asks for tokens at one instance at once; gives how many are granted without being spent. */
const grab = async (fleet: RateFleet, member: number, count: number) => {
    const { limiter } = fleet.members[member]!;
    const endMs = fleet.clock.monotonicMs() + 20;
    const pending = Array.from({ length: count }, () => limiter.acquire(organisation, endMs));
    await fleet.clock.advance(20);
    return (await Promise.all(pending)).flatMap(decision => decision.kind === "granted" ? [decision.token] : []);
};

const otherThanHome = (fleet: RateFleet): number => (fleet.homeIndex(small.id) + 1) % 8;

// Guards against state that grows with the number of organisations ever seen.
test("idle organisations leave no state", async () => {
    const many = Array.from({ length: 500 }, (_, index) => ({ ...small, id: `o${index}` }));
    const fleet = await filledFleet(many);
    many.forEach((rated, index) => void fleet.send(index % 8, rated.id));
    await fleet.clock.advance(100);
    const buckets = () => fleet.members.reduce((sum, member) => sum + member.home.bucketCount, 0);
    const entries = () =>
        fleet.members.reduce((sum, member) => sum + (member.limiter as DistributedRateLimiter).entryCount, 0);
    assert.is(buckets(), 500);
    assert.is(entries(), 500);
    await fleet.clock.advance(65_000);
    assert.is(buckets(), 0);
    assert.is(entries(), 0);
});

// Guards against a bucket that is dropped while idle and comes back empty.
test("an idle organisation gets its whole burst", async () => {
    const fleet = await filledFleet();
    await grab(fleet, 0, 1);
    await fleet.clock.advance(65_000);
    assert.is((await grab(fleet, 0, 12)).length, 10);
});

// Guards against a returned token that stays debited, and against one that can still be spent.
test("returned tokens can be drawn elsewhere", async () => {
    const fleet = await filledFleet();
    const member = otherThanHome(fleet);
    const tokens = await grab(fleet, member, 10);
    assert.is(tokens.length, 10);
    tokens.forEach(token => token.release());
    await fleet.clock.advance(90);
    assert.is((await grab(fleet, (member + 1) % 8, 12)).length, 10);
    assert.not(tokens[0]!.consume());
});

// Guards against tokens that stay usable after a pause longer than their batch.
test("a token expires by the clock, and is spent once", async () => {
    const fleet = await filledFleet();
    const [early, late] = await grab(fleet, otherThanHome(fleet), 2);
    assert.ok(early!.consume());
    assert.not(early!.consume());
    await fleet.clock.advance(121);
    assert.not(late!.consume());
});

// Guards against a Retry-After that does not follow from the rate.
test("a refusal says when the rate gives the next token", async () => {
    const fleet = await filledFleet();
    await grab(fleet, 0, 10);
    const decision = fleet.members[0]!.limiter.acquire(organisation, fleet.clock.monotonicMs() + 5);
    await fleet.clock.advance(5);
    const result = await decision;
    assert.is(result.kind, "refused");
    assert.ok(result.kind === "refused" && result.retryAfterMs >= 80 && result.retryAfterMs <= 400);
});

// Guards against a successor that starts empty, or full, after a graceful leave, and against two acting homes.
test("a handover carries the level and stops the former home", async () => {
    const fleet = await filledFleet();
    const leaving = fleet.homeIndex(small.id);
    const member = otherThanHome(fleet);
    (await grab(fleet, member, 4)).forEach(token => token.consume());
    const former = fleet.members[leaving]!;
    const successor = fleet.members[(leaving + 2) % 8]!;
    const handed = former.home.handOver(() => successor.id);
    const draw = { organisation, share: 0, draw: 1_000, need: 1, ahead: 0, reports: [] };
    assert.not(former.home.draw(former.id, draw).isHome);
    await fleet.clock.advance(10);
    assert.is(await handed, 1);
    fleet.changeFleet(() => {
        const seats = fleet.fleet.roster.seats.map(seat =>
            seat.holder === former.id ? { ...seat, holder: successor.id, epoch: 2 } : seat
        );
        fleet.fleet.roster = { version: 2, seats };
    });
    assert.is((await grab(fleet, member, 10)).length, 6);
});

// Guards against a handover that arrived long before the term and misses what another home granted in between.
test("a late term ignores a handover", async () => {
    const fleet = await filledFleet();
    await grab(fleet, 0, 1);
    const former = fleet.members[fleet.homeIndex(small.id)]!;
    const handed = former.home.handOver(() => fleet.members[otherThanHome(fleet)]!.id);
    await fleet.clock.advance(1_500);
    assert.is(await handed, 1);
    fleet.changeFleet(() => fleet.fleet.excluded.add(former.id));
    const home = fleet.members[fleet.homeIndex(small.id)]!;
    const member = fleet.members.findIndex(entry => entry !== home && entry !== former);
    assert.is((await grab(fleet, member, 1)).length, 0);
});

// Guards against a handed bucket in a term that another home may have preceded, however soon the term starts.
test("a stop counts only for the term that follows it", async () => {
    for (const follows of [7, 8, undefined]) {
        const fleet = await filledFleet();
        const key = shareKey(organisation, 0);
        await grab(fleet, 0, 1);
        const former = fleet.members[fleet.homeIndex(small.id)]!;
        const others = rankSeats(fleet.fleet.roster.seats, key).filter(seat => seat.holder !== former.id);
        const handed = former.home.handOver(() => others[0]!.holder, 7);
        await fleet.clock.advance(10);
        assert.is(await handed, 1);
        fleet.follows = follows;
        fleet.changeFleet(() => fleet.fleet.excluded.add(former.id));
        const member = fleet.members.findIndex(({ id: name }) => name === others[1]!.holder);
        assert.is((await grab(fleet, member, 12)).length > 0, follows === 7);
    }
});

test.run();
