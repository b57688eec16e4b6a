/** Reads one collection from the store: a list, then watches. */
import type { Clock, LogPort, Timer } from "@sniperoad/core";
import { errorMessage, HistoryGoneError } from "../errors.js";
import type { CollectionName, Collections, StoreChanges, StorePort, StoreSnapshot } from "./ports.js";

/** How long a watch waits. An answer confirms the revision, so silence is noticed soon after this time. */
export const watchWaitMs = 1_000;
/** Pause between watches, in which the changes of one event gather into one call. */
const gatherMs = 200;
/** First pause after a failure, doubled up to the longest one. */
const firstRetryMs = 150;
const maxRetryMs = 1_000;

/** What {@link CollectionReader} tells. */
export interface CollectionListener<T> {
    onSnapshot(snapshot: StoreSnapshot<T>): void;
    onChanges(changes: StoreChanges<T>): void;
}

/** What {@link CollectionReader} needs. */
export interface CollectionReaderOptions<Name extends CollectionName> {
    readonly collection: Name;
    readonly store: StorePort;
    readonly clock: Clock;
    readonly log: LogPort;
    readonly listener: CollectionListener<Collections[Name]>;
}

/**
 * A loop that keeps a collection current while it runs.
 *
 * @example
 * const reader = new FeedReader(options);
 * reader.start();
 * reader.readAgeMs(); // below about 1,100 while the store answers
 */
export class CollectionReader<Name extends CollectionName> {
    readonly #options: CollectionReaderOptions<Name>;
    #isRunning = false;
    /** Distinguishes the loop that runs from one that was stopped while its call is still open. */
    #generation = 0;
    #lastReadMs = 0;
    #failingSinceMs: number | undefined;
    #retryMs = firstRetryMs;
    #timer: Timer | undefined;
    /** Revision of the store up to which the collection was read; undefined: it must be listed. */
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
                const wasChange = await this.#step(generation);
                this.#noteSuccess();
                await this.#pause(wasChange ? gatherMs : 0);
            }
            catch (error) {
                if (generation !== this.#generation) {
                    return;
                }
                await this.#afterFailure(error);
            }
        }
    }

    /** One list or watch; whether it brought something new. */
    async #step(generation: number): Promise<boolean> {
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

    #noteSuccess(): void {
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

    async #afterFailure(error: unknown): Promise<void> {
        const { collection, log, clock } = this.#options;
        // After a failure the list is read anew: a watch cannot tell entries that lapsed in an outage from others.
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
