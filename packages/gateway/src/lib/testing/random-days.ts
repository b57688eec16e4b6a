/** Random days of changes and faults for `playConfigDay`. */
import type { Random } from "@sniperoad/core";
import { seededRandom } from "@sniperoad/core/testing";

/** A fault of a {@link ConfigDay}. */
export interface ConfigFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    /** Share of the instances, or of the datagrams for `loss`. */
    readonly share: number;
    /** Whether it hits instances that read from the store before the others. */
    readonly isAimedAtReaders: boolean;
}

export type FaultKind =
    /** Instances get no answer from the store, but reach each other. */
    | "cut-from-store"
    /** The store turns instances away at once. */
    | "turned-away"
    /** Instances reach neither the store nor each other. */
    | "cut-from-all"
    /** Processes end and start again. */
    | "kill"
    /** Connections that were used become silent; new ones work. */
    | "silent-connections"
    /** Datagrams are lost. */
    | "loss"
    /** The store is down. */
    | "store-down"
    /** Watches hear nothing for a second, then the history is gone. */
    | "compaction"
    /** The store is down for a moment and is restored from a copy; some of its former answers arrive late. */
    | "restore"
    /** The same twice in a row. */
    | "restore-twice"
    /** The same right after a change, which the copy lacks. */
    | "restore-after-change";

const faultKinds: readonly FaultKind[] = [
    "cut-from-store",
    "turned-away",
    "cut-from-all",
    "kill",
    "silent-connections",
    "loss",
    "store-down",
    "compaction",
];

/** Kinds in which the store is restored from a copy. */
export const restoreKinds: readonly FaultKind[] = ["restore", "restore-twice", "restore-after-change"];

/**
 * A day: changes of the configuration, each with one of an upstream, and faults beside them. Times are from the end of the
 * warm-up.
 */
export interface ConfigDay {
    readonly seed: number;
    readonly instances: number;
    readonly zoneCount: number;
    readonly durationMs: number;
    readonly changeAtMs: readonly number[];
    readonly faults: readonly ConfigFault[];
    /** Bound of evacuations; with it, an evacuation begins, and an upstream leaves, beside the changes. */
    readonly zoneEvacuationMs?: number;
}

/** A random number in a range. */
export const between = (random: Random, from: number, to: number): number => from + random() * (to - from);

/**
 * Creates a day with one to four faults that overlap, and changes in series or single ones.
 *
 * @example
 * const late = await playConfigDay(randomConfigDay(12));
 */
export const randomConfigDay = (seed: number, kinds: readonly FaultKind[] = faultKinds): ConfigDay => {
    const random = seededRandom(seed * 7_919 + 1);
    const durationMs = 16_000;
    const gapMs = between(random, 300, 3_000);
    const changeAtMs: number[] = [];
    for (let atMs = between(random, 0, gapMs); atMs < durationMs - 2_500; atMs += gapMs * between(random, 0.6, 1.4)) {
        changeAtMs.push(Math.round(atMs));
    }
    const faults = Array.from({ length: 1 + Math.floor(random() * 4) }, (): ConfigFault => ({
        kind: kinds[Math.floor(random() * kinds.length)]!,
        atMs: Math.round(between(random, 200, durationMs - 6_000)),
        forMs: Math.round(between(random, 500, 6_000)),
        share: random() < 0.5 ? between(random, 0.03, 0.2) : between(random, 0.2, 0.7),
        isAimedAtReaders: random() < 0.5,
    }));
    return { seed, instances: 44, zoneCount: 4, durationMs, changeAtMs, faults };
};

/**
 * Creates a day of {@link randomConfigDay} on which the store is restored from copies beside the other faults.
 *
 * @example
 * const late = await playConfigDay(randomRestoreDay(12));
 */
export const randomRestoreDay = (seed: number, kinds: readonly FaultKind[] = restoreKinds): ConfigDay => {
    const day = randomConfigDay(seed);
    const random = seededRandom(seed * 104_729 + 3);
    const restore: ConfigFault = {
        kind: kinds[Math.floor(random() * kinds.length)]!,
        atMs: Math.round(between(random, 3_000, day.durationMs - 8_000)),
        forMs: Math.round(between(random, 100, 2_500)),
        share: 0,
        isAimedAtReaders: false,
    };
    const faults = [...day.faults.slice(0, Math.floor(random() * 3)), restore];
    return { ...day, instances: 24, zoneCount: 3, faults, zoneEvacuationMs: 5_000 };
};
