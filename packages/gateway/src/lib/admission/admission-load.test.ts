import { id } from "@sniperoad/core";
import type { OrganisationId, RouteId } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { currentDecisions } from "../testing/instance-decisions.js";
import { playOverload } from "../testing/overload-simulation.js";
import type { Policy, Served, SimulatedLoad, SimulatedRoute } from "../testing/overload-simulation.js";
import { totalOf } from "../testing/overload-table.js";

const [upstreams, slots, workMs] = [16, 3, 200];
const capacityPerSecond = upstreams * slots * 1_000 / workMs;
/** Retry delay without a decision on it. */
const fixedRetryMs = 250;

/** A service with requests of three ranks; what instances know of its load is 250 ms old. */
const loadOf = (requestsPerSecond: (nowMs: number) => number, more: Partial<SimulatedLoad> = {}): SimulatedLoad => ({
    name: "even",
    instances: 44,
    upstreams,
    slots,
    durationMs: 8_000,
    fixedWorkShare: 0,
    reports: { ageMs: 250, intervalMs: 5 },
    organisations: [{ id: id<OrganisationId>("org-1"), declaredPerSecond: 2 * capacityPerSecond, factor: () => 1 }],
    routes: [0, 1, 2].map((rank): SimulatedRoute => ({
        id: id<RouteId>(`r${rank}`),
        rank,
        workMs,
        targetLatencyMs: 600,
        deadlineMs: 4_000,
        requestsPerSecond: nowMs => requestsPerSecond(nowMs) / 3,
    })),
    ...more,
});

const unlimited: Policy = () => ({
    decide: () => "admit",
    retryAfterMs: () => fixedRetryMs,
    onAnswer: () => {},
});

const byRoute = (served: readonly Served[]) =>
    ["r0", "r1", "r2"].map(route => totalOf(served.filter(entry => entry.route === route)));

// Guards against a burst in which nearly all requests are answered after their objective, since all of them wait.
test("in a burst of 1.7 times the capacity more requests meet their objective than without admission", async () => {
    const burst = (nowMs: number): number => capacityPerSecond * (nowMs >= 2_000 && nowMs < 8_000 ? 1.7 : 0.6);
    const load = loadOf(burst, { durationMs: 10_000 });
    const [limited, without] = [await playOverload(load, currentDecisions), await playOverload(load, unlimited)];
    const text = JSON.stringify({ limited, without });
    assert.ok(totalOf(limited).inTime >= 1.15 * totalOf(without).inTime, text);
    // The most urgent requests are served more often, and the least urgent ones are not starved.
    const shares = byRoute(limited).map(({ asked, inTime }) => inTime / asked);
    assert.ok(shares[0]! >= shares[1]! && shares[1]! >= shares[2]! && shares[2]! >= 0.25 * shares[0]!, text);
});

// Guards against refusals while the service has room for all requests.
test("at 0.8 of the capacity no request is rejected", async () => {
    const { refused, lost } = totalOf(await playOverload(loadOf(() => 0.8 * capacityPerSecond), currentDecisions));
    assert.equal({ refused, lost }, { refused: 0, lost: 0 });
});

// Guards against instances that all choose the upstreams which were idle when the loads were reported.
for (const share of [0.6, 0.8, 1]) {
    test(`at ${share} of the capacity old loads place better than no loads, and than loads taken for new`, async () => {
        const load = loadOf(() => share * capacityPerSecond);
        const dated = totalOf(await playOverload(load, unlimited));
        const undated = totalOf(await playOverload({ ...load, reportKind: "undated" }, unlimited));
        const none = totalOf(await playOverload({ ...load, reportKind: "none" }, unlimited));
        const text = JSON.stringify({ dated, undated, none });
        assert.ok(dated.inTime > undated.inTime, text);
        assert.ok(dated.inTime > none.inTime, text);
    });
}

test.run();
