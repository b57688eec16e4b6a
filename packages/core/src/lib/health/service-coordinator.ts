/** State of the coordinator of one service during one term. */
import type { LogPort } from "../ports.js";
import type { InstanceId, ServiceId, Upstream, UpstreamId } from "../types.js";
import type { CapacityFloor, EjectionTarget } from "./capacity-floor.js";
import { EjectionTracker } from "./ejection-tracker.js";
import { Evidence, type Observer } from "./evidence.js";
import type { Decisions, Digest, DigestReply } from "./messages.js";
import { detectOutliers } from "./outlier-detection.js";
import type { HealthSettings } from "./settings.js";

/** Options of {@link ServiceCoordinator}. Functions are called at each use. */
export interface ServiceCoordinatorOptions {
    readonly settings: HealthSettings;
    readonly log: LogPort;
    /** Listed upstreams of the service. */
    readonly upstreams: () => readonly Upstream[];
    /** Capacity and floor in this instance's own view, with the drain announcements that the coordinator holds. */
    readonly capacityFloor: (draining: ReadonlySet<UpstreamId>) => CapacityFloor | undefined;
    /** Whether the fleet spans more than one zone. */
    readonly isMultiZone: () => boolean;
    /** Whether instances can run probes. */
    readonly hasProbes: boolean;
}

/**
 * Minimum interval between detections. A detection visits every sample of the service; with one for every digest, most
 * of the coordinator's CPU time would go into detections.
 */
const detectionIntervalMs = 200;

/**
 * Detects outliers among the upstreams of one service from the digests of all instances, and decides ejections.
 *
 * @example
 * const coordinator = new ServiceCoordinator(service, term, options, nowMs);
 * const { reply, isChanged } = coordinator.receive(from, digest, nowMs);
 */
export class ServiceCoordinator {
    readonly termId: string;
    readonly #service: ServiceId;
    readonly #options: ServiceCoordinatorOptions;
    readonly #settings: HealthSettings;
    readonly #startedMs: number;
    readonly #evidence: Evidence;
    readonly #ejections: EjectionTracker;
    /** Time of the first report of each drain announcement. */
    readonly #draining = new Map<UpstreamId, number>();
    readonly #inFlight = new Map<
        InstanceId,
        { readonly atMs: number; readonly byUpstream: ReadonlyMap<UpstreamId, number>; }
    >();
    readonly #sequences = new Map<InstanceId, number>();
    /** Probes that may be assigned, including a fraction; 1 or less, so that unused credit does not accumulate. */
    #probeCredit = 0;
    #probeCreditUpdatedMs: number;
    #lastDetectionMs = -Infinity;
    #version = 0;

    constructor(
        service: ServiceId,
        term: { readonly id: string; readonly startedAtMs: number; },
        options: ServiceCoordinatorOptions,
        nowMs: number,
    ) {
        this.#service = service;
        this.termId = term.id;
        this.#startedMs = term.startedAtMs;
        this.#options = options;
        this.#settings = options.settings;
        this.#probeCreditUpdatedMs = nowMs;
        this.#ejections = new EjectionTracker(this.#settings);
        this.#evidence = new Evidence(
            this.#settings.halfLives,
            nowMs,
            (observer: Observer) => options.isMultiZone() ? observer.zone : observer.instance,
        );
    }

    /** Handles a digest. `isChanged` means that every instance should be notified of the decisions. */
    receive(
        from: InstanceId,
        digest: Digest,
        nowMs: number,
    ): { readonly reply: DigestReply; readonly isChanged: boolean; } {
        const versionBefore = this.#version;
        this.#sequences.set(from, Math.max(digest.sequence, this.#sequences.get(from) ?? 0));
        this.#evidence.add({ instance: from, zone: digest.zone }, digest.entries, nowMs);
        this.#recordInFlight(from, digest, nowMs);
        this.#recordDrains(digest.draining, nowMs);
        this.#adopt(digest, nowMs);
        digest.probes.forEach(({ upstream, isGood }) => this.#ejections.recordProbe(upstream, isGood));
        if (nowMs - this.#lastDetectionMs >= detectionIntervalMs) {
            this.#lastDetectionMs = nowMs;
            this.#updateEjections(nowMs);
        }
        const reply: DigestReply = {
            kind: "decisions",
            decisions: this.decisions(nowMs),
            load: this.#totalInFlight(nowMs),
            probes: this.#assignProbes(nowMs),
        };
        return { reply, isChanged: this.#version !== versionBefore };
    }

    decisions(nowMs: number): Decisions {
        return {
            term: this.termId,
            version: this.#version,
            ejections: [...this.#ejections.issue(nowMs)],
            draining: [...this.#draining.keys()],
        };
    }

    /** Sequence number of the last digest from an instance, from whose sending time the leases of a notice count. */
    lastSequence(instance: InstanceId): number | undefined {
        return this.#sequences.get(instance);
    }

    #recordDrains(draining: readonly UpstreamId[], nowMs: number): void {
        for (const [upstream, sinceMs] of this.#draining) {
            const isListed = this.#options.upstreams().some(({ id }) => id === upstream);
            if (!isListed || nowMs - sinceMs > this.#settings.drainTtlMs) {
                this.#draining.delete(upstream);
                this.#version++;
            }
        }
        for (const upstream of draining) {
            if (!this.#draining.has(upstream)) {
                this.#draining.set(upstream, nowMs);
                this.#version++;
                this.#options.log.event("upstream-draining", { service: this.#service, upstream });
            }
        }
    }

    /**
     * Adopts the ejections of the former coordinator that are still in use. Only a digest that names this term counts.
     * Such a digest was sent after the former coordinator had stopped, so that coordinator checked the digest's
     * ejections against the floor together with all others in use. A delayed older digest could name an ejection that
     * has been replaced since.
     */
    #adopt(digest: Digest, nowMs: number): void {
        const floor = this.#floor();
        if (floor === undefined || this.#hasFormerLeaseExpired(nowMs) || digest.heardTerm !== this.termId) {
            return;
        }
        for (const ejection of digest.inUse) {
            if (this.#ejections.adopt(ejection, floor, nowMs)) {
                this.#version++;
                this.#log("ejection-adopted", ejection, { level: ejection.level });
            }
        }
    }

    #updateEjections(nowMs: number): void {
        const floor = this.#floor();
        if (floor === undefined) {
            return;
        }
        this.#endObsolete(floor, nowMs);
        this.#evidence.decay(nowMs);
        if (!this.#hasFormerLeaseExpired(nowMs)) {
            return;
        }
        for (const outlier of detectOutliers(this.#evidence, this.#settings)) {
            const { reason, severity, samples, upstream } = outlier;
            const isCovered = outlier.route !== undefined && this.#ejections.get({ upstream }) !== undefined;
            if (!floor.healthy.has(upstream) || isCovered) {
                continue;
            }
            if (this.#ejections.eject(outlier, floor, nowMs)) {
                this.#evidence.discard(upstream, outlier.route);
                this.#version++;
                this.#log("upstream-ejected", outlier, { reason, severity, samples });
            }
        }
        for (const entry of this.#ejections.advance(nowMs, this.#options.hasProbes)) {
            this.#evidence.discard(entry.upstream, entry.route);
            this.#version++;
            this.#log("upstream-returning", entry, { step: entry.step, level: entry.level });
        }
    }

    /** Ends the ejections of upstreams that have left the list, and those that the floor no longer allows. */
    #endObsolete(floor: CapacityFloor, nowMs: number): void {
        const listed = new Set(this.#options.upstreams().map(upstream => upstream.id));
        for (const entry of this.#ejections.entries()) {
            if (!listed.has(entry.upstream)) {
                this.#ejections.end(entry, nowMs);
                this.#version++;
            }
        }
        for (const entry of this.#ejections.enforceFloor(floor, nowMs)) {
            this.#version++;
            this.#log("ejection-ended-for-floor", entry, {});
        }
    }

    /**
     * Whether the leases from a former coordinator have expired. Until then, instances may apply ejections that this
     * coordinator has not adopted.
     */
    #hasFormerLeaseExpired(nowMs: number): boolean {
        const { countsUnexpiredEjections, leaseMs, clockDriftFactor } = this.#settings;
        return !countsUnexpiredEjections || nowMs - this.#startedMs >= leaseMs * clockDriftFactor;
    }

    #floor(): CapacityFloor | undefined {
        return this.#options.capacityFloor(new Set(this.#draining.keys()));
    }

    #recordInFlight(from: InstanceId, digest: Digest, nowMs: number): void {
        const byUpstream = new Map<UpstreamId, number>();
        for (const { upstream, agesMs } of digest.entries) {
            byUpstream.set(upstream, (byUpstream.get(upstream) ?? 0) + agesMs.length);
        }
        this.#inFlight.set(from, { atMs: nowMs, byUpstream });
    }

    #totalInFlight(nowMs: number): { upstream: UpstreamId; inFlight: number; }[] {
        const sums = new Map<UpstreamId, number>();
        for (const [instance, { atMs, byUpstream }] of this.#inFlight) {
            if (nowMs - atMs > 2 * this.#settings.digestIntervalMs) {
                this.#inFlight.delete(instance);
                continue;
            }
            byUpstream.forEach((inFlight, upstream) => sums.set(upstream, (sums.get(upstream) ?? 0) + inFlight));
        }
        return [...sums].filter(([, inFlight]) => inFlight > 0).map(([upstream, inFlight]) => ({ upstream, inFlight }));
    }

    /** Assigns no probe or one probe with each reply, within the share of capacity that probes may use. */
    #assignProbes(nowMs: number): UpstreamId[] {
        const floor = this.#floor();
        if (floor === undefined || !this.#options.hasProbes) {
            return [];
        }
        const {
            probeCapacityShare,
            probeSlotMs,
            baseEjectionMs,
            maxEjectionMs,
            probesToReturn,
        } = this.#settings;
        const slots = this.#options.upstreams().length * floor.slotsPerUpstream;
        const earned = (nowMs - this.#probeCreditUpdatedMs) * slots * probeCapacityShare / probeSlotMs;
        this.#probeCredit = Math.min(1, this.#probeCredit + earned);
        this.#probeCreditUpdatedMs = nowMs;
        const waiting = this.#ejections.entries().filter(entry =>
            entry.step === undefined && entry.route === undefined && entry.consecutiveSuccesses < probesToReturn
            && nowMs - entry.stepStartedMs >= Math.min(baseEjectionMs * 2 ** entry.level, maxEjectionMs)
        );
        if (waiting.length === 0 || this.#probeCredit < 1) {
            return [];
        }
        this.#probeCredit = 0;
        const index = Math.floor(nowMs / probeSlotMs) % waiting.length;
        return [waiting[index]!.upstream];
    }

    #log(name: string, target: EjectionTarget, fields: Readonly<Record<string, string | number | undefined>>): void {
        const { upstream, route } = target;
        this.#options.log.event(name, { service: this.#service, upstream, route, ...fields });
    }
}
