import { id } from "@sniperoad/core";
import type { InstanceId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testOrganisation } from "../testing/index.js";
import { FleetRateLimiter } from "./fleet-rate-limiter.js";
import type { FleetSize } from "./fleet-rate-limiter.js";
import { SlidingWindowCounter } from "./sliding-window-counter.js";

const windowMs = 5_000;
const overage = 0.1;
const slack = 20;
const organisation = testOrganisation({ ratePerSecond: 60, burst: 60 });
const windowLimit = organisation.ratePerSecond * windowMs / 1_000 + organisation.burst;
/** The platform's bound on one window. */
const bound = windowLimit * (1 + overage) + slack;

interface Run {
    readonly instanceCount: number;
    readonly perSecond: (nowMs: number) => number;
    /** Which instances get the requests. */
    readonly share: number;
    /** Whether an instance hears the others. */
    readonly isCut?: (index: number) => boolean;
}

/** Plays 20 s of one organisation's requests over a fleet whose beats come every 400 ms, slower than those of the program. */
const play = async ({ instanceCount, perSecond, share, isCut = () => false }: Run) => {
    const clock = new VirtualClock();
    const random = seededRandom(3);
    const instances = Array.from({ length: instanceCount }, (_, index) => ({
        id: id<InstanceId>(`i${index}~0`),
        rates: new FleetRateLimiter(clock, () => ({ windowMs, overage, slack })),
        phaseMs: Math.floor(random() * 400),
        size: (): FleetSize => ({
            heard: isCut(index) ? 1 : instances.filter((_entry, other) => !isCut(other)).length,
            known: instanceCount,
        }),
    }));
    const admittedAtMs: number[] = [];
    let offered = 0;
    for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
        instances.forEach((instance, index) => {
            if (nowMs % 400 === Math.floor(instance.phaseMs / 10) * 10 && !isCut(index)) {
                const usage = instance.rates.report();
                instances.forEach((other, to) => {
                    if (to !== index && !isCut(to)) {
                        other.rates.noteReport(instance.id, usage);
                    }
                });
            }
        });
        const due = perSecond(nowMs) / 100;
        for (let left = due; left > 0; left--) {
            if (random() > left) {
                continue;
            }
            const instance = instances[Math.floor(random() * instanceCount * share)]!;
            offered++;
            instance.rates.noteOffered(organisation.id);
            if (instance.rates.tryAdmit(organisation, instance.size()).isAdmitted) {
                admittedAtMs.push(nowMs);
            }
        }
        await clock.advance(10);
    }
    const most = Math.max(
        ...admittedAtMs.map(fromMs => admittedAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length),
    );
    return { offered, admitted: admittedAtMs.length, most };
};

// Guards against refusals inside the rate, whatever instances the callers use.
for (const share of [1, 3 / 44]) {
    test(`nothing is refused inside the rate, callers on ${Math.round(share * 44)} of 44 instances`, async () => {
        const { offered, admitted } = await play({ instanceCount: 44, perSecond: () => 38, share });
        assert.is(admitted, offered);
    });
}

// Guards against an excess while a caller suddenly sends eight times its usual.
test("a sudden excess stays within the bound of a window", async () => {
    const { admitted, most } = await play({
        instanceCount: 44,
        perSecond: nowMs => nowMs < 6_000 ? 38 : 300,
        share: 1,
    });
    assert.ok(most <= bound, `${most} in one window, bound ${bound}`);
    assert.ok(admitted >= 0.8 * (6 * 38 + 14 * organisation.ratePerSecond), `${admitted} admitted`);
});

// Guards against instances that cannot hear each other and admit the whole rate each.
test("a third that is cut off keeps to its part", async () => {
    const { most } = await play({
        instanceCount: 45,
        perSecond: () => 300,
        share: 1,
        isCut: index => index % 3 === 0,
    });
    assert.ok(most <= bound, `${most} in one window, bound ${bound}`);
});

test("a window forgets what is older", async () => {
    const clock = new VirtualClock();
    const window = new SlidingWindowCounter(clock, 1_000);
    window.add(3);
    await clock.advance(900);
    window.add(1);
    assert.is(window.total(), 4);
    await clock.advance(300);
    assert.is(window.total(), 1);
    await clock.advance(60_000);
    assert.is(window.total(), 0);
});

test.run();
