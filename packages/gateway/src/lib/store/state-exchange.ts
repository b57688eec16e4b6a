/** Transfers whole collections between instances. */
import type { Clock, InstanceId, LogPort, PeerMethod, PeerPort, Random, Timer } from "@sniperoad/core";
import * as z from "zod";
import { errorMessage } from "../errors.js";

/** The state of a whole collection, as transferred between instances. */
export interface SharedState {
    readonly revision: number;
    readonly value: unknown;
}

/** The collections that instances share. */
export const sharedCollections = ["config", "upstreams"] as const;
const collectionSchema = z.enum(sharedCollections);
export type SharedCollection = z.output<typeof collectionSchema>;

const fetchStateMethod: PeerMethod<{ collection: SharedCollection; }, SharedState> = {
    name: "gateway.state",
    request: z.strictObject({ collection: collectionSchema }),
    reply: z.strictObject({ revision: z.number().int().min(0), value: z.unknown() }) as z.ZodType<SharedState>,
};

/** Timeout of a fetch; a transfer of 1 MB takes less than a tenth of it on the slowest links of the platform. */
const fetchTimeoutMs = 400;
/** Time without an answer after which another holder is asked as well; many times a round trip between instances. */
const hedgeDelayMs = 100;
/** Maximum number of holders of a collection that are asked at the same time. */
const maxPendingFetches = 4;

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

    /**
     * Asks one holder after another until the newest state is held. A holder may be slow, stand still or have just ended, so
     * the next one is asked before it has answered. Ends once each holder was asked; the next {@link catchUp} begins anew.
     */
    async #run(collection: SharedCollection): Promise<void> {
        const { newestRevision, heldRevision, clock } = this.#options;
        const asked = new Set<InstanceId>();
        const pending = new Set<Promise<void>>();
        while (newestRevision(collection) > heldRevision(collection)) {
            const holder = pending.size < maxPendingFetches ? this.#selectHolder(collection, asked) : undefined;
            if (holder !== undefined) {
                asked.add(holder.id);
                const fetch = this.#fetch(collection, holder).finally(() => pending.delete(fetch));
                pending.add(fetch);
            }
            else if (pending.size === 0) {
                return;
            }
            let timer: Timer | undefined;
            const hedge = new Promise<void>(resolve => timer = clock.after(hedgeDelayMs, resolve));
            await Promise.race([hedge, ...pending]);
            timer?.cancel();
        }
    }

    /** Selects a random holder of a newer state that was not asked, in the own zone if possible. */
    #selectHolder(collection: SharedCollection, asked: ReadonlySet<InstanceId>): StateHolder | undefined {
        const { heldRevision, holders, random } = this.#options;
        const held = heldRevision(collection);
        const newer = holders(collection).filter(({ id, revision }) => revision > held && !asked.has(id));
        const sameZone = newer.filter(holder => holder.isSameZone);
        const candidates = sameZone.length > 0 ? sameZone : newer;
        return candidates[Math.floor(random() * candidates.length)];
    }

    /** Fetches and applies a state; a failure is logged. */
    async #fetch(collection: SharedCollection, holder: StateHolder): Promise<void> {
        const { peers, log, accept } = this.#options;
        try {
            peers.setAddress(holder.id, holder.peerAddress);
            const state = await peers.call(holder.id, fetchStateMethod, { collection }, fetchTimeoutMs);
            const isNewer = accept(collection, state);
            log.event("state-fetched", { collection, from: holder.id, revision: state.revision, isNews: isNewer });
        }
        catch (error) {
            log.event("state-fetch-failed", { collection, from: holder.id, reason: errorMessage(error) });
        }
    }
}
