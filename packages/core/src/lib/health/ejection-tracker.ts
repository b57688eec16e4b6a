/** Ejections of one service at its coordinator, including ended ones whose leases may still run. */
import type { UpstreamId } from "../types.js";
import { type CapacityFloor, type EjectionTarget, isWithinFloor, selectWithinFloor } from "./capacity-floor.js";
import { type Ejection, targetKey } from "./messages.js";
import type { HealthSettings } from "./settings.js";

/** An ejection and the state of its return. */
export interface EjectionEntry extends EjectionTarget {
    readonly level: number;
    /** Index of the current return step; undefined while ejected. */
    step: number | undefined;
    stepStartedMs: number;
    /** Successful probes since the last failed one. */
    consecutiveSuccesses: number;
    /** Time at which the ejection was last sent to an instance, from which its last lease may run. */
    lastIssuedMs: number;
}

/** The last ended ejection of a target, from which the level of the next one follows. */
interface PastEjection {
    readonly level: number;
    readonly endedMs: number;
}

/**
 * Keeps ejections within the capacity floor. Ended ejections count until their leases have expired, because an instance
 * that has not been notified of the end may still apply them.
 */
export class EjectionTracker {
    readonly #settings: HealthSettings;
    readonly #entries = new Map<string, EjectionEntry>();
    /** Ended ejections, each until the expiry of its last lease. */
    readonly #endedLeases = new Map<string, EjectionTarget & { readonly untilMs: number; }>();
    readonly #history = new Map<string, PastEjection>();

    constructor(settings: HealthSettings) {
        this.#settings = settings;
    }

    entries(): readonly EjectionEntry[] {
        return [...this.#entries.values()];
    }

    get(target: EjectionTarget): EjectionEntry | undefined {
        return this.#entries.get(targetKey(target));
    }

    /**
     * Starts an ejection, or restarts it for an upstream that is returning. Returns false if the upstream is already
     * ejected or the floor does not allow it.
     */
    eject(target: EjectionTarget, floor: CapacityFloor, nowMs: number): boolean {
        const key = targetKey(target);
        const existing = this.#entries.get(key);
        if (existing !== undefined && existing.step === undefined) {
            return false;
        }
        if (existing === undefined && !this.#isAllowed(target, floor, nowMs)) {
            return false;
        }
        const level = existing === undefined ? this.#nextLevel(key, nowMs) : existing.level + 1;
        this.#entries.set(key, this.#createEntry(target, level, undefined, nowMs));
        this.#endedLeases.delete(key);
        return true;
    }

    /**
     * Takes over an ejection of the former coordinator that an instance still applies. Its duration restarts. The floor
     * is checked again, because the capacity may have changed since the former coordinator checked it. Returns false if
     * the target is ejected already or the floor does not allow the ejection.
     */
    adopt(ejection: Ejection, floor: CapacityFloor, nowMs: number): boolean {
        if (this.#entries.has(targetKey(ejection)) || !this.#isAllowed(ejection, floor, nowMs)) {
            return false;
        }
        const step = this.#settings.returnWeights.indexOf(ejection.weight);
        const entry = this.#createEntry(ejection, ejection.level, step < 0 ? undefined : step, nowMs);
        this.#entries.set(targetKey(ejection), entry);
        return true;
    }

    /** Advances each ejection whose current step has elapsed, and returns those that changed. */
    advance(nowMs: number, hasProbes: boolean): readonly EjectionEntry[] {
        const {
            baseEjectionMs,
            maxEjectionMs,
            returnStepMs,
            probesToReturn,
            returnWeights,
        } = this.#settings;
        const changed: EjectionEntry[] = [];
        for (const entry of this.entries()) {
            const durationMs = entry.step === undefined
                ? Math.min(baseEjectionMs * 2 ** entry.level, maxEjectionMs)
                : returnStepMs;
            // Probes do not exercise a single route, so an ejection from one route ends by time and real requests
            // alone.
            const needsProbes = entry.step === undefined && hasProbes && entry.route === undefined
                && entry.consecutiveSuccesses < probesToReturn;
            if (nowMs - entry.stepStartedMs < durationMs || needsProbes) {
                continue;
            }
            entry.step = (entry.step ?? -1) + 1;
            entry.stepStartedMs = nowMs;
            changed.push(entry);
            if (entry.step >= returnWeights.length) {
                this.end(entry, nowMs);
            }
        }
        return changed;
    }

    /**
     * Ends an ejection, for example because its upstream has left or the floor requires it. It counts towards the floor
     * until its last lease has expired.
     */
    end(entry: EjectionEntry, nowMs: number): void {
        const key = targetKey(entry);
        this.#entries.delete(key);
        this.#history.set(key, { level: entry.level, endedMs: nowMs });
        const { leaseMs, clockDriftFactor } = this.#settings;
        const untilMs = entry.lastIssuedMs + leaseMs * clockDriftFactor;
        this.#endedLeases.set(key, { upstream: entry.upstream, route: entry.route, untilMs });
    }

    /** Ends the ejections that the floor no longer allows after a loss of capacity, and returns them. */
    enforceFloor(floor: CapacityFloor, nowMs: number): readonly EjectionEntry[] {
        if (!this.#settings.isFloorEnforced) {
            return [];
        }
        const kept = selectWithinFloor(floor, this.entries());
        const excess = this.entries().filter(entry => !kept.includes(entry));
        excess.forEach(entry => this.end(entry, nowMs));
        return excess;
    }

    recordProbe(upstream: UpstreamId, isGood: boolean): void {
        const entry = this.get({ upstream });
        if (entry !== undefined) {
            entry.consecutiveSuccesses = isGood ? entry.consecutiveSuccesses + 1 : 0;
        }
    }

    /** Returns the ejections to send to an instance; their leases may run from now on. */
    issue(nowMs: number): readonly Ejection[] {
        return this.entries().map(entry => {
            entry.lastIssuedMs = nowMs;
            const weight = entry.step === undefined ? 0 : this.#settings.returnWeights[entry.step] ?? 1;
            return { upstream: entry.upstream, route: entry.route, weight, level: entry.level };
        });
    }

    #createEntry(target: EjectionTarget, level: number, step: number | undefined, nowMs: number): EjectionEntry {
        return {
            upstream: target.upstream,
            route: target.route,
            level,
            step,
            stepStartedMs: nowMs,
            consecutiveSuccesses: 0,
            lastIssuedMs: nowMs,
        };
    }

    #isAllowed(target: EjectionTarget, floor: CapacityFloor, nowMs: number): boolean {
        if (!this.#settings.isFloorEnforced) {
            return true;
        }
        for (const [key, { untilMs }] of this.#endedLeases) {
            if (untilMs <= nowMs) {
                this.#endedLeases.delete(key);
            }
        }
        const ended = this.#settings.countsUnexpiredEjections ? [...this.#endedLeases.values()] : [];
        return isWithinFloor(floor, [...this.#entries.values(), ...ended], target);
    }

    #nextLevel(key: string, nowMs: number): number {
        const past = this.#history.get(key);
        return past === undefined || nowMs - past.endedMs > this.#settings.ejectionHistoryMs ? 0 : past.level + 1;
    }
}
