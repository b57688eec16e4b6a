/** Simulated fleet of rate limiters on a virtual clock, for the tests of this folder. */
import type { ConfigView, FleetConfig } from "../config.js";
import type { CoordinatorTerm } from "../membership.js";
import type { PeerPort } from "../ports.js";
import type { RateLimiter } from "../stages.js";
import {
    FakeNetwork,
    noopLog,
    noopMetrics,
    type PausableClock,
    seededRandom,
    staticFleet,
    StaticMembership,
    VirtualClock,
} from "../testing/index.js";
import { id, type InstanceId, type OrganisationId } from "../types.js";
import { DistributedRateLimiter } from "./distributed-rate-limiter.js";
import { defaultRateOptions, type RateOptions, shareKey, type UnsafeRateOptions } from "./options.js";
import { RateCoordinator } from "./rate-coordinator.js";
import { StaticSplitLimiter } from "./static-split.js";

export interface TestOrganisation {
    readonly id: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

export interface RateFleetOptions {
    readonly organisations: readonly TestOrganisation[];
    readonly instances?: number;
    readonly seed?: number;
    readonly limiter?: "distributed" | "static-split";
    readonly options?: Partial<RateOptions & UnsafeRateOptions>;
}

interface Member {
    readonly id: InstanceId;
    readonly clock: PausableClock;
    readonly coordinator: RateCoordinator;
    readonly limiter: RateLimiter;
    readonly config: { current: FleetConfig; readonly listeners: ((next: FleetConfig) => void)[]; };
    readonly membership: StaticMembership;
}

/** Counts of the requests of one organisation. */
export interface RequestCounts {
    offered: number;
    refused: number;
    /** Longest time from arrival to dispatch. */
    waitedMs: number;
    readonly dispatchesMs: number[];
}

const callerTimeoutMs = 2_000;

/** Eight organisations, a few of them large, as in current deployments. */
export const eightOrganisations: readonly TestOrganisation[] = [400, 200, 100, 50, 30, 20, 10, 5].map((
    ratePerSecond,
    index,
) => ({
    id: `org-${index}`,
    ratePerSecond,
    burst: 2 * ratePerSecond,
}));

export class RateFleet {
    readonly clock = new VirtualClock();
    readonly random: () => number;
    readonly network: FakeNetwork;
    readonly members: Member[];
    readonly fleet;
    /** Probabilities that a request, and that a reply, is lost. */
    readonly loss = { request: 0, reply: 0 };
    readonly counts = new Map<string, RequestCounts>();
    readonly down = new Set<number>();
    /** Predecessor epoch of the terms that begin from now on. */
    predecessorEpoch: number | undefined;
    readonly #settings: RateFleetOptions;
    readonly #terms = new Map<
        string,
        { coordinator: InstanceId | undefined; id: number; startedAtMs: number; predecessorEpoch: number | undefined; }
    >();
    readonly #coordinators = new Map<string, InstanceId | undefined>();
    /** Configurations over time; the checks apply each from its time on. */
    readonly #configs: { readonly atMs: number; readonly organisations: readonly TestOrganisation[]; }[];

    constructor(settings: RateFleetOptions) {
        this.#settings = settings;
        this.random = seededRandom(settings.seed ?? 1);
        const delayMs = () => 0.5 + this.random() / 2;
        this.network = new FakeNetwork({ clock: this.clock, random: this.random, delayMs });
        const names = Array.from({ length: settings.instances ?? 44 }, (_, index) => `i${index}`);
        this.fleet = staticFleet(names, ["z1", "z2", "z3", "z4"]);
        this.#configs = [{ atMs: 0, organisations: settings.organisations }];
        settings.organisations.forEach(({ id }) =>
            this.counts.set(id, { offered: 0, refused: 0, waitedMs: 0, dispatchesMs: [] })
        );
        this.members = names.map(name => this.#member(id<InstanceId>(name)));
        this.changeFleet(() => {});
    }

    /** Changes membership at all instances. Keys with a new coordinator, or all with `isNewTerm`, begin a new term. */
    changeFleet(change: () => void, isNewTerm = false): void {
        change();
        this.#coordinators.clear();
        const [{ membership }] = this.members as [Member];
        for (const organisation of this.counts.keys()) {
            for (let share = 0; share < 3; share++) {
                const key = shareKey(id<OrganisationId>(organisation), share);
                const coordinator = membership.coordinatorOf(key);
                const term = this.#terms.get(key);
                if (term === undefined || term.coordinator !== coordinator || isNewTerm) {
                    const startedAtMs = this.clock.monotonicMs();
                    this.#terms.set(key, {
                        coordinator,
                        id: (term?.id ?? 0) + 1,
                        startedAtMs,
                        predecessorEpoch: this.predecessorEpoch,
                    });
                }
            }
        }
        this.members.forEach(member => member.membership.notifyListeners());
    }

    /** Index of the coordinator of the first share of an organisation. */
    coordinatorIndex(organisation: string): number {
        const coordinator = this.members[0]!.membership.coordinatorOf(shareKey(id<OrganisationId>(organisation), 0));
        return this.members.findIndex(member => member.id === coordinator);
    }

    /** Puts a configuration into force, at each instance after a random part of `spreadMs`. */
    configure(organisations: readonly TestOrganisation[], spreadMs: number): void {
        const revision = this.#configs.length;
        const atMs = this.clock.monotonicMs();
        this.#configs.push({ atMs, organisations });
        const next = fleetConfig(organisations, revision);
        for (const { config } of this.members) {
            this.clock.after(this.random() * spreadMs, () => {
                if (config.current.revision < revision) {
                    config.current = next;
                    config.listeners.forEach(listener => listener(next));
                }
            });
        }
    }

    /**
     * Sends one request through an instance. Like the pipeline, it replaces a token that has expired. The request holds
     * its first token for `holdMs` before it uses it.
     */
    async send(member: number, organisation: string, holdMs = 0): Promise<void> {
        const { limiter, clock } = this.members[member]!;
        const counts = this.counts.get(organisation)!;
        const startMs = this.clock.monotonicMs();
        counts.offered++;
        for (;;) {
            const decision = await limiter.acquire(id<OrganisationId>(organisation), startMs + callerTimeoutMs);
            if (decision.kind === "refused") {
                counts.refused++;
                return;
            }
            if (holdMs > 0) {
                await new Promise<void>(resolve => clock.after(holdMs, resolve));
            }
            holdMs = 0;
            if (decision.token.consume()) {
                counts.dispatchesMs.push(this.clock.monotonicMs());
                counts.waitedMs = Math.max(counts.waitedMs, this.clock.monotonicMs() - startMs);
                return;
            }
        }
    }

    /** Schedules requests at the given times, spread over those of the given instances that are up. */
    schedule(organisation: string, timesMs: readonly number[], members: readonly number[], holdMs = () => 0): void {
        timesMs.forEach((atMs, index) => {
            this.clock.after(atMs - this.clock.monotonicMs(), () => {
                const up = members.filter(member => !this.down.has(member));
                if (up.length > 0) {
                    void this.send(up[index % up.length]!, organisation, holdMs());
                }
            });
        });
    }

    /**
     * Largest number by which the dispatches in any time window exceed what the configured rate and burst allow; at
     * most 0 if the rate limit holds. Windows run from each dispatch to each later one. For a window that spans a
     * configuration change, the limit uses the largest burst in force and, at each time, the largest rate in force at
     * any instance. Tokens granted before a change stay usable until they expire.
     */
    excess(organisation: string, spreadMs = 0): number {
        const { batchTtlMs } = { ...defaultRateOptions, ...this.#settings.options };
        const steps = this.#configs.map(({ atMs, organisations }) => {
            const { ratePerSecond, burst } = organisations.find(entry => entry.id === organisation)!;
            return { atMs, ratePerSecond, burst };
        });
        const lagMs = spreadMs + batchTtlMs * 1.02 + 1;
        const segment = (timeMs: number) => steps.findLastIndex(step => step.atMs <= Math.max(0, timeMs));
        const allowed = cumulativeRate(steps, spreadMs);
        const bestStart = steps.map(() => Number.NEGATIVE_INFINITY);
        let excess = Number.NEGATIVE_INFINITY;
        [...this.counts.get(organisation)!.dispatchesMs].sort((a, b) => a - b).forEach((timeMs, index) => {
            const start = segment(timeMs - lagMs);
            bestStart[start] = Math.max(bestStart[start]!, allowed(timeMs) - index);
            for (let from = 0; from <= start; from++) {
                const burst = Math.max(...steps.slice(from, segment(timeMs) + 1).map(step => step.burst));
                excess = Math.max(excess, index + 1 - allowed(timeMs) + bestStart[from]! - burst);
            }
        });
        return excess;
    }

    #member(self: InstanceId): Member {
        const { peers, clock } = this.network.join(self);
        const lossy: PeerPort = { ...peers, handle: (method, handler) => peers.handle(method, this.#lossy(handler)) };
        const membership = new StaticMembership(self, this.fleet);
        // Cached, because ranking the seats for every message would take most of the time of a run.
        const rank = membership.coordinatorOf.bind(membership);
        membership.coordinatorOf = key => {
            if (!this.#coordinators.has(key)) {
                this.#coordinators.set(key, rank(key));
            }
            return this.#coordinators.get(key);
        };
        membership.coordinatorTerm = key => this.#coordinatorTerm(membership, key);
        const config: Member["config"] = { current: fleetConfig(this.#settings.organisations, 0), listeners: [] };
        const view: ConfigView = {
            current: () => config.current,
            isWithdrawn: () => false,
            onChange: listener => config.listeners.push(next => listener(next, undefined)),
        };
        const context = {
            clock,
            random: this.random,
            sha256: () => "",
            peers: lossy,
            membership,
            config: view,
            log: noopLog,
            metrics: noopMetrics,
        };
        const coordinator = new RateCoordinator(context, this.#settings.options);
        const limiter = this.#settings.limiter === "static-split"
            ? new StaticSplitLimiter(context)
            : new DistributedRateLimiter(context, coordinator, this.#settings.options);
        return { id: self, clock, coordinator, limiter, config, membership };
    }

    #coordinatorTerm(membership: StaticMembership, key: string): CoordinatorTerm | undefined {
        const term = this.#terms.get(key);
        const isCoordinator = term !== undefined && term.coordinator === membership.self
            && membership.coordinatorOf(key) === term.coordinator;
        return isCoordinator ? { ...term, id: `${term.id}` } : undefined;
    }

    #lossy<Arguments extends unknown[], Reply>(handler: (...values: Arguments) => Reply | Promise<Reply>) {
        return (...values: Arguments): Reply | Promise<Reply> => {
            const never = new Promise<Reply>(() => {});
            if (this.random() < this.loss.request) {
                return never;
            }
            const reply = handler(...values);
            return this.random() < this.loss.reply ? never : reply;
        };
    }
}

const fleetConfig = (organisations: readonly TestOrganisation[], revision: number): FleetConfig => ({
    revision,
    operations: [],
    seats: 44,
    organisations: organisations.map(entry => ({ ...entry, id: id<OrganisationId>(entry.id), keys: [] })),
    services: [],
    routes: [],
});

/** Integral of the largest rate in force at any instance. A lowered rate counts until all instances have adopted it. */
const cumulativeRate = (steps: readonly { atMs: number; ratePerSecond: number; }[], spreadMs: number) => {
    const rateAt = (timeMs: number) =>
        Math.max(
            ...steps.filter((step, index) => {
                const next = steps[index + 1];
                return step.atMs <= timeMs && (next === undefined || timeMs < next.atMs + spreadMs);
            }).map(step => step.ratePerSecond),
        );
    const cuts = [...new Set(steps.flatMap(step => [step.atMs, step.atMs + spreadMs]))].sort((a, b) => a - b);
    return (timeMs: number): number =>
        cuts.reduce((sum, startMs, index) => {
            const endMs = Math.min(timeMs, cuts[index + 1] ?? Number.POSITIVE_INFINITY);
            return endMs > startMs ? sum + (endMs - startMs) * rateAt(startMs) / 1_000 : sum;
        }, 0);
};

/** Evenly spaced arrivals at `factor` times the organisation's rate. */
export const evenArrivals = (organisation: TestOrganisation, startMs: number, endMs: number, factor = 1): number[] => {
    const gapMs = 1_000 / (organisation.ratePerSecond * factor);
    return Array.from({ length: Math.floor((endMs - startMs) / gapMs) }, (_, index) => startMs + index * gapMs);
};

/** Poisson arrivals at `factor` times the rate. */
export const poissonArrivals = (
    organisation: TestOrganisation,
    startMs: number,
    endMs: number,
    factor: number,
    random: () => number,
) => {
    const times: number[] = [];
    let timeMs = startMs;
    for (;;) {
        timeMs -= Math.log(1 - random()) * 1_000 / (organisation.ratePerSecond * factor);
        if (timeMs >= endMs) {
            return times;
        }
        times.push(timeMs);
    }
};

/** In each period: the burst at once, arrivals at the rate for the first half, then none so that the bucket refills. */
export const burstArrivals = (
    organisation: TestOrganisation,
    startMs: number,
    endMs: number,
    periodMs: number,
): number[] => {
    const times: number[] = [];
    for (let atMs = startMs; atMs + periodMs <= endMs; atMs += periodMs) {
        times.push(...Array.from({ length: organisation.burst }, () => atMs));
        times.push(...evenArrivals(organisation, atMs + 1_000 / organisation.ratePerSecond, atMs + periodMs / 2));
    }
    return times;
};

/** Filters arrivals by a reference token bucket that is full at first, so that the rest conform to rate and burst. */
export const conformingArrivals = (organisation: TestOrganisation, timesMs: readonly number[]): number[] => {
    let level = organisation.burst;
    let atMs = timesMs[0] ?? 0;
    return timesMs.filter(timeMs => {
        level = Math.min(organisation.burst, level + (timeMs - atMs) * organisation.ratePerSecond / 1_000);
        atMs = timeMs;
        // Allows for rounding errors in the sums above.
        const isAccepted = level >= 1 - 1e-9;
        level -= isAccepted ? 1 : 0;
        return isAccepted;
    });
};
