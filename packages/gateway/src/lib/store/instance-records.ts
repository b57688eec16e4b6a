/** Records in the store by which instances find each other when no seed answers. */
import { instanceName } from "@sniperoad/core";
import type { Clock, LogPort, Timer } from "@sniperoad/core";
import { errorMessage } from "../errors.js";
import type { GatewayInstance } from "../model.js";
import type { StorePort } from "./ports.js";

/** Time between two reads of the records. Two parts of a fleet that started apart find each other within it. */
const recordReadIntervalMs = 8_000;
/** Time between tries of an instance that hears no other. */
const aloneIntervalMs = 1_000;

/** What {@link InstanceRecords} needs. */
export interface InstanceRecordsOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly log: LogPort;
    readonly store: StorePort;
    /** Whether this instance reads from the store; only readers are recorded, a few in a fleet. */
    readonly isReader: () => boolean;
    readonly isAlone: () => boolean;
    readonly isHeard: (peerAddress: string) => boolean;
    /** Tries to reach an instance. */
    readonly contact: (peerAddress: string) => void;
}

/**
 * Records this instance while it is a reader, reads the records now and then, and removes those of lost instances.
 *
 * @example
 * records.review();
 */
export class InstanceRecords {
    readonly #options: InstanceRecordsOptions;
    readonly #name: string;
    #isRecorded = false;
    #isBusy = false;
    #nextReadMs: number;
    /** Records whose instance was not heard at the former read. */
    #silent = new Set<string>();
    #timer: Timer | undefined;

    constructor(options: InstanceRecordsOptions) {
        this.#options = options;
        this.#name = instanceName(options.self.id);
        this.#nextReadMs = options.clock.monotonicMs() + aloneIntervalMs;
    }

    /** Does what is due; call it with each beat. */
    review(): void {
        const { clock, isReader, isAlone } = this.#options;
        if (this.#isBusy) {
            return;
        }
        if (isReader() && !this.#isRecorded) {
            this.#inBackground(() => this.#record());
        }
        else if ((isReader() || isAlone()) && clock.monotonicMs() >= this.#nextReadMs) {
            this.#nextReadMs = clock.monotonicMs() + (isAlone() ? aloneIntervalMs : recordReadIntervalMs);
            this.#inBackground(() => this.#read());
        }
    }

    /** Removes the own record when the instance leaves. */
    async leave(): Promise<void> {
        this.#timer?.cancel();
        if (this.#isRecorded) {
            this.#isRecorded = false;
            await this.#options.store.removeInstance(this.#name);
        }
    }

    #inBackground(task: () => Promise<void>): void {
        const { log, clock } = this.#options;
        this.#isBusy = true;
        task().then(
            () => this.#isBusy = false,
            (error: unknown) => {
                log.event("instance-records-failed", { reason: errorMessage(error) });
                this.#timer = clock.after(aloneIntervalMs, () => this.#isBusy = false);
            },
        );
    }

    async #record(): Promise<void> {
        const { store, self } = this.#options;
        await store.putInstance({ name: this.#name, peerAddress: self.peerAddress });
        this.#isRecorded = true;
    }

    async #read(): Promise<void> {
        const { store, isHeard, contact, isAlone, isReader } = this.#options;
        const { items } = await store.list("instances", { mayBeStale: true });
        const unheard = [...items.values()].filter(({ name, peerAddress }) =>
            name !== this.#name && !isHeard(peerAddress)
        );
        unheard.forEach(({ peerAddress }) => contact(peerAddress));
        // One that stays silent from one read to the next is lost, unless it is this instance that is cut off.
        const lost = isAlone() || !isReader() ? [] : unheard.filter(({ name }) => this.#silent.has(name));
        this.#silent = new Set(unheard.map(({ name }) => name));
        for (const { name } of lost) {
            await store.removeInstance(name);
        }
    }
}
