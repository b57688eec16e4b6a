/** Tracks requests that were in flight when upstreams crashed. */
import type { Clock } from "../ports.js";
import type { UpstreamId } from "../types.js";
import type { Fingerprint } from "./fingerprint.js";
import type { Suspicion } from "./messages.js";

/** Time from the last crash to the end of the quarantine or of the suspicion. */
export const quarantineMs = 600_000;
/** Number of crashes after which a request is refused. */
export const crashLimit = 2;
/** Maximum number of tracked requests; the oldest are evicted first. */
const maxEntries = 1_000;

interface Entry {
    /**
     * One entry for each crash: the upstream's id; for a later crash of the same upstream, the id followed by `#` and
     * the time, so that it counts separately.
     */
    readonly crashed: Set<UpstreamId>;
    lastCrashMs: number;
    /** Number of times an operator has lifted the quarantine. */
    lifts: number;
}

/** State of a request in the table. */
export type SuspicionState =
    | { readonly kind: "clear"; }
    | { readonly kind: "suspect"; }
    | { readonly kind: "quarantined"; readonly leftMs: number; };

/**
 * Counts crashes for each fingerprint. Crashes of the same upstream within a short time count once, because several
 * instances may observe the same crash.
 *
 * @example
 * table.add(fingerprint, "u1");
 * table.add(fingerprint, "u2");
 * table.state(fingerprint).kind; // "quarantined"
 */
export class SuspicionTable {
    readonly #clock: Clock;
    readonly #entries = new Map<Fingerprint, Entry>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    state(fingerprint: Fingerprint): SuspicionState {
        const entry = this.#getUnexpired(fingerprint);
        if (entry === undefined || entry.crashed.size === 0) {
            return { kind: "clear" };
        }
        if (entry.crashed.size < crashLimit) {
            return { kind: "suspect" };
        }
        return { kind: "quarantined", leftMs: entry.lastCrashMs + quarantineMs - this.#clock.monotonicMs() };
    }

    /** Counts a crash; false if it was counted before. */
    add(fingerprint: Fingerprint, upstream: UpstreamId): boolean {
        const entry = this.#getUnexpired(fingerprint) ?? { crashed: new Set(), lastCrashMs: 0, lifts: 0 };
        if (entry.crashed.has(upstream)) {
            return this.#addRepeatedCrash(fingerprint, entry, upstream);
        }
        entry.crashed.add(upstream);
        this.#putWithCurrentTime(fingerprint, entry);
        return true;
    }

    /**
     * Counts a further crash of the same upstream, for example after a restart. A report within `duplicateReportMs` of
     * the request's last crash, on any upstream, is taken as the same crash and does not count.
     */
    #addRepeatedCrash(fingerprint: Fingerprint, entry: Entry, upstream: UpstreamId): boolean {
        if (this.#clock.monotonicMs() - entry.lastCrashMs < duplicateReportMs) {
            return false;
        }
        entry.crashed.add(`${upstream}#${Math.floor(this.#clock.monotonicMs())}` as UpstreamId);
        this.#putWithCurrentTime(fingerprint, entry);
        return true;
    }

    /** Merges the suspicion of a peer. Crashes from before the last lift of the quarantine do not count. */
    merge({ fingerprint, crashed, ageMs, lifts }: Suspicion): void {
        const known = this.#getUnexpired(fingerprint);
        if (known !== undefined && known.lifts > lifts) {
            return;
        }
        const entry = known === undefined || known.lifts < lifts
            ? { crashed: new Set<UpstreamId>(), lastCrashMs: -Infinity, lifts }
            : known;
        crashed.forEach(upstream => entry.crashed.add(upstream));
        entry.lastCrashMs = Math.max(entry.lastCrashMs, this.#clock.monotonicMs() - ageMs);
        this.#putAsNewest(fingerprint, entry);
    }

    /** Clears the suspicion against a request, but not a quarantine. Returns whether there was a suspicion. */
    clear(fingerprint: Fingerprint): boolean {
        return this.state(fingerprint).kind === "suspect" && this.#entries.delete(fingerprint);
    }

    /** Lifts a quarantine for an operator; false if the request is not quarantined. */
    lift(fingerprint: Fingerprint): boolean {
        if (this.state(fingerprint).kind !== "quarantined") {
            return false;
        }
        const entry = this.#entries.get(fingerprint)!;
        entry.lifts++;
        entry.crashed.clear();
        return true;
    }

    get(fingerprint: Fingerprint): Suspicion | undefined {
        const entry = this.#getUnexpired(fingerprint);
        return entry === undefined ? undefined : this.#toSuspicion(fingerprint, entry);
    }

    all(): Suspicion[] {
        return [...this.#entries.keys()].flatMap(fingerprint => this.get(fingerprint) ?? []);
    }

    #toSuspicion(fingerprint: Fingerprint, entry: Entry): Suspicion {
        return {
            fingerprint,
            crashed: [...entry.crashed].slice(-crashLimit),
            ageMs: Math.max(0, this.#clock.monotonicMs() - entry.lastCrashMs),
            lifts: entry.lifts,
        };
    }

    #putWithCurrentTime(fingerprint: Fingerprint, entry: Entry): void {
        entry.lastCrashMs = this.#clock.monotonicMs();
        this.#putAsNewest(fingerprint, entry);
    }

    /** Keeps the entries of the map ordered from the oldest to the newest. */
    #putAsNewest(fingerprint: Fingerprint, entry: Entry): void {
        this.#entries.delete(fingerprint);
        this.#entries.set(fingerprint, entry);
        this.#evictOldest();
    }

    #evictOldest(): void {
        for (const oldest of this.#entries.keys()) {
            if (this.#entries.size <= maxEntries) {
                return;
            }
            this.#entries.delete(oldest);
        }
    }

    #getUnexpired(fingerprint: Fingerprint): Entry | undefined {
        const entry = this.#entries.get(fingerprint);
        if (entry !== undefined && this.#clock.monotonicMs() - entry.lastCrashMs >= quarantineMs) {
            this.#entries.delete(fingerprint);
            return undefined;
        }
        return entry;
    }
}

/** Reports of the same crash by several instances arrive within this time. */
const duplicateReportMs = 2_000;
