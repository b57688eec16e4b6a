/** Keeps the collections of the store current, from the store or from other instances. */
import type { Clock, LogPort, PeerPort, Random, Sha256 } from "@sniperoad/core";
import { errorMessage } from "../errors.js";
import type { UpstreamsMessage } from "../fleet/datagrams.js";
import type { CollectionState, CollectionStates, ReaderState } from "../fleet/heartbeat.js";
import type { Roster } from "../fleet/roster.js";
import type { GatewayConfig, GatewayInstance } from "../model.js";
import { instanceKey } from "../name-key.js";
import type { CurrentConfig } from "../routing/current-config.js";
import { CollectionReader } from "./collection-reader.js";
import { ElectedReader } from "./elected-reader.js";
import type { HeldCollection, HoldingContext } from "./held-collection.js";
import { HeldConfig } from "./held-config.js";
import { evacuationWatchWaitMs, HeldEvacuations } from "./held-evacuations.js";
import { HeldUpstreams } from "./held-upstreams.js";
import type { StorePort } from "./ports.js";
import { StateExchange } from "./state-exchange.js";
import type { SharedState, StateHolder } from "./state-exchange.js";
import { StateLag } from "./state-lag.js";
import type { SharedCollection } from "./state-messages.js";
import { epochOf } from "./store-epoch.js";
import { TransferPacer } from "./transfer-pacer.js";
import type { UpstreamRegistry } from "./upstream-registry.js";
import type { EvacuationRegistry } from "./zone-evacuations.js";

/**
 * Time after the start in which an instance only listens. It receives the heartbeats of the others within a few
 * intervals, and most starts then need no call to the store.
 */
export const startupListenMs = 900;

/**
 * Replaces {@link startupListenMs} if no live instance holds the state, as after a restart of the whole fleet. The
 * seeds respond within a few milliseconds, so most instances are live to each other by then and only some of them read.
 */
export const startupListenWithoutHolderMs = 250;

/** Interval at which {@link FleetState.review} is called. */
export const reviewIntervalMs = 100;

/** Options of {@link FleetState}. */
export interface FleetStateOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly store: StorePort;
    readonly peers: PeerPort;
    readonly roster: Roster;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    /** Undefined where zones are not evacuated; the collection is then neither read nor sent. */
    readonly evacuations?: EvacuationRegistry | undefined;
    /** Notifies the other instances immediately of the new state of this one. */
    readonly announce: () => void;
    readonly sendToAll: (message: UpstreamsMessage) => void;
    /** Interval between the digests in which this instance hears of the others. */
    readonly digestIntervalMs: () => number;
    /** Bytes per second that transfers of state to other instances may take. */
    readonly transferBytesPerSecond: () => number;
    readonly onConfig: (config: GatewayConfig) => void;
}

/** A collection that this instance keeps current. */
interface KeptCollection {
    readonly held: Pick<HeldCollection<SharedCollection>, "revision" | "exportState" | "importState">;
    readonly reader: { readonly state: ReaderState; readonly isRunning: boolean; stop(): void; };
    readonly elected: { review(): void; };
}

/**
 * Decides whether this instance reads from the store, applies state from readers and other instances, and provides it
 * to others.
 *
 * @example
 * state.review();
 * state.isComplete; // true once there are a configuration and an upstream list
 */
export class FleetState {
    readonly #options: FleetStateOptions;
    readonly #exchange: StateExchange;
    readonly #upstreams: HeldUpstreams;
    readonly #kept = new Map<SharedCollection, KeptCollection>();
    readonly #lag: StateLag;
    readonly #startedMs: number;
    /** Monotonic time at which the store last confirmed the state of this instance to any reader. */
    readonly #confirmedMs = new Map<SharedCollection, number>();
    /** Highest epoch of the store's answers to this instance. */
    #answeredEpoch = 0;
    #isStopped = false;

    constructor(options: FleetStateOptions) {
        const { config, upstreams, evacuations, sendToAll, onConfig } = options;
        this.#options = options;
        this.#startedMs = options.clock.monotonicMs();
        this.#lag = new StateLag(options.clock, options.log);
        this.#exchange = new StateExchange({
            peers: options.peers,
            clock: options.clock,
            random: options.random,
            sha256: options.sha256,
            log: options.log,
            pacer: new TransferPacer({ clock: options.clock, bytesPerSecond: options.transferBytesPerSecond }),
            read: collection => this.#kept.get(collection)?.held.exportState(),
            heldRevision: collection => this.#heldRevision(collection),
            accept: (collection, state) => this.#importState(collection, state),
            holders: collection => this.#holders(collection),
            newestRevision: collection => options.roster.newestRevision(collection),
            rankInZone: () => this.#rankInZone(),
        });
        this.#upstreams = new HeldUpstreams(upstreams, sendToAll, this.#contextOf("upstreams"));
        this.#keep("config", new HeldConfig(config, onConfig, this.#contextOf("config")));
        this.#keep("upstreams", this.#upstreams);
        if (evacuations !== undefined) {
            const held = new HeldEvacuations(evacuations, this.#contextOf("evacuations"));
            this.#keep("evacuations", held, evacuationWatchWaitMs(evacuations.boundMs));
        }
    }

    /** Whether the state suffices to handle requests. */
    get isComplete(): boolean {
        return [...this.#kept.values()].every(({ held }) => held.revision > 0);
    }

    /** Highest epoch of the store that this instance, or another one, is known to have read from. */
    get epoch(): number {
        const { roster } = this.#options;
        // The configuration is ordered by its own version.
        const ordinals = (["upstreams", "evacuations"] as const).map(collection =>
            Math.max(roster.newestRevision(collection), this.#heldRevision(collection))
        );
        return Math.max(this.#answeredEpoch, ...ordinals.map(epochOf));
    }

    /** Reconsiders whether to read from the store; call it periodically. */
    review(): void {
        if (this.#isStopped || this.#isListening()) {
            return;
        }
        this.#kept.forEach(({ elected }) => elected.review());
        [...this.#kept.keys()].forEach(collection => this.#exchange.catchUp(collection));
    }

    /** Stops reading from the store; other instances can still fetch the state. */
    stop(): void {
        this.#isStopped = true;
        this.#kept.forEach(({ reader }) => reader.stop());
    }

    /** Whether this instance reads any collection from the store. */
    get isReader(): boolean {
        return [...this.#kept.values()].some(({ reader }) => reader.isRunning);
    }

    /** State of the collections of this instance, for its heartbeats. */
    collectionStates(): CollectionStates {
        return {
            config: this.#collectionState("config"),
            upstreams: this.#collectionState("upstreams"),
            ...(this.#kept.has("evacuations") ? { evacuations: this.#collectionState("evacuations") } : {}),
        };
    }

    /** Processes the state of a collection at another instance. */
    recordRevision(collection: SharedCollection, revision: number, confirmedAgeMs: number | undefined): void {
        if (!this.#kept.has(collection)) {
            return;
        }
        const heldRevision = this.#heldRevision(collection);
        if (revision > heldRevision) {
            this.#lag.recordHeard(collection, revision, heldRevision);
            this.#exchange.catchUp(collection);
        }
        else if (revision === heldRevision && confirmedAgeMs !== undefined) {
            this.#confirm(collection, confirmedAgeMs);
        }
    }

    /** Applies upstream changes that a reader forwards. */
    receiveUpstreamChanges(message: UpstreamsMessage): void {
        try {
            if (!this.#upstreams.receive(message)) {
                this.#exchange.catchUp("upstreams");
            }
        }
        catch (error) {
            // The list is fetched with its next revision instead.
            this.#options.log.event("state-rejected", { collection: "upstreams", reason: errorMessage(error) });
        }
    }

    /** Time since the store last confirmed the state of this instance to any reader; undefined: never. */
    confirmedAgeMs(collection: SharedCollection): number | undefined {
        const confirmedMs = this.#confirmedMs.get(collection);
        return confirmedMs === undefined ? undefined : this.#elapsedSince(confirmedMs);
    }

    /** Time for which a newer state than the held one has been known; 0 if there is none. */
    behindMs(collection: SharedCollection): number {
        return this.#lag.behindMs(collection, this.#heldRevision(collection));
    }

    /** Keeps a collection current: its reader, the election of its readers, and what it holds. */
    #keep<Name extends SharedCollection>(collection: Name, held: HeldCollection<Name>, watchWaitMs?: number): void {
        const { self, clock, log, store, announce } = this.#options;
        const reader = new CollectionReader<Name>({
            collection,
            store,
            clock,
            log,
            listener: held,
            watchWaitMs,
            recordEpoch: epoch => this.#recordEpoch(epoch),
            onFailingChange: announce,
        });
        const ownKey = instanceKey(self.id);
        const elected = new ElectedReader({ ...this.#options, reviewIntervalMs, ownKey, collection, reader });
        this.#kept.set(collection, { held, reader, elected });
    }

    #recordEpoch(epoch: number): boolean {
        const former = this.epoch;
        if (epoch > former) {
            this.#options.log.event("store-epoch", { epoch, former });
        }
        this.#answeredEpoch = Math.max(this.#answeredEpoch, epoch);
        return epoch >= former;
    }

    #contextOf(collection: SharedCollection): HoldingContext {
        return {
            log: this.#options.log,
            announce: this.#options.announce,
            confirm: () => this.#confirm(collection, 0),
            confirmedAgeMs: () => this.confirmedAgeMs(collection),
            behindMs: () => this.behindMs(collection),
        };
    }

    /** Whether this instance has just started and waits for heartbeats before it reads. */
    #isListening(): boolean {
        const elapsedMs = this.#elapsedSince(this.#startedMs);
        if (elapsedMs >= startupListenMs) {
            return false;
        }
        const isHeldByPeer = this.#options.roster.live().some(({ revisions }) => revisions.upstreams > 0);
        return elapsedMs < (isHeldByPeer || this.isComplete ? startupListenMs : startupListenWithoutHolderMs);
    }

    #collectionState(collection: SharedCollection): CollectionState {
        return {
            revision: this.#heldRevision(collection),
            confirmedAgeMs: this.confirmedAgeMs(collection),
            reader: this.#kept.get(collection)?.reader.state ?? "idle",
        };
    }

    #heldRevision(collection: SharedCollection): number {
        return this.#kept.get(collection)?.held.revision ?? 0;
    }

    #confirm(collection: SharedCollection, ageMs: number): void {
        const atMs = this.#options.clock.monotonicMs() - ageMs;
        this.#confirmedMs.set(collection, Math.max(atMs, this.#confirmedMs.get(collection) ?? -Infinity));
    }

    #importState(collection: SharedCollection, state: SharedState): boolean {
        return state.revision > this.#heldRevision(collection)
            && (this.#kept.get(collection)?.held.importState(state) ?? false);
    }

    #holders(collection: SharedCollection): readonly StateHolder[] {
        const { roster, self } = this.#options;
        return roster.live().map(({ info, revisions }) => ({
            id: info.id,
            peerAddress: info.peerAddress,
            revision: revisions[collection],
            isSameZone: info.zone === self.zone,
        }));
    }

    #rankInZone(): number {
        const { roster, self } = this.#options;
        const ownKey = instanceKey(self.id);
        return roster.live().filter(({ info, key }) => info.zone === self.zone && key < ownKey).length;
    }

    #elapsedSince(atMs: number): number {
        return this.#options.clock.monotonicMs() - atMs;
    }
}
