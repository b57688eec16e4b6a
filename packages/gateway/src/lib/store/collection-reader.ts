/** Keeps a collection current by a list and subsequent watches. */
import type { Clock, LogPort, Timer } from "@sniperoad/core";
import { errorMessage, HistoryGoneError, StoreUnavailableError } from "../errors.js";
import type { ReaderState } from "../fleet/heartbeat.js";
import type { CollectionName, Collections, StoreChanges, StorePort, StoreSnapshot } from "./ports.js";
import { epochOf } from "./store-epoch.js";

/** Timeout of a watch, unless stated otherwise. Each response confirms the revision, so an outage is detected soon after this time. */
export const watchWaitMs = 700;
/** Time without an answer, beyond that of a watch, after which a reader is failing; a slow store takes half of it. */
const overdueMs = 350;
/** The same for a reader that has had no answer yet, so that another one starts soon if the store does not answer it. */
const firstOverdueMs = 150;
/** Pause after a watch with changes, so that one call returns all changes of an event. */
const pauseAfterChangesMs = 200;
/** Initial delay after a failure, doubled with each further one up to {@link maxRetryMs}. */
const firstRetryMs = 150;
/** Maximum delay after a failure; several instances retry, so one of them finds the store within a fraction of it. */
const maxRetryMs = 2_000;

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
    /** Timeout of a watch; {@link watchWaitMs} if undefined. */
    readonly watchWaitMs?: number | undefined;
    /** Records the store epoch of an answer; returns false if a higher one is known. */
    readonly recordEpoch: (epoch: number) => boolean;
    /** Called when the reader begins or ceases to fail, which others must know soon. */
    readonly onFailingChange: () => void;
}

/**
 * Reads a collection from the store in a loop.
 *
 * @example
 * const reader = new CollectionReader(options);
 * reader.start();
 * reader.state; // "working" after the first answer
 */
export class CollectionReader<Name extends CollectionName> {
    readonly #options: CollectionReaderOptions<Name>;
    #state: ReaderState = "idle";
    /** Distinguishes the current loop from one that was stopped during a call. */
    #generation = 0;
    #overdueTimer: Timer | undefined;
    #failingSinceMs: number | undefined;
    #retryMs = firstRetryMs;
    #timer: Timer | undefined;
    /** Store revision up to which the collection was read; undefined if it must be listed. */
    #cursor: number | undefined;

    constructor(options: CollectionReaderOptions<Name>) {
        this.#options = options;
    }

    get state(): ReaderState {
        return this.#state;
    }

    get isRunning(): boolean {
        return this.#state !== "idle";
    }

    start(): void {
        if (this.isRunning) {
            return;
        }
        this.#state = "starting";
        this.#failingSinceMs = undefined;
        this.#retryMs = firstRetryMs;
        this.#cursor = undefined;
        this.#options.log.event("store-read-start", { collection: this.#options.collection });
        void this.#run(++this.#generation);
    }

    stop(): void {
        if (!this.isRunning) {
            return;
        }
        this.#state = "idle";
        this.#generation++;
        this.#timer?.cancel();
        this.#overdueTimer?.cancel();
        this.#options.log.event("store-read-stop", { collection: this.#options.collection });
    }

    async #run(generation: number): Promise<void> {
        while (generation === this.#generation) {
            try {
                const hasChanges = await this.#readOnce(generation);
                if (generation !== this.#generation) {
                    return;
                }
                this.#overdueTimer?.cancel();
                this.#recordSuccess();
                await this.#pause(hasChanges ? pauseAfterChangesMs : 0);
            }
            catch (error) {
                if (generation !== this.#generation) {
                    return;
                }
                this.#overdueTimer?.cancel();
                await this.#handleFailure(error);
            }
        }
    }

    /** Makes one list or watch call. Returns whether a watch returned changes. */
    async #readOnce(generation: number): Promise<boolean> {
        const { collection, store, listener, watchWaitMs: waitMs = watchWaitMs } = this.#options;
        this.#expectAnswer(this.#cursor === undefined ? 0 : waitMs);
        const onProgress = (): void => {
            if (generation === this.#generation) {
                this.#expectAnswer(0);
            }
        };
        if (this.#cursor === undefined) {
            const snapshot = await store.list(collection, { onProgress });
            if (generation === this.#generation) {
                this.#expectCurrentEpoch(snapshot.revision);
                this.#cursor = snapshot.revision;
                listener.onSnapshot(snapshot);
            }
            return false;
        }
        const changes = await store.watch(collection, this.#cursor, waitMs, onProgress);
        if (generation === this.#generation) {
            this.#expectCurrentEpoch(changes.revision);
            this.#cursor = changes.revision;
            listener.onChanges(changes);
        }
        return changes.changes.length > 0;
    }

    /** @throws StoreUnavailableError if the answer is from before a restore of the store */
    #expectCurrentEpoch(revision: number): void {
        if (!this.#options.recordEpoch(epochOf(revision))) {
            throw new StoreUnavailableError("the store answered from a former epoch; try again");
        }
    }

    #recordSuccess(): void {
        if (this.#failingSinceMs !== undefined) {
            this.#options.log.event("store-regained", {
                collection: this.#options.collection,
                afterMs: Math.round(this.#options.clock.monotonicMs() - this.#failingSinceMs),
            });
        }
        this.#failingSinceMs = undefined;
        this.#retryMs = firstRetryMs;
        this.#setState("working");
    }

    /** Counts as failing if a call gets no (further) answer in time; the call itself has a longer timeout. */
    #expectAnswer(waitMs: number): void {
        this.#overdueTimer?.cancel();
        const graceMs = this.#state === "starting" ? firstOverdueMs : overdueMs;
        this.#overdueTimer = this.#options.clock.after(waitMs + graceMs, () => {
            this.#options.log.event("store-answer-overdue", { collection: this.#options.collection, waitMs });
            this.#setState("failing");
        });
    }

    #setState(state: ReaderState): void {
        const hasChanged = (state === "failing") !== (this.#state === "failing");
        this.#state = state;
        if (hasChanged) {
            this.#options.onFailingChange();
        }
    }

    async #handleFailure(error: unknown): Promise<void> {
        const { collection, log, clock } = this.#options;
        // Lists again after a failure: a watch does not tell entries that expired in an outage from removed ones.
        this.#cursor = undefined;
        if (error instanceof HistoryGoneError) {
            log.event("store-history-gone", { collection });
            return;
        }
        // A watch may be cut off, so one failure of a reader that worked is repeated before another one takes over.
        if (this.#failingSinceMs !== undefined || this.#state === "starting") {
            this.#setState("failing");
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
