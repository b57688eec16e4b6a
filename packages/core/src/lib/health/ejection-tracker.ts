/** The ejections of one service at its home: when they begin, how they end, and which may still be in use. */
import type { UpstreamId } from "../types.js";
import { type CapacityFloor, type EjectionTarget, isWithinFloor, selectWithinFloor } from "./capacity-floor.js";
import { type Ejection, targetKey } from "./messages.js";
import type { HealthSettings } from "./settings.js";

/** An ejection with its progress. */
export interface EjectionEntry extends EjectionTarget {
    readonly level: number;
    /** Undefined while ejected; then the index of the step of return. */
    step: number | undefined;
    sinceMs: number;
    goodProbes: number;
    lastIssuedMs: number;
}

interface PastEjection {
    readonly level: number;
    readonly endedMs: number;
}

/**
 * Keeps ejections within the floor, counting those that have ended but may still be in use at an instance that has not
 * heard so.
 */
export class EjectionTracker {
    readonly #settings: HealthSettings;
    readonly #entries = new Map<string, EjectionEntry>();
    /** Ended ejections and the time until which a lease of them may run. */
    readonly #fading = new Map<string, EjectionTarget & { readonly untilMs: number; }>();
    readonly #past = new Map<string, PastEjection>();

    constructor(settings: HealthSettings) {
        this.#settings = settings;
    }

    entries(): readonly EjectionEntry[] {
        return [...this.#entries.values()];
    }

    get(target: EjectionTarget): EjectionEntry | undefined {
        return this.#entries.get(targetKey(target));
    }

    /** Begins an ejection, or begins it again for an upstream on return; false if the floor forbids it. */
    eject(target: EjectionTarget, rule: CapacityFloor, nowMs: number): boolean {
        const key = targetKey(target);
        const existing = this.#entries.get(key);
        if (existing !== undefined && existing.step === undefined) {
            return false;
        }
        if (existing === undefined && !this.#isAllowed(target, rule, nowMs)) {
            return false;
        }
        const level = existing === undefined ? this.#nextLevel(key, nowMs) : existing.level + 1;
        this.#entries.set(key, this.#entry(target, level, undefined, nowMs));
        this.#fading.delete(key);
        return true;
    }

    /**
     * Takes over an ejection that an instance has in use from the former home. The wait starts again. The floor is
     * checked although the former home did so: the capacity may have changed since.
     */
    adopt(ejection: Ejection, rule: CapacityFloor, nowMs: number): boolean {
        if (this.#entries.has(targetKey(ejection)) || !this.#isAllowed(ejection, rule, nowMs)) {
            return false;
        }
        const step = this.#settings.returnWeights.indexOf(ejection.weight);
        const entry = this.#entry(ejection, ejection.level, step < 0 ? undefined : step, nowMs);
        this.#entries.set(targetKey(ejection), entry);
        return true;
    }

    /** Moves each ejection on that has waited long enough. Returns those that changed. */
    advance(nowMs: number, isProbed: boolean): readonly EjectionEntry[] {
        const {
            baseEjectionMs: firstWaitMs,
            maxEjectionMs: maxWaitMs,
            returnStepMs: stepMs,
            probesToReturn,
            returnWeights,
        } = this.#settings;
        const changed: EjectionEntry[] = [];
        for (const entry of this.entries()) {
            const waitMs = entry.step === undefined ? Math.min(firstWaitMs * 2 ** entry.level, maxWaitMs) : stepMs;
            // No probe exercises a single route, so an ejection from one route returns by time and real work alone.
            const isWaiting = entry.step === undefined && isProbed && entry.route === undefined
                && entry.goodProbes < probesToReturn;
            if (nowMs - entry.sinceMs < waitMs || isWaiting) {
                continue;
            }
            entry.step = (entry.step ?? -1) + 1;
            entry.sinceMs = nowMs;
            changed.push(entry);
            if (entry.step >= returnWeights.length) {
                this.end(entry, nowMs);
            }
        }
        return changed;
    }

    /** Ends an ejection at once: its upstream has left, or the floor requires it. */
    end(entry: EjectionEntry, nowMs: number): void {
        const key = targetKey(entry);
        this.#entries.delete(key);
        this.#past.set(key, { level: entry.level, endedMs: nowMs });
        const { leaseMs, clockDriftFactor: driftFactor } = this.#settings;
        const untilMs = entry.lastIssuedMs + leaseMs * driftFactor;
        this.#fading.set(key, { upstream: entry.upstream, route: entry.route, untilMs });
    }

    /** Ends what the floor no longer allows after capacity has shrunk. Returns what ended. */
    enforceFloor(rule: CapacityFloor, nowMs: number): readonly EjectionEntry[] {
        if (!this.#settings.isFloorEnforced) {
            return [];
        }
        const kept = selectWithinFloor(rule, this.entries());
        const excess = this.entries().filter(entry => !kept.includes(entry));
        excess.forEach(entry => this.end(entry, nowMs));
        return excess;
    }

    recordProbe(upstream: UpstreamId, isGood: boolean): void {
        const entry = this.get({ upstream });
        if (entry !== undefined) {
            entry.goodProbes = isGood ? entry.goodProbes + 1 : 0;
        }
    }

    /** The ejections as they go to an instance now; from now on their leases may run. */
    issue(nowMs: number): readonly Ejection[] {
        return this.entries().map(entry => {
            entry.lastIssuedMs = nowMs;
            const weight = entry.step === undefined ? 0 : this.#settings.returnWeights[entry.step] ?? 1;
            return { upstream: entry.upstream, route: entry.route, weight, level: entry.level };
        });
    }

    #entry(target: EjectionTarget, level: number, step: number | undefined, nowMs: number): EjectionEntry {
        return {
            upstream: target.upstream,
            route: target.route,
            level,
            step,
            sinceMs: nowMs,
            goodProbes: 0,
            lastIssuedMs: nowMs,
        };
    }

    #isAllowed(target: EjectionTarget, rule: CapacityFloor, nowMs: number): boolean {
        if (!this.#settings.isFloorEnforced) {
            return true;
        }
        for (const [key, { untilMs }] of this.#fading) {
            if (untilMs <= nowMs) {
                this.#fading.delete(key);
            }
        }
        const fading = this.#settings.countsUnexpiredEjections ? [...this.#fading.values()] : [];
        return isWithinFloor(rule, [...this.#entries.values(), ...fading], target);
    }

    #nextLevel(key: string, nowMs: number): number {
        const past = this.#past.get(key);
        return past === undefined || nowMs - past.endedMs > this.#settings.ejectionHistoryMs ? 0 : past.level + 1;
    }
}
