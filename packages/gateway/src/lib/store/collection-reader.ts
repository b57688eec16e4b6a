/** Keeps a collection current by a list and subsequent watches. */
import type { Clock, LogPort, Timer } from "@sniperoad/core";
import { errorMessage, HistoryGoneError } from "../errors.js";
import type { CollectionName, Collections, StoreChanges, StorePort, StoreSnapshot } from "./ports.js";

/** Timeout of a watch. Each response confirms the revision, so an outage is detected soon after this time. */
export const watchWaitMs = 1_000;
/** Pause after a watch with changes, so that one call returns all changes of an event. */
const pauseAfterChangesMs = 200;
/** Initial delay after a failure, doubled with each further one up to {@link maxRetryMs}. */
const firstRetryMs = 150;
/** Maximum delay after a failure. */
const maxRetryMs = 1_000;

/** Receives what a {@link CollectionReader} reads. */
export interface CollectionListener<T> {
    onSnapshot(snapshot: StoreSnapshot<T>): void;
    onChanges(changes: StoreChanges<T>): void;
}

/** Options of {@link CollectionReader}. */
export interface CollectionReaderOptions<Name extends CollectionName> {
    readonly collection: Name;
    readonly store: StorePort;
    readonly clock: Clock;
    readonly log: LogPort;
    readonly listener: CollectionListener<Collections[Name]>;
}

/**
 * Reads a collection from the store in a loop.
 *
 * @example
 * const reader = new CollectionReader(options);
 * reader.start();
 * reader.readAgeMs(); // up to about 1,200 while the store responds promptly
 */
export class CollectionReader<Name extends CollectionName> {
    readonly #options: CollectionReaderOptions<Name>;
    #isRunning = false;
    /** Distinguishes the current loop from one that was stopped during a call. */
    #generation = 0;
    #lastReadMs = 0;
    #failingSinceMs: number | undefined;
    #retryMs = firstRetryMs;
    #timer: Timer | undefined;
    /** Store revision up to which the collection was read; undefined if it must be listed. */
    #cursor: number | undefined;

    constructor(options: CollectionReaderOptions<Name>) {
        this.#options = options;
    }

    get isRunning(): boolean {
        return this.#isRunning;
    }

    /** Time since the last successful read, or since the start of the loop. */
    readAgeMs(): number {
        return this.#options.clock.monotonicMs() - this.#lastReadMs;
    }

    start(): void {
        if (this.#isRunning) {
            return;
        }
        this.#isRunning = true;
        this.#lastReadMs = this.#options.clock.monotonicMs();
        this.#failingSinceMs = undefined;
        this.#retryMs = firstRetryMs;
        this.#cursor = undefined;
        this.#options.log.event("store-read-start", { collection: this.#options.collection });
        void this.#run(++this.#generation);
    }

    stop(): void {
        if (!this.#isRunning) {
            return;
        }
        this.#isRunning = false;
        this.#generation++;
        this.#timer?.cancel();
        this.#options.log.event("store-read-stop", { collection: this.#options.collection });
    }

    async #run(generation: number): Promise<void> {
        while (generation === this.#generation) {
            try {
                const hasChanges = await this.#readOnce(generation);
                this.#recordSuccess();
                await this.#pause(hasChanges ? pauseAfterChangesMs : 0);
            }
            catch (error) {
                if (generation !== this.#generation) {
                    return;
                }
                await this.#handleFailure(error);
            }
        }
    }

    /** Makes one list or watch call. Returns whether a watch returned changes. */
    async #readOnce(generation: number): Promise<boolean> {
        const { collection, store, listener } = this.#options;
        if (this.#cursor === undefined) {
            const snapshot = await store.list(collection);
            if (generation === this.#generation) {
                this.#cursor = snapshot.revision;
                listener.onSnapshot(snapshot);
            }
            return false;
        }
        const changes = await store.watch(collection, this.#cursor, watchWaitMs);
        if (generation === this.#generation) {
            this.#cursor = changes.revision;
            listener.onChanges(changes);
        }
        return changes.changes.length > 0;
    }

    #recordSuccess(): void {
        if (this.#failingSinceMs !== undefined) {
            this.#options.log.event("store-regained", {
                collection: this.#options.collection,
                afterMs: Math.round(this.#options.clock.monotonicMs() - this.#failingSinceMs),
            });
        }
        this.#lastReadMs = this.#options.clock.monotonicMs();
        this.#failingSinceMs = undefined;
        this.#retryMs = firstRetryMs;
    }

    async #handleFailure(error: unknown): Promise<void> {
        const { collection, log, clock } = this.#options;
        // Lists again after a failure: a watch does not tell entries that expired in an outage from removed ones.
        this.#cursor = undefined;
        if (error instanceof HistoryGoneError) {
            log.event("store-history-gone", { collection });
            return;
        }
        if (this.#failingSinceMs === undefined) {
            this.#failingSinceMs = clock.monotonicMs();
            log.event("store-lost", { collection, reason: errorMessage(error) });
        }
        await this.#pause(this.#retryMs);
        this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
    }

    #pause(delayMs: number): Promise<void> {
        if (delayMs === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#timer = this.#options.clock.after(delayMs, resolve);
        });
    }
}
