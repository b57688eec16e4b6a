import type { UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetLoad } from "../balance/fleet-load.js";
import { UpstreamSelector } from "../balance/upstream-selector.js";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { nameKey } from "../name-key.js";
import { knownUpstream, noColdUpstreams, zoneA } from "../testing/index.js";
import { LimitMeters, mayReceive } from "./limit-meters.js";
import { UpstreamStatements } from "./upstream-statements.js";
import { WillingUpstreams } from "./willing-upstreams.js";

const instanceCount = 44;
const upstreamCount = 27;
const workMs = 160;
/** Time until instances count what another one has sent or heard. */
const reportDelayMs = 300;

/** Time until instances hear a statement. */
const shareDelayMs = 20;
/** Window over which the users count. */
const limitWindowMs = 4_000;
/** Time from the first statements, within the first second, from which limits bind. */
const stableMs = 4_000;

interface Day {
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly limitPerSecond: number;
    /** Number of upstreams that name the limit. */
    readonly limitedCount: number;
    readonly durationMs: number;
}

interface Instance {
    readonly meters: LimitMeters;
    readonly statements: UpstreamStatements;
    readonly selector: UpstreamSelector;
    readonly remoteInFlight: Map<UpstreamId, number>;
    readonly willing: WillingUpstreams;
}

/** Plays a load on a fleet, and returns when each limited upstream got requests and how many were not sent. */
const play = async ({ seed, requestsPerSecond, limitPerSecond, limitedCount, durationMs }: Day) => {
    const clock = new VirtualClock();
    const random = seededRandom(seed);
    const upstreams = Array.from({ length: upstreamCount }, (_, index) => knownUpstream(`u${index}`));
    const limited = new Set<UpstreamId>(upstreams.slice(0, limitedCount).map(({ listed }) => listed.id));
    const received = new Map<UpstreamId, number[]>([...limited].map(upstream => [upstream, []]));
    let rejected = 0;
    const instances: Instance[] = [];
    instances.push(...Array.from({ length: instanceCount }, (): Instance => {
        const remoteInFlight = new Map<UpstreamId, number>();
        const reach = () => ({ live: instanceCount, known: instanceCount });
        const meters = new LimitMeters({ clock, remoteInFlight: upstream => remoteInFlight.get(upstream) ?? 0, reach });
        const statements: UpstreamStatements = new UpstreamStatements({
            clock,
            random,
            log: { event: () => {} },
            listedOf: key => upstreams.map(({ listed }) => listed).filter(({ id }) => nameKey(id) === key),
            share: shared =>
                clock.after(shareDelayMs, () => {
                    instances.forEach(instance => instance.statements.recordShared(shared));
                }),
        });
        const gray = new GrayFailureEstimator(clock);
        const load = new FleetLoad();
        const paths = new PathBackoff(clock);
        const floor = { pick: () => undefined };
        const selector = new UpstreamSelector({ zone: zoneA, clock, random, gray, paths, load, floor });
        return {
            meters,
            statements,
            selector,
            remoteInFlight,
            willing: new WillingUpstreams({ clock, random, statements, meters, cold: noColdUpstreams, reach }),
        };
    }));
    const report = (from: unknown, change: (instance: Instance) => void) =>
        clock.after(reportDelayMs, () => instances.filter(instance => instance !== from).forEach(change));
    const send = () => {
        const instance = instances[Math.floor(random() * instanceCount)]!;
        const request = { tried: new Set<UpstreamId>(), isRepeatable: false, answerTimeMs: workMs };
        const candidates = instance.willing.among(upstreams);
        const selected = instance.selector.select({ ...request, candidates })?.upstream.listed;
        if (selected === undefined) {
            rejected++;
            return;
        }
        instance.meters.recordOwn(selected.id);
        received.get(selected.id)?.push(clock.monotonicMs());
        const change = (by: number) =>
            report(
                instance,
                ({ remoteInFlight }) => remoteInFlight.set(selected.id, (remoteInFlight.get(selected.id) ?? 0) + by),
            );
        change(1);
        clock.after(workMs, () => {
            change(-1);
            report(instance, ({ meters }) => meters.recordRemote(selected.id, 1));
            instance.statements.recordAnswer(selected, {
                limitPerSecond: limited.has(selected.id) ? limitPerSecond : undefined,
                isLeaving: false,
                retryAfterMs: undefined,
            });
        });
    };
    for (let sentMs = 0; sentMs < durationMs; sentMs += -Math.log(1 - random()) * 1_000 / requestsPerSecond) {
        clock.after(sentMs, send);
    }
    await clock.advance(durationMs + 1_000);
    return { received: [...received.values()], rejected };
};

/** Most events within a span, from a time on. */
const mostWithin = (timesMs: readonly number[], spanMs: number, fromMs: number): number => {
    const late = timesMs.filter(timeMs => timeMs >= fromMs);
    return Math.max(
        0,
        ...late.map((startMs, index) => late.slice(index).filter(timeMs => timeMs < startMs + spanMs).length),
    );
};

// Guards against an upstream in need that gets more than it has asked for, at the load at which all limits suffice.
for (const seed of [1, 2, 3]) {
    test(`limited upstreams get what they take while others have room, seed ${seed}`, async () => {
        const day = { seed, requestsPerSecond: 135, limitPerSecond: 4.5, limitedCount: 19, durationMs: 20_000 };
        const { received, rejected } = await play(day);
        const most = Math.max(...received.map(times => mostWithin(times, limitWindowMs, stableMs)));
        assert.ok(most <= 1.5 * day.limitPerSecond * 4 + 5, `${most}`);
        assert.is(rejected, 0);
        const mean = received.flat().filter(timeMs => timeMs >= 10_000).length / received.length / 10;
        assert.ok(mean >= 0.6 * day.limitPerSecond, `${mean} a second`);
    });
}

// Guards against limits that are kept within the allowed excess only, and against room that is left unused.
test("upstreams get as many requests as they take if there are enough", async () => {
    const day = { seed: 5, requestsPerSecond: 220, limitPerSecond: 5, limitedCount: 19, durationMs: 30_000 };
    const { received } = await play(day);
    const times = received.flat().filter(timeMs => timeMs >= 10_000 && timeMs < day.durationMs);
    const mean = times.length / received.length / 20;
    assert.ok(mean >= 0.85 * day.limitPerSecond && mean <= 1.05 * day.limitPerSecond, `${mean} a second`);
});

// Guards against requests that wait or exceed the limits where every upstream of a service has named one.
test("requests beyond the limits of all upstreams are not sent", async () => {
    const day = { seed: 4, requestsPerSecond: 135, limitPerSecond: 2, limitedCount: upstreamCount, durationMs: 30_000 };
    const { received, rejected } = await play(day);
    const most = Math.max(...received.map(times => mostWithin(times, limitWindowMs, stableMs)));
    assert.ok(most <= 1.5 * day.limitPerSecond * 4 + 5, `${most}`);
    assert.ok(rejected > 1_000);
});

// Guards against a partitioned part of the fleet that uses the whole limit, and against a limit of 0 that never ends.
test("the room is the part of an instance that hears few others", async () => {
    const clock = new VirtualClock();
    const reach = { live: 44, known: 44 };
    const meters = new LimitMeters({ clock, remoteInFlight: () => 3, reach: () => reach });
    const { id } = knownUpstream("u1").listed;
    assert.is(meters.room(id, 10), 2 + 6 - 3);
    meters.recordOwn(id);
    meters.recordRemote(id, 2);
    assert.is(meters.room(id, 10), 2);
    reach.live = 10;
    assert.is(meters.room(id, 10), 0);
    await clock.advance(4_400);
    assert.ok(Math.abs(meters.room(id, 10) - 1) < 1e-9);
    assert.ok(new LimitMeters({ clock, remoteInFlight: () => 0, reach: () => reach }).room(id, 0) > 0);
});

// Guards against requests before the first statement that keep an upstream from its limit for seconds.
test("requests count from when the limit is named", () => {
    const clock = new VirtualClock();
    const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach: () => ({ live: 1, known: 1 }) });
    const { id } = knownUpstream("u1").listed;
    meters.recordRemote(id, 100);
    assert.is(meters.room(id, 10), 8);
});

// Guards against more requests than an upstream takes, whatever the limit and the order of events.
test("an instance that knows all requests never exceeds a limit", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.double({ min: 0.3, max: 50, noNaN: true }),
            fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 300 }),
            fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
            async (limitPerSecond, gapsMs, randoms) => {
                const clock = new VirtualClock();
                const meters = new LimitMeters({
                    clock,
                    remoteInFlight: () => 0,
                    reach: () => ({ live: 1, known: 1 }),
                });
                const { id } = knownUpstream("u1").listed;
                const sentMs: number[] = [];
                for (const gapMs of gapsMs) {
                    await clock.advance(gapMs);
                    if (mayReceive(meters.room(id, limitPerSecond), 0, () => randoms.next().value as number)) {
                        meters.recordOwn(id);
                        sentMs.push(clock.monotonicMs());
                    }
                }
                const allowed = limitPerSecond * limitWindowMs / 1_000 * 1.5 + 5;
                return mostWithin(sentMs, limitWindowMs, 0) <= allowed;
            },
        ),
        { seed: 26, numRuns: 100 },
    );
});

test.run();
