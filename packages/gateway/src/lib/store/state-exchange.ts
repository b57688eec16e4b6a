/** Transfers whole collections between instances. */
import type { Clock, InstanceId, LogPort, PeerMethod, PeerPort, Random } from "@sniperoad/core";
import * as z from "zod";
import { errorMessage } from "../errors.js";

/** The state of a whole collection, as transferred between instances. */
export interface SharedState {
    readonly revision: number;
    readonly value: unknown;
}

const collectionSchema = z.enum(["config", "upstreams"]);
/** The collections that instances share. */
export type SharedCollection = z.output<typeof collectionSchema>;

const fetchStateMethod: PeerMethod<{ collection: SharedCollection; }, SharedState> = {
    name: "gateway.state",
    request: z.strictObject({ collection: collectionSchema }),
    reply: z.strictObject({ revision: z.number().int().min(0), value: z.unknown() }) as z.ZodType<SharedState>,
};

/** Timeout of a fetch; a transfer of 1 MB takes less than a tenth of it on the slowest links of the platform. */
const fetchTimeoutMs = 400;

/** An instance that holds a state of the collection. */
export interface StateHolder {
    readonly id: InstanceId;
    readonly peerAddress: string;
    readonly revision: number;
    readonly isSameZone: boolean;
}

/** Options of {@link StateExchange}. */
export interface StateExchangeOptions {
    readonly peers: PeerPort;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    /** Provides the state of this instance to others. */
    readonly read: (collection: SharedCollection) => SharedState;
    /** Revision of the state of this instance. */
    readonly heldRevision: (collection: SharedCollection) => number;
    /** Applies a fetched state. Returns whether it changed the state of this instance. */
    readonly accept: (collection: SharedCollection, state: SharedState) => boolean;
    /** Instances from which a collection may be fetched. */
    readonly holders: (collection: SharedCollection) => readonly StateHolder[];
    /** Newest revision that any instance was known to hold; the holders are searched only for a newer one. */
    readonly newestRevision: (collection: SharedCollection) => number;
}

/**
 * Provides state to other instances, and fetches state that is newer than that of this instance.
 *
 * @example
 * exchange.catchUp("config");
 */
export class StateExchange {
    readonly #options: StateExchangeOptions;
    /** Collections that are being fetched. */
    readonly #running = new Set<SharedCollection>();

    constructor(options: StateExchangeOptions) {
        this.#options = options;
        options.peers.handle(fetchStateMethod, (_from, { collection }) => options.read(collection));
    }

    /** Fetches a collection until no live instance holds a newer revision. */
    catchUp(collection: SharedCollection): void {
        const { newestRevision, heldRevision } = this.#options;
        if (!this.#running.has(collection) && newestRevision(collection) > heldRevision(collection)) {
            this.#running.add(collection);
            void this.#run(collection).finally(() => this.#running.delete(collection));
        }
    }

    async #run(collection: SharedCollection): Promise<void> {
        for (
            let holder = this.#selectHolder(collection);
            holder !== undefined;
            holder = this.#selectHolder(collection)
        ) {
            const previousRevision = this.#options.heldRevision(collection);
            const isNewer = await this.#fetch(collection, holder);
            if (!isNewer && previousRevision === this.#options.heldRevision(collection)) {
                // The next call of `catchUp` starts another attempt, perhaps with another holder.
                return;
            }
        }
    }

    /** Selects a random holder of a newer state, in the own zone if possible; undefined if the state is the newest. */
    #selectHolder(collection: SharedCollection): StateHolder | undefined {
        const heldRevision = this.#options.heldRevision(collection);
        const newer = this.#options.holders(collection).filter(holder => holder.revision > heldRevision);
        const sameZone = newer.filter(holder => holder.isSameZone);
        const candidates = sameZone.length > 0 ? sameZone : newer;
        return candidates[Math.floor(this.#options.random() * candidates.length)];
    }

    /** Fetches and applies a state. Returns whether it changed the state of this instance. */
    async #fetch(collection: SharedCollection, holder: StateHolder): Promise<boolean> {
        const { peers, log, accept } = this.#options;
        try {
            peers.setAddress(holder.id, holder.peerAddress);
            const state = await peers.call(holder.id, fetchStateMethod, { collection }, fetchTimeoutMs);
            const isNewer = accept(collection, state);
            log.event("state-fetched", { collection, from: holder.id, revision: state.revision, isNews: isNewer });
            return isNewer;
        }
        catch (error) {
            log.event("state-fetch-failed", { collection, from: holder.id, reason: errorMessage(error) });
            return false;
        }
    }
}
