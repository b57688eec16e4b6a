/** The configuration and the list of upstreams, kept current by a few readers and by the other instances. */
import { id } from "@sniperoad/core";
import type { Clock, LogPort, PeerPort, Random, UpstreamId } from "@sniperoad/core";
import type { Datagram, UpstreamChange } from "../fleet/datagrams.js";
import type { CollectionState, Heartbeat } from "../fleet/heartbeat.js";
import type { Roster } from "../fleet/roster.js";
import type { GatewayConfig, GatewayInstance, ListedUpstream } from "../model.js";
import type { CurrentConfig } from "../routing/current-config.js";
import { CollectionReader } from "./collection-reader.js";
import type { StoreChanges, StorePort, StoreSnapshot } from "./ports.js";
import { shouldRead } from "./reader-election.js";
import { StateExchange } from "./state-exchange.js";
import type { SharedCollection, SharedState, StateHolder } from "./state-exchange.js";
import type { UpstreamRegistry } from "./upstream-registry.js";

/**
 * Time from the start of a process in which it only listens. The others are heard within a few beats, and most starts
 * then need no call to the store.
 */
export const startupListenMs = 900;

/**
 * The same where no instance that is heard holds the state, as after the loss of all. The seeds answer within a few
 * milliseconds, so most instances hear each other by then and only some of them read.
 */
export const startupListenWithoutHolderMs = 250;

/**
 * Silence after which an instance no longer counts as a reader: two beats and the time that relays gather. It is shorter
 * than the one after which an instance counts as down, since the bound of a change also runs while readers are lost.
 */
const readerSilentAfterMs = 800;

/** Without a confirmation for longer than this, the store was away, and entries of live upstreams may have lapsed. */
const outageAfterMs = 2_500;

/** What {@link FleetState} needs. */
export interface FleetStateOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly store: StorePort;
    readonly peers: PeerPort;
    readonly roster: Roster;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    /** Tells the other instances at once that this one holds something new. */
    readonly announce: () => void;
    readonly sendToAll: (datagram: Datagram) => void;
    readonly onConfig: (config: GatewayConfig) => void;
}

/**
 * Decides whether this instance reads from the store, takes what readers and other instances tell, and gives it to
 * others.
 *
 * @example
 * state.start();
 * state.isComplete; // true once there are a configuration and a list of upstreams
 */
export class FleetState {
    readonly #options: FleetStateOptions;
    readonly #exchange: StateExchange;
    readonly #configReader: CollectionReader<"config">;
    readonly #upstreamReader: CollectionReader<"upstreams">;
    readonly #startedMs: number;
    #confirmedMs: Record<SharedCollection, number | undefined> = { config: undefined, upstreams: undefined };
    #isLeaving = false;

    constructor(options: FleetStateOptions) {
        this.#options = options;
        this.#startedMs = options.clock.monotonicMs();
        this.#exchange = new StateExchange({
            peers: options.peers,
            clock: options.clock,
            random: options.random,
            log: options.log,
            read: collection => this.#read(collection),
            heldRevision: collection => this.#heldRevision(collection),
            accept: (collection, state) => this.#accept(collection, state),
            holders: collection => this.#holders(collection),
        });
        this.#configReader = new CollectionReader({
            collection: "config",
            store: options.store,
            clock: options.clock,
            log: options.log,
            listener: {
                onSnapshot: ({ items }) => this.#takeConfigs([...items.values()]),
                onChanges: ({ changes }) => this.#takeConfigs(changes.flatMap(change => change.value ?? [])),
            },
        });
        this.#upstreamReader = new CollectionReader({
            collection: "upstreams",
            store: options.store,
            clock: options.clock,
            log: options.log,
            listener: {
                onSnapshot: snapshot => this.#takeSnapshot(snapshot),
                onChanges: changes => this.#takeChanges(changes),
            },
        });
    }

    /** Whether there is what a request needs. */
    get isComplete(): boolean {
        return this.#options.config.current !== undefined && this.#options.upstreams.revision > 0;
    }

    /** Decides anew whether to read; call it with each beat. */
    review(): void {
        if (this.#isLeaving || this.#isListening()) {
            return;
        }
        this.#reviewReader("config", this.#configReader);
        this.#reviewReader("upstreams", this.#upstreamReader);
        this.#exchange.catchUp("config");
        this.#exchange.catchUp("upstreams");
    }

    stop(): void {
        this.#isLeaving = true;
        this.#configReader.stop();
        this.#upstreamReader.stop();
    }

    /** Whether this instance reads some collection from the store. */
    get isReader(): boolean {
        return this.#configReader.isRunning || this.#upstreamReader.isRunning;
    }

    /** What this instance holds, for its beats. */
    collectionStates(): Pick<Heartbeat, "config" | "upstreams"> {
        return {
            config: this.#feed("config", this.#configReader),
            upstreams: this.#feed("upstreams", this.#upstreamReader),
        };
    }

    /** Takes what another instance says that it holds. */
    recordHeartbeat(heartbeat: Heartbeat): void {
        for (const collection of ["config", "upstreams"] as const) {
            const { revision, confirmedAgeMs } = heartbeat[collection];
            const held = this.#heldRevision(collection);
            if (revision > held) {
                this.#exchange.catchUp(collection);
            }
            else if (revision === held && confirmedAgeMs !== undefined) {
                this.#confirm(collection, confirmedAgeMs);
            }
        }
    }

    /** Takes changes of the list that a reader passes on. */
    receiveUpstreamChanges(datagram: Extract<Datagram, { kind: "upstreams"; }>): void {
        if (!this.#applyUpstreams(datagram)) {
            this.#exchange.catchUp("upstreams");
        }
    }

    /** Since the store last confirmed what this instance holds, over all readers; undefined: never. */
    confirmedAgeMs(collection: SharedCollection): number | undefined {
        const confirmedMs = this.#confirmedMs[collection];
        return confirmedMs === undefined ? undefined : this.#options.clock.monotonicMs() - confirmedMs;
    }

    #isListening(): boolean {
        const elapsedMs = this.#age(this.#startedMs);
        if (elapsedMs >= startupListenMs) {
            return false;
        }
        const isHeldByOther = this.#options.roster.live().some(({ heartbeat }) => heartbeat.upstreams.revision > 0);
        return elapsedMs < (isHeldByOther || this.isComplete ? startupListenMs : startupListenWithoutHolderMs);
    }

    #reviewReader(collection: SharedCollection, reader: { start(): void; stop(): void; }): void {
        const { self, roster } = this.#options;
        const others = roster.live()
            .filter(({ heartbeat, lastHeardMs }) =>
                !heartbeat.isLeaving && this.#age(lastHeardMs) <= readerSilentAfterMs
            )
            .map(({ heartbeat, lastHeardMs }) => ({
                id: heartbeat.id,
                feed: withSilence(heartbeat[collection], this.#age(lastHeardMs)),
            }));
        if (shouldRead(self.id, collection, others)) {
            reader.start();
        }
        else {
            reader.stop();
        }
    }

    #feed(
        collection: SharedCollection,
        reader: { readonly isRunning: boolean; readAgeMs(): number; },
    ): CollectionState {
        return {
            revision: this.#heldRevision(collection),
            confirmedAgeMs: this.confirmedAgeMs(collection),
            isReading: reader.isRunning,
            readAgeMs: reader.isRunning ? reader.readAgeMs() : 0,
        };
    }

    #heldRevision(collection: SharedCollection): number {
        const { config, upstreams } = this.#options;
        return collection === "config" ? config.version : upstreams.revision;
    }

    #confirm(collection: SharedCollection, ageMs: number): void {
        const atMs = this.#options.clock.monotonicMs() - ageMs;
        this.#confirmedMs[collection] = Math.max(atMs, this.#confirmedMs[collection] ?? -Infinity);
    }

    #takeConfigs(configs: readonly GatewayConfig[]): void {
        configs.forEach(config => this.#takeConfig(config, "store"));
        this.#confirm("config", 0);
    }

    #takeConfig(config: GatewayConfig, source: string): boolean {
        const former = this.#options.config.version;
        if (!this.#options.config.accept(config)) {
            return false;
        }
        this.#options.log.event("config-in-force", { version: config.version, former, source });
        this.#options.onConfig(config);
        this.#options.announce();
        return true;
    }

    #takeSnapshot(snapshot: StoreSnapshot<ListedUpstream>): void {
        const { upstreams, log, announce } = this.#options;
        const isAfterOutage = (this.confirmedAgeMs("upstreams") ?? 0) > outageAfterMs;
        if (upstreams.replace(snapshot, { isAfterOutage, isFromInstance: false })) {
            const { revision, items } = snapshot;
            log.event("upstreams-listed", { revision, count: items.size, isAfterOutage });
            announce();
        }
        this.#confirm("upstreams", 0);
    }

    #takeChanges({ changes, changedRevision }: StoreChanges<ListedUpstream>): void {
        const { upstreams, sendToAll, announce } = this.#options;
        if (changes.length > 0 && changedRevision > upstreams.revision) {
            const datagram = {
                kind: "upstreams",
                fromRevision: upstreams.revision,
                toRevision: changedRevision,
                changes,
            } as const;
            this.#applyUpstreams(datagram);
            sendToAll(datagram);
            announce();
        }
        this.#confirm("upstreams", 0);
    }

    #applyUpstreams({ fromRevision, toRevision, changes }: Extract<Datagram, { kind: "upstreams"; }>): boolean {
        const { upstreams, log } = this.#options;
        const isNews = toRevision > upstreams.revision;
        const isApplied = upstreams.apply({ fromRevision, toRevision, changes: changes.map(decodeChange) });
        if (isNews && isApplied) {
            changes.forEach(change => log.event("upstream-changed", describeChange(change, toRevision)));
        }
        return isApplied;
    }

    #read(collection: SharedCollection): SharedState {
        const { config, upstreams } = this.#options;
        const revision = this.#heldRevision(collection);
        return { revision, value: collection === "config" ? config.current?.config : upstreams.all() };
    }

    #accept(collection: SharedCollection, state: SharedState): boolean {
        if (state.revision <= this.#heldRevision(collection)) {
            return false;
        }
        if (collection === "config") {
            return this.#takeConfig(state.value as GatewayConfig, "peer");
        }
        const items = new Map((state.value as ListedUpstream[]).map(listed => [listed.id as string, listed]));
        return this.#options.upstreams.replace(
            { revision: state.revision, items },
            { isAfterOutage: false, isFromInstance: true },
        );
    }

    #holders(collection: SharedCollection): readonly StateHolder[] {
        const { roster, self } = this.#options;
        return roster.live().map(({ heartbeat }) => ({
            id: heartbeat.id,
            peerAddress: heartbeat.peerAddress,
            revision: heartbeat[collection].revision,
            isNear: heartbeat.zone === self.zone,
        }));
    }

    #age(atMs: number): number {
        return this.#options.clock.monotonicMs() - atMs;
    }
}

/** The age of a read goes on while nothing is heard. */
const withSilence = (feed: CollectionState, silenceMs: number): CollectionState => ({
    ...feed,
    readAgeMs: feed.readAgeMs + silenceMs,
});

const decodeChange = (change: UpstreamChange) => ({
    name: change.name,
    value: change.value as ListedUpstream | undefined,
});

const describeChange = (change: UpstreamChange, revision: number) => {
    const listed = change.value as ListedUpstream | undefined;
    return {
        upstream: id<UpstreamId>(change.name),
        revision,
        state: listed?.state ?? "gone",
        service: listed?.service,
        address: listed?.address,
    };
};
