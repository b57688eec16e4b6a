import { id } from "@sniperoad/core";
import type { RouteId, UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import { nameKey } from "../name-key.js";
import { knownUpstream, reportsService, zoneA } from "../testing/index.js";
import { FleetLoad } from "./fleet-load.js";
import { RouteSeparation } from "./route-separation.js";
import { UpstreamSelector } from "./upstream-selector.js";

interface Kind {
    readonly id: RouteId;
    readonly workMs: number;
    readonly targetLatencyMs: number;
    readonly share: number;
}

const short: Kind = { id: id<RouteId>("short"), workMs: 93, targetLatencyMs: 404, share: 0.7 };
const long: Kind = { id: id<RouteId>("long"), workMs: 585, targetLatencyMs: 3_004, share: 0.3 };
const upstreams = Array.from({ length: 24 }, (_, index) => knownUpstream(`u${index}`, { slots: 3 }));

const learned = (...kinds: readonly Kind[]): RouteSeparation => {
    const separation = new RouteSeparation(new VirtualClock());
    for (let answer = 0; answer < 20; answer++) {
        kinds.forEach(kind => separation.recordAnswer(reportsService, kind, kind.workMs));
    }
    return separation;
};

// Guards against upstreams that are kept apart without need, so that one kind waits while the other has room.
test("only routes that harm others are kept apart", () => {
    const avoided = (separation: RouteSeparation, kind: Kind): number =>
        separation.avoidedFor(reportsService, kind, upstreams).size;
    const separation = learned(short, long);
    assert.is(avoided(separation, short) + avoided(separation, long), upstreams.length);
    assert.ok(avoided(separation, short) > avoided(separation, long));
    assert.is(avoided(learned(short, { ...long, workMs: 150 }), short), 0);
    assert.is(avoided(learned({ ...short, targetLatencyMs: 3_000 }, long), short), 0);
    assert.is(avoided(learned(short), short), 0);
    assert.is(separation.avoidedFor(reportsService, short, upstreams.slice(0, 3)).size, 0);
});

/** Time until instances hear of the requests of the others; nearly all requests are sent by others. */
const loadDelayMs = 250;

/** Plays 40 s of both routes and returns the shares that met their objectives. */
const play = async (utilization: number, isSeparated: boolean): Promise<readonly [number, number]> => {
    const clock = new VirtualClock();
    const random = seededRandom(3);
    const separation = new RouteSeparation(clock);
    const reported = new Map<number, number>();
    const load = new FleetLoad(() => {}, {
        inFlight: key => reported.get(key) ?? 0,
        loads: () => [{ atMs: clock.monotonicMs() - loadDelayMs, inFlight: reported }],
    });
    const gray = new GrayFailureEstimator(clock);
    const paths = new PathBackoff(clock);
    const floor = { pick: () => undefined };
    const selector = new UpstreamSelector({ zone: zoneA, clock, random, gray, paths, load, floor });
    const running = new Map<UpstreamId, number>();
    const waiting = new Map(upstreams.map(({ listed }) => [listed.id, [] as (() => void)[]]));
    const startNext = (upstream: UpstreamId): void => {
        if ((running.get(upstream) ?? 0) < 3) {
            waiting.get(upstream)!.shift()?.();
        }
    };
    const report = (upstream: UpstreamId, change: number) =>
        clock.after(loadDelayMs, () => {
            reported.set(nameKey(upstream), (reported.get(nameKey(upstream)) ?? 0) + change);
        });
    const results = new Map([short, long].map(kind => [kind, { count: 0, inTime: 0 }]));
    const request = (kind: Kind): void => {
        const avoided = isSeparated ? separation.avoidedFor(reportsService, kind, upstreams) : new Set<UpstreamId>();
        const selection = { candidates: upstreams, tried: new Set<UpstreamId>(), isRepeatable: true, answerTimeMs: 60 };
        const upstream = selector.select({ ...selection, avoided })!.upstream.listed.id;
        const sentMs = clock.monotonicMs();
        report(upstream, 1);
        const result = results.get(kind)!;
        result.count++;
        waiting.get(upstream)!.push(() => {
            running.set(upstream, (running.get(upstream) ?? 0) + 1);
            clock.after(kind.workMs * (0.5 - 0.5 * Math.log(1 - random())), () => {
                const tookMs = clock.monotonicMs() - sentMs;
                running.set(upstream, running.get(upstream)! - 1);
                report(upstream, -1);
                separation.recordAnswer(reportsService, kind, tookMs);
                result.inTime += tookMs <= kind.targetLatencyMs ? 1 : 0;
                startNext(upstream);
            });
        });
        startNext(upstream);
    };
    const meanWorkMs = short.share * short.workMs + long.share * long.workMs;
    for (let nowMs = 0; nowMs < 40_000; nowMs += 2) {
        for (let left = 2 * utilization * upstreams.length * 3 / meanWorkMs; left > 0; left--) {
            if (random() <= left) {
                request(random() < short.share ? short : long);
            }
        }
        await clock.advance(2);
    }
    await clock.advance(10_000);
    const shareOf = (kind: Kind): number => results.get(kind)!.inTime / results.get(kind)!.count;
    return [shareOf(short), shareOf(long)];
};

// Guards against short requests that miss their objective behind long ones while other upstreams have room.
for (const [utilization, gain] of [[0.6, 0.02], [0.8, 0.06], [0.95, 0.15]] as const) {
    test(`at ${utilization} of the capacity more short requests meet their objective apart from long ones`, async () => {
        const [mixed, apart] = await Promise.all([play(utilization, false), play(utilization, true)]);
        const text = JSON.stringify({ mixed, apart });
        if (process.env["SHOW"] !== undefined) {
            console.log(utilization, text);
        }
        assert.ok(apart[0] >= mixed[0] + gain && apart[1] >= mixed[1] - 0.04, text);
    });
}

test.run();
