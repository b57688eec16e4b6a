/** Client side of one instance for the coordinator of one service. */
import type { InstanceContext } from "../context.js";
import type { Timer, UpstreamResult } from "../ports.js";
import type { InstanceId, ServiceId, Upstream, UpstreamId } from "../types.js";
import { LeasedEjections } from "./leased-ejections.js";
import { classifyResult, LocalObserver } from "./local-observer.js";
import {
    type Decisions,
    type Digest,
    digestMethod,
    type DigestReply,
    drainMethod,
    type EjectionsNotice,
    type ProbeResult,
} from "./messages.js";
import type { HealthSettings } from "./settings.js";

/** Runs one probe and returns its result. */
export type RunProbe = (upstream: Upstream) => Promise<UpstreamResult>;

/** Options of {@link ServiceHealthClient}. */
export interface ServiceHealthClientOptions {
    readonly context: InstanceContext;
    readonly settings: HealthSettings;
    readonly upstreams: () => readonly Upstream[];
    readonly runProbe: RunProbe | undefined;
    /** Handles a digest locally when this instance is the coordinator. */
    readonly handleLocally: (digest: Digest) => DigestReply;
}

/** Key by which membership selects the coordinator of a service. */
export const serviceCoordinatorKey = (service: ServiceId): string => `service/${service}`;

/** Number of digests whose sending times are kept. These digests span more than two leases. */
const maxSentTimes = 32;

/** Sends digests while there is traffic, and holds the decisions from the replies. */
export class ServiceHealthClient {
    readonly observer: LocalObserver;
    readonly leases: LeasedEjections;
    readonly #service: ServiceId;
    readonly #options: ServiceHealthClientOptions;
    readonly #sentTimesMs = new Map<number, number>();
    /** Term in the last reply of each coordinator. */
    readonly #lastTerms = new Map<InstanceId, string>();
    /** Time at which each drain announcement was first received. */
    readonly #draining = new Map<UpstreamId, number>();
    /** Drain announcements that this instance received itself and that the coordinator has not accepted. */
    #pendingDrains = new Set<UpstreamId>();
    /** Results of probes since the last digest. */
    #pendingProbes: ProbeResult[] = [];
    /** Requests in flight from all instances, as of the last reply. */
    #fleetInFlight = new Map<UpstreamId, number>();
    /** Requests in flight from this instance, as of the last digest. */
    #localInFlight = new Map<UpstreamId, number>();
    #sequence = 0;
    #timer: Timer | undefined;

    constructor(service: ServiceId, options: ServiceHealthClientOptions) {
        this.#service = service;
        this.#options = options;
        const { clock } = options.context;
        this.leases = new LeasedEjections(options.settings.leaseMs);
        this.observer = new LocalObserver(options.settings, () => clock.monotonicMs());
    }

    /**
     * Starts sending digests unless they are being sent. The first one is sent immediately, and its reply brings the
     * ejections in force.
     */
    startReporting(): void {
        this.#timer ??= this.#options.context.clock.after(0, () => this.#tick());
    }

    /** Requests in flight from the other instances, as of the last reply. */
    remoteInFlight(upstream: UpstreamId): number {
        return Math.max(0, (this.#fleetInFlight.get(upstream) ?? 0) - (this.#localInFlight.get(upstream) ?? 0));
    }

    isDraining(upstream: UpstreamId): boolean {
        return this.draining().has(upstream);
    }

    /** Upstreams with an unexpired drain announcement. */
    draining(): ReadonlySet<UpstreamId> {
        const nowMs = this.#nowMs();
        for (const [upstream, sinceMs] of this.#draining) {
            if (nowMs - sinceMs > this.#options.settings.drainTtlMs) {
                this.#draining.delete(upstream);
            }
        }
        return new Set(this.#draining.keys());
    }

    /** Records a drain announcement that this instance received, and reports it to the coordinator immediately. */
    reportDrain(upstream: UpstreamId): void {
        if (this.#draining.has(upstream)) {
            return;
        }
        this.#draining.set(upstream, this.#nowMs());
        this.#pendingDrains.add(upstream);
        this.#timer?.cancel();
        this.#timer = undefined;
        this.startReporting();
    }

    /** Records a drain announcement that another instance or the coordinator passed on. */
    markDraining(upstream: UpstreamId): void {
        if (!this.#draining.has(upstream)) {
            this.#draining.set(upstream, this.#nowMs());
        }
    }

    /**
     * Removes the drain announcement of an upstream that has left the list. It no longer applies if the upstream
     * returns.
     */
    clearDrain(upstream: UpstreamId): void {
        this.#draining.delete(upstream);
        this.#pendingDrains.delete(upstream);
    }

    handleNotice(notice: EjectionsNotice): void {
        const sentMs = notice.echoSequence === undefined ? undefined : this.#sentTimesMs.get(notice.echoSequence);
        this.#applyDecisions(notice.decisions, sentMs);
    }

    stop(): void {
        this.#timer?.cancel();
        this.#timer = undefined;
    }

    /** Sends a digest and schedules the next one; stops when there is nothing to report. */
    #tick(): void {
        const { context, settings } = this.#options;
        const isNeeded = this.observer.isBusy(settings.leaseMs) || this.leases.unexpired(this.#nowMs()).length > 0
            || this.#pendingDrains.size + this.#pendingProbes.length > 0;
        if (!isNeeded) {
            this.#timer = undefined;
            return;
        }
        // Jitter keeps the digests of many instances from reaching the coordinator at the same time.
        const delayMs = settings.digestIntervalMs * (0.9 + 0.2 * context.random());
        this.#timer = context.clock.after(delayMs, () => this.#tick());
        void this.#send();
    }

    async #send(): Promise<void> {
        const { context, settings } = this.#options;
        const coordinator = context.membership.coordinatorOf(serviceCoordinatorKey(this.#service));
        const sentMs = this.#nowMs();
        const digest = this.#createDigest(coordinator, sentMs);
        this.#recordSent(digest, sentMs);
        try {
            if (coordinator === undefined) {
                throw new Error("the service has no coordinator");
            }
            const reply = coordinator === context.membership.self
                ? this.#options.handleLocally(digest)
                : await context.peers.call(coordinator, digestMethod, digest, settings.callTimeoutMs);
            this.#handleReply(coordinator, reply, digest, sentMs);
        }
        catch {
            this.#broadcastDrains(digest.draining);
        }
    }

    #createDigest(coordinator: InstanceId | undefined, nowMs: number): Digest {
        const digest: Digest = {
            service: this.#service,
            zone: this.#options.context.membership.zone,
            sequence: ++this.#sequence,
            heardTerm: coordinator === undefined ? undefined : this.#lastTerms.get(coordinator),
            entries: this.observer.takeEntries(),
            inUse: [...this.leases.unexpired(nowMs)],
            draining: [...this.#pendingDrains],
            probes: this.#pendingProbes,
        };
        this.#pendingProbes = [];
        return digest;
    }

    #recordSent(digest: Digest, sentMs: number): void {
        this.#sentTimesMs.set(digest.sequence, sentMs);
        this.#sentTimesMs.delete(digest.sequence - maxSentTimes);
        this.#localInFlight = new Map();
        for (const { upstream, agesMs } of digest.entries) {
            this.#localInFlight.set(upstream, (this.#localInFlight.get(upstream) ?? 0) + agesMs.length);
        }
    }

    #handleReply(coordinator: InstanceId, reply: DigestReply, digest: Digest, sentMs: number): void {
        if (reply.kind === "not-home") {
            this.#broadcastDrains(digest.draining);
            return;
        }
        this.#lastTerms.set(coordinator, reply.decisions.term);
        digest.draining.forEach(upstream => this.#pendingDrains.delete(upstream));
        this.#fleetInFlight = new Map(reply.load.map(({ upstream, inFlight }) => [upstream, inFlight]));
        this.#applyDecisions(reply.decisions, sentMs);
        reply.probes.forEach(upstream => void this.#probe(upstream));
    }

    #applyDecisions(decisions: Decisions, sentMs: number | undefined): void {
        decisions.draining.forEach(upstream => this.markDraining(upstream));
        // Without a sending time the start of the lease is unknown; the reply to the next digest sets it.
        if (sentMs !== undefined) {
            this.leases.accept(decisions, sentMs);
        }
    }

    /**
     * Passes drain announcements on to every instance when the coordinator did not accept them. The next digest repeats
     * them to the coordinator.
     */
    #broadcastDrains(draining: readonly UpstreamId[]): void {
        const { membership, peers } = this.#options.context;
        for (const upstream of draining) {
            for (const instance of membership.liveInstances()) {
                if (instance.id !== membership.self) {
                    peers.notify(instance.id, drainMethod, { service: this.#service, upstream });
                }
            }
        }
    }

    async #probe(upstreamId: UpstreamId): Promise<void> {
        const { runProbe, upstreams } = this.#options;
        const upstream = upstreams().find(entry => entry.id === upstreamId);
        if (runProbe === undefined || upstream === undefined) {
            return;
        }
        const result = await runProbe(upstream);
        this.#pendingProbes.push({ upstream: upstreamId, isGood: classifyResult(result) === "succeeded" });
        this.startReporting();
    }

    #nowMs(): number {
        return this.#options.context.clock.monotonicMs();
    }
}
