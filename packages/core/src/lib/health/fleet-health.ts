/** One instance's view of the health of upstreams, and its part in coordinating ejections. */
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

/** Health information for the selection of an upstream. */
export interface UpstreamHealth {
    /** Share of its normal load that the upstream may receive on the route, from 0 to 1. */
    weight(upstream: Upstream, route: RouteId): number;
    /**
     * Whether to use the upstream only if no other has capacity, because requests from this instance to it have failed
     * recently.
     */
    isAvoided(upstream: Upstream): boolean;
    /** Requests in flight at the upstream from other instances, as of the last reply of the coordinator. */
    remoteInFlight(upstream: Upstream): number;
    /** Starts an observation at dispatch. End it with the result. */
    startObservation(upstream: Upstream, route: RouteId): Observation;
}

/** Options of {@link FleetHealth}. */
export interface FleetHealthOptions {
    readonly context: InstanceContext;
    /** All upstreams in the platform's list. Returns the same array until the list changes. */
    readonly upstreams: () => readonly Upstream[];
    /** Without it, ejected upstreams return by time alone. */
    readonly runProbe?: RunProbe;
    readonly settings?: Partial<HealthSettings>;
}

/**
 * Observes upstreams, sends digests to the coordinator of each service, acts as coordinator of the services that
 * membership assigns to this instance, and enforces ejections within the capacity floor.
 *
 * @example
 * const health = new FleetHealth({ context, upstreams: () => listing.upstreams });
 * const observation = health.startObservation(upstream, route);
 * observation.end(await port.send(upstream, request), latencyMs);
 */
export class FleetHealth implements UpstreamHealth {
    readonly #context: InstanceContext;
    readonly #settings: HealthSettings;
    readonly #options: FleetHealthOptions;
    readonly #clients = new Map<ServiceId, ServiceHealthClient>();
    readonly #coordinators = new Map<ServiceId, ServiceCoordinator>();
    readonly #firstSeenMs = new Map<UpstreamId, number>();
    /**
     * By service: the healthy upstreams at the last call of `ejections`, and the time at which an upstream last ceased
     * to be healthy.
     */
    readonly #healthyUpstreams = new Map<
        ServiceId,
        { readonly healthy: ReadonlySet<UpstreamId>; readonly lostMs: number; }
    >();
    #listing: readonly Upstream[] = [];

    constructor(options: FleetHealthOptions) {
        this.#options = options;
        this.#context = options.context;
        this.#settings = { ...defaultHealthSettings, ...options.settings };
        const { peers } = options.context;
        peers.handle(digestMethod, (from, digest) => this.#handleDigest(from, digest));
        peers.handle(ejectionsMethod, (_from, notice) => this.#client(notice.service).handleNotice(notice));
        peers.handle(drainMethod, (_from, { service, upstream }) => this.#client(service).markDraining(upstream));
    }

    weight(upstream: Upstream, route: RouteId): number {
        this.#updateListing();
        const client = this.#client(upstream.service);
        if (upstream.state === "leaving" || client.isDraining(upstream.id)) {
            return 0;
        }
        const ejections = this.ejections(upstream.service).filter(entry =>
            entry.upstream === upstream.id && (entry.route === undefined || entry.route === route)
        );
        return ejections.reduce((weight, entry) => Math.min(weight, entry.weight), this.#warmupWeight(upstream));
    }

    isAvoided(upstream: Upstream): boolean {
        const count = this.#upstreamsOf(upstream.service).length;
        return this.#client(upstream.service).observer.isAvoided(upstream.id, count);
    }

    remoteInFlight(upstream: Upstream): number {
        return this.#client(upstream.service).remoteInFlight(upstream.id);
    }

    startObservation(upstream: Upstream, route: RouteId): Observation {
        const client = this.#client(upstream.service);
        const observation = client.observer.startObservation(upstream.id, route);
        client.startReporting();
        return {
            end: (result, latencyMs) => {
                observation.end(result, latencyMs);
                if (result !== undefined && announcesDrain(result)) {
                    client.reportDrain(upstream.id);
                }
            },
        };
    }

    /**
     * Returns the unexpired ejections that this instance applies. If the capacity floor does not allow all of them, it
     * applies a subset.
     */
    ejections(service: ServiceId): readonly Ejection[] {
        const client = this.#client(service);
        const nowMs = this.#context.clock.monotonicMs();
        const leased = client.leases.unexpired(nowMs);
        if (leased.length === 0 || !this.#settings.isFloorEnforced) {
            return leased;
        }
        const floor = this.#capacityFloor(service, client.draining());
        if (floor === undefined) {
            return [];
        }
        return selectWithinFloor(
            floor,
            client.leases.unexpired(nowMs, this.#updateConfirmedSinceMs(service, floor.healthy, nowMs)),
        );
    }

    /**
     * Updates the healthy upstreams of a service, and returns the earliest time at which an ejection must have been
     * confirmed to stay in force. After a loss of capacity, the coordinator may end ejections to keep the floor. An
     * instance that cannot reach the coordinator would not learn of this, so every ejection must be confirmed again.
     * During the grace period after a loss, confirmations from the grace period before the loss still count.
     */
    #updateConfirmedSinceMs(service: ServiceId, healthy: ReadonlySet<UpstreamId>, nowMs: number): number {
        const last = this.#healthyUpstreams.get(service);
        const isLost = last !== undefined && [...last.healthy].some(upstream => !healthy.has(upstream));
        const lostMs = isLost ? nowMs : last?.lostMs ?? -Infinity;
        this.#healthyUpstreams.set(service, { healthy, lostMs });
        const graceMs = 2 * this.#settings.digestIntervalMs;
        return nowMs - lostMs <= graceMs ? lostMs - graceMs : lostMs;
    }

    /** Stops all timers. */
    stop(): void {
        this.#clients.forEach(client => client.stop());
    }

    #handleDigest(from: InstanceId, digest: Digest): DigestReply {
        const { service } = digest;
        const term = this.#context.membership.coordinatorTerm(serviceCoordinatorKey(service));
        if (term === undefined) {
            this.#coordinators.delete(service);
            return { kind: "not-home" };
        }
        const nowMs = this.#context.clock.monotonicMs();
        let coordinator = this.#coordinators.get(service);
        if (coordinator === undefined || coordinator.termId !== term.id) {
            coordinator = new ServiceCoordinator(service, term, this.#coordinatorOptions(service), nowMs);
            this.#coordinators.set(service, coordinator);
        }
        const { reply, isChanged } = coordinator.receive(from, digest, nowMs);
        if (isChanged) {
            this.#notifyInstances(service, coordinator, nowMs, from);
        }
        return reply;
    }

    #notifyInstances(
        service: ServiceId,
        coordinator: ServiceCoordinator,
        nowMs: number,
        replyReceiver: InstanceId,
    ): void {
        const { membership, peers } = this.#context;
        const decisions = coordinator.decisions(nowMs);
        for (const { id } of membership.liveInstances()) {
            const notice = { service, echoSequence: coordinator.lastSequence(id), decisions };
            if (id === membership.self) {
                this.#client(service).handleNotice(notice);
            }
            else if (id !== replyReceiver) {
                peers.notify(id, ejectionsMethod, notice);
            }
        }
    }

    #coordinatorOptions(service: ServiceId) {
        return {
            settings: this.#settings,
            log: this.#context.log,
            upstreams: () => this.#upstreamsOf(service),
            capacityFloor: (draining: ReadonlySet<UpstreamId>) => this.#capacityFloor(service, draining),
            isMultiZone: () => new Set(this.#context.membership.liveInstances().map(({ zone }) => zone)).size > 1,
            hasProbes: this.#options.runProbe !== undefined,
        };
    }

    /**
     * Returns undefined if this instance has no configuration or the configuration does not contain the service.
     * Nothing may be ejected then.
     */
    #capacityFloor(service: ServiceId, draining: ReadonlySet<UpstreamId>): CapacityFloor | undefined {
        const serviceConfig = this.#context.config.current()?.services.find(entry => entry.id === service);
        if (serviceConfig === undefined) {
            return undefined;
        }
        const healthy = this.#upstreamsOf(service).filter(upstream =>
            upstream.state === "live" && !draining.has(upstream.id) && this.#warmupWeight(upstream) === 1
        );
        return {
            healthy: new Set(healthy.map(({ id }) => id)),
            slotsPerUpstream: serviceConfig.slotsPerUpstream,
            floorSlots: serviceConfig.floorSlots,
        };
    }

    /** Weight of an upstream during its warm-up, which rises from 0.1 to 1. */
    #warmupWeight(upstream: Upstream): number {
        const nowMs = this.#context.clock.monotonicMs();
        const share = (nowMs - (this.#firstSeenMs.get(upstream.id) ?? nowMs)) / this.#settings.warmupMs;
        return share >= 1 ? 1 : Math.max(0.1, share);
    }

    #upstreamsOf(service: ServiceId): readonly Upstream[] {
        this.#updateListing();
        return upstreamsOfService(this.#listing, service);
    }

    /** Records new upstreams. Removes those that have left the list, and their drain announcements with them. */
    #updateListing(): void {
        const listing = this.#options.upstreams();
        if (listing === this.#listing) {
            return;
        }
        // The upstreams of the first list, or of a list after an empty one, are treated as warm: they were probably in
        // service before this instance started.
        const sinceMs = this.#firstSeenMs.size === 0 ? -Infinity : this.#context.clock.monotonicMs();
        listing.filter(({ id }) => !this.#firstSeenMs.has(id)).forEach(({ id }) => this.#firstSeenMs.set(id, sinceMs));
        const listed = new Set(listing.map(({ id }) => id));
        for (const { id, service } of this.#listing.filter(upstream => !listed.has(upstream.id))) {
            this.#firstSeenMs.delete(id);
            this.#client(service).clearDrain(id);
        }
        this.#listing = listing;
    }

    #client(service: ServiceId): ServiceHealthClient {
        const existing = this.#clients.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const client = new ServiceHealthClient(service, {
            context: this.#context,
            settings: this.#settings,
            upstreams: () => this.#upstreamsOf(service),
            runProbe: this.#options.runProbe,
            handleLocally: digest => this.#handleDigest(this.#context.membership.self, digest),
        });
        this.#clients.set(service, client);
        return client;
    }
}

const announcesDrain = (result: UpstreamResult): boolean =>
    (result.kind === "answer" || result.kind === "shed") && result.draining;
