/** Simulated fleet for the tests of health and balance. */
import type { ConfigView, FleetConfig } from "../config.js";
import type { InstanceContext } from "../context.js";
import type { Random, UpstreamResult } from "../ports.js";
import {
    FakeNetwork,
    MemoryLog,
    noopMetrics,
    seededRandom,
    staticFleet,
    StaticMembership,
    VirtualClock,
} from "../testing/index.js";
import { id, type InstanceId, type RouteId, type ServiceId, type Upstream, type UpstreamId } from "../types.js";
import { FleetHealth } from "./fleet-health.js";
import type { RunProbe } from "./service-health-client.js";
import type { HealthSettings } from "./settings.js";

export const testService = id<ServiceId>("svc");
export const testRoutes = ["r1", "r2", "r3"].map(name => id<RouteId>(name));
export const testTimeoutMs = 1_000;

/** Simulated upstream with slots, a short queue and injectable faults. */
export class FakeUpstream {
    readonly listed: Upstream;
    slowFactor = 1;
    fault: "none" | "5xx" | "truncated" | "crossed" | "refused" = "none";
    failingRoute: RouteId | undefined;
    isDraining = false;
    served = 0;
    shed = 0;
    #running = 0;
    readonly #waiting: (() => void)[] = [];
    readonly #clock: VirtualClock;
    readonly #random: Random;
    readonly #slots: number;
    readonly #serviceTimeMs: number;
    readonly #queueLimit: number;

    constructor(
        listed: Upstream,
        clock: VirtualClock,
        random: Random,
        slots: number,
        serviceMs: number,
        queueLimit: number,
    ) {
        this.listed = listed;
        this.#clock = clock;
        this.#random = random;
        this.#slots = slots;
        this.#serviceTimeMs = serviceMs;
        this.#queueLimit = queueLimit;
    }

    async run(route: RouteId): Promise<UpstreamResult> {
        const draining = this.isDraining;
        if (this.fault === "refused") {
            return { kind: "refused" };
        }
        if (this.#running >= this.#slots && this.#waiting.length >= this.#queueLimit) {
            this.shed++;
            return { kind: "shed", retryAfterMs: 10, draining };
        }
        if (this.#running >= this.#slots) {
            await new Promise<void>(resolve => this.#waiting.push(resolve));
        }
        this.#running++;
        // Faulty responses are fast, so that tests fail if an upstream that does no work looks better than the others.
        const isFast = this.fault !== "none" || this.failingRoute === route;
        const usualMs = this.#serviceTimeMs * (0.5 + this.#random()) * this.slowFactor;
        await this.wait(isFast ? 2 : usualMs);
        this.#running--;
        this.served++;
        this.#waiting.shift()?.();
        if (this.fault === "truncated" || this.fault === "crossed") {
            return { kind: this.fault };
        }
        const status = isFast ? 500 : 200;
        return { kind: "answer", answer: { status, headers: [], body: new Uint8Array() }, draining };
    }

    wait(durationMs: number): Promise<void> {
        return new Promise(resolve => this.#clock.after(Math.round(durationMs), resolve));
    }
}

export interface TestFleetOptions {
    readonly instances: number;
    readonly zones: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly seed: number;
    readonly floorSlots?: number;
    readonly serviceMs?: number;
    readonly queueLimit?: number;
    readonly runsProbes?: boolean;
    readonly settings?: Partial<HealthSettings>;
}

/** Instances with health over simulated upstreams. A request goes to the less loaded of two random candidates. */
export class TestFleet {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly network: FakeNetwork;
    readonly fleet;
    readonly upstreams: FakeUpstream[] = [];
    readonly contexts: InstanceContext[] = [];
    readonly healths: FleetHealth[] = [];
    readonly logs: MemoryLog[] = [];
    readonly memberships: StaticMembership[] = [];
    /** Pairs `instance>upstream` whose responses are lost. */
    readonly lostAnswers = new Set<string>();
    /** Called with the result of each dispatch. */
    onResult: (
        instance: number,
        upstream: Upstream,
        route: RouteId,
        latencyMs: number,
        result: UpstreamResult,
    ) => void = () => {};
    probes = 0;
    listing: readonly Upstream[] = [];
    ratePerSecond: number;
    readonly #options: TestFleetOptions;
    readonly #inFlight = new Map<string, number>();
    #isSendingLoad = false;

    constructor(options: TestFleetOptions) {
        this.#options = options;
        this.random = seededRandom(options.seed);
        this.network = new FakeNetwork({ clock: this.clock, random: this.random, delayMs: () => 1 });
        const { upstreams, slots, serviceMs = 50, queueLimit = slots } = options;
        this.ratePerSecond = upstreams * slots * 1_000 / serviceMs;
        for (let index = 0; index < upstreams; index++) {
            const listed: Upstream = {
                id: id<UpstreamId>(`u${index}`),
                service: testService,
                zone: id(`z${index % options.zones}`),
                address: `10.0.0.${index}:80`,
                state: "live",
            };
            this.upstreams.push(new FakeUpstream(listed, this.clock, this.random, slots, serviceMs, queueLimit));
        }
        this.listing = this.upstreams.map(({ listed }) => listed);
        const names = Array.from({ length: options.instances }, (_unused, index) => `i${index}`);
        this.fleet = staticFleet(names, Array.from({ length: options.zones }, (_unused, index) => `z${index}`));
        // The term of the first coordinator is older than a lease.
        this.fleet.termStartedAtMs = -10_000;
        names.forEach(name => this.#join(id<InstanceId>(name)));
    }

    /** Sends requests at a share of the service's capacity until {@link stopLoad}. */
    startLoad(share: number): void {
        this.#isSendingLoad = true;
        const next = () => {
            if (!this.#isSendingLoad) {
                return;
            }
            const gapMs = -Math.log(1 - this.random()) * 1_000 / (this.ratePerSecond * share);
            // Whole milliseconds let the virtual clock run more tasks between two turns of the event loop.
            this.clock.after(Math.round(gapMs), () => {
                const route = testRoutes[Math.floor(this.random() * testRoutes.length)]!;
                void this.request(Math.floor(this.random() * this.healths.length), route);
                next();
            });
        };
        next();
    }

    stopLoad(): void {
        this.#isSendingLoad = false;
    }

    /** Sends a request, with one retry if it is shed. */
    async request(instance: number, route: RouteId): Promise<void> {
        const first = this.#pick(instance, route, undefined);
        if (first !== undefined && (await this.dispatch(instance, first, route)).kind === "shed") {
            const second = this.#pick(instance, route, first);
            if (second !== undefined) {
                await this.dispatch(instance, second, route);
            }
        }
    }

    async dispatch(instance: number, upstream: Upstream, route: RouteId): Promise<UpstreamResult> {
        const startMs = this.clock.monotonicMs();
        const observation = this.healths[instance]!.startObservation(upstream, route);
        const key = `${instance}|${upstream.id}`;
        this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
        const result = await this.send(instance, upstream, route);
        this.#inFlight.set(key, this.#inFlight.get(key)! - 1);
        const latencyMs = this.clock.monotonicMs() - startMs;
        observation.end(result, latencyMs);
        this.onResult(instance, upstream, route, latencyMs, result);
        return result;
    }

    /** Simulates the network and the upstream, with the caller's timeout. */
    send(instance: number, upstream: Upstream, route: RouteId): Promise<UpstreamResult> {
        const server = this.upstreams.find(({ listed }) => listed.id === upstream.id)!;
        return new Promise(resolve => {
            const timer = this.clock.after(testTimeoutMs, () => resolve({ kind: "timeout" }));
            void server.wait(1).then(() => server.run(route)).then(result => {
                if (!this.lostAnswers.has(`i${instance}>${upstream.id}`)) {
                    timer.cancel();
                    resolve(result);
                }
            });
        });
    }

    /** Slots left on the worst route if the ejections of all instances applied everywhere. */
    healthySlots(): number {
        const ejected = [...this.ejectedTargets()].map(key => key.split("|"));
        const live = this.listing.filter(({ state }) => state === "live");
        return Math.min(
            ...testRoutes.map(route =>
                live.filter(({ id: upstream }) =>
                    !ejected.some(([target, on]) => target === upstream && (on === "" || on === route))
                ).length * this.#options.slots
            ),
        );
    }

    /** Targets that at least one instance ejects now. */
    ejectedTargets(): ReadonlySet<string> {
        return new Set(
            this.healths.flatMap(health =>
                health.ejections(testService).map(({ upstream, route }) => `${upstream}|${route ?? ""}`)
            ),
        );
    }

    coordinator(): string {
        return this.memberships[0]!.coordinatorOf(`service/${testService}`)!;
    }

    /**
     * Moves the coordinator to another instance, one that matches if there is any. The former coordinator has stopped
     * by then.
     */
    changeCoordinator(matches: (instance: string) => boolean = () => true): void {
        const former = id<InstanceId>(this.coordinator());
        this.fleet.excluded.clear();
        this.fleet.excluded.add(former);
        while (!matches(this.coordinator()) && this.fleet.excluded.size < this.memberships.length - 1) {
            this.fleet.excluded.add(id<InstanceId>(this.coordinator()));
        }
        this.fleet.term++;
        this.fleet.termStartedAtMs = this.clock.monotonicMs();
        this.memberships.forEach(membership => membership.notifyListeners());
    }

    setState(index: number, state: Upstream["state"]): void {
        this.listing = this.listing.map((entry, place) => place === index ? { ...entry, state } : entry);
    }

    #pick(instance: number, route: RouteId, tried: Upstream | undefined): Upstream | undefined {
        const health = this.healths[instance]!;
        const usable = this.listing.filter(entry => entry.id !== tried?.id && health.weight(entry, route) > 0);
        const eligible = usable.filter(entry =>
            !health.isAvoided(entry) && this.random() < health.weight(entry, route)
        );
        const pool = eligible.length > 0 ? eligible : usable;
        const [one, two] = [0, 1].map(() => pool[Math.floor(this.random() * pool.length)]);
        const load = (entry: Upstream) => this.#inFlight.get(`${instance}|${entry.id}`) ?? 0;
        return one === undefined || two === undefined || load(one) <= load(two) ? one : two;
    }

    #join(name: InstanceId): void {
        const { peers, clock } = this.network.join(name);
        const log = new MemoryLog();
        const membership = new StaticMembership(name, this.fleet);
        const context: InstanceContext = {
            clock,
            random: this.random,
            sha256: String,
            peers,
            membership,
            config: this.#config(),
            log,
            metrics: noopMetrics,
        };
        const index = this.healths.length;
        const runProbe: RunProbe = upstream => {
            this.probes++;
            return this.send(index, upstream, testRoutes[0]!);
        };
        this.memberships.push(membership);
        this.contexts.push(context);
        this.logs.push(log);
        this.healths.push(
            new FleetHealth({
                context,
                upstreams: () => this.listing,
                runProbe: this.#options.runsProbes === true ? runProbe : undefined,
                settings: this.#options.settings,
            }),
        );
    }

    #config(): ConfigView {
        const { slots, upstreams, floorSlots = Math.floor(slots * upstreams / 2) } = this.#options;
        const config: FleetConfig = {
            revision: 1,
            operations: [],
            seats: this.#options.instances,
            organisations: [],
            services: [{ id: testService, slotsPerUpstream: slots, floorSlots }],
            routes: [],
        };
        return { current: () => config, isWithdrawn: () => false, onChange: () => {} };
    }
}
