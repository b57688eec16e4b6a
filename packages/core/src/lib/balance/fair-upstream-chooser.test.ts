import { test } from "uvu";
import * as assert from "uvu/assert";
import { testRoutes } from "../health/test-fleet.js";
import type { RoutedRequest, SlotDecision } from "../stages.js";
import { id, type OrganisationId, type UpstreamId } from "../types.js";
import { FairQueue } from "./fair-queue.js";
import { LoadGenerator } from "./load-generator.fixture.js";
import { RetryBudget } from "./retry-budget.js";
import { defaultBalanceSettings } from "./settings.js";

const smallFleet = { instances: 12, zones: 3, upstreams: 6, slots: 3, queueLimit: 0 };
const runMs = 20_000;

const expectLease = (decision: SlotDecision) => {
    assert.is(decision.kind, "slot");
    return (decision as Extract<SlotDecision, { readonly kind: "slot"; }>).lease;
};

for (const mode of ["permits", "local"] as const) {
    // Guards against an organisation that takes the slots of others by sending more requests.
    test(`an organisation at five times its rate does not starve others, ${mode}`, async () => {
        const generator = new LoadGenerator({ ...smallFleet, instances: 44, seed: 51 }, { mode });
        // Seven organisations within their rate need 70% of the slots, and the eighth needs half of them.
        const rate = generator.fleet.ratePerSecond * 0.1;
        for (let index = 0; index < 7; index++) {
            generator.offer(`o${index}`, rate, runMs);
        }
        generator.offer("over-rate", rate * 5, runMs);
        await generator.fleet.clock.advance(runMs + 3_000);
        const shares = [...generator.countsByOrganisation].filter(([name]) => name !== "over-rate")
            .map(([, { served, sent }]) => served / sent);
        const overRate = generator.countsByOrganisation.get("over-rate")!;
        console.log(
            `${mode}: worst served ${(Math.min(...shares) * 100).toFixed(2)}%, over rate `
                + `${(overRate.served / overRate.sent * 100).toFixed(2)}%, ${JSON.stringify([...generator.refusals])}`,
        );
        // The target applies to the default mode; local choice is only the fallback.
        assert.ok(mode === "local" || Math.min(...shares) >= 0.95);
    });

    // Guards against a queue that dispatches requests after they were cancelled or their deadline has passed.
    test(`a waiting request ends when it is cancelled or its deadline passes, ${mode}`, async () => {
        const generator = new LoadGenerator({ ...smallFleet, seed: 52 }, { mode });
        const { clock } = generator.fleet;
        const chooser = generator.choosers[0]!;
        const acquire = (request: RoutedRequest) => chooser.acquire(request, []);
        const acquisitions = Promise.all(Array.from({ length: 18 }, () => acquire(generator.request("a"))));
        await clock.advance(10);
        const leases = (await acquisitions).map(expectLease);
        assert.is(leases.length, 18);
        const perUpstream = new Map<UpstreamId, number>();
        leases.forEach(({ upstream }) => perUpstream.set(upstream.id, (perUpstream.get(upstream.id) ?? 0) + 1));
        assert.equal([...perUpstream.values()], [3, 3, 3, 3, 3, 3]);
        const caller = new AbortController();
        const cancelled = acquire(generator.request("a", 900, caller.signal));
        const expired = acquire(generator.request("a", 50));
        const waiting = acquire(generator.request("a", 900));
        await clock.advance(20);
        caller.abort();
        await clock.advance(100);
        assert.is((await cancelled as { reason?: string; }).reason, "cancelled");
        assert.is((await expired as { reason?: string; }).reason, "deadline");
        leases[0]!.release(undefined, 0);
        await clock.advance(10);
        assert.is(expectLease(await waiting).upstream.id, leases[0]!.upstream.id);
    });
}

// Guards against an outage of a service whose coordinator has died, and against instances that never return to permits.
test("instances choose upstreams themselves while the coordinator is unavailable", async () => {
    const generator = new LoadGenerator({ ...smallFleet, seed: 53 });
    const { fleet } = generator;
    generator.offer("a", fleet.ratePerSecond * 0.4, 10_000);
    await fleet.clock.advance(3_000);
    fleet.network.kill(fleet.coordinator());
    await fleet.clock.advance(3_000);
    fleet.changeCoordinator();
    await fleet.clock.advance(7_000);
    const { sent, served } = generator.countsByOrganisation.get("a")!;
    const lost = sent - served;
    console.log(
        `coordinator unavailable for 3 s of 10 s: ${lost} of ${sent} not served, ${
            JSON.stringify([...generator.refusals])
        }`,
    );
    // A twelfth of the requests go to the dead instance, which cannot serve them.
    assert.ok(lost < sent / 12 + sent * 0.03);
});

for (const shape of [{ zones: 3, upstreams: 6, slots: 3 }, { zones: 4, upstreams: 8, slots: 2 }]) {
    for (const fault of ["slow", "route"] as const) {
        // Guards against sending each upstream the requests of one zone only, without evidence for health checking.
        test(`permits leave enough evidence of ${fault} on ${shape.upstreams}x${shape.slots}`, async () => {
            const timesMs: number[] = [];
            for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
                const generator = new LoadGenerator({ ...shape, instances: 44, seed });
                const { fleet } = generator;
                const target = fleet.upstreams[seed % shape.upstreams]!;
                generator.offer("a", fleet.ratePerSecond * 0.5, 10_000);
                await fleet.clock.advance(5_000);
                assert.is(fleet.ejectedTargets().size, 0);
                target.slowFactor = fault === "slow" ? 10 : 1;
                target.failingRoute = fault === "route" ? testRoutes[1] : undefined;
                let timeMs = 0;
                const isUsed = () => fleet.healths.some(health => health.weight(target.listed, testRoutes[1]!) > 0);
                for (; timeMs < 5_000 && isUsed(); timeMs += 50) {
                    await fleet.clock.advance(50);
                }
                timesMs.push(timeMs);
            }
            console.log(`permits, ${fault}, ${shape.upstreams}x${shape.slots}: all 44 after ${timesMs.join(" ")} ms`);
            assert.ok(Math.max(...timesMs) <= 2_000);
        });
    }
}

// Guards against permits that stay in use forever when their release is lost.
test("a lost release frees its slot after a while", async () => {
    const generator = new LoadGenerator({ ...smallFleet, seed: 54 });
    const { clock, network } = generator.fleet;
    const index = generator.fleet.contexts.findIndex(({ membership }) =>
        membership.self !== generator.fleet.coordinator()
    );
    const chooser = generator.choosers[index]!;
    const acquisitions = Promise.all(Array.from({ length: 18 }, () => chooser.acquire(generator.request("a"), [])));
    await clock.advance(10);
    const leases = (await acquisitions).map(expectLease);
    network.dropMessages(generator.fleet.memberships[index]!.self, generator.fleet.coordinator());
    leases.forEach(lease => lease.release(undefined, 0));
    network.heal();
    await clock.advance(3_000);
    const again = chooser.acquire(generator.request("a"), []);
    await clock.advance(10);
    expectLease(await again);
});

// Guards against requests that wait although all upstreams are gone.
test("without an upstream, a request is refused at once", async () => {
    const generator = new LoadGenerator({ ...smallFleet, seed: 55 });
    generator.fleet.upstreams.forEach((_upstream, index) => generator.fleet.setState(index, "leaving"));
    const decision = generator.choosers[0]!.acquire(generator.request("a"), []);
    await generator.fleet.clock.advance(10);
    assert.is((await decision as { reason?: string; }).reason, "no-upstream");
});

// Guards against a full queue that refuses the organisations with the fewest waiting requests.
test("a full queue drops the newest item of the organisation with the most", () => {
    const queue = new FairQueue<number>(20, 3);
    const add = (organisation: string, item: number) =>
        queue.add({ organisation: id<OrganisationId>(organisation), costMs: 50, item })?.item;
    assert.equal([add("a", 1), add("a", 2), add("a", 3)], [undefined, undefined, undefined]);
    assert.is(add("b", 4), 3);
    const order: number[] = [];
    queue.dispatch(item => order.push(item) > 0);
    assert.equal([...order].sort(), [1, 2, 4]);
    assert.ok(order.indexOf(4) < 2);
});

// Guards against shares measured in requests, which let long requests take most of the slots.
test("shares are measured in slot time", () => {
    const queue = new FairQueue<string>(20, 1_000);
    for (let index = 0; index < 100; index++) {
        queue.add({ organisation: id<OrganisationId>("long"), costMs: 100, item: "long" });
        queue.add({ organisation: id<OrganisationId>("short"), costMs: 20, item: "short" });
    }
    let left = 60;
    const taken = { long: 0, short: 0 };
    queue.dispatch(item => {
        if (left === 0) {
            return false;
        }
        left--;
        taken[item as "long" | "short"]++;
        return true;
    });
    assert.equal(taken, { long: 10, short: 50 });
});

// Guards against retries that multiply the load of a failing service.
test("retries stay within a fifth of the requests or three per second", async () => {
    const { clock } = new LoadGenerator({ ...smallFleet, seed: 56 }).fleet;
    const budget = new RetryBudget(clock, defaultBalanceSettings);
    while (budget.tryAcquire()) {
        // Uses up the initial credit.
    }
    let retries = 0;
    for (let second = 0; second < 10; second++) {
        await clock.advance(1_000);
        for (let request = 0; request < 100; request++) {
            budget.recordRequest();
            retries += budget.tryAcquire() ? 1 : 0;
        }
    }
    assert.ok(retries <= 1_000 * 0.2 + 30 && retries >= 200, `${retries}`);
});

test.run();
