/** Provides the collections of an instance to others, in parts. */
import type { PeerPort, Sha256 } from "@sniperoad/core";
import { deflateRawSync } from "node:zlib";
import { outlineMethod, partsMethod } from "./state-messages.js";
import type { PartsReply, SharedCollection } from "./state-messages.js";
import { divideState } from "./state-parts.js";
import type { DividedState, PartHash, StateOutline } from "./state-parts.js";
import type { TransferPacer } from "./transfer-pacer.js";

/** Number of revisions of a collection whose parts are kept, so that transfers of the former one can end. */
const maxKeptRevisions = 2;

/** The parts of a state, compressed as they are sent. */
export interface HeldState {
    readonly outline: StateOutline;
    readonly content: ReadonlyMap<PartHash, Uint8Array>;
}

/** Options of {@link StateProvider}. */
export interface StateProviderOptions {
    readonly peers: PeerPort;
    readonly sha256: Sha256;
    readonly pacer: TransferPacer;
    /** Provides the value that this instance holds; undefined if it holds none. */
    readonly read: (collection: SharedCollection) => object | undefined;
    /** Revision of the state of this instance. */
    readonly heldRevision: (collection: SharedCollection) => number;
    /** Parts of a state that this instance does not hold completely. */
    readonly partial: (collection: SharedCollection) => ReadonlyMap<PartHash, Uint8Array>;
}

/**
 * Answers the calls of other instances for outlines and parts, as fast as the pacer allows.
 *
 * @example
 * const provider = new StateProvider(options);
 * provider.ownState("config").outline;
 */
export class StateProvider {
    readonly #options: StateProviderOptions;
    /** Newest last. */
    readonly #held: Record<SharedCollection, HeldState[]> = { config: [], upstreams: [], evacuations: [] };

    constructor(options: StateProviderOptions) {
        this.#options = options;
        options.peers.handle(outlineMethod, (_from, { collection }) => this.ownState(collection).outline);
        options.peers.handle(partsMethod, (_from, { collection, parts }) => this.#provide(collection, parts));
    }

    /** The state of this instance in parts, divided once for each revision. */
    ownState(collection: SharedCollection): HeldState {
        const { heldRevision, read, sha256 } = this.#options;
        const revision = heldRevision(collection);
        const known = this.#held[collection].findLast(({ outline }) => outline.revision === revision);
        const value = read(collection);
        if (known !== undefined || value === undefined) {
            return known ?? { outline: { revision: 0, parts: [] }, content: new Map() };
        }
        return this.keep(collection, compress(divideState(revision, value, sha256)));
    }

    /** Keeps a state that was fetched, to provide it as it came. */
    keep(collection: SharedCollection, state: HeldState): HeldState {
        const kept = [...this.#held[collection], state];
        this.#held[collection] = kept.slice(-maxKeptRevisions);
        return state;
    }

    #provide(collection: SharedCollection, hashes: readonly PartHash[]): PartsReply {
        const { pacer, partial } = this.#options;
        const retryAfterMs = pacer.delayMs();
        if (retryAfterMs > 0) {
            return { parts: [], retryAfterMs };
        }
        const sources = [this.ownState(collection), ...this.#held[collection]].map(({ content }) => content);
        const parts = hashes.map(hash => findPart(hash, [...sources, partial(collection)]) ?? null);
        pacer.record(parts.reduce((sum, part) => sum + (part?.length ?? 0), 0));
        return { parts, retryAfterMs: 0 };
    }
}

const compress = ({ outline, content }: DividedState): HeldState => ({
    outline,
    content: new Map([...content].map(([hash, bytes]) => [hash, deflateRawSync(bytes)])),
});

const findPart = (
    hash: PartHash,
    sources: readonly ReadonlyMap<PartHash, Uint8Array>[],
): Uint8Array | undefined => sources.find(source => source.has(hash))?.get(hash);
