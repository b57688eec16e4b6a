/** Writes of the operator and the upstreams to a store that is restored from copies, and what may not be undone. */
import type { Clock, Random } from "@sniperoad/core";
import { reportsService, testConfig, testUpstream, zoneA } from "./fixtures.js";
import type { MemoryStore } from "./memory-store.js";
import type { TestInstance } from "./test-fleet.js";

/** Time after a restore in which each writer writes again what the copy lacks. */
const rewriteMs = { min: 200, max: 1_500 };
const retryMs = 100;

/** A version that the store has acknowledged. */
export interface AckedChange {
    readonly version: number;
    readonly ackedMs: number;
}

interface Write {
    readonly put: () => void;
    readonly ackedMs: number;
}

/** What an instance has held, which no restore may undo. */
interface Seen {
    readonly version: number;
    readonly startedMs: number;
    readonly hasLeft: boolean;
    readonly isEvacuated: boolean;
}

const seenAt = ({ config, upstreams, evacuations }: TestInstance, before: Seen | undefined): Seen => {
    const [first, second] = ["u1", "u2"].map(name => upstreams.all().find(listed => listed.id === name));
    return {
        version: config.version,
        startedMs: first?.startedMs ?? before?.startedMs ?? 0,
        hasLeft: before?.hasLeft === true || second?.state === "leaving",
        isEvacuated: evacuations?.isEvacuated(zoneA) ?? false,
    };
};

/**
 * Writes versions of the configuration and of the upstream `u1`, the leave of `u2`, and an evacuation.
 *
 * @example
 * const writes = new DayWrites(clock, store, random);
 * writes.change(4);
 * writes.restore(clock.monotonicMs() - 3_000);
 */
export class DayWrites {
    readonly #clock: Clock;
    readonly #store: MemoryStore;
    readonly #random: Random;
    /** Latest write of each object. */
    readonly #latest = new Map<string, Write>();
    readonly #seen = new WeakMap<TestInstance, Seen>();
    /** Acknowledged versions, without those that a restore has undone. */
    readonly changes: Record<"config" | "upstreams", AckedChange[]> = { config: [], upstreams: [] };
    /** Time of the latest acknowledgement of the evacuation, or undefined while there is none. */
    evacuatedMs: number | undefined;

    constructor(clock: Clock, store: MemoryStore, random: Random) {
        this.#clock = clock;
        this.#store = store;
        this.#random = random;
    }

    /** Writes a version, unless the store is down. */
    change(version: number): void {
        this.#write("config", () => {
            this.#store.put("config", "main", testConfig({ version }));
            this.changes.config.push({ version, ackedMs: this.#clock.monotonicMs() });
        });
        this.#write("u1", () => {
            this.#store.put("upstreams", "u1", testUpstream("u1", { startedMs: version }));
            this.changes.upstreams.push({ version, ackedMs: this.#clock.monotonicMs() });
        });
    }

    /** Lists `u2`, or lets it leave or removes it, after which it is not live again. */
    setSecondUpstream(state: "live" | "leaving" | "removed"): void {
        const value = state === "removed" ? undefined : testUpstream("u2", { state });
        this.#write("u2", () => this.#store.put("upstreams", "u2", value));
    }

    setEvacuation(isEvacuated: boolean): void {
        this.#write("evacuation", () => {
            this.#store.put("evacuations", zoneA, isEvacuated ? { zone: zoneA } : undefined);
            this.evacuatedMs = isEvacuated ? this.#clock.monotonicMs() : undefined;
        });
    }

    /** Restores the store from a copy; the writers notice it after a while. */
    restore(copyAtMs: number): void {
        this.#store.restore(copyAtMs);
        for (const [key, write] of this.#latest) {
            if (write.ackedMs > copyAtMs) {
                const { min, max } = rewriteMs;
                this.#clock.after(min + (max - min) * this.#random(), () => this.#rewrite(key, write));
            }
        }
        for (const changes of Object.values(this.changes)) {
            changes.splice(0, changes.length, ...changes.filter(({ ackedMs }) => ackedMs <= copyAtMs));
        }
    }

    /** Records what an instance holds. Returns what it has lost that it held before, if anything. */
    findLoss(instance: TestInstance, isDisturbed: boolean): string | undefined {
        const isSecondUsed = instance.upstreams.forService(reportsService).some(({ listed }) => listed.id === "u2");
        const before = this.#seen.get(instance);
        const seen = seenAt(instance, before);
        this.#seen.set(instance, seen);
        if (before === undefined) {
            return undefined;
        }
        const losses = {
            "an older configuration": seen.version < before.version,
            "a former process of u1": seen.startedMs < before.startedMs,
            "u2 is used after it left": before.hasLeft && isSecondUsed,
            // An instance that is cut off cannot hear that the evacuation was written again.
            "the evacuation ended": before.isEvacuated && !seen.isEvacuated && this.evacuatedMs !== undefined
                && !isDisturbed,
        };
        return Object.entries(losses).find(([, isLost]) => isLost)?.[0];
    }

    #write(key: string, put: () => void): void {
        // A store that is down takes no changes.
        if (!this.#store.isDown) {
            put();
            this.#latest.set(key, { put, ackedMs: this.#clock.monotonicMs() });
        }
    }

    #rewrite(key: string, write: Write): void {
        if (this.#latest.get(key) !== write) {
            return;
        }
        if (this.#store.isDown) {
            this.#clock.after(retryMs, () => this.#rewrite(key, write));
            return;
        }
        this.#write(key, write.put);
    }
}
