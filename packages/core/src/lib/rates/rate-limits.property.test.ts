import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UnsafeRateOptions } from "./options.js";
import { poissonArrivals, RateFleet, type TestOrganisation } from "./rate-fleet.fixture.js";

interface Fault {
    readonly kind: "kill" | "pause" | "cut" | "terms" | "configuration" | "loss";
    readonly atMs: number;
    readonly durationMs: number;
    readonly instance: number;
    readonly factor: number;
}

const instances = 8;
/** Far enough apart for the buckets to refill in between. */
const pulsesMs = [1_600, 3_200, 4_800] as const;
const endMs = 5_500;
/** Just below `batchTtlMs`. */
const heldMs = 110;
const overload = 3;
const seed = 20_261_204;
/** Shorter than the default, so that a short run covers whole changes of the number of shares. */
const currentWindowMs = 300;
const configSpreadMs = 250;
const excludedAfterMs = 300;
/** Rates below and above the minimum for three shares. */
const organisations: readonly TestOrganisation[] = [
    { id: "small", ratePerSecond: 20, burst: 10 },
    { id: "large", ratePerSecond: 320, burst: 310 },
];

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
    kind: fc.constantFrom("kill", "pause", "cut", "terms", "configuration", "loss"),
    atMs: fc.integer({ min: 0, max: endMs - 500 }),
    durationMs: fc.integer({ min: 50, max: 1_500 }),
    instance: fc.integer({ min: 0, max: instances - 1 }),
    factor: fc.constantFrom(0.5, 0.9, 1.5, 3),
});

/** Excludes an instance after a delay and, if it returns, gives its keys back in new terms. */
const exclude = (fleet: RateFleet, fault: Fault, bringBack: (() => void) | undefined): void => {
    const { id } = fleet.members[fault.instance]!;
    fleet.clock.after(excludedAfterMs, () => fleet.changeFleet(() => fleet.fleet.excluded.add(id)));
    if (bringBack !== undefined) {
        fleet.clock.after(fault.durationMs, bringBack);
        fleet.clock.after(
            Math.max(excludedAfterMs, fault.durationMs) + 100,
            () => fleet.changeFleet(() => fleet.fleet.excluded.delete(id)),
        );
    }
};

const inject = (fleet: RateFleet, fault: Fault): void => {
    const { id } = fleet.members[fault.instance]!;
    switch (fault.kind) {
        case "kill":
            fleet.network.kill(id);
            return exclude(fleet, fault, undefined);
        case "pause":
            fleet.network.pause(id);
            return exclude(fleet, fault, () => fleet.network.resume(id));
        case "cut":
            fleet.members.forEach(member => fleet.network.dropMessages(id, member.id));
            return exclude(fleet, fault, () => fleet.network.heal());
        case "terms":
            return fleet.changeFleet(() => {}, true);
        case "configuration":
            return fleet.configure(
                organisations.map(({ id, ratePerSecond, burst }) => ({
                    id,
                    ratePerSecond: ratePerSecond * fault.factor,
                    burst: Math.round(burst * fault.factor),
                })),
                configSpreadMs,
            );
        case "loss":
            fleet.loss.request = 0.1;
            fleet.loss.reply = 0.2;
            fleet.clock.after(fault.durationMs, () => {
                fleet.loss.request = 0;
                fleet.loss.reply = 0;
            });
    }
};

/**
 * The whole burst, with tokens held for nearly their lifetime, followed by more than the rate with immediate use. With
 * `isLate`, a third of the burst is held until the next pulse, long after its tokens have expired.
 */
const schedulePulse = (fleet: RateFleet, organisation: TestOrganisation, atMs: number, isLate: boolean): void => {
    const burst = Array.from({ length: Math.ceil(organisation.burst * 1.2) }, () => atMs);
    const members = Array.from({ length: instances }, (_, index) => index);
    const holdMs = () => isLate && fleet.random() < 1 / 3 ? pulsesMs[2] - pulsesMs[1] + 50 : heldMs;
    fleet.schedule(organisation.id, burst, members, holdMs);
    const more = poissonArrivals(organisation, atMs + heldMs - 5, atMs + heldMs + 400, overload, fleet.random);
    fleet.schedule(organisation.id, more, members);
};

const run = async (faults: readonly Fault[], unsafe: UnsafeRateOptions): Promise<number> => {
    const fleet = new RateFleet({
        organisations,
        instances,
        seed,
        options: { ...unsafe, currentWindowMs },
    });
    organisations.forEach(organisation =>
        pulsesMs.forEach((atMs, index) => schedulePulse(fleet, organisation, atMs, index === 1))
    );
    faults.forEach(fault => fleet.clock.after(fault.atMs, () => inject(fleet, fault)));
    await fleet.clock.advance(endMs + 1_000);
    return Math.max(...organisations.map(({ id }) => fleet.excess(id, configSpreadMs)));
};

const property = (unsafe: UnsafeRateOptions) =>
    fc.asyncProperty(
        fc.array(faultArbitrary, { minLength: 1, maxLength: 5 }),
        async faults => await run(faults, unsafe) <= 1e-6,
    );

const parameters = { seed, endOnFailure: true };

// Guards against faults, alone or combined, that let more than rate and burst through in some window.
test("no fault schedule exceeds rate and burst", async () => {
    await fc.assert(property({}), { ...parameters, numRuns: 60 });
});

// Guards against a property that does not detect late use, and against a reduction of capacity that has no effect.
test("the property fails if tokens count at their debit", async () => {
    assert.ok((await fc.check(property({ countAtDebit: true }), { ...parameters, numRuns: 20 })).failed);
});

// Guards against a property that does not detect the use of expired tokens, and against an expiry check that has no
// effect.
test("the property fails if expiry is ignored", async () => {
    assert.ok((await fc.check(property({ ignoreExpiry: true }), { ...parameters, numRuns: 20 })).failed);
});

test.run();
