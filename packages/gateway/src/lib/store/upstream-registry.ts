/** The upstreams that this instance knows, as of a store revision. */
import type { Clock, ServiceId, UpstreamId } from "@sniperoad/core";
import { isDeepStrictEqual } from "node:util";
import { groupBy } from "../group-by.js";
import type { ListedUpstream } from "../model.js";
import { nameKey } from "../name-key.js";
import type { StoreChange, StoreSnapshot } from "./ports.js";
import { reconcileRestored, reconcileUnchanged } from "./restored-entries.js";
import type { FormerEntry } from "./restored-entries.js";
import { epochOf } from "./store-epoch.js";

/** Changes of the list from one revision to another, as instances forward them. */
export interface UpstreamDelta {
    readonly fromRevision: number;
    readonly toRevision: number;
    readonly changes: readonly StoreChange<ListedUpstream>[];
}

/** A listed upstream with the state that this instance keeps for it. */
export interface KnownUpstream {
    readonly listed: ListedUpstream;
    /** Monotonic time at which the warm-up of the upstream ends. */
    readonly warmupEndMs: number;
    /**
     * Factor of the probability of its selection, default 1. A cold upstream gets its usual part of the requests although
     * few instances send to it.
     */
    readonly selectionWeight?: number;
}

interface HeldUpstream extends KnownUpstream {
    /** Revision of the entry in which the process was last live; undefined: not known. */
    readonly liveRevision: number | undefined;
}

/** Options of {@link UpstreamRegistry.replace}. */
export interface ReplaceOptions {
    /** Whether the list follows an outage of the store, in which entries of live upstreams may have expired. */
    readonly isAfterOutage: boolean;
    /**
     * Whether the list comes from another instance. Its revision is then adopted even if the list is equal, since this
     * instance would otherwise fetch it again and again. A newer revision of an equal list from the store is not
     * adopted, since all other instances would then fetch the list.
     */
    readonly isFromPeer: boolean;
}

/**
 * How long an entry that is missing after an outage of the store is kept. Live upstreams whose entries expired during
 * the outage are listed again within this time.
 */
export const expiredEntryGraceMs = 2_000;

/** How long removed entries are remembered; copies from which the store is restored are some seconds old. */
const removedRetentionMs = 60_000;

/**
 * The list of upstreams with its revision.
 *
 * @example
 * const upstreams = new UpstreamRegistry(clock);
 * upstreams.replace(snapshot, { isAfterOutage: false, isFromPeer: false });
 * upstreams.forService(service);
 */
export class UpstreamRegistry {
    readonly #clock: Clock;
    readonly #onRestart: (upstream: UpstreamId) => void;
    readonly #byId = new Map<string, HeldUpstream>();
    /** Entries that were removed, by name, since a restored copy may contain them. */
    readonly #removed = new Map<string, FormerEntry & { readonly removedMs: number; }>();
    /** End of the grace period of each entry that expired in an outage, by name. */
    readonly #graceEndMs = new Map<string, number>();
    #byService = new Map<ServiceId, KnownUpstream[]>();
    #idsByKey = new Map<number, UpstreamId[]>();
    #revision = 0;

    /** `onRestart` is called for an upstream whose process has been replaced. */
    constructor(clock: Clock, onRestart: (upstream: UpstreamId) => void = () => {}) {
        this.#clock = clock;
        this.#onRestart = onRestart;
    }

    /** Store revision of the list; 0 before the first list. */
    get revision(): number {
        return this.#revision;
    }

    get size(): number {
        return this.#byId.size;
    }

    get(upstream: UpstreamId): KnownUpstream | undefined {
        return this.#byId.get(upstream);
    }

    /** Upstreams with a key, see `nameKey`; nearly always one. */
    idsOf(key: number): readonly UpstreamId[] {
        return this.#idsByKey.get(key) ?? [];
    }

    /** Upstreams of a service that accept new requests. */
    forService(service: ServiceId): readonly KnownUpstream[] {
        this.#removeExpired();
        return this.#byService.get(service) ?? [];
    }

    /** Upstreams of all services that accept new requests. */
    live(): readonly KnownUpstream[] {
        this.#removeExpired();
        return [...this.#byService.values()].flat();
    }

    /** All upstreams in the store, without entries that expired in an outage. */
    all(): readonly ListedUpstream[] {
        return [...this.#byId].filter(([name]) => !this.#graceEndMs.has(name)).map(([, known]) => known.listed);
    }

    /**
     * Replaces the list if the snapshot is newer and differs, and returns whether it did. Entries that expired in an
     * outage, or that a restored store lacks, are kept for {@link expiredEntryGraceMs}. The revision of a higher epoch is
     * adopted in any case, so that other instances learn of the epoch.
     */
    replace(snapshot: StoreSnapshot<ListedUpstream>, options: ReplaceOptions): boolean {
        if (snapshot.revision <= this.#revision) {
            return false;
        }
        const isRestored = this.#revision > 0 && epochOf(snapshot.revision) > epochOf(this.#revision);
        if (this.#revision > 0 && !isRestored && this.#isSame(snapshot.items)) {
            this.#revision = options.isFromPeer ? snapshot.revision : this.#revision;
            return false;
        }
        const nowMs = this.#clock.monotonicMs();
        for (const [name, known] of [...this.#byId]) {
            if (snapshot.items.has(name)) {
                continue;
            }
            if ((options.isAfterOutage || isRestored) && known.listed.state === "live") {
                this.#graceEndMs.set(name, nowMs + expiredEntryGraceMs);
            }
            else {
                this.#remove(name);
            }
        }
        snapshot.items.forEach((listed, name) => this.#putListed(name, listed, isRestored));
        this.#revision = snapshot.revision;
        this.#rebuildIndex();
        return true;
    }

    /** Applies changes. Returns false if changes before them are missing, so that the whole list must be fetched. */
    apply(delta: UpstreamDelta): boolean {
        if (delta.toRevision <= this.#revision) {
            return true;
        }
        if (delta.fromRevision > this.#revision) {
            return false;
        }
        for (const { name, value } of delta.changes) {
            if (value === undefined) {
                this.#remove(name);
            }
            else {
                this.#put(name, reconcileUnchanged(value, this.#byId.get(name)?.listed));
            }
        }
        this.#revision = delta.toRevision;
        this.#rebuildIndex();
        return true;
    }

    /** Whether the items are unchanged; the store revision also increases with changes of other collections. */
    #isSame(items: ReadonlyMap<string, ListedUpstream>): boolean {
        return items.size === this.#byId.size
            && [...items].every(([name, listed]) => isDeepStrictEqual(this.#byId.get(name)?.listed, listed));
    }

    /** Puts an entry of a list; the warm-up time counts from its first report, not from when the list is read again. */
    #putListed(name: string, listed: ListedUpstream, isRestored: boolean): void {
        const held = this.#byId.get(name)?.listed;
        const entry = isRestored
            ? reconcileRestored(listed, this.#formerEntry(name))
            : reconcileUnchanged(listed, held);
        if (isDeepStrictEqual(held, entry)) {
            this.#graceEndMs.delete(name);
        }
        else {
            this.#put(name, entry);
        }
    }

    #put(name: string, listed: ListedUpstream): void {
        this.#graceEndMs.delete(name);
        this.#removed.delete(name);
        const previous = this.#byId.get(name);
        const isSameProcess = previous?.listed.startedMs === listed.startedMs;
        if (previous !== undefined && !isSameProcess) {
            this.#onRestart(listed.id);
        }
        const isSameEntry = isSameProcess
            && listed.entryRevision !== undefined
            && previous.listed.entryRevision === listed.entryRevision;
        this.#byId.set(name, {
            listed,
            // A list contains the report of a former time again.
            warmupEndMs: isSameEntry ? previous.warmupEndMs : this.#clock.monotonicMs() + listed.warmupLeftMs,
            liveRevision: listed.state === "live"
                ? listed.entryRevision
                : isSameProcess
                ? previous.liveRevision
                : undefined,
        });
    }

    #remove(name: string): void {
        const nowMs = this.#clock.monotonicMs();
        const held = this.#byId.get(name);
        this.#byId.delete(name);
        this.#graceEndMs.delete(name);
        if (held !== undefined) {
            this.#removed.set(name, { ...held, isRemoved: true, removedMs: nowMs });
        }
        for (const [other, { removedMs }] of this.#removed) {
            if (nowMs - removedMs <= removedRetentionMs) {
                // Entries are in the order of their removal.
                break;
            }
            this.#removed.delete(other);
        }
    }

    #formerEntry(name: string): FormerEntry | undefined {
        const held = this.#byId.get(name);
        return held === undefined ? this.#removed.get(name) : { ...held, isRemoved: false };
    }

    /** Removes entries whose grace period has ended. */
    #removeExpired(): void {
        if (this.#graceEndMs.size === 0) {
            return;
        }
        const nowMs = this.#clock.monotonicMs();
        const overdue = [...this.#graceEndMs].filter(([, graceEndMs]) => graceEndMs <= nowMs);
        overdue.forEach(([name]) => this.#remove(name));
        if (overdue.length > 0) {
            this.#rebuildIndex();
        }
    }

    #rebuildIndex(): void {
        const usable = [...this.#byId.values()].filter(known => known.listed.state === "live");
        this.#byService = groupBy(usable, known => known.listed.service);
        this.#idsByKey = groupBy([...this.#byId.values()].map(({ listed }) => listed.id), nameKey);
    }
}
