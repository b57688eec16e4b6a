/** What the home of one service keeps during one term. */
import type { LogPort } from "../ports.js";
import type { InstanceId, ServiceId, Upstream, UpstreamId } from "../types.js";
import type { CapacityFloor, EjectionTarget } from "./capacity-floor.js";
import { EjectionTracker } from "./ejection-tracker.js";
import { Evidence, type Observer } from "./evidence.js";
import type { Decisions, Digest, DigestReply } from "./messages.js";
import { detectOutliers } from "./outlier-detection.js";
import type { HealthSettings } from "./settings.js";

/** What a home reads besides digests; asked at each use. */
export interface ServiceCoordinatorOptions {
    readonly settings: HealthSettings;
    readonly log: LogPort;
    /** Listed upstreams of the service. */
    readonly upstreams: () => readonly Upstream[];
    /** Capacity and floor by this instance's own view and the drain signs that the home holds. */
    readonly floorRule: (draining: ReadonlySet<UpstreamId>) => CapacityFloor | undefined;
    /** Whether the fleet spans more than one zone. */
    readonly isZoned: () => boolean;
    /** Whether instances can run probes. */
    readonly isProbed: boolean;
}

// Judging visits every sample of the service, so on every digest it would cost the home most of its time.
const judgeIntervalMs = 200;

/**
 * Judges the upstreams of one service from the digests of all instances.
 *
 * @example
 * const home = new ServiceHome(service, term, surroundings, nowMs);
 * const { reply, isChanged } = home.receive(from, digest, nowMs);
 */
export class ServiceCoordinator {
    readonly termId: string;
    readonly #service: ServiceId;
    readonly #surroundings: ServiceCoordinatorOptions;
    readonly #settings: HealthSettings;
    readonly #startedMs: number;
    readonly #evidence: Evidence;
    readonly #book: EjectionTracker;
    readonly #draining = new Map<UpstreamId, number>();
    readonly #load = new Map<
        InstanceId,
        { readonly atMs: number; readonly byUpstream: ReadonlyMap<UpstreamId, number>; }
    >();
    readonly #sequences = new Map<InstanceId, number>();
    #probeCredit = 0;
    #probeCreditMs: number;
    #judgedMs = -Infinity;
    #version = 0;

    constructor(
        service: ServiceId,
        term: { readonly id: string; readonly startedAtMs: number; },
        surroundings: ServiceCoordinatorOptions,
        nowMs: number,
    ) {
        this.#service = service;
        this.termId = term.id;
        this.#startedMs = term.startedAtMs;
        this.#surroundings = surroundings;
        this.#settings = surroundings.settings;
        this.#probeCreditMs = nowMs;
        this.#book = new EjectionTracker(this.#settings);
        this.#evidence = new Evidence(
            this.#settings.halfLives,
            nowMs,
            (observer: Observer) => surroundings.isZoned() ? observer.zone : observer.instance,
        );
    }

    /** Takes one digest in. `isChanged` says that every instance should hear the decisions now. */
    receive(
        from: InstanceId,
        digest: Digest,
        nowMs: number,
    ): { readonly reply: DigestReply; readonly isChanged: boolean; } {
        const versionBefore = this.#version;
        this.#sequences.set(from, Math.max(digest.sequence, this.#sequences.get(from) ?? 0));
        this.#evidence.add({ instance: from, zone: digest.zone }, digest.entries, nowMs);
        this.#recordLoad(from, digest, nowMs);
        this.#recordDrains(digest.draining, nowMs);
        this.#adopt(digest, nowMs);
        digest.probes.forEach(({ upstream, isGood }) => this.#book.recordProbe(upstream, isGood));
        if (nowMs - this.#judgedMs >= judgeIntervalMs) {
            this.#judgedMs = nowMs;
            this.#judgeAll(nowMs);
        }
        const reply: DigestReply = {
            kind: "decisions",
            decisions: this.decisions(nowMs),
            load: this.#pooledLoad(nowMs),
            probes: this.#takeProbes(nowMs),
        };
        return { reply, isChanged: this.#version !== versionBefore };
    }

    decisions(nowMs: number): Decisions {
        return {
            term: this.termId,
            version: this.#version,
            ejections: [...this.#book.issue(nowMs)],
            draining: [...this.#draining.keys()],
        };
    }

    /** The last digest that has come from an instance, for dating the leases of a notice. */
    lastSequence(instance: InstanceId): number | undefined {
        return this.#sequences.get(instance);
    }

    #recordDrains(draining: readonly UpstreamId[], nowMs: number): void {
        for (const [upstream, sinceMs] of this.#draining) {
            const isListed = this.#surroundings.upstreams().some(({ id }) => id === upstream);
            if (!isListed || nowMs - sinceMs > this.#settings.drainTtlMs) {
                this.#draining.delete(upstream);
                this.#version++;
            }
        }
        for (const upstream of draining) {
            if (!this.#draining.has(upstream)) {
                this.#draining.set(upstream, nowMs);
                this.#version++;
                this.#surroundings.log.event("upstream-draining", { service: this.#service, upstream });
            }
        }
    }

    /**
     * Learns the ejections that the former home left in use. Only a digest that echoes this term counts: it was sent
     * after the former home had stopped, so what it holds passed that home's floor together with all else in use. An
     * older digest, delayed on its way, could name an ejection that has since given way to another.
     */
    #adopt(digest: Digest, nowMs: number): void {
        const rule = this.#rule();
        if (rule === undefined || this.#isSettled(nowMs) || digest.heardTerm !== this.termId) {
            return;
        }
        for (const ejection of digest.inUse) {
            if (this.#book.adopt(ejection, rule, nowMs)) {
                this.#version++;
                this.#log("ejection-adopted", ejection, { level: ejection.level });
            }
        }
    }

    #judgeAll(nowMs: number): void {
        const rule = this.#rule();
        if (rule === undefined) {
            return;
        }
        this.#release(rule, nowMs);
        this.#evidence.decay(nowMs);
        if (!this.#isSettled(nowMs)) {
            return;
        }
        for (const verdict of detectOutliers(this.#evidence, this.#settings)) {
            const { reason, severity, samples, upstream } = verdict;
            const isCovered = verdict.route !== undefined && this.#book.get({ upstream }) !== undefined;
            if (!rule.healthy.has(upstream) || isCovered) {
                continue;
            }
            if (this.#book.eject(verdict, rule, nowMs)) {
                this.#evidence.forget(upstream, verdict.route);
                this.#version++;
                this.#log("upstream-ejected", verdict, { reason, severity, samples });
            }
        }
        for (const entry of this.#book.advance(nowMs, this.#surroundings.isProbed)) {
            this.#evidence.forget(entry.upstream, entry.route);
            this.#version++;
            this.#log("upstream-returning", entry, { step: entry.step, level: entry.level });
        }
    }

    /** Ends ejections of upstreams that have left and those that the floor no longer allows. */
    #release(rule: CapacityFloor, nowMs: number): void {
        const listed = new Set(this.#surroundings.upstreams().map(upstream => upstream.id));
        for (const entry of this.#book.entries()) {
            if (!listed.has(entry.upstream)) {
                this.#book.end(entry, nowMs);
                this.#version++;
            }
        }
        for (const entry of this.#book.enforceFloor(rule, nowMs)) {
            this.#version++;
            this.#log("ejection-ended-for-floor", entry, {});
        }
    }

    /** False while ejections of a former home may still be in use that this home has not learned. */
    #isSettled(nowMs: number): boolean {
        const { countsUnexpiredEjections: isUnionCounted, leaseMs, clockDriftFactor: driftFactor } = this.#settings;
        return !isUnionCounted || nowMs - this.#startedMs >= leaseMs * driftFactor;
    }

    #rule(): CapacityFloor | undefined {
        return this.#surroundings.floorRule(new Set(this.#draining.keys()));
    }

    #recordLoad(from: InstanceId, digest: Digest, nowMs: number): void {
        const byUpstream = new Map<UpstreamId, number>();
        for (const { upstream, agesMs } of digest.entries) {
            byUpstream.set(upstream, (byUpstream.get(upstream) ?? 0) + agesMs.length);
        }
        this.#load.set(from, { atMs: nowMs, byUpstream });
    }

    #pooledLoad(nowMs: number): { upstream: UpstreamId; inFlight: number; }[] {
        const sums = new Map<UpstreamId, number>();
        for (const [instance, { atMs, byUpstream }] of this.#load) {
            if (nowMs - atMs > 2 * this.#settings.digestIntervalMs) {
                this.#load.delete(instance);
                continue;
            }
            byUpstream.forEach((inFlight, upstream) => sums.set(upstream, (sums.get(upstream) ?? 0) + inFlight));
        }
        return [...sums].filter(([, inFlight]) => inFlight > 0).map(([upstream, inFlight]) => ({ upstream, inFlight }));
    }

    /** Hands out at most one probe with each reply, within the share of capacity that probes may use. */
    #takeProbes(nowMs: number): UpstreamId[] {
        const rule = this.#rule();
        if (rule === undefined || !this.#surroundings.isProbed) {
            return [];
        }
        const {
            probeCapacityShare: probeShare,
            probeSlotMs: probeCostMs,
            baseEjectionMs: firstWaitMs,
            maxEjectionMs: maxWaitMs,
            probesToReturn,
        } = this.#settings;
        const slots = this.#surroundings.upstreams().length * rule.slotsPerUpstream;
        const earned = (nowMs - this.#probeCreditMs) * slots * probeShare / probeCostMs;
        this.#probeCredit = Math.min(1, this.#probeCredit + earned);
        this.#probeCreditMs = nowMs;
        const waiting = this.#book.entries().filter(entry =>
            entry.step === undefined && entry.route === undefined && entry.goodProbes < probesToReturn
            && nowMs - entry.sinceMs >= Math.min(firstWaitMs * 2 ** entry.level, maxWaitMs)
        );
        if (waiting.length === 0 || this.#probeCredit < 1) {
            return [];
        }
        this.#probeCredit = 0;
        const index = Math.floor(nowMs / probeCostMs) % waiting.length;
        return [waiting[index]!.upstream];
    }

    #log(name: string, target: EjectionTarget, fields: Readonly<Record<string, string | number | undefined>>): void {
        const { upstream, route } = target;
        this.#surroundings.log.event(name, { service: this.#service, upstream, route, ...fields });
    }
}
