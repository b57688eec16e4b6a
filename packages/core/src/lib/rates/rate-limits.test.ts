import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    burstArrivals,
    conformingArrivals,
    eightOrganisations,
    evenArrivals,
    poissonArrivals,
    RateFleet,
    type TestOrganisation,
} from "./rate-fleet.fixture.js";

type Pattern = "even" | "poisson" | "burst" | "over";

interface Case {
    readonly name: string;
    readonly pattern: Pattern;
    /** Number of instances that the callers of an organisation use. */
    readonly spread: 3 | 44;
    /**
     * Set for cases without faults in which all arrivals conform; 0.001 is the target of the design for 3 of 44
     * instances.
     */
    readonly maxRefusedFraction?: number;
    readonly fault?: (fleet: RateFleet) => Promise<void>;
    readonly configSpreadMs?: number;
    /** Longest time that a request holds its token. */
    readonly holdMs?: number;
}

/**
 * Buckets start empty, and coordinators wait for currentWindowMs at first; then the largest bucket takes 2 s to fill.
 */
const warmUpMs = 6_000;
const runMs = 10_000;
const excludedAfterMs = 2_500;
const largest = "org-0";
const members = Array.from({ length: 44 }, (_, index) => index);

const arrivals = (pattern: Pattern, organisation: TestOrganisation, fleet: RateFleet): number[] => {
    const endMs = warmUpMs + runMs;
    switch (pattern) {
        case "even":
            return evenArrivals(organisation, warmUpMs, endMs);
        case "poisson":
            return conformingArrivals(organisation, poissonArrivals(organisation, warmUpMs, endMs, 1.1, fleet.random));
        case "burst":
            return conformingArrivals(organisation, burstArrivals(organisation, warmUpMs, endMs, 5_000));
        case "over":
            return poissonArrivals(organisation, warmUpMs, endMs, 5, fleet.random);
    }
};

/** Stops the coordinator of an organisation; with `restart`, brings it back later in a new term. */
const loseCoordinator = (
    stop: (fleet: RateFleet, coordinator: number) => void,
    restart?: (fleet: RateFleet, coordinator: number) => void,
    organisation: string = largest,
) =>
async (fleet: RateFleet) => {
    const coordinator = fleet.coordinatorIndex(organisation);
    const { id } = fleet.members[coordinator]!;
    fleet.down.add(coordinator);
    stop(fleet, coordinator);
    await fleet.clock.advance(excludedAfterMs);
    fleet.changeFleet(() => fleet.fleet.excluded.add(id));
    if (restart !== undefined) {
        await fleet.clock.advance(2_000);
        restart(fleet, coordinator);
        await fleet.clock.advance(2_000);
        fleet.changeFleet(() => fleet.fleet.excluded.delete(id));
        fleet.down.delete(coordinator);
    }
};

const scaled = (factor: number): TestOrganisation[] =>
    eightOrganisations.map(({ id, ratePerSecond, burst }) => ({
        id,
        ratePerSecond: ratePerSecond * factor,
        burst: burst * factor,
    }));

const handOver = async (fleet: RateFleet): Promise<void> => {
    const leaving = fleet.coordinatorIndex(largest);
    const successor = fleet.members[(leaving + 1) % 44]!;
    const { id } = fleet.members[leaving]!;
    await untilDone(fleet, fleet.members[leaving]!.coordinator.handOver(() => successor.id));
    fleet.down.add(leaving);
    fleet.changeFleet(() => {
        const seats = fleet.fleet.roster.seats.map(seat =>
            seat.holder === id ? { ...seat, holder: successor.id, epoch: seat.epoch + 1 } : seat
        );
        fleet.fleet.roster = { version: 2, seats };
    });
};

const untilDone = async <T>(fleet: RateFleet, promise: Promise<T>): Promise<T> => {
    await fleet.clock.advance(10);
    return promise;
};

const cases: readonly Case[] = [
    { name: "even callers", pattern: "even", spread: 44, maxRefusedFraction: 0.001 },
    { name: "even callers on 3 of 44", pattern: "even", spread: 3, maxRefusedFraction: 0.001 },
    { name: "Poisson callers", pattern: "poisson", spread: 44, maxRefusedFraction: 0.001 },
    { name: "Poisson callers on 3 of 44", pattern: "poisson", spread: 3, maxRefusedFraction: 0.001 },
    // A whole burst at the same time at 44 instances leaves the three shares of the largest organisation uneven.
    { name: "whole bursts", pattern: "burst", spread: 44, maxRefusedFraction: 0.001 },
    { name: "whole bursts on 3 of 44", pattern: "burst", spread: 3, maxRefusedFraction: 0.001 },
    { name: "five times the rate", pattern: "over", spread: 44 },
    { name: "five times the rate on 3 of 44", pattern: "over", spread: 3 },
    { name: "tokens held before use", pattern: "over", spread: 44, holdMs: 300 },
    {
        name: "coordinator killed",
        pattern: "poisson",
        spread: 44,
        fault: loseCoordinator((fleet, coordinator) => fleet.network.kill(fleet.members[coordinator]!.id)),
    },
    {
        name: "coordinator of an organisation with one share killed",
        pattern: "poisson",
        spread: 44,
        fault: loseCoordinator(
            (fleet, coordinator) => fleet.network.kill(fleet.members[coordinator]!.id),
            undefined,
            "org-4",
        ),
    },
    {
        name: "coordinator paused and resumed",
        pattern: "poisson",
        spread: 44,
        fault: loseCoordinator(
            (fleet, coordinator) => fleet.network.pause(fleet.members[coordinator]!.id),
            (fleet, coordinator) => fleet.network.resume(fleet.members[coordinator]!.id),
        ),
    },
    {
        name: "coordinator cut one way",
        pattern: "poisson",
        spread: 44,
        fault: loseCoordinator(
            (fleet, coordinator) =>
                members.forEach(member =>
                    fleet.network.dropMessages(fleet.members[coordinator]!.id, fleet.members[member]!.id)
                ),
            fleet => fleet.network.heal(),
        ),
    },
    {
        name: "one reply in ten lost",
        pattern: "poisson",
        spread: 44,
        fault: async fleet => void (fleet.loss.reply = 0.1),
    },
    {
        name: "new terms",
        pattern: "over",
        spread: 44,
        fault: async fleet => {
            for (let round = 0; round < 5; round++) {
                fleet.changeFleet(() => {}, true);
                await fleet.clock.advance(700);
            }
        },
    },
    {
        name: "rate doubled",
        pattern: "over",
        spread: 44,
        configSpreadMs: 2_500,
        fault: async fleet => fleet.configure(scaled(2), 2_500),
    },
    {
        name: "rate and shares lowered, then raised",
        pattern: "over",
        spread: 44,
        configSpreadMs: 2_500,
        fault: async fleet => {
            fleet.configure(scaled(0.2), 2_500);
            await fleet.clock.advance(5_000);
            fleet.configure(scaled(3), 2_500);
        },
    },
    { name: "handover", pattern: "poisson", spread: 44, fault: handOver },
    { name: "handover at five times the rate", pattern: "over", spread: 44, fault: handOver },
];

/** Runs a case. Returns the refused fraction of all requests and of the organisation with the most refusals. */
const run = async (entry: Case, limiter: "distributed" | "static-split") => {
    const fleet = new RateFleet({ organisations: eightOrganisations, seed: 11, limiter });
    eightOrganisations.forEach((organisation, index) => {
        const used = entry.spread === 44 ? members : [index, index + 13, index + 29];
        const holdMs = () => fleet.random() * (entry.holdMs ?? 0);
        fleet.schedule(organisation.id, arrivals(entry.pattern, organisation, fleet), used, holdMs);
    });
    await fleet.clock.advance(warmUpMs + runMs / 4);
    await entry.fault?.(fleet);
    await fleet.clock.advance(warmUpMs + runMs + 2_000 - fleet.clock.monotonicMs());
    const counts = [...fleet.counts.values()];
    const sum = (pick: (tally: (typeof counts)[number]) => number) =>
        counts.reduce((total, tally) => total + pick(tally), 0);
    const messages = [...fleet.network.sentByMethod.values()].reduce((total, count) => total + count, 0);
    return {
        refused: sum(tally => tally.refused) / sum(tally => tally.offered),
        worstOrganisation: Math.max(...counts.map(tally => tally.refused / tally.offered)),
        waitedMs: Math.max(...counts.map(tally => tally.waitedMs)),
        messages: messages / sum(tally => tally.offered),
        excess: Math.max(...eightOrganisations.map(({ id }) => fleet.excess(id, entry.configSpreadMs ?? 0))),
    };
};

const percent = (fraction: number): string => `${(fraction * 100).toFixed(3)}%`;

// Guards against more dispatches than rate and burst in some window, and against refusals of callers that conform.
for (const entry of cases) {
    test(entry.name, async () => {
        const distributed = await run(entry, "distributed");
        const split = await run(entry, "static-split");
        console.log(
            `${entry.name}: refused ${percent(distributed.refused)}, worst organisation ${
                percent(distributed.worstOrganisation)
            }, `
                + `longest wait ${distributed.waitedMs.toFixed(0)} ms, messages per request ${
                    distributed.messages.toFixed(2)
                }, `
                + `excess ${distributed.excess.toFixed(2)}; static split refused ${percent(split.refused)}, `
                + `worst ${percent(split.worstOrganisation)}`,
        );
        assert.ok(distributed.excess <= 1e-6, `${distributed.excess} dispatches above rate and burst`);
        if (entry.maxRefusedFraction !== undefined) {
            assert.ok(distributed.refused <= entry.maxRefusedFraction, `${percent(distributed.refused)} refused`);
        }
    });
}

test.run();
