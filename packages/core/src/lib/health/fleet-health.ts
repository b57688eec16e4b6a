/** The health of upstreams as one instance sees and enforces it. */
import type { InstanceContext } from "../context.js";
import type { UpstreamResult } from "../ports.js";
import type { InstanceId, RouteId, ServiceId, Upstream, UpstreamId } from "../types.js";
import { upstreamsOfService } from "../upstreams-of-service.js";
import { type CapacityFloor, selectWithinFloor } from "./capacity-floor.js";
import type { Observation } from "./local-observer.js";
import {
    type Digest,
    digestMethod,
    type DigestReply,
    drainMethod,
    type Ejection,
    ejectionsMethod,
} from "./messages.js";
import { ServiceCoordinator } from "./service-coordinator.js";
import { type RunProbe, serviceCoordinatorKey, ServiceHealthClient } from "./service-health-client.js";
import { defaultHealthSettings, type HealthSettings } from "./settings.js";

/** What the choice of an upstream asks of health. */
export interface UpstreamHealth {
    /** Share of normal load that the upstream may get on the route: 0 is none, 1 is all. */
    weight(upstream: Upstream, route: RouteId): number;
    /** Whether to choose the upstream only if no other has room: this instance alone has trouble with it. */
    isAvoided(upstream: Upstream): boolean;
    /** Requests in flight there from other instances, a fraction of a second old. */
    remoteInFlight(upstream: Upstream): number;
    /** Call at dispatch; end the observation with the result. */
    startObservation(upstream: Upstream, route: RouteId): Observation;
}

/** What {@link FleetHealth} is built from. */
export interface FleetHealthOptions {
    readonly context: InstanceContext;
    /** The upstreams of the instance list, of all services: the same array until the list changes. */
    readonly upstreams: () => readonly Upstream[];
    /** Absent: ejected upstreams return by time alone. */
    readonly runProbe?: RunProbe;
    readonly settings?: Partial<HealthSettings>;
}

/**
 * Observes upstreams, sends digests to the home of each service, acts as home where this instance is it, and enforces
 * the ejections in force within the capacity floor.
 *
 * @example
 * const health = new FleetHealth({ context, upstreams: () => listing.upstreams });
 * const observation = health.begin(upstream, route);
 * observation.end(await port.send(upstream, request), latencyMs);
 */
export class FleetHealth implements UpstreamHealth {
    readonly #context: InstanceContext;
    readonly #settings: HealthSettings;
    readonly #options: FleetHealthOptions;
    readonly #links = new Map<ServiceId, ServiceHealthClient>();
    readonly #homes = new Map<ServiceId, ServiceCoordinator>();
    readonly #firstSeenMs = new Map<UpstreamId, number>();
    /** Healthy upstreams when last asked, and when one was last lost. */
    readonly #capacities = new Map<
        ServiceId,
        { readonly healthy: ReadonlySet<UpstreamId>; readonly lostMs: number; }
    >();
    #listing: readonly Upstream[] = [];

    constructor(options: FleetHealthOptions) {
        this.#options = options;
        this.#context = options.context;
        this.#settings = { ...defaultHealthSettings, ...options.settings };
        const { peers } = options.context;
        peers.handle(digestMethod, (from, digest) => this.#receive(from, digest));
        peers.handle(ejectionsMethod, (_from, notice) => this.#link(notice.service).handleNotice(notice));
        peers.handle(drainMethod, (_from, { service, upstream }) => this.#link(service).markDraining(upstream));
    }

    weight(upstream: Upstream, route: RouteId): number {
        this.#readListing();
        const link = this.#link(upstream.service);
        if (upstream.state === "leaving" || link.isDraining(upstream.id)) {
            return 0;
        }
        const ejections = this.ejections(upstream.service).filter(entry =>
            entry.upstream === upstream.id && (entry.route === undefined || entry.route === route)
        );
        return ejections.reduce((weight, entry) => Math.min(weight, entry.weight), this.#warmth(upstream));
    }

    isAvoided(upstream: Upstream): boolean {
        const count = this.#upstreamsOf(upstream.service).length;
        return this.#link(upstream.service).observer.isAvoided(upstream.id, count);
    }

    remoteInFlight(upstream: Upstream): number {
        return this.#link(upstream.service).remoteInFlight(upstream.id);
    }

    startObservation(upstream: Upstream, route: RouteId): Observation {
        const link = this.#link(upstream.service);
        const observation = link.observer.startObservation(upstream.id, route);
        link.startReporting();
        return {
            end: (result, latencyMs) => {
                observation.end(result, latencyMs);
                if (result !== undefined && isDrainSign(result)) {
                    link.reportDrain(upstream.id);
                }
            },
        };
    }

    /** The ejections in force here: all that this instance knows, as far as the floor allows them together. */
    ejections(service: ServiceId): readonly Ejection[] {
        const link = this.#link(service);
        const nowMs = this.#context.clock.monotonicMs();
        const held = link.leases.current(nowMs);
        if (held.length === 0 || !this.#settings.isFloorEnforced) {
            return held;
        }
        const rule = this.#floorRule(service, link.draining());
        if (rule === undefined) {
            return [];
        }
        return selectWithinFloor(
            rule,
            link.leases.current(nowMs, this.#confirmedSinceMs(service, rule.healthy, nowMs)),
        );
    }

    /**
     * From when on an ejection must have been confirmed. After a loss of capacity the home may have to end ejections
     * that an instance cut off from it would go on with, so those in use need a new confirmation at once.
     */
    #confirmedSinceMs(service: ServiceId, healthy: ReadonlySet<UpstreamId>, nowMs: number): number {
        const known = this.#capacities.get(service);
        const isLost = known !== undefined && [...known.healthy].some(upstream => !healthy.has(upstream));
        const lostMs = isLost ? nowMs : known?.lostMs ?? -Infinity;
        this.#capacities.set(service, { healthy, lostMs });
        const graceMs = 2 * this.#settings.digestIntervalMs;
        return nowMs - lostMs <= graceMs ? lostMs - graceMs : lostMs;
    }

    /** Stops all timers. */
    stop(): void {
        this.#links.forEach(link => link.stop());
    }

    #receive(from: InstanceId, digest: Digest): DigestReply {
        const { service } = digest;
        const term = this.#context.membership.coordinatorTerm(serviceCoordinatorKey(service));
        if (term === undefined) {
            this.#homes.delete(service);
            return { kind: "not-home" };
        }
        const nowMs = this.#context.clock.monotonicMs();
        let home = this.#homes.get(service);
        if (home === undefined || home.termId !== term.id) {
            home = new ServiceCoordinator(service, term, this.#homeSurroundings(service), nowMs);
            this.#homes.set(service, home);
        }
        const { reply, isChanged } = home.receive(from, digest, nowMs);
        if (isChanged) {
            this.#announce(service, home, nowMs, from);
        }
        return reply;
    }

    #announce(service: ServiceId, home: ServiceCoordinator, nowMs: number, answered: InstanceId): void {
        const { membership, peers } = this.#context;
        const decisions = home.decisions(nowMs);
        for (const { id } of membership.liveInstances()) {
            const notice = { service, echoSequence: home.lastSequence(id), decisions };
            if (id === membership.self) {
                this.#link(service).handleNotice(notice);
            }
            else if (id !== answered) {
                peers.notify(id, ejectionsMethod, notice);
            }
        }
    }

    #homeSurroundings(service: ServiceId) {
        return {
            settings: this.#settings,
            log: this.#context.log,
            upstreams: () => this.#upstreamsOf(service),
            floorRule: (draining: ReadonlySet<UpstreamId>) => this.#floorRule(service, draining),
            isZoned: () => new Set(this.#context.membership.liveInstances().map(({ zone }) => zone)).size > 1,
            isProbed: this.#options.runProbe !== undefined,
        };
    }

    /** Undefined while there is no configuration: without a floor nothing may be ejected. */
    #floorRule(service: ServiceId, draining: ReadonlySet<UpstreamId>): CapacityFloor | undefined {
        const declared = this.#context.config.current()?.services.find(entry => entry.id === service);
        if (declared === undefined) {
            return undefined;
        }
        const healthy = this.#upstreamsOf(service).filter(upstream =>
            upstream.state === "live" && !draining.has(upstream.id) && this.#warmth(upstream) === 1
        );
        return {
            healthy: new Set(healthy.map(({ id }) => id)),
            slotsPerUpstream: declared.slotsPerUpstream,
            floorSlots: declared.floorSlots,
        };
    }

    /** Rises from a tenth to 1 while an upstream that has just appeared warms up. */
    #warmth(upstream: Upstream): number {
        const nowMs = this.#context.clock.monotonicMs();
        const share = (nowMs - (this.#firstSeenMs.get(upstream.id) ?? nowMs)) / this.#settings.warmupMs;
        return share >= 1 ? 1 : Math.max(0.1, share);
    }

    #upstreamsOf(service: ServiceId): readonly Upstream[] {
        this.#readListing();
        return upstreamsOfService(this.#listing, service);
    }

    /** Notes which upstreams are new and forgets those that have gone, whose drain signs end with them. */
    #readListing(): void {
        const listing = this.#options.upstreams();
        if (listing === this.#listing) {
            return;
        }
        // What the first list shows has served before this instance came; only later arrivals are cold.
        const sinceMs = this.#firstSeenMs.size === 0 ? -Infinity : this.#context.clock.monotonicMs();
        listing.filter(({ id }) => !this.#firstSeenMs.has(id)).forEach(({ id }) => this.#firstSeenMs.set(id, sinceMs));
        const listed = new Set(listing.map(({ id }) => id));
        for (const { id, service } of this.#listing.filter(upstream => !listed.has(upstream.id))) {
            this.#firstSeenMs.delete(id);
            this.#link(service).clearDrain(id);
        }
        this.#listing = listing;
    }

    #link(service: ServiceId): ServiceHealthClient {
        const existing = this.#links.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const link = new ServiceHealthClient(service, {
            context: this.#context,
            settings: this.#settings,
            upstreams: () => this.#upstreamsOf(service),
            runProbe: this.#options.runProbe,
            handleLocally: digest => this.#receive(this.#context.membership.self, digest),
        });
        this.#links.set(service, link);
        return link;
    }
}

const isDrainSign = (result: UpstreamResult): boolean =>
    (result.kind === "answer" || result.kind === "shed") && result.draining;
