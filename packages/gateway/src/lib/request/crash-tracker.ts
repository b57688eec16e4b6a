/** Stops requests that crash the upstreams that run them. */
import type { Clock, InstanceId, UpstreamId } from "@sniperoad/core";
import type { Heartbeat, ReportedCrash } from "../fleet/heartbeat.js";

/** Crashes of different upstreams with the same request in flight after which it is a suspect. */
const crashesToSuspect = 3;
/** How long crashes are counted, and how long a suspect is refused after its last crash. */
const suspectMs = 60_000;
/** A crash is repeated in beats for this long, so that a lost beat loses none. */
const repeatReportMs = 2_000;

interface Suspicion {
    readonly upstreams: Set<UpstreamId>;
    lastMs: number;
}

/** What {@link CrashTracker} needs. */
export interface CrashTrackerOptions {
    readonly clock: Clock;
    /** Sends a beat at once. */
    readonly announce: () => void;
}

/**
 * Counts, over all instances, how many upstreams broke off each request. A request that was in flight only by chance
 * is rarely in flight at a second one; a request that crashes upstreams always is.
 *
 * @example
 * guard.note(fingerprint, upstream);
 * guard.isSuspect(fingerprint);
 */
export class CrashTracker {
    /** How long a suspect is refused. */
    readonly suspectMs = suspectMs;
    readonly #options: CrashTrackerOptions;
    readonly #suspicions = new Map<string, Suspicion>();
    readonly #seen = new Map<InstanceId, number>();
    #own: (ReportedCrash & { readonly atMs: number; })[] = [];
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
        return suspicion.upstreams.size >= crashesToSuspect;
    }

    /** Takes a request that an upstream broke off at this instance. */
    recordCrash(fingerprint: string, upstream: UpstreamId): void {
        this.#count(fingerprint, upstream);
        this.#own.push({
            sequence: ++this.#sequence,
            fingerprint,
            upstream,
            atMs: this.#options.clock.monotonicMs(),
        });
        this.#options.announce();
    }

    /** A request that ran to an answer does not crash upstreams. */
    clear(fingerprint: string): void {
        this.#suspicions.delete(fingerprint);
    }

    report(): ReportedCrash[] {
        const sinceMs = this.#options.clock.monotonicMs() - repeatReportMs;
        this.#own = this.#own.filter(({ atMs }) => atMs >= sinceMs);
        return this.#own.map(({ sequence, fingerprint, upstream }) => ({ sequence, fingerprint, upstream }));
    }

    recordHeartbeat(beat: Heartbeat): void {
        const seen = this.#seen.get(beat.id) ?? 0;
        for (const crash of beat.crashes) {
            if (crash.sequence > seen) {
                this.#count(crash.fingerprint, crash.upstream);
                this.#seen.set(beat.id, crash.sequence);
            }
        }
    }

    #count(fingerprint: string, upstream: UpstreamId): void {
        const nowMs = this.#options.clock.monotonicMs();
        const suspicion = this.#suspicions.get(fingerprint) ?? { upstreams: new Set(), lastMs: nowMs };
        suspicion.upstreams.add(upstream);
        suspicion.lastMs = nowMs;
        this.#suspicions.set(fingerprint, suspicion);
        this.#expire(nowMs);
    }

    #expire(nowMs: number): void {
        for (const [fingerprint, { lastMs }] of this.#suspicions) {
            if (nowMs - lastMs <= suspectMs) {
                return;
            }
            this.#suspicions.delete(fingerprint);
        }
    }
}
