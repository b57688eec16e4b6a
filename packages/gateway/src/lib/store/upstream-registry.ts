/** The upstreams that this instance knows, as of a revision of the store. */
import type { Clock, ServiceId, UpstreamId } from "@sniperoad/core";
import { isDeepStrictEqual } from "node:util";
import { groupBy } from "../group-by.js";
import type { ListedUpstream } from "../model.js";
import type { StoreChange, StoreSnapshot } from "./ports.js";

/** Changes of the list from one revision to another, as instances pass them on. */
export interface UpstreamDelta {
    readonly fromRevision: number;
    readonly toRevision: number;
    readonly changes: readonly StoreChange<ListedUpstream>[];
}

/** An upstream with what this instance adds. */
export interface KnownUpstream {
    readonly listed: ListedUpstream;
    /** Monotonic time until which it is slow after its start. */
    readonly warmupEndMs: number;
}

/** How a whole list is taken. */
export interface ReplaceOptions {
    readonly isAfterOutage: boolean;
    /**
     * Whether another instance gave the list. Its revision is then taken with an equal list too, since this instance
     * would otherwise fetch it again and again. A revision that the store gave with an equal list is not taken: the
     * other instances would all fetch it.
     */
    readonly isFromInstance: boolean;
}

/**
 * How long an entry that is missing right after an outage of the store is kept. Entries of live upstreams that lapsed
 * meanwhile are back within this time.
 */
export const expiredEntryGraceMs = 2_000;

/**
 * The list of upstreams with its revision.
 *
 * @example
 * const held = new HeldUpstreams(clock);
 * held.replace(snapshot, { isAfterOutage: false });
 * held.ofService(service);
 */
export class UpstreamRegistry {
    readonly #clock: Clock;
    readonly #onRestart: (upstream: UpstreamId) => void;
    readonly #byId = new Map<string, KnownUpstream>();
    readonly #lapsed = new Map<string, number>();
    #byService = new Map<ServiceId, KnownUpstream[]>();
    #revision = 0;

    /** `onRestart` is called for an upstream whose process is another one than before. */
    constructor(clock: Clock, onRestart: (upstream: UpstreamId) => void = () => {}) {
        this.#clock = clock;
        this.#onRestart = onRestart;
    }

    /** 0 before the first list. */
    get revision(): number {
        return this.#revision;
    }

    get size(): number {
        return this.#byId.size;
    }

    get(upstream: UpstreamId): KnownUpstream | undefined {
        return this.#byId.get(upstream);
    }

    /** Upstreams of a service that take new requests. */
    forService(service: ServiceId): readonly KnownUpstream[] {
        this.#dropLapsed();
        return this.#byService.get(service) ?? [];
    }

    /** What the store lists, without entries that lapsed in an outage. */
    all(): readonly ListedUpstream[] {
        return [...this.#byId].filter(([name]) => !this.#lapsed.has(name)).map(([, known]) => known.listed);
    }

    /** Takes a whole list if it is newer and differs; entries that lapsed in an outage are kept for {@link expiredEntryGraceMs}. */
    replace(snapshot: StoreSnapshot<ListedUpstream>, options: ReplaceOptions): boolean {
        if (snapshot.revision <= this.#revision) {
            return false;
        }
        if (this.#revision > 0 && this.#isSame(snapshot.items)) {
            this.#revision = options.isFromInstance ? snapshot.revision : this.#revision;
            return false;
        }
        const nowMs = this.#clock.monotonicMs();
        for (const [name, known] of [...this.#byId]) {
            if (snapshot.items.has(name)) {
                continue;
            }
            if (options.isAfterOutage && known.listed.state === "live") {
                this.#lapsed.set(name, nowMs + expiredEntryGraceMs);
            }
            else {
                this.#remove(name);
            }
        }
        snapshot.items.forEach((listed, name) => this.#put(name, listed));
        this.#revision = snapshot.revision;
        this.#index();
        return true;
    }

    /** Applies changes if they start at or before the revision held; false: fetch the whole list. */
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
                this.#put(name, value);
            }
        }
        this.#revision = delta.toRevision;
        this.#index();
        return true;
    }

    /** The revision of the store also rises with changes of other collections. */
    #isSame(items: ReadonlyMap<string, ListedUpstream>): boolean {
        return items.size === this.#byId.size
            && [...items].every(([name, listed]) => isDeepStrictEqual(this.#byId.get(name)?.listed, listed));
    }

    #put(name: string, listed: ListedUpstream): void {
        this.#lapsed.delete(name);
        const former = this.#byId.get(name);
        if (former !== undefined && former.listed.startedMs !== listed.startedMs) {
            this.#onRestart(listed.id);
        }
        this.#byId.set(name, { listed, warmupEndMs: this.#clock.monotonicMs() + listed.warmupLeftMs });
    }

    #remove(name: string): void {
        this.#byId.delete(name);
        this.#lapsed.delete(name);
    }

    #dropLapsed(): void {
        if (this.#lapsed.size === 0) {
            return;
        }
        const nowMs = this.#clock.monotonicMs();
        const over = [...this.#lapsed].filter(([, untilMs]) => untilMs <= nowMs);
        over.forEach(([name]) => this.#remove(name));
        if (over.length > 0) {
            this.#index();
        }
    }

    #index(): void {
        const usable = [...this.#byId.values()].filter(known => known.listed.state === "live");
        this.#byService = groupBy(usable, known => known.listed.service);
    }
}
