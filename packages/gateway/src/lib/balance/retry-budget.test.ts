import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { aloneBudget, reportsService } from "../testing/index.js";
import { AttemptWindow } from "./attempt-window.js";
import { play, share, windowMs, zoneCount } from "./retry-budget-fleet.fixture.js";
import type { Day, DayResult } from "./retry-budget-fleet.fixture.js";

const smallBudget = { share, burst: 62, windowMs };

// Guards against retries that are denied at an instance with few requests, while the fleet's budget is unused.
test("a cut-off instance with two requests per second may retry three of them at once", async () => {
    const clock = new VirtualClock();
    const budget = aloneBudget(clock, smallBudget, 293);
    for (let request = 0; request < 20; request++) {
        budget.recordRequest(reportsService);
        await clock.advance(500);
    }
    assert.equal([1, 2, 3, 4].map(() => budget.tryAcquire(reportsService, 0)), [true, true, true, false]);
    await clock.advance(11_000);
    assert.is(budget.tryAcquire(reportsService, 0), false);
});

// Guards against extra attempts that are used up by the least urgent requests while all upstreams refuse some.
test("the last extra attempts are left for more urgent requests", async () => {
    const clock = new VirtualClock();
    const budget = aloneBudget(clock, smallBudget, 44);
    for (let request = 0; request < 100; request++) {
        budget.recordRequest(reportsService);
        await clock.advance(50);
    }
    const taken = [2, 1, 0].map(rank => {
        let count = 0;
        while (budget.tryAcquire(reportsService, rank)) {
            count++;
        }
        return count;
    });
    assert.equal(taken, [14, 2, 3]);
});

// Guards against counting requests of a window that does not belong to the bound.
test("a window is compared to the requests in it, half a window and a window before it", async () => {
    const clock = new VirtualClock();
    const window = new AttemptWindow(clock, windowMs);
    window.addRequests(100);
    assert.is(window.room({ share, burst: 1 }), 21);
    await clock.advance(9_000);
    window.addAttempts(20);
    assert.is(window.room({ share, burst: 1 }), 1);
    await clock.advance(2_000);
    // A window that starts now has no attempt, but the requests of the window before it; in 9 s it has none.
    assert.is(window.room({ share, burst: 1 }), 1);
    await clock.advance(8_500);
    assert.is(window.room({ share, burst: 1 }), 1);
    await clock.advance(2_000);
    assert.is(window.room({ share, burst: 1 }), 1);
    assert.is(window.attempts(), 0);
});

const isCut = (nowMs: number): boolean => nowMs >= 22_000 && nowMs < 32_000;
const instancesOf = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index);

const usualRejectedShare = 0.08;
/** All upstreams of the service reject 0.55 of their arrivals for 8.5 s. */
const rejecting = (nowMs: number): number => nowMs >= 20_000 && nowMs < 28_500 ? 0.55 : usualRejectedShare;
const fleets = [{ instanceCount: 42, rate: 130 }, { instanceCount: 110, rate: 200 }, { instanceCount: 293, rate: 250 }];

for (const { instanceCount, rate } of fleets) {
    const steady: Day = { instanceCount, requestsPerSecond: () => rate, rejectedShare: rejecting };
    const third = Array.from({ length: Math.floor(instanceCount / 3) }, (_, index) => index * 3);
    const days: Readonly<Record<string, Day>> = {
        "all upstreams reject 0.55 of their arrivals": steady,
        "all upstreams fail for 12 s": {
            ...steady,
            rejectedShare: nowMs => nowMs >= 18_000 && nowMs < 30_000 ? 1 : usualRejectedShare,
        },
        "the requests rise and fall": {
            ...steady,
            requestsPerSecond: nowMs =>
                nowMs >= 18_000 && nowMs < 23_000 ? 2.4 * rate : nowMs >= 27_000 ? 0.1 * rate : rate,
        },
        "instances end and restart": {
            ...steady,
            kills: nowMs => nowMs >= 19_000 && nowMs % 500 === 0 ? [nowMs / 500 % instanceCount] : [],
        },
        "a third of the instances ends at once": { ...steady, kills: nowMs => nowMs === 22_000 ? third : [] },
        "all instances end at once": {
            ...steady,
            kills: nowMs => nowMs === 23_000 ? instancesOf(instanceCount) : [],
        },
        "a third of the instances joins": { ...steady, joining: Math.floor(instanceCount / 3) },
        "one zone is cut off from the others": {
            ...steady,
            mayPass: (nowMs, address, zone) => !isCut(nowMs) || (address % zoneCount === 0) === (zone === 0),
        },
        "all zones are cut off from each other": {
            ...steady,
            mayPass: (nowMs, address, zone) => !isCut(nowMs) || address % zoneCount === zone,
        },
        "all upstreams fail while all zones are cut off": {
            ...steady,
            rejectedShare: nowMs => nowMs >= 18_000 && nowMs < 30_000 ? 1 : usualRejectedShare,
            mayPass: (nowMs, address, zone) => !isCut(nowMs) || address % zoneCount === zone,
        },
        "some instances are cut off": { ...steady, mayPass: (nowMs, address) => !isCut(nowMs) || address % 5 !== 0 },
    };
    for (const [name, day] of Object.entries(days)) {
        // Guards against extra attempts beyond the bound of the fleet while the instances do not know all of them.
        test(`${instanceCount} instances keep the bound in any window: ${name}`, async () => {
            for (const seed of [1, 2]) {
                const { worst, extrasMs } = await play({ ...day, seed });
                assert.ok(worst <= 0, `${worst} beyond the bound with seed ${seed}`);
                assert.ok(extrasMs.length > 100, `${extrasMs.length} extra attempts with seed ${seed}`);
            }
        });
    }

    // Guards against a budget that is left unused by the instances that do not need it.
    test(`${instanceCount} instances make more extra attempts while upstreams reject than by parts`, async () => {
        const [shared, parts] = await Promise.all([play(steady), play({ ...steady, isByParts: true })]);
        const during = ({ extrasMs }: DayResult): number =>
            extrasMs.filter(atMs => atMs >= 20_000 && atMs < 28_500).length;
        const text = `${during(shared)} in place of ${during(parts)}`;
        assert.ok(during(shared) >= 1.1 * during(parts), text);
    });
}

test.run();
