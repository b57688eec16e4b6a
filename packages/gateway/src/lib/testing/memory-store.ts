/** In-memory object store with the faults that the platform specifies. */
import type { Clock } from "@sniperoad/core";
import { HistoryGoneError, StoreUnavailableError } from "../errors.js";
import type { Evacuation, GatewayConfig, ListedUpstream } from "../model.js";
import type {
    CollectionName,
    Collections,
    InstanceRecord,
    StoreChange,
    StoreChanges,
    StorePort,
    StoreSnapshot,
} from "../store/ports.js";
import { epochOf, ordinalOf, revisionOf } from "../store/store-epoch.js";

interface StoreEvent {
    readonly atMs: number;
    readonly revision: number;
    readonly collection: CollectionName;
    readonly change: StoreChange<unknown>;
}

const firstRevision = 10;

/**
 * Keeps objects and a history of their changes in memory.
 *
 * @example
 * const store = new MemoryStore(clock);
 * store.put("upstreams", "u1", testUpstream("u1"));
 */
export class MemoryStore {
    readonly #clock: Clock;
    /** All changes that led to the present objects, also those that watches no longer get. */
    #lineage: StoreEvent[] = [];
    #revision = firstRevision;
    #oldestRevision = firstRevision;
    #epoch = 0;
    /** Number of calls of all instances, failed ones included. */
    callCount = 0;
    /** Whether each call fails. */
    isDown = false;
    /** Whether watches hear nothing, as before the store drops its history. */
    isMute = false;
    /** Time from the reading of the objects to the arrival of an answer, which may then be from a former epoch. */
    answerDelayMs: () => number = () => 0;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Writes an object, or removes it if the value is undefined. */
    put(collection: "config", name: string, value: GatewayConfig | undefined): void;
    put(collection: "upstreams", name: string, value: ListedUpstream | undefined): void;
    put(collection: "evacuations", name: string, value: Evacuation | undefined): void;
    put(collection: "instances", name: string, value: InstanceRecord | undefined): void;
    put(collection: CollectionName, name: string, value: unknown): void {
        const atMs = this.#clock.monotonicMs();
        this.#lineage.push({ atMs, revision: ++this.#revision, collection, change: { name, value } });
    }

    /** The objects of a collection. */
    objects<Name extends CollectionName>(collection: Name): ReadonlyMap<string, Collections[Name]> {
        const objects = new Map<string, Collections[Name]>();
        for (const event of this.#lineage.filter(event => event.collection === collection)) {
            const { name, value } = changeOf<Name>(event);
            objects.delete(name);
            if (value !== undefined) {
                objects.set(name, value);
            }
        }
        return objects;
    }

    /** Drops the history, so that watches of earlier revisions must list again. */
    compact(): void {
        this.#oldestRevision = ++this.#revision;
    }

    /** Restores the objects of a former time: later changes are lost, and their revisions are issued again. */
    restore(copyAtMs: number): void {
        this.#lineage = this.#lineage.filter(({ atMs }) => atMs <= copyAtMs);
        this.#revision = this.#lineage.at(-1)?.revision ?? firstRevision;
        this.#oldestRevision = Math.min(this.#oldestRevision, this.#revision);
        this.#epoch++;
    }

    get epoch(): number {
        return this.#epoch;
    }

    /** Revision of the newest change. */
    get revision(): number {
        return this.#revision;
    }

    /**
     * The port of one instance, which cannot reach the store while `mayReach` returns false. While `isSilent` returns true,
     * its calls get no answer and fail at their timeout.
     */
    port(mayReach: () => boolean = () => true, isSilent: () => boolean = () => false): StorePort {
        const call = async <T>(run: () => Promise<T> | T, waitMs = 0): Promise<T> => {
            this.callCount++;
            if (isSilent()) {
                await this.#pause(callTimeoutMs + waitMs);
                throw new StoreUnavailableError("the store did not answer; try again later");
            }
            await this.#pause(callDelayMs);
            if (this.isDown || !mayReach()) {
                throw new StoreUnavailableError("the store is unavailable; try again later");
            }
            const answer = await run();
            const delayMs = this.answerDelayMs();
            if (delayMs > 0) {
                await this.#pause(delayMs);
            }
            return answer;
        };
        return {
            list: <Name extends CollectionName>(collection: Name) =>
                call((): StoreSnapshot<Collections[Name]> => ({
                    revision: ordinalOf(this.#epoch, this.#revision),
                    items: this.objects(collection),
                })),
            watch: <Name extends CollectionName>(collection: Name, revision: number, waitMs: number) =>
                call(() => this.#watch(collection, revision, waitMs, { mayReach, isSilent }), waitMs),
            putInstance: record =>
                call(() => {
                    this.put("instances", record.name, record);
                    return this.#epoch;
                }),
            removeInstance: name => call(() => this.put("instances", name, undefined)),
        };
    }

    async #watch<Name extends CollectionName>(
        collection: Name,
        cursor: number,
        waitMs: number,
        { mayReach, isSilent }: { readonly mayReach: () => boolean; readonly isSilent: () => boolean; },
    ): Promise<StoreChanges<Collections[Name]>> {
        const endMs = this.#clock.monotonicMs() + waitMs;
        const revision = revisionOf(cursor);
        for (;;) {
            if (isSilent()) {
                await this.#pause(endMs + callTimeoutMs - this.#clock.monotonicMs());
                throw new StoreUnavailableError("the store did not answer; try again later");
            }
            if (this.isDown || !mayReach()) {
                throw new StoreUnavailableError("the watch was interrupted; list again");
            }
            if (revision < this.#oldestRevision || revision > this.#revision || epochOf(cursor) !== this.#epoch) {
                throw new HistoryGoneError("the store no longer has the history; list again");
            }
            const newEvents = this.isMute
                ? []
                : this.#lineage.filter(event => event.collection === collection && event.revision > revision);
            if (newEvents.length > 0 || this.#clock.monotonicMs() >= endMs) {
                return {
                    revision: ordinalOf(this.#epoch, this.isMute ? revision : this.#revision),
                    changedRevision: ordinalOf(this.#epoch, newEvents.at(-1)?.revision ?? this.#revision),
                    changes: newEvents.map(event => changeOf<Name>(event)),
                };
            }
            await this.#pause(callDelayMs);
        }
    }

    #pause(delayMs: number): Promise<void> {
        return new Promise(resolve => this.#clock.after(delayMs, () => resolve()));
    }
}

/** The change with the revision of an upstream's entry, as the store states it. */
const changeOf = <Name extends CollectionName>(
    { collection, revision, change: { name, value } }: StoreEvent,
): StoreChange<Collections[Name]> => ({
    name,
    value: (collection === "upstreams" && value !== undefined
        ? { ...value, entryRevision: revision }
        : value) as Collections[Name] | undefined,
});

/** Time after which a call fails that gets no answer, in addition to the time that a watch waits. */
const callTimeoutMs = 1_200;
/** Duration of a call, and interval at which a pending watch checks for changes. */
const callDelayMs = 4;
