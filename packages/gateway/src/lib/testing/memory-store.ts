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

interface StoreEvent {
    readonly revision: number;
    readonly collection: CollectionName;
    readonly change: StoreChange<unknown>;
}

/**
 * Keeps objects and a history of their changes in memory.
 *
 * @example
 * const store = new MemoryStore(clock);
 * store.put("upstreams", "u1", testUpstream("u1"));
 */
export class MemoryStore {
    readonly #clock: Clock;
    readonly #objects = new Map<CollectionName, Map<string, unknown>>();
    #events: StoreEvent[] = [];
    #revision = 10;
    #oldestRevision = 10;
    /** Number of calls of all instances, failed ones included. */
    callCount = 0;
    /** Whether each call fails. */
    isDown = false;
    /** Whether watches hear nothing, as before the store drops its history. */
    isMute = false;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Writes an object, or removes it if the value is undefined. */
    put(collection: "config", name: string, value: GatewayConfig | undefined): void;
    put(collection: "upstreams", name: string, value: ListedUpstream | undefined): void;
    put(collection: "evacuations", name: string, value: Evacuation | undefined): void;
    put(collection: "instances", name: string, value: InstanceRecord | undefined): void;
    put(collection: CollectionName, name: string, value: unknown): void {
        const objects = this.#objects.get(collection) ?? new Map<string, unknown>();
        this.#objects.set(collection, objects);
        if (value === undefined) {
            objects.delete(name);
        }
        else {
            objects.set(name, value);
        }
        this.#events.push({ revision: ++this.#revision, collection, change: { name, value } });
    }

    /** Drops the history, so that watches of earlier revisions must list again. */
    compact(): void {
        this.#events = [];
        this.#oldestRevision = ++this.#revision;
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
            return run();
        };
        return {
            list: <Name extends CollectionName>(collection: Name) =>
                call((): StoreSnapshot<Collections[Name]> => ({
                    revision: this.#revision,
                    items: new Map(this.#objects.get(collection)) as Map<string, Collections[Name]>,
                })),
            watch: <Name extends CollectionName>(collection: Name, revision: number, waitMs: number) =>
                call(() => this.#watch(collection, revision, waitMs, { mayReach, isSilent }), waitMs),
            putInstance: record => call(() => this.put("instances", record.name, record)),
            removeInstance: name => call(() => this.put("instances", name, undefined)),
        };
    }

    async #watch<Name extends CollectionName>(
        collection: Name,
        revision: number,
        waitMs: number,
        { mayReach, isSilent }: { readonly mayReach: () => boolean; readonly isSilent: () => boolean; },
    ): Promise<StoreChanges<Collections[Name]>> {
        const endMs = this.#clock.monotonicMs() + waitMs;
        for (;;) {
            if (isSilent()) {
                await this.#pause(endMs + callTimeoutMs - this.#clock.monotonicMs());
                throw new StoreUnavailableError("the store did not answer; try again later");
            }
            if (this.isDown || !mayReach()) {
                throw new StoreUnavailableError("the watch was interrupted; list again");
            }
            if (revision < this.#oldestRevision) {
                throw new HistoryGoneError("the store no longer has the history; list again");
            }
            const newEvents = this.isMute
                ? []
                : this.#events.filter(event => event.collection === collection && event.revision > revision);
            if (newEvents.length > 0 || this.#clock.monotonicMs() >= endMs) {
                return {
                    revision: this.isMute ? revision : this.#revision,
                    changedRevision: newEvents.at(-1)?.revision ?? this.#revision,
                    changes: newEvents.map(event => event.change) as StoreChange<Collections[Name]>[],
                };
            }
            await this.#pause(callDelayMs);
        }
    }

    #pause(delayMs: number): Promise<void> {
        return new Promise(resolve => this.#clock.after(delayMs, () => resolve()));
    }
}

/** Time after which a call fails that gets no answer, in addition to the time that a watch waits. */
const callTimeoutMs = 1_200;
/** Duration of a call, and interval at which a pending watch checks for changes. */
const callDelayMs = 4;
