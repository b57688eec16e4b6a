/** The zones whose upstreams get no requests, as of a store revision. */
import type { Clock, LogPort, Timer, ZoneId } from "@sniperoad/core";
import type { Evacuation } from "../model.js";
import type { StoreChange, StoreSnapshot } from "./ports.js";
import { epochOf } from "./store-epoch.js";

/** What other components may ask about evacuations; the load that it addresses is that of a zone which is emptied. */
export interface ZoneEvacuations {
    /** Whether upstreams of the zone must not receive requests. */
    isEvacuated(zone: ZoneId): boolean;
    /** Monotonic time at which this instance saw the last evacuation of the zone end; undefined: it saw none end. */
    endedMs(zone: ZoneId): number | undefined;
}

/** Evacuations of a deployment that has none. */
export const noEvacuations: ZoneEvacuations = { isEvacuated: () => false, endedMs: () => undefined };

/** Where a state comes from. */
export interface EvacuationSource {
    readonly source: "store" | "peer";
    /** Time since the store last confirmed the held state to any reader; undefined: never. */
    readonly confirmedAgeMs: () => number | undefined;
    /** Time since the first news of a revision above the held one; 0 if there was none. */
    readonly behindMs: number;
}

/**
 * Time for which an evacuation is kept that a restored store lacks, as a multiple of the bound. The operator needs the store
 * to write it again, so the time begins anew while the store is out of reach; it includes what passes until that is noticed.
 */
const unconfirmedBounds = 2;
/** Interval at which the reach of the store is checked meanwhile. */
const reviewUnconfirmedMs = 500;
/** Age of the confirmation above which the store is out of reach, as a share of the bound; watches wait for 0.4 of it. */
const maxConfirmedAgeShare = 0.7;

/** Options of {@link EvacuationRegistry}. */
export interface EvacuationRegistryOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    /** Time within which an evacuation must be in force. */
    readonly boundMs: number;
}

/**
 * The evacuated zones with the revision of the list.
 *
 * @example
 * const evacuations = new EvacuationRegistry({ clock, log, boundMs: 5_000 });
 * evacuations.replace(snapshot, { source: "store", behindMs: 0 });
 * evacuations.isEvacuated(upstream.zone);
 */
export class EvacuationRegistry implements ZoneEvacuations {
    readonly #options: EvacuationRegistryOptions;
    #zones: ReadonlySet<ZoneId> = new Set();
    readonly #endedMs = new Map<ZoneId, number>();
    /** Zones that a restored store lacks; they stay evacuated for a while, in which the operator names them again. */
    readonly #unconfirmed = new Map<ZoneId, Timer>();
    #revision = 0;

    constructor(options: EvacuationRegistryOptions) {
        this.#options = options;
    }

    /** Store revision of the list; 0 before the first list. */
    get revision(): number {
        return this.#revision;
    }

    /** Number of evacuated zones. */
    get size(): number {
        return this.#zones.size;
    }

    get boundMs(): number {
        return this.#options.boundMs;
    }

    isEvacuated(zone: ZoneId): boolean {
        return this.#zones.has(zone);
    }

    endedMs(zone: ZoneId): number | undefined {
        return this.#endedMs.get(zone);
    }

    /** All evacuations in the store, without those that a restored store lacks. */
    all(): readonly Evacuation[] {
        return [...this.#zones].filter(zone => !this.#unconfirmed.has(zone)).sort().map(zone => ({ zone }));
    }

    /**
     * Replaces the list if the snapshot is newer, and returns whether it did. The revision of an equal list from the store
     * is not adopted, since all other instances would then fetch the list, unless its epoch is higher.
     */
    replace({ revision, items }: StoreSnapshot<Evacuation>, origin: EvacuationSource): boolean {
        if (revision <= this.#revision) {
            return false;
        }
        const zones = new Set([...items.values()].map(({ zone }) => zone));
        const { boundMs } = this.#options;
        const isRestored = this.#revision > 0 && epochOf(revision) > epochOf(this.#revision);
        const isSame = zones.size === this.#zones.size && [...zones].every(zone => this.#zones.has(zone));
        if (isSame && this.#revision > 0 && !isRestored && origin.source === "store") {
            return false;
        }
        zones.forEach(zone => this.#confirm(zone));
        if (isRestored) {
            const missing = [...this.#zones].filter(zone => !zones.has(zone));
            missing.forEach(zone => this.#retain(zone, origin, boundMs * unconfirmedBounds));
        }
        this.#set(new Set([...zones, ...this.#unconfirmed.keys()]), revision, origin);
        return true;
    }

    /** Applies changes that follow the held list, and returns whether there were any. */
    apply(changes: readonly StoreChange<Evacuation>[], revision: number, origin: EvacuationSource): boolean {
        if (changes.length === 0 || revision <= this.#revision) {
            return false;
        }
        const zones = new Set(this.#zones);
        for (const { name, value } of changes) {
            this.#confirm(name as ZoneId);
            if (value === undefined) {
                zones.delete(name as ZoneId);
            }
            else {
                zones.add(value.zone);
            }
        }
        this.#set(zones, revision, origin);
        return true;
    }

    /** Keeps a zone evacuated for a time, unless its object is written or removed before. */
    #retain(zone: ZoneId, origin: EvacuationSource, forMs: number): void {
        const { clock, boundMs } = this.#options;
        this.#confirm(zone);
        if (forMs <= 0) {
            this.#set(new Set([...this.#zones].filter(other => other !== zone)), this.#revision, origin);
            return;
        }
        const timer = clock.after(reviewUnconfirmedMs, () => {
            const isInReach = (origin.confirmedAgeMs() ?? Infinity) <= boundMs * maxConfirmedAgeShare;
            this.#retain(zone, origin, isInReach ? forMs - reviewUnconfirmedMs : boundMs * unconfirmedBounds);
        });
        this.#unconfirmed.set(zone, timer);
    }

    /** Records that the store names a zone again, or that its removal is known. */
    #confirm(zone: ZoneId): void {
        this.#unconfirmed.get(zone)?.cancel();
        this.#unconfirmed.delete(zone);
    }

    #set(zones: ReadonlySet<ZoneId>, revision: number, { source, behindMs }: EvacuationSource): void {
        const { clock, log } = this.#options;
        const previous = this.#zones;
        this.#zones = zones;
        this.#revision = revision;
        const fields = { revision, source, behindMs: Math.round(behindMs) };
        for (const zone of [...zones].filter(zone => !previous.has(zone))) {
            log.event("evacuation-begin", { zone, ...fields });
        }
        for (const zone of [...previous].filter(zone => !zones.has(zone))) {
            this.#endedMs.set(zone, clock.monotonicMs());
            log.event("evacuation-end", { zone, ...fields });
        }
    }
}
