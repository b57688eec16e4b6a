/** Detects requests that crash the upstreams they are sent to. */
import type { Clock, InstanceId, UpstreamId } from "@sniperoad/core";
import type { Heartbeat, ReportedCrash } from "../fleet/heartbeat.js";

/** Distinct upstreams that must crash with a request in flight before the request is a suspect. */
const minCrashedUpstreams = 3;
/** How long a crash counts, and how long a suspect is refused after its last crash. */
const suspectMs = 60_000;
/** How long each crash is repeated in heartbeats, so that a lost heartbeat does not lose it. */
const repeatReportMs = 2_000;

interface Suspicion {
    readonly upstreams: Set<UpstreamId>;
    lastMs: number;
}

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
    readonly clock: Clock;
    /** Sends a heartbeat immediately. */
    readonly announce: () => void;
}

/**
 * Counts, over all instances, the distinct upstreams that crashed with each request in flight. A request that was in
 * flight by coincidence is rarely in flight at a second crash; a request that causes crashes always is.
 *
 * @example
 * tracker.recordCrash(fingerprint, upstream);
 * tracker.isSuspect(fingerprint);
 */
export class CrashTracker {
    /** How long a suspect is refused after its last crash. */
    readonly suspectMs = suspectMs;
    readonly #options: CrashTrackerOptions;
    readonly #suspicions = new Map<string, Suspicion>();
    readonly #lastSequences = new Map<InstanceId, number>();
    #localCrashes: (ReportedCrash & { readonly atMs: number; })[] = [];
    #sequence = 0;

    constructor(options: CrashTrackerOptions) {
        this.#options = options;
    }

    isSuspect(fingerprint: string): boolean {
        const suspicion = this.#suspicions.get(fingerprint);
        if (suspicion === undefined) {
            return false;
        }
        if (this.#options.clock.monotonicMs() - suspicion.lastMs > suspectMs) {
            this.#suspicions.delete(fingerprint);
            return false;
        }
        return suspicion.upstreams.size >= minCrashedUpstreams;
    }

    /** Records that an upstream crashed with a request of this instance in flight. */
    recordCrash(fingerprint: string, upstream: UpstreamId): void {
        this.#addCrash(fingerprint, upstream);
        this.#localCrashes.push({
            sequence: ++this.#sequence,
            fingerprint,
            upstream,
            atMs: this.#options.clock.monotonicMs(),
        });
        this.#options.announce();
    }

    /** Clears the suspicion against a request that received a response. */
    clear(fingerprint: string): void {
        this.#suspicions.delete(fingerprint);
    }

    report(): ReportedCrash[] {
        const sinceMs = this.#options.clock.monotonicMs() - repeatReportMs;
        this.#localCrashes = this.#localCrashes.filter(({ atMs }) => atMs >= sinceMs);
        return this.#localCrashes.map(({ sequence, fingerprint, upstream }) => ({ sequence, fingerprint, upstream }));
    }

    recordHeartbeat(heartbeat: Heartbeat): void {
        const lastSequence = this.#lastSequences.get(heartbeat.id) ?? 0;
        for (const crash of heartbeat.crashes) {
            if (crash.sequence > lastSequence) {
                this.#addCrash(crash.fingerprint, crash.upstream);
                this.#lastSequences.set(heartbeat.id, crash.sequence);
            }
        }
    }

    #addCrash(fingerprint: string, upstream: UpstreamId): void {
        const nowMs = this.#options.clock.monotonicMs();
        const suspicion = this.#suspicions.get(fingerprint) ?? { upstreams: new Set(), lastMs: nowMs };
        suspicion.upstreams.add(upstream);
        suspicion.lastMs = nowMs;
        this.#suspicions.set(fingerprint, suspicion);
        this.#deleteExpired(nowMs);
    }

    #deleteExpired(nowMs: number): void {
        for (const [fingerprint, { lastMs }] of this.#suspicions) {
            if (nowMs - lastMs <= suspectMs) {
                return;
            }
            this.#suspicions.delete(fingerprint);
        }
    }
}
