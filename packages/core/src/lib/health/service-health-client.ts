/** One instance's dealings with the home of one service. */
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

/** Runs one probe and says what came of it. */
export type RunProbe = (upstream: Upstream) => Promise<UpstreamResult>;

/** What a link needs from the health of its instance. */
export interface ServiceHealthClientOptions {
    readonly context: InstanceContext;
    readonly settings: HealthSettings;
    readonly upstreams: () => readonly Upstream[];
    readonly runProbe: RunProbe | undefined;
    /** Handles a digest without the network when this instance is the home. */
    readonly handleLocally: (digest: Digest) => DigestReply;
}

/** Key of a service's home. */
export const serviceCoordinatorKey = (service: ServiceId): string => `service/${service}`;

// Sending times are kept for this many digests, which is several leases.
const keptSendTimes = 32;

/** Sends digests while there is traffic and holds the decisions that come back. */
export class ServiceHealthClient {
    readonly observer: LocalObserver;
    readonly leases: LeasedEjections;
    readonly #service: ServiceId;
    readonly #surroundings: ServiceHealthClientOptions;
    readonly #sentMs = new Map<number, number>();
    readonly #heardTerms = new Map<InstanceId, string>();
    readonly #draining = new Map<UpstreamId, number>();
    #unsentDrains = new Set<UpstreamId>();
    #unsentProbes: ProbeResult[] = [];
    #load = new Map<UpstreamId, number>();
    #ownLoad = new Map<UpstreamId, number>();
    #sequence = 0;
    #timer: Timer | undefined;

    constructor(service: ServiceId, surroundings: ServiceHealthClientOptions) {
        this.#service = service;
        this.#surroundings = surroundings;
        const { clock } = surroundings.context;
        this.leases = new LeasedEjections(surroundings.settings.leaseMs);
        this.observer = new LocalObserver(surroundings.settings, () => clock.monotonicMs());
    }

    /** Starts sending digests if none are being sent; the first one goes at once and brings the ejections in force. */
    startReporting(): void {
        this.#timer ??= this.#surroundings.context.clock.after(0, () => this.#tick());
    }

    /** Requests in flight from the other instances, as of the last reply. */
    remoteInFlight(upstream: UpstreamId): number {
        return Math.max(0, (this.#load.get(upstream) ?? 0) - (this.#ownLoad.get(upstream) ?? 0));
    }

    isDraining(upstream: UpstreamId): boolean {
        return this.draining().has(upstream);
    }

    draining(): ReadonlySet<UpstreamId> {
        const nowMs = this.#nowMs();
        for (const [upstream, sinceMs] of this.#draining) {
            if (nowMs - sinceMs > this.#surroundings.settings.drainTtlMs) {
                this.#draining.delete(upstream);
            }
        }
        return new Set(this.#draining.keys());
    }

    /** This instance saw the upstream announce that it drains: it tells the home at once. */
    reportDrain(upstream: UpstreamId): void {
        if (this.#draining.has(upstream)) {
            return;
        }
        this.#draining.set(upstream, this.#nowMs());
        this.#unsentDrains.add(upstream);
        this.#timer?.cancel();
        this.#timer = undefined;
        this.startReporting();
    }

    /** Another instance or the home says that the upstream drains. */
    markDraining(upstream: UpstreamId): void {
        if (!this.#draining.has(upstream)) {
            this.#draining.set(upstream, this.#nowMs());
        }
    }

    /** The upstream has left the list; if it comes back it no longer drains. */
    clearDrain(upstream: UpstreamId): void {
        this.#draining.delete(upstream);
        this.#unsentDrains.delete(upstream);
    }

    handleNotice(notice: EjectionsNotice): void {
        const sentMs = notice.echoSequence === undefined ? undefined : this.#sentMs.get(notice.echoSequence);
        this.#accept(notice.decisions, sentMs);
    }

    stop(): void {
        this.#timer?.cancel();
        this.#timer = undefined;
    }

    #tick(): void {
        const { context, settings } = this.#surroundings;
        const isNeeded = this.observer.isBusy(settings.leaseMs) || this.leases.current(this.#nowMs()).length > 0
            || this.#unsentDrains.size + this.#unsentProbes.length > 0;
        if (!isNeeded) {
            this.#timer = undefined;
            return;
        }
        // Jitter keeps the digests of many instances from reaching the home together.
        const delayMs = settings.digestIntervalMs * (0.9 + 0.2 * context.random());
        this.#timer = context.clock.after(delayMs, () => this.#tick());
        void this.#send();
    }

    async #send(): Promise<void> {
        const { context, settings } = this.#surroundings;
        const home = context.membership.coordinatorOf(serviceCoordinatorKey(this.#service));
        const sentMs = this.#nowMs();
        const digest = this.#digest(home, sentMs);
        this.#remember(digest, sentMs);
        try {
            if (home === undefined) {
                throw new Error("no home");
            }
            const reply = home === context.membership.self
                ? this.#surroundings.handleLocally(digest)
                : await context.peers.call(home, digestMethod, digest, settings.callTimeoutMs);
            this.#replied(home, reply, digest, sentMs);
        }
        catch {
            this.#spreadDrains(digest.draining);
        }
    }

    #digest(home: InstanceId | undefined, nowMs: number): Digest {
        const digest: Digest = {
            service: this.#service,
            zone: this.#surroundings.context.membership.zone,
            sequence: ++this.#sequence,
            heardTerm: home === undefined ? undefined : this.#heardTerms.get(home),
            entries: this.observer.take(),
            inUse: [...this.leases.current(nowMs)],
            draining: [...this.#unsentDrains],
            probes: this.#unsentProbes,
        };
        this.#unsentProbes = [];
        return digest;
    }

    #remember(digest: Digest, sentMs: number): void {
        this.#sentMs.set(digest.sequence, sentMs);
        this.#sentMs.delete(digest.sequence - keptSendTimes);
        this.#ownLoad = new Map();
        for (const { upstream, agesMs } of digest.entries) {
            this.#ownLoad.set(upstream, (this.#ownLoad.get(upstream) ?? 0) + agesMs.length);
        }
    }

    #replied(home: InstanceId, reply: DigestReply, digest: Digest, sentMs: number): void {
        if (reply.kind === "not-home") {
            this.#spreadDrains(digest.draining);
            return;
        }
        this.#heardTerms.set(home, reply.decisions.term);
        digest.draining.forEach(upstream => this.#unsentDrains.delete(upstream));
        this.#load = new Map(reply.load.map(({ upstream, inFlight }) => [upstream, inFlight]));
        this.#accept(reply.decisions, sentMs);
        reply.probes.forEach(upstream => void this.#probe(upstream));
    }

    #accept(decisions: Decisions, sentMs: number | undefined): void {
        decisions.draining.forEach(upstream => this.markDraining(upstream));
        // Without a sending time the lease has no date; the reply to the next digest brings one.
        if (sentMs !== undefined) {
            this.leases.accept(decisions, sentMs);
        }
    }

    /** The home did not take the drain signs: tell every instance. The home hears of them again with the next digest. */
    #spreadDrains(draining: readonly UpstreamId[]): void {
        const { membership, peers } = this.#surroundings.context;
        for (const upstream of draining) {
            for (const instance of membership.liveInstances()) {
                if (instance.id !== membership.self) {
                    peers.notify(instance.id, drainMethod, { service: this.#service, upstream });
                }
            }
        }
    }

    async #probe(upstreamId: UpstreamId): Promise<void> {
        const { runProbe, upstreams } = this.#surroundings;
        const upstream = upstreams().find(entry => entry.id === upstreamId);
        if (runProbe === undefined || upstream === undefined) {
            return;
        }
        const result = await runProbe(upstream);
        this.#unsentProbes.push({ upstream: upstreamId, isGood: classifyResult(result) === "succeeded" });
        this.startReporting();
    }

    #nowMs(): number {
        return this.#surroundings.context.clock.monotonicMs();
    }
}
