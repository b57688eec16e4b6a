/** Detects requests that crash the upstreams they are sent to. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import type { DistributedCrash } from "../fleet/digest.js";
import type { ReportedCrash } from "../fleet/heartbeat.js";

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
    /** Key of this instance, see `instanceKey`; its own crashes come back to it. */
    readonly ownKey: number;
    /** Upstreams with a key, see `nameKey`. */
    readonly upstreamsOf: (key: number) => readonly UpstreamId[];
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
    readonly #lastSequences = new Map<number, number>();
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

    /** Records crashes that aggregators distribute; repetitions and those of this instance are ignored. */
    recordDistributed(crashes: readonly DistributedCrash[]): void {
        const { ownKey, upstreamsOf } = this.#options;
        for (const { origin, sequence, fingerprint, upstreamKey } of crashes) {
            if (origin !== ownKey && sequence > (this.#lastSequences.get(origin) ?? 0)) {
                this.#lastSequences.set(origin, sequence);
                upstreamsOf(upstreamKey).forEach(upstream => this.#addCrash(fingerprint, upstream));
            }
        }
    }

    #addCrash(fingerprint: string, upstream: UpstreamId): void {
        const nowMs = this.#options.clock.monotonicMs();
        this.#deleteExpired(nowMs);
        const suspicion = this.#suspicions.get(fingerprint) ?? { upstreams: new Set(), lastCrashMs: nowMs };
        suspicion.upstreams.add(upstream);
        suspicion.lastCrashMs = nowMs;
        this.#suspicions.set(fingerprint, suspicion);
    }

    #deleteExpired(nowMs: number): void {
        for (const [fingerprint, { lastCrashMs }] of this.#suspicions) {
            if (nowMs - lastCrashMs > suspectMs) {
                this.#suspicions.delete(fingerprint);
            }
        }
    }
}
