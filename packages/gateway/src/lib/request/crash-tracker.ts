/** Detects requests that crash the upstreams they are sent to. */
import type { Clock, InstanceId, UpstreamId } from "@sniperoad/core";
import type { Heartbeat, ReportedCrash } from "../fleet/heartbeat.js";

/** Number of distinct upstreams that must crash while a request is in flight before the request is refused. */
const minCrashedUpstreams = 3;
/** Time after a request's last crash in which its crashes count and, if they are enough, the request is refused. */
const suspectMs = 60_000;
/** How long each crash is repeated in heartbeats, so that it is reported even if a heartbeat is lost. */
const repeatReportMs = 2_000;

interface Suspicion {
    /** Upstreams that crashed. */
    readonly upstreams: Set<UpstreamId>;
    lastCrashMs: number;
}

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
    readonly clock: Clock;
    /** Sends a heartbeat immediately. */
    readonly announce: () => void;
}

/**
 * Counts, over all instances, the distinct upstreams that crashed while a request was in flight at them. A request that
 * was in flight by coincidence is rarely in flight at a second crash; a request that causes crashes is so each time.
 * Requests are identified by their fingerprints, which do not depend on the request id.
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
        if (this.#options.clock.monotonicMs() - suspicion.lastCrashMs > suspectMs) {
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

    /** Crashes of the last 2 s at this instance, for its next heartbeat. */
    report(): ReportedCrash[] {
        const sinceMs = this.#options.clock.monotonicMs() - repeatReportMs;
        this.#localCrashes = this.#localCrashes.filter(({ atMs }) => atMs >= sinceMs);
        return this.#localCrashes.map(({ sequence, fingerprint, upstream }) => ({ sequence, fingerprint, upstream }));
    }

    /** Records the crashes in another instance's heartbeat; repetitions are ignored. */
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
        const suspicion = this.#suspicions.get(fingerprint) ?? { upstreams: new Set(), lastCrashMs: nowMs };
        suspicion.upstreams.add(upstream);
        suspicion.lastCrashMs = nowMs;
        this.#suspicions.set(fingerprint, suspicion);
        this.#deleteExpired(nowMs);
    }

    #deleteExpired(nowMs: number): void {
        for (const [fingerprint, { lastCrashMs }] of this.#suspicions) {
            if (nowMs - lastCrashMs <= suspectMs) {
                return;
            }
            this.#suspicions.delete(fingerprint);
        }
    }
}
