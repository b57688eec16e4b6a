/** Simulates a service's requests, and the reports of the instances that share its retry budget. */
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { digestIntervalOf } from "../fleet/digest-interval.js";
import type { RemoteUsage } from "../fleet/fleet-view.js";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import { nameKey } from "../name-key.js";
import type { FleetSize } from "../rates/fleet-rate-limiter.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import { reportsService } from "../testing/index.js";
import { RetryBudget } from "./retry-budget.js";

export const windowMs = 10_000;
export const share = 0.2;
export const zoneCount = 3;
const burst = 168;
const durationMs = 40_000;
const stepMs = 10;
const maxAttempts = 3;
const attemptMs = 20;
const lossRate = 0.02;
const downAfterMs = 1_700;
const restartMs = 2_000;
/** How long aggregators and receivers keep what they hear no more. */
const retentionMs = 6_000;

/** A service's requests on a virtual day, and the faults of the fleet. */
export interface Day {
    readonly instanceCount: number;
    readonly requestsPerSecond: (nowMs: number) => number;
    /** Share of the attempts that upstreams reject. */
    readonly rejectedShare: (nowMs: number) => number;
    readonly seed?: number;
    /** Whether each instance has a fixed part of the budget, without reports. */
    readonly isByParts?: boolean;
    /** Addresses whose processes end; others start there 2 s later. */
    readonly kills?: (nowMs: number) => readonly number[];
    /** Whether messages pass between an instance and the aggregator of a zone. */
    readonly mayPass?: (nowMs: number, address: number, zone: number) => boolean;
    /** Number of instances that start at 15 s. */
    readonly joining?: number;
}

/** What callers and upstreams see of a {@link Day}. */
export interface DayResult {
    readonly extrasMs: readonly number[];
    /** Largest number of extra attempts beyond the bound in any window; negative if there are none. */
    readonly worst: number;
}

type Decision = Pick<RetryBudget, "recordRequest" | "tryAcquire" | "take">;

interface Heartbeat {
    readonly usage: readonly OrganisationUsage[];
    readonly sentMs: number;
}

interface Digest {
    readonly receivedMs: number;
    /** Heartbeats by address and incarnation. */
    readonly heartbeats: ReadonlyMap<string, Heartbeat>;
    /** Sums of them by key. */
    readonly usage: ReadonlyMap<number, RemoteUsage>;
}

interface Instance {
    readonly address: number;
    readonly name: string;
    readonly budget: Decision;
    readonly digests: Map<number, Digest>;
    nextHeartbeatMs: number;
    isUp: boolean;
}

/** The former decision: a share of the instance's own requests, and a fixed part of the burst. */
const decideByParts = (clock: VirtualClock, instanceCount: number): Decision => {
    const requests = new SlidingWindowCounter(clock, windowMs);
    const retries = new SlidingWindowCounter(clock, windowMs);
    return {
        recordRequest: () => requests.add(1),
        tryAcquire: () => {
            const isAllowed = retries.total() + 1 <= requests.total() * share * 0.9 + burst * 0.8 / instanceCount;
            retries.add(isAllowed ? 1 : 0);
            return isAllowed;
        },
        take: () => ({ usage: [], hasScarceUsage: false }),
    };
};

const noUsage: RemoteUsage = { admitted: 0, offered: 0 };

const total = (entries: readonly RemoteUsage[]): RemoteUsage => ({
    admitted: entries.reduce((sum, { admitted }) => sum + admitted, 0),
    offered: entries.reduce((sum, { offered }) => sum + offered, 0),
});

const totalOf = (usage: readonly OrganisationUsage[], key: number): RemoteUsage =>
    total(usage.filter(({ organisation }) => nameKey(organisation) === key));

/** An aggregator in each zone, which sums up the heartbeats of its instances. */
class SimulatedFleet {
    readonly clock = new VirtualClock();
    readonly random: () => number;
    instances: Instance[];
    readonly #day: Day;
    readonly #zones: { readonly heartbeats: Map<string, Heartbeat>; nextDigestMs: number; }[];
    readonly #intervalMs: number;
    /** When all processes were started last. */
    #allStartedMs = 0;

    constructor(day: Day) {
        this.#day = day;
        this.random = seededRandom(day.seed ?? 1);
        this.#intervalMs = digestIntervalOf(day.instanceCount / zoneCount);
        this.#zones = Array.from({ length: zoneCount }, () => ({
            heartbeats: new Map(),
            nextDigestMs: this.random() * this.#intervalMs,
        }));
        this.instances = Array.from({ length: day.instanceCount }, (_, address) => this.start(address));
        this.instances.slice(0, day.joining ?? 0).forEach(instance => instance.isUp = false);
    }

    start(address: number): Instance {
        const { clock, random } = this;
        const { instanceCount, isByParts = false } = this.#day;
        const instance: Instance = {
            address,
            name: `${address}~${clock.monotonicMs()}`,
            budget: isByParts ? decideByParts(clock, instanceCount) : new RetryBudget({
                clock,
                random,
                limits: () => ({ share, burst, windowMs }),
                remote: {
                    usage: key => this.#usage(instance, key),
                    reportDelayMs: () => 300 + this.#intervalMs / 2 + 150,
                    uncoveredShare: () => clock.monotonicMs() - this.#allStartedMs < windowMs ? 1 : 0,
                    onScarce: () => {
                        instance.nextHeartbeatMs = Math.min(instance.nextHeartbeatMs, clock.monotonicMs() + 60);
                    },
                },
                reach: () => this.#reach(instance),
            }),
            digests: new Map(),
            nextHeartbeatMs: clock.monotonicMs() + random() * 300,
            isUp: true,
        };
        return instance;
    }

    /** Ends processes without notice. */
    kill(addresses: readonly number[]): void {
        for (const address of addresses) {
            this.instances[address]!.isUp = false;
            this.clock.after(restartMs, () => this.instances[address] = this.start(address));
        }
        if (addresses.length === this.instances.length) {
            this.#allStartedMs = this.clock.monotonicMs() + restartMs;
            this.#zones.forEach(({ heartbeats }) => heartbeats.clear());
        }
    }

    exchange(): void {
        const nowMs = this.clock.monotonicMs();
        this.instances.filter(({ isUp, nextHeartbeatMs }) => isUp && nextHeartbeatMs <= nowMs)
            .forEach(instance => this.#sendHeartbeat(instance, nowMs));
        for (const [index, zone] of this.#zones.entries()) {
            if (zone.nextDigestMs <= nowMs) {
                zone.nextDigestMs = nowMs + this.#intervalMs * (0.9 + 0.2 * this.random());
                const digest = this.#createDigest(zone.heartbeats, nowMs);
                this.instances.filter(({ address }) => this.#arrives(nowMs, address, index))
                    .forEach(({ digests }) => digests.set(index, digest));
            }
        }
    }

    #sendHeartbeat(instance: Instance, nowMs: number): void {
        instance.nextHeartbeatMs = nowMs + 270 + 60 * this.random();
        const zone = this.#zones[instance.address % zoneCount]!;
        const { usage, hasScarceUsage } = instance.budget.take();
        if (this.#arrives(nowMs, instance.address, instance.address % zoneCount)) {
            zone.heartbeats.set(instance.name, { usage, sentMs: nowMs });
            zone.nextDigestMs = hasScarceUsage ? Math.min(zone.nextDigestMs, nowMs + 150) : zone.nextDigestMs;
        }
    }

    #createDigest(heartbeats: Map<string, Heartbeat>, nowMs: number): Digest {
        [...heartbeats].filter(([, { sentMs }]) => nowMs - sentMs > retentionMs)
            .forEach(([name]) => heartbeats.delete(name));
        const all = [...heartbeats.values()].flatMap(({ usage }) => usage);
        const keys = new Set(all.map(({ organisation }) => nameKey(organisation)));
        const usage = new Map([...keys].map(key => [key, totalOf(all, key)]));
        return { receivedMs: nowMs, heartbeats: new Map(heartbeats), usage };
    }

    #arrives(nowMs: number, address: number, zone: number): boolean {
        return this.random() >= lossRate && (this.#day.mayPass?.(nowMs, address, zone) ?? true);
    }

    #usage({ digests, name }: Instance, key: number): RemoteUsage {
        const nowMs = this.clock.monotonicMs();
        const heard = [...digests.values()].filter(({ receivedMs }) => nowMs - receivedMs <= retentionMs);
        const sum = total(heard.map(({ usage }) => usage.get(key) ?? noUsage));
        const own = totalOf(heard.flatMap(({ heartbeats }) => heartbeats.get(name)?.usage ?? []), key);
        return { admitted: sum.admitted - own.admitted, offered: sum.offered - own.offered };
    }

    #reach({ address, digests }: Instance): FleetSize {
        const nowMs = this.clock.monotonicMs();
        const live = new Set([address]);
        for (const { heartbeats } of digests.values()) {
            [...heartbeats].filter(([, { sentMs }]) => nowMs - sentMs <= downAfterMs)
                .forEach(([name]) => live.add(Number(name.split("~")[0])));
        }
        return { live: live.size, known: this.#day.instanceCount };
    }
}

/** Plays a day; callers prefer some instances. */
export const play = async (day: Day): Promise<DayResult> => {
    const fleet = new SimulatedFleet(day);
    const { clock, random } = fleet;
    const requestsMs: number[] = [];
    const extrasMs: number[] = [];
    const request = (): void => {
        const instance = fleet.instances[Math.floor(random() * random() * day.instanceCount)]!;
        if (!instance.isUp) {
            return;
        }
        requestsMs.push(clock.monotonicMs());
        instance.budget.recordRequest(reportsService);
        const endAttempt = (number: number): void => {
            const isRetried = instance.isUp && random() < day.rejectedShare(clock.monotonicMs())
                && number < maxAttempts;
            if (isRetried && instance.budget.tryAcquire(reportsService, 0)) {
                extrasMs.push(clock.monotonicMs());
                clock.after(attemptMs, () => endAttempt(number + 1));
            }
        };
        clock.after(attemptMs, () => endAttempt(1));
    };
    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        fleet.kill(day.kills?.(nowMs) ?? []);
        if (nowMs === 15_000) {
            fleet.instances = fleet.instances.map(found => found.isUp ? found : fleet.start(found.address));
        }
        fleet.exchange();
        for (let left = day.requestsPerSecond(nowMs) * stepMs / 1_000; left > 0; left--) {
            if (random() <= left) {
                request();
            }
        }
        await clock.advance(stepMs);
    }
    return { extrasMs, worst: worstExcess(requestsMs, extrasMs) };
};

const worstExcess = (requestsMs: readonly number[], extrasMs: readonly number[]): number => {
    const within = (times: readonly number[], fromMs: number): number =>
        times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
    const starts = Array.from({ length: (durationMs - windowMs) / 100 }, (_, index) => index * 100);
    return Math.max(...starts.map(fromMs => {
        const earlier = [0, windowMs / 2, windowMs].map(backMs => within(requestsMs, fromMs - backMs));
        return within(extrasMs, fromMs) - share * Math.max(...earlier) - burst;
    }));
};
