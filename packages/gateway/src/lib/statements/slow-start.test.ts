import { id } from "@sniperoad/core";
import type { Random, UpstreamId, ZoneId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetLoad } from "../balance/fleet-load.js";
import { UpstreamSelector } from "../balance/upstream-selector.js";
import { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import { PathBackoff } from "../health/path-backoff.js";
import type { ListedUpstream } from "../model.js";
import { nameKey } from "../name-key.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import { reportsService, testUpstream } from "../testing/index.js";
import { ColdUpstreams } from "./cold-upstreams.js";
import { LimitMeters } from "./limit-meters.js";
import { UpstreamOutages } from "./upstream-outages.js";
import type { SharedOutage } from "./upstream-outages.js";
import { UpstreamStatements } from "./upstream-statements.js";
import { WarmupPermits } from "./warmup-permits.js";
import type { PermitMember } from "./warmup-permits.js";
import { WillingUpstreams } from "./willing-upstreams.js";

const zoneCount = 3;
const workMs = 160;
const warmupMs = 8_000;
const toleratedPerSecond = 4.7;
/** Time at which upstreams turn cold; before it, all instances know each other and all upstreams are warm. */
const changeMs = 6_000;
/** Latest time at which an instance in contact learns what another one knows. */
const maxReportMs = 900;

interface Day {
    readonly seed: number;
    readonly instanceCount: number;
    readonly upstreamCount: number;
    readonly requestsPerSecond: number;
    /** Upstreams whose zone is 0 turn cold, or all of them. */
    readonly isAll?: boolean;
    /** What happens at {@link changeMs}. */
    readonly change: "entry" | "restart" | "evacuation";
    /** The instances of zone 1 hear nothing of the others, and have long forgotten them. */
    readonly isCut?: boolean;
}

/** The part of an instance that the simulation needs. */
interface Instance {
    readonly self: PermitMember["info"];
    readonly known: Map<UpstreamId, KnownUpstream>;
    readonly evacuated: { endedMs: number | undefined; };
    readonly outages: UpstreamOutages;
    readonly permits: WarmupPermits;
    readonly cold: ColdUpstreams;
    readonly meters: LimitMeters;
    readonly paths: PathBackoff;
    readonly load: FleetLoad;
    readonly selector: UpstreamSelector;
    readonly willing: WillingUpstreams;
}

const noReach = { live: 1, known: 1 };
const zoneOf = (number: number) => id<ZoneId>(`zone-${number % zoneCount}`);

/** A fleet without a network, with what each of its instances knows. */
class Fleet {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly upstreams: readonly ListedUpstream[];
    /** Time for which each upstream that turns cold refuses connections. */
    readonly downMs: ReadonlyMap<UpstreamId, number>;
    /** Times of the requests that each of them gets from its return to the end of its warm-up. */
    readonly received: ReadonlyMap<UpstreamId, number[]>;
    readonly instances: readonly Instance[];
    rejected = 0;
    readonly #day: Day;
    readonly #infos: readonly PermitMember["info"][];

    constructor(day: Day) {
        this.#day = day;
        this.random = seededRandom(day.seed);
        this.upstreams = Array.from(
            { length: day.upstreamCount },
            (_, number) => testUpstream(`u${number}`, { zone: zoneOf(number), slots: 2 }),
        );
        const colds = this.upstreams.filter(({ zone }) => day.isAll === true || zone === zoneOf(0));
        this.downMs = new Map(
            colds.map(({ id: name }) => [name, day.change === "restart" ? 300 + 2_700 * this.random() : 0]),
        );
        this.received = new Map(colds.map(({ id: name }) => [name, []]));
        this.#infos = Array.from(
            { length: day.instanceCount },
            (_, number) => ({ zone: zoneOf(number), peerAddress: `10.0.0.${number}:7000` }),
        );
        this.instances = this.#infos.map(self => this.#start(self));
        this.instances.forEach(instance => this.#inform(instance));
        this.#review();
    }

    /** Sends a request from a random instance, to further upstreams if some refuse connections. */
    send(): void {
        const { clock, downMs } = this;
        const instance = this.instances[Math.floor(this.random() * this.instances.length)]!;
        const { outages, meters, paths, load } = instance;
        const tried = new Set<UpstreamId>();
        for (let selected = this.#select(instance, tried); selected !== undefined;) {
            const nowMs = clock.monotonicMs();
            const upMs = changeMs + (downMs.get(selected.id) ?? 0);
            tried.add(selected.id);
            meters.recordOwn(selected.id);
            if (nowMs < changeMs || nowMs >= upMs) {
                const { id: name } = selected;
                if (nowMs >= upMs && nowMs < upMs + warmupMs) {
                    this.received.get(name)?.push(nowMs);
                }
                const end = load.beginRequest(name);
                const listed = selected;
                clock.after(workMs, () => {
                    end();
                    paths.recordSuccess(name);
                    outages.recordAnswered(listed, nowMs);
                });
                return;
            }
            paths.recordFailure(selected.id);
            outages.recordRefused(selected);
            selected = this.#select(instance, tried);
        }
        this.rejected += clock.monotonicMs() > changeMs ? 1 : 0;
    }

    #select({ known, evacuated, selector, willing }: Instance, tried: ReadonlySet<UpstreamId>) {
        const isEvacuated = this.#day.change === "evacuation" && evacuated.endedMs === undefined;
        const usable = [...known.values()].filter(({ listed: { zone } }) => !isEvacuated || zone !== zoneOf(0));
        const request = { tried, isRepeatable: false, answerTimeMs: workMs };
        return selector.select({ ...request, candidates: willing.among(usable) })?.upstream.listed;
    }

    #isCutOff(zone: ZoneId): boolean {
        return this.#day.isCut === true && zone === zoneOf(1) && this.clock.monotonicMs() > changeMs / 2;
    }

    #start(self: PermitMember["info"]): Instance {
        const { clock, random, upstreams } = this;
        const log = { event: () => {} };
        const isInContact = (zone: ZoneId) => this.#isCutOff(zone) === this.#isCutOff(self.zone);
        const evacuated = { endedMs: undefined as number | undefined };
        const listedOf = (key: number) => upstreams.filter(({ id: name }) => nameKey(name) === key);
        const share = (shared: readonly SharedOutage[]) =>
            this.instances.filter(other => isInContact(other.self.zone)).forEach(other =>
                clock.after(maxReportMs * random(), () => other.outages.recordShared(shared))
            );
        const outages = new UpstreamOutages({ clock, listedOf, share });
        const permits = new WarmupPermits({
            self,
            clock,
            members: () =>
                this.#infos.filter(info => info !== self && isInContact(info.zone))
                    .map(info => ({ info, isLeaving: false })),
            upstreamZones: () => upstreams.map(({ zone }) => zone),
            hasPeers: () => true,
        });
        const cold = new ColdUpstreams({
            clock,
            log,
            ownAddress: self.peerAddress,
            serviceOf: () => ({ id: reportsService, warmupMs, warmupRequestsPerSecond: toleratedPerSecond }),
            outages,
            permits,
            zoneEvacuationEndedMs: zone => zone === zoneOf(0) ? evacuated.endedMs : undefined,
            bound: () => ({ overage: 1.5, slack: 8 }),
        });
        const reach = () => ({ live: this.#infos.length, known: this.#infos.length });
        const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach });
        const statements = new UpstreamStatements({ clock, random, log, listedOf, share: () => {} });
        const [paths, load, gray] = [new PathBackoff(clock), new FleetLoad(), new GrayFailureEstimator(clock)];
        const floor = { pick: () => undefined };
        const known = new Map<UpstreamId, KnownUpstream>(
            upstreams.map(listed => [listed.id, { listed, warmupEndMs: 0 }]),
        );
        const selector = new UpstreamSelector({ zone: self.zone, clock, random, gray, paths, load, floor });
        const willing = new WillingUpstreams({ clock, random, statements, meters, cold, reach });
        return { self, known, evacuated, outages, permits, cold, meters, paths, load, selector, willing };
    }

    /** Lets an instance learn of the change; one that is cut off gets no new entries. */
    #inform({ self, known, evacuated }: Instance): void {
        const { clock, random } = this;
        const { change } = this.#day;
        for (const [name, downMs] of this.downMs) {
            // The entry of a new process arrives some time after its start.
            const entryMs = changeMs + downMs + (change === "restart" ? 2_000 * random() : 0);
            clock.after(entryMs + 200 + (maxReportMs - 200) * random(), () => {
                if (change !== "evacuation" && !this.#isCutOff(self.zone)) {
                    known.set(name, { ...known.get(name)!, warmupEndMs: changeMs + downMs + warmupMs });
                }
            });
        }
        clock.after(changeMs + maxReportMs * random(), () => (evacuated.endedMs = clock.monotonicMs()));
    }

    #review(): void {
        this.instances.forEach(({ permits, cold, known }) => {
            permits.review();
            cold.review([...known.values()]);
        });
        this.clock.after(1_000, () => this.#review());
    }
}

/** Plays a load; returns when each upstream that turns cold gets requests, and how many requests were rejected. */
const play = async (day: Day) => {
    const fleet = new Fleet(day);
    const endMs = changeMs + 3_000 + warmupMs;
    for (let sentMs = 0; sentMs < endMs; sentMs -= Math.log(1 - fleet.random()) * 1_000 / day.requestsPerSecond) {
        fleet.clock.after(sentMs, () => fleet.send());
    }
    await fleet.clock.advance(endMs);
    return { received: [...fleet.received.values()], rejected: fleet.rejected };
};

/** Most events within any second. */
const mostInSecond = (timesMs: readonly number[]): number =>
    Math.max(0, ...timesMs.map((fromMs, index) => timesMs.slice(index).filter(ms => ms < fromMs + 1_000).length));

/** The bound of C: 4.7 a second, 1.5 times and 8. */
const maxPerSecond = toleratedPerSecond * 1.5 + 8;

// Guards against more requests than a cold upstream survives, from the moment at which it turns cold at its usual rate,
// against cold upstreams without any, and against rejections while others are warm.
for (const instanceCount of [42, 110, 293]) {
    for (const change of ["entry", "restart", "evacuation"] as const) {
        for (const isCut of [false, true]) {
            test(`${instanceCount} instances, ${change}${isCut ? ", a zone cut off" : ""}`, async () => {
                const load = { upstreamCount: 36, requestsPerSecond: 36 * 7 };
                const { received, rejected } = await play({ seed: 3, instanceCount, ...load, change, isCut });
                const most = Math.max(...received.map(mostInSecond));
                assert.ok(most <= maxPerSecond, `${most} in a second`);
                assert.is(rejected, 0);
                const fewest = Math.min(...received.map(({ length }) => length));
                assert.ok(fewest >= warmupMs / 1_000, `${fewest} during the warm-up`);
            });
        }
    }
}

// Guards against a flood after the restart of a whole service, and against permits that are hardly used.
test("a service whose upstreams have all restarted is served at the rate that they tolerate", async () => {
    const load = { upstreamCount: 36, requestsPerSecond: 36 * 7, isAll: true };
    const { received, rejected } = await play({ seed: 4, instanceCount: 110, ...load, change: "restart" });
    const most = Math.max(...received.map(mostInSecond));
    assert.ok(most <= maxPerSecond, `${most} in a second`);
    const late = received.flat().filter(ms => ms >= changeMs + 4_000 && ms < changeMs + 8_000);
    const mean = late.length / received.length / 4;
    assert.ok(mean >= 0.7 * toleratedPerSecond && mean <= 1.1 * toleratedPerSecond, `${mean} a second`);
    assert.ok(rejected > 500);
});

// Guards against the requests for a whole service at those of its upstreams whose turn to cold is not known yet.
for (const seed of [1, 2, 4]) {
    test(`a service whose upstreams all turn cold while in use, seed ${seed}`, async () => {
        const load = { upstreamCount: 36, requestsPerSecond: 36 * 7, isAll: true };
        const { received } = await play({ seed, instanceCount: 110, ...load, change: "entry", isCut: seed % 2 === 0 });
        const most = Math.max(...received.map(mostInSecond));
        assert.ok(most <= maxPerSecond, `${most} in a second`);
    });
}

// Guards against a sum over all instances beyond the bound, whatever they know of each other, at the highest load.
test("a cold upstream never gets more than the bound in any second", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.constantFrom(1, 2, 5, 42, 110, 293),
            fc.integer({ min: 1, max: 5 }),
            fc.double({ min: 0.3, max: 40, noNaN: true }),
            fc.double({ min: 1, max: 2, noNaN: true }),
            fc.double({ min: 0, max: 12, noNaN: true }),
            fc.integer({ min: 1, max: 1_000_000 }),
            fc.boolean(),
            async (instanceCount, zones, tolerated, overage, slack, seed, isCut) => {
                const clock = new VirtualClock();
                const random = seededRandom(seed);
                const infos = Array.from({ length: instanceCount }, (_, number) => ({
                    zone: id<ZoneId>(`z${number % zones}`),
                    peerAddress: `10.0.0.${number}:7000`,
                }));
                const known = { listed: testUpstream("u1"), warmupEndMs: Infinity };
                const sentMs: number[] = [];
                for (const self of infos) {
                    // Instances of other zones may be unknown at any time.
                    const isZoneCut = isCut && random() < 0.5;
                    const permits = new WarmupPermits({
                        self,
                        clock,
                        members: () =>
                            infos.filter(info => info !== self && (!isZoneCut || info.zone === self.zone))
                                .map(info => ({ info, isLeaving: false })),
                        upstreamZones: () => infos.map(({ zone }) => zone),
                        hasPeers: () => instanceCount > 1,
                    });
                    const service = { id: reportsService, warmupMs, warmupRequestsPerSecond: tolerated };
                    const cold = new ColdUpstreams({
                        clock,
                        log: { event: () => {} },
                        ownAddress: self.peerAddress,
                        serviceOf: () => service,
                        outages: { endMs: () => undefined },
                        permits,
                        zoneEvacuationEndedMs: () => undefined,
                        bound: () => ({ overage, slack }),
                    });
                    const meters = new LimitMeters({ clock, remoteInFlight: () => 0, reach: () => noReach });
                    const attempt = () => {
                        if (meters.permitRoom(known.listed.id, cold.of(known)!, random) >= 1) {
                            meters.recordOwn(known.listed.id);
                            sentMs.push(clock.monotonicMs());
                        }
                        clock.after(60 * random(), attempt);
                    };
                    if (cold.of(known)!.permits > 0) {
                        attempt();
                    }
                }
                await clock.advance(12_000);
                const bound = Math.max(1, Math.floor(tolerated * overage + slack));
                assert.ok(mostInSecond(sentMs) <= bound, `${mostInSecond(sentMs)} instead of ${bound}`);
                assert.ok(sentMs.length <= tolerated * 10 + bound);
                const fewest = isCut ? 1 : Math.floor(0.5 * Math.min(tolerated, bound) * 10) - 1;
                assert.ok(sentMs.length >= fewest, `${sentMs.length} instead of ${fewest}`);
            },
        ),
        { numRuns: 40, seed: 7 },
    );
});

test.run();
