/** Transfers whole collections between instances, in parts. */
import type { Clock, InstanceId, LogPort, PeerPort, Random, Sha256, Timer } from "@sniperoad/core";
import { inflateRawSync } from "node:zlib";
import { errorMessage } from "../errors.js";
import { maxPartsPerCall, outlineMethod, partsMethod } from "./state-messages.js";
import type { PartsReply, SharedCollection } from "./state-messages.js";
import { joinState, maxPartBytes, partHashOf } from "./state-parts.js";
import type { PartHash, StateOutline } from "./state-parts.js";
import { StateProvider } from "./state-provider.js";
import type { TransferPacer } from "./transfer-pacer.js";

/** The state of a whole collection. */
export interface SharedState {
    readonly revision: number;
    readonly value: unknown;
}

/** Timeout of a call. Its reply has at most some 10 kB, and waits behind few others at a paced holder. */
const callTimeoutMs = 400;
/** Time without a reply after which another holder is asked as well; many times a round trip between instances. */
const hedgeDelayMs = 100;
/** Maximum number of holders of a collection that are asked at the same time. */
const maxPendingCalls = 4;
/** Number of instances of a zone that may fetch from other zones at once; the others wait until these are holders. */
const relaysPerZone = 2;
/** Time after which twice as many instances of a zone may fetch from other zones. */
const relayDelayMs = 120;

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
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly pacer: TransferPacer;
    /** Provides the value that this instance holds; undefined if it holds none. */
    readonly read: (collection: SharedCollection) => object | undefined;
    /** Revision of the state of this instance. */
    readonly heldRevision: (collection: SharedCollection) => number;
    /** Applies a fetched state. Returns whether it changed the state of this instance. */
    readonly accept: (collection: SharedCollection, state: SharedState) => boolean;
    /** Instances from which a collection may be fetched. */
    readonly holders: (collection: SharedCollection) => readonly StateHolder[];
    /** Newest revision that any instance was known to hold; the holders are searched only for a newer one. */
    readonly newestRevision: (collection: SharedCollection) => number;
    /** Number of instances of the own zone that come before this one in an order that all instances share. */
    readonly rankInZone: () => number;
}

/** A fetch of one collection; it lasts until no newer revision is known or no holder is left. */
interface Fetch {
    readonly collection: SharedCollection;
    readonly startedMs: number;
    /** Holders that failed, by id. */
    readonly excluded: Set<InstanceId>;
    /** Monotonic time until which a holder has no room for transfers. */
    readonly busyUntilMs: Map<InstanceId, number>;
    readonly pending: Map<InstanceId, Promise<void>>;
}

/**
 * Provides state to other instances, and fetches state that is newer than that of this instance. A state is divided into
 * parts that are named by their content; an instance fetches those that it does not hold from several holders, and
 * keeps them if a holder ends. What it has fetched it provides to others.
 *
 * @example
 * exchange.catchUp("config");
 */
export class StateExchange {
    readonly #options: StateExchangeOptions;
    /** Collections that are being fetched. */
    readonly #running = new Set<SharedCollection>();
    readonly #provider: StateProvider;
    /** Parts that were fetched for a revision that is not complete. */
    readonly #partial: Record<SharedCollection, Map<PartHash, Uint8Array>> = {
        config: new Map(),
        upstreams: new Map(),
        evacuations: new Map(),
    };

    constructor(options: StateExchangeOptions) {
        this.#options = options;
        this.#provider = new StateProvider({ ...options, partial: collection => this.#partial[collection] });
    }

    /** Fetches a collection until no live instance holds a newer revision. */
    catchUp(collection: SharedCollection): void {
        if (!this.#running.has(collection) && this.#isBehind(collection)) {
            this.#running.add(collection);
            void this.#run(collection).finally(() => this.#running.delete(collection));
        }
    }

    #isBehind(collection: SharedCollection): boolean {
        const { newestRevision, heldRevision } = this.#options;
        return newestRevision(collection) > heldRevision(collection);
    }

    async #run(collection: SharedCollection): Promise<void> {
        const { clock, log } = this.#options;
        const fetch: Fetch = {
            collection,
            startedMs: clock.monotonicMs(),
            excluded: new Set(),
            busyUntilMs: new Map(),
            pending: new Map(),
        };
        while (this.#isBehind(collection)) {
            const outline = await this.#fetchOutline(fetch);
            if (outline === undefined || !await this.#fetchParts(fetch, outline)) {
                return;
            }
            try {
                this.#complete(fetch, outline);
            }
            catch (error) {
                log.event("state-rejected", { collection, revision: outline.revision, reason: errorMessage(error) });
                return;
            }
        }
    }

    /** Asks one holder after another, without waiting for a silent one, until one states a newer revision. */
    async #fetchOutline(fetch: Fetch): Promise<StateOutline | undefined> {
        const { heldRevision, peers } = this.#options;
        const { collection, excluded, pending } = fetch;
        const found: { outline?: StateOutline; } = {};
        for (;;) {
            const holder = this.#selectHolder(fetch, heldRevision(collection) + 1);
            if (holder !== undefined) {
                this.#start(fetch, holder, async () => {
                    const outline = await peers.call(holder.id, outlineMethod, { collection }, callTimeoutMs);
                    if (outline.revision <= heldRevision(collection)) {
                        excluded.add(holder.id);
                    }
                    else if (outline.revision > (found.outline?.revision ?? 0)) {
                        found.outline = outline;
                    }
                });
            }
            else if (pending.size === 0 && !this.#mayHolderFollow(fetch, heldRevision(collection) + 1)) {
                return undefined;
            }
            await this.#waitForReply(fetch);
            if (found.outline !== undefined || !this.#isBehind(collection)) {
                return found.outline;
            }
        }
    }

    /** Fetches the parts that this instance does not hold. Returns whether all are there. */
    async #fetchParts(fetch: Fetch, { revision, parts }: StateOutline): Promise<boolean> {
        const { collection, excluded, busyUntilMs, pending } = fetch;
        const { clock, peers } = this.#options;
        const received = this.#partial[collection];
        const wanted = new Set(parts);
        [...received.keys()].filter(hash => !wanted.has(hash)).forEach(hash => received.delete(hash));
        const own = this.#provider.ownState(collection).content;
        const missing = new Set(parts.filter(hash => !received.has(hash) && !own.has(hash)));
        parts.filter(hash => own.has(hash)).forEach(hash => received.set(hash, own.get(hash)!));
        const asked = new Set<PartHash>();
        while (missing.size > 0) {
            const due = [...missing].filter(hash => !asked.has(hash)).slice(0, maxPartsPerCall);
            const holder = due.length > 0 ? this.#selectHolder(fetch, revision) : undefined;
            if (holder !== undefined) {
                due.forEach(hash => asked.add(hash));
                this.#start(fetch, holder, async () => {
                    try {
                        const body = { collection, parts: due };
                        const reply = await peers.call(holder.id, partsMethod, body, callTimeoutMs);
                        if (reply.retryAfterMs > 0) {
                            busyUntilMs.set(holder.id, clock.monotonicMs() + reply.retryAfterMs);
                        }
                        else if (!this.#receive(reply, due, missing, received)) {
                            excluded.add(holder.id);
                        }
                    }
                    finally {
                        due.forEach(hash => asked.delete(hash));
                    }
                });
            }
            else if (pending.size === 0 && !this.#mayHolderFollow(fetch, revision)) {
                return false;
            }
            if (!await this.#waitForReply(fetch)) {
                // Asks another holder for what is late.
                asked.clear();
            }
        }
        return true;
    }

    /** Keeps the parts of a reply whose content fits their names. Returns whether the reply had all that was asked for. */
    #receive(
        { parts }: PartsReply,
        due: readonly PartHash[],
        missing: Set<PartHash>,
        received: Map<PartHash, Uint8Array>,
    ): boolean {
        due.forEach((hash, index) => {
            const part = parts[index];
            if (part instanceof Uint8Array && partHashOf(decompress(part), this.#options.sha256) === hash) {
                // The part itself refers to the buffer of its whole frame.
                received.set(hash, Buffer.from(part));
                missing.delete(hash);
            }
        });
        return due.every(hash => received.has(hash));
    }

    /** Applies the parts of an outline, and provides them to others from now on. */
    #complete({ collection, startedMs }: Fetch, outline: StateOutline): void {
        const { accept, log, clock } = this.#options;
        const content = this.#partial[collection];
        const plain = new Map([...content].map(([hash, part]) => [hash, decompress(part)]));
        const isNews = accept(collection, { revision: outline.revision, value: joinState(outline, plain) });
        this.#partial[collection] = new Map();
        if (isNews) {
            this.#provider.keep(collection, { outline, content });
        }
        log.event("state-fetched", {
            collection,
            revision: outline.revision,
            parts: outline.parts.length,
            tookMs: Math.round(clock.monotonicMs() - startedMs),
            isNews,
        });
    }

    /** Starts a call to a holder; a failure is logged and excludes the holder. */
    #start(
        { collection, excluded, pending }: Fetch,
        { id, peerAddress }: StateHolder,
        call: () => Promise<void>,
    ): void {
        const { peers, log } = this.#options;
        peers.setAddress(id, peerAddress);
        const run = call()
            .catch((error: unknown) => {
                excluded.add(id);
                log.event("state-fetch-failed", { collection, from: id, reason: errorMessage(error) });
            })
            .finally(() => pending.delete(id));
        pending.set(id, run);
    }

    /** Waits for a reply, but not longer than the hedge delay. Returns whether one has come. */
    async #waitForReply({ pending, busyUntilMs }: Fetch): Promise<boolean> {
        const { clock } = this.#options;
        const nowMs = clock.monotonicMs();
        const waitsMs = [...busyUntilMs.values()].map(untilMs => untilMs - nowMs).filter(waitMs => waitMs > 0);
        let timer: Timer | undefined;
        const hedge = new Promise<false>(resolve =>
            timer = clock.after(Math.min(hedgeDelayMs, ...waitsMs), () => resolve(false))
        );
        const hasReply = await Promise.race([hedge, ...[...pending.values()].map(reply => reply.then(() => true))]);
        timer?.cancel();
        return hasReply;
    }

    /** Selects a random holder of a revision or a newer one that can be asked now, in the own zone if possible. */
    #selectHolder(fetch: Fetch, revision: number): StateHolder | undefined {
        const { holders, random, clock } = this.#options;
        const { excluded, busyUntilMs, pending } = fetch;
        if (pending.size >= maxPendingCalls) {
            return undefined;
        }
        const nowMs = clock.monotonicMs();
        const usable = holders(fetch.collection).filter(holder =>
            holder.revision >= revision && !excluded.has(holder.id) && !pending.has(holder.id)
            && (busyUntilMs.get(holder.id) ?? -Infinity) <= nowMs
        );
        const sameZone = usable.filter(holder => holder.isSameZone);
        const candidates = sameZone.length > 0 || !this.#mayFetchFromOtherZones(fetch) ? sameZone : usable;
        return candidates[Math.floor(random() * candidates.length)];
    }

    /** Spares links between zones while other instances of the zone fetch the same. */
    #mayFetchFromOtherZones({ startedMs }: Fetch): boolean {
        const { clock, rankInZone } = this.#options;
        const turn = Math.floor(Math.log2(rankInZone() / relaysPerZone + 1));
        return clock.monotonicMs() - startedMs >= turn * relayDelayMs;
    }

    /** Whether a holder that cannot be asked now may be asked later. */
    #mayHolderFollow({ collection, excluded }: Fetch, revision: number): boolean {
        return this.#options.holders(collection).some(holder =>
            holder.revision >= revision && !excluded.has(holder.id)
        );
    }
}

/** @throws Error if the bytes are not compressed, or hold more than a part */
const decompress = (bytes: Uint8Array): Uint8Array => inflateRawSync(bytes, { maxOutputLength: maxPartBytes });
