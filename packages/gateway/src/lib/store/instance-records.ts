/** Records in the store by which instances discover each other if no seed responds. */
import { instanceName } from "@sniperoad/core";
import type { Clock, LogPort, Random, Timer } from "@sniperoad/core";
import { errorMessage } from "../errors.js";
import type { GatewayInstance } from "../model.js";
import type { StorePort } from "./ports.js";

/** Interval between reads of the records. Parts of a fleet that started separately discover each other within it. */
const recordReadIntervalMs = 8_000;
/** Interval between reads while no other instance is live, and delay after a failed call. */
const isolatedReadIntervalMs = 1_000;

/** Time within which records that a restore of the store may have lost are written again, spread over the instances. */
const rewriteSpreadMs = 3_000;

/** Options of {@link InstanceRecords}. */
export interface InstanceRecordsOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly log: LogPort;
    readonly random: Random;
    readonly store: StorePort;
    /** Highest known epoch of the store. */
    readonly epoch: () => number;
    /** Whether this instance reads from the store. Only readers register, so a fleet has few records. */
    readonly isReader: () => boolean;
    /** Whether no other instance is live. */
    readonly isIsolated: () => boolean;
    readonly isLive: (peerAddress: string) => boolean;
    /** Attempts to reach an instance. */
    readonly contact: (peerAddress: string) => void;
}

/**
 * Registers this instance once it is a reader, and again after a restore of the store, contacts the instances of other records, and removes the records of
 * failed instances.
 *
 * @example
 * records.review();
 */
export class InstanceRecords {
    readonly #options: InstanceRecordsOptions;
    readonly #name: string;
    /** Epoch of the store in which the record of this instance was written; undefined if it is not registered. */
    #registeredEpoch: number | undefined;
    /** Monotonic time at which the record is written again. */
    #rewriteAtMs: number | undefined;
    /** Whether a call is in progress or its failure was less than {@link isolatedReadIntervalMs} ago. */
    #isBusy = false;
    #nextReadMs: number;
    /** Names of the records whose instances were not live at the previous read. */
    #unreachable = new Set<string>();
    #timer: Timer | undefined;

    constructor(options: InstanceRecordsOptions) {
        this.#options = options;
        this.#name = instanceName(options.self.id);
        this.#nextReadMs = options.clock.monotonicMs() + isolatedReadIntervalMs;
    }

    /** Registers this instance or reads the records if due; call it periodically. */
    review(): void {
        const { clock, isReader, isIsolated } = this.#options;
        if (this.#isBusy) {
            return;
        }
        if (this.#registeredEpoch === undefined ? isReader() : this.#isRewriteDue(this.#registeredEpoch)) {
            this.#runInBackground(() => this.#register());
        }
        else if ((isReader() || isIsolated()) && clock.monotonicMs() >= this.#nextReadMs) {
            this.#nextReadMs = clock.monotonicMs() + (isIsolated() ? isolatedReadIntervalMs : recordReadIntervalMs);
            this.#runInBackground(() => this.#readRecords());
        }
    }

    /** Removes the record of this instance. */
    async leave(): Promise<void> {
        this.#timer?.cancel();
        if (this.#registeredEpoch !== undefined) {
            this.#registeredEpoch = undefined;
            await this.#options.store.removeInstance(this.#name);
        }
    }

    #isRewriteDue(registeredEpoch: number): boolean {
        const { clock, random, epoch } = this.#options;
        if (registeredEpoch >= epoch()) {
            return false;
        }
        this.#rewriteAtMs ??= clock.monotonicMs() + random() * rewriteSpreadMs;
        return clock.monotonicMs() >= this.#rewriteAtMs;
    }

    #runInBackground(task: () => Promise<void>): void {
        const { log, clock } = this.#options;
        this.#isBusy = true;
        task().then(
            () => this.#isBusy = false,
            (error: unknown) => {
                log.event("instance-records-failed", { reason: errorMessage(error) });
                this.#timer = clock.after(isolatedReadIntervalMs, () => this.#isBusy = false);
            },
        );
    }

    async #register(): Promise<void> {
        const { store, self } = this.#options;
        this.#rewriteAtMs = undefined;
        this.#registeredEpoch = await store.putInstance({ name: this.#name, peerAddress: self.peerAddress });
    }

    async #readRecords(): Promise<void> {
        const { store, isLive, contact, isIsolated, isReader } = this.#options;
        const { items } = await store.list("instances", { mayBeStale: true });
        const unreachable = [...items.values()].filter(({ name, peerAddress }) =>
            name !== this.#name && !isLive(peerAddress)
        );
        unreachable.forEach(({ peerAddress }) => contact(peerAddress));
        // An instance that is not live at two successive reads has failed, unless this instance itself is partitioned.
        const lost = isIsolated() || !isReader() ? [] : unreachable.filter(({ name }) => this.#unreachable.has(name));
        this.#unreachable = new Set(unreachable.map(({ name }) => name));
        for (const { name } of lost) {
            await store.removeInstance(name);
        }
    }
}
