/** How instances fetch whole states from each other. */
import type { Clock, InstanceId, LogPort, PeerMethod, PeerPort, Random } from "@sniperoad/core";
import * as z from "zod";
import { errorMessage } from "../errors.js";

/** A whole state as one instance gives it to another. */
export interface SharedState {
    readonly revision: number;
    readonly value: unknown;
}

const collectionSchema = z.enum(["config", "upstreams"]);
/** The collections that instances share. */
export type SharedCollection = z.output<typeof collectionSchema>;

const fetchState: PeerMethod<{ collection: SharedCollection; }, SharedState> = {
    name: "gateway.state",
    request: z.strictObject({ collection: collectionSchema }),
    reply: z.strictObject({ revision: z.number().int().min(0), value: z.unknown() }) as z.ZodType<SharedState>,
};

/** A lost message is noticed after this time; a state of 1 MB takes less than a tenth on the slowest links named. */
const fetchTimeoutMs = 400;

/** An instance that holds a state. */
export interface StateHolder {
    readonly id: InstanceId;
    readonly peerAddress: string;
    readonly revision: number;
    readonly isNear: boolean;
}

/** What {@link StateExchange} needs. */
export interface StateExchangeOptions {
    readonly peers: PeerPort;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly read: (collection: SharedCollection) => SharedState;
    readonly heldRevision: (collection: SharedCollection) => number;
    /** Takes a state; false if it was of no use. */
    readonly accept: (collection: SharedCollection, state: SharedState) => boolean;
    /** Instances that hold a state. */
    readonly holders: (collection: SharedCollection) => readonly StateHolder[];
}

/**
 * Gives states to other instances, and fetches those that are newer than what this instance holds.
 *
 * @example
 * exchange.catchUp("config");
 */
export class StateExchange {
    readonly #options: StateExchangeOptions;
    readonly #running = new Set<SharedCollection>();

    constructor(options: StateExchangeOptions) {
        this.#options = options;
        options.peers.handle(fetchState, (_from, { collection }) => options.read(collection));
    }

    /** Fetches a collection until no instance that is heard holds a newer one. */
    catchUp(collection: SharedCollection): void {
        if (!this.#running.has(collection)) {
            this.#running.add(collection);
            void this.#run(collection).finally(() => this.#running.delete(collection));
        }
    }

    async #run(collection: SharedCollection): Promise<void> {
        for (let holder = this.#choose(collection); holder !== undefined; holder = this.#choose(collection)) {
            const formerRevision = this.#options.heldRevision(collection);
            const isNews = await this.#fetch(collection, holder);
            if (!isNews && formerRevision === this.#options.heldRevision(collection)) {
                // The next beat starts another try, perhaps with another holder.
                return;
            }
        }
    }

    /** A random holder of a newer state, in the own zone if there is one. */
    #choose(collection: SharedCollection): StateHolder | undefined {
        const held = this.#options.heldRevision(collection);
        const newer = this.#options.holders(collection).filter(holder => holder.revision > held);
        const near = newer.filter(holder => holder.isNear);
        const choice = near.length > 0 ? near : newer;
        return choice[Math.floor(this.#options.random() * choice.length)];
    }

    async #fetch(collection: SharedCollection, holder: StateHolder): Promise<boolean> {
        const { peers, log, accept } = this.#options;
        try {
            peers.setAddress(holder.id, holder.peerAddress);
            const state = await peers.call(holder.id, fetchState, { collection }, fetchTimeoutMs);
            const isNews = accept(collection, state);
            log.event("state-fetched", { collection, from: holder.id, revision: state.revision, isNews });
            return isNews;
        }
        catch (error) {
            log.event("state-fetch-failed", { collection, from: holder.id, reason: errorMessage(error) });
            return false;
        }
    }
}
