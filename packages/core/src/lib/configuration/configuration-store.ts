/** Receives and holds the configuration of one instance. */
import type { ConfigView, FleetConfig } from "../config.js";
import type { Membership } from "../membership.js";
import type { Clock, LogPort, PeerPort, PlatformObject, PlatformPort, Random } from "../ports.js";
import type { InstanceId, KeyId } from "../types.js";
import { checkFleetConfig } from "./fleet-validation.js";
import { keyIndexOf } from "./key-index.js";
import { configFetch } from "./messages.js";
import { describeProblem } from "./problems.js";
import type { Withdrawals } from "./withdrawals.js";

/** Name of the platform object that holds the configuration. */
export const configObject = "config";

/** Options of {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly log: LogPort;
    readonly withdrawals: Withdrawals;
    /** Whether this instance watches the platform; see {@link isConfigWatcher}. */
    readonly isWatcher: () => boolean;
}

type Listener = (next: FleetConfig, previous: FleetConfig | undefined) => void;

const watchTimeoutMs = 30_000;
/** Pause before the next watch after a failed or stale one, which limits the calls to a failing platform. */
const watchPauseMs = 1_000;
const fetchTimeoutMs = 1_000;
/** Number of peers queried at the same time, so that one slow peer does not delay a change. */
const maxConcurrentFetches = 3;
/**
 * Number of instances that watch. The others learn of changes from heartbeats and polls, so the number of watches does
 * not grow with the fleet.
 */
const watcherCount = 6;

/**
 * Whether an instance is one of the few that watch the platform object.
 *
 * @example
 * new ConfigurationStore({ ...ports, isWatcher: () => isConfigWatcher(membership) });
 */
export const isConfigWatcher = (membership: Membership): boolean =>
    membership.replicaSeats("config/watch", watcherCount).some(seat => seat.holder === membership.self);

/**
 * Holds the newest configuration. Only higher revisions are accepted, whatever their source, so an accepted
 * configuration never reverts. The first one comes from a read of the platform or from a peer, never from a watch,
 * because a watch event may be older than what an earlier process of this instance held.
 *
 * @example
 * const store = new ConfigurationStore(options);
 * store.start();
 * await store.refresh();
 * store.current()?.revision;
 */
export class ConfigurationStore implements ConfigView {
    readonly #options: ConfigurationStoreOptions;
    readonly #listeners: Listener[] = [];
    readonly #fetching = new Set<InstanceId>();
    #current: FleetConfig | undefined;
    #highestPeerRevision = 0;
    /** Highest version of the platform object received so far; a watch requests later ones. */
    #objectVersion = 0;
    /** Version of the platform object that was validated last. */
    #validatedVersion = 0;
    #isStarted = false;

    constructor(options: ConfigurationStoreOptions) {
        this.#options = options;
        options.peers.handle(configFetch, (_, { atLeast }) => ({
            config: this.revision >= atLeast ? this.#current : undefined,
        }));
    }

    current(): FleetConfig | undefined {
        return this.#current;
    }

    /** Revision of the current configuration; 0 without one. Heartbeats carry it. */
    get revision(): number {
        return this.#current?.revision ?? 0;
    }

    /** Highest revision that this instance knows of. */
    get knownRevision(): number {
        return Math.max(this.#highestPeerRevision, this.revision);
    }

    /** Whether peers hold a newer configuration or more withdrawals, in which case this instance is not current. */
    isBehind(): boolean {
        return this.knownRevision > this.revision || this.#options.withdrawals.isBehind();
    }

    /** Also true for keys that are not in the configuration, and for all keys while there is no configuration. */
    isWithdrawn(key: KeyId): boolean {
        return this.#current === undefined
            || this.#options.withdrawals.has(key)
            || !keyIndexOf(this.#current).has(key);
    }

    onChange(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /** Starts to watch the platform. */
    start(): void {
        if (!this.#isStarted) {
            this.#isStarted = true;
            void this.#watch();
        }
    }

    stop(): void {
        this.#isStarted = false;
    }

    /**
     * Reads configuration and withdrawals from the platform, and returns the revision held afterwards. Call it at the
     * start and whenever membership reports that a poll is due.
     *
     * @throws PlatformUnavailableError
     */
    async refresh(): Promise<number> {
        const { platform, withdrawals } = this.#options;
        // A withdrawal set that cannot be written must not hold up a configuration that was read.
        const reading = platform.get(configObject).then(object => this.#receiveRead(object));
        await Promise.all([reading, withdrawals.synchronise()]);
        return this.revision;
    }

    /** Call it when a heartbeat carries the revision of a peer. */
    observePeerRevision(peer: InstanceId, revision: number): void {
        this.#highestPeerRevision = Math.max(this.#highestPeerRevision, revision);
        if (revision > this.revision && this.#fetching.size < maxConcurrentFetches && !this.#fetching.has(peer)) {
            void this.#fetch(peer, revision);
        }
    }

    async #fetch(peer: InstanceId, atLeast: number): Promise<void> {
        this.#fetching.add(peer);
        try {
            const reply = await this.#options.peers.call(peer, configFetch, { atLeast }, fetchTimeoutMs);
            if (reply.config !== undefined) {
                this.#accept(reply.config, peer);
            }
        }
        catch {
            // The next heartbeat from an instance with a newer revision triggers a retry.
        }
        finally {
            this.#fetching.delete(peer);
        }
    }

    async #watch(): Promise<void> {
        while (this.#isStarted) {
            if (!await this.#watchOnce()) {
                await this.#pause();
            }
        }
    }

    /** Returns false if the next watch must wait for the pause. */
    async #watchOnce(): Promise<boolean> {
        if (this.#current === undefined || !this.#options.isWatcher()) {
            return false;
        }
        const after = this.#objectVersion;
        try {
            const object = await this.#options.platform.watch(configObject, after, watchTimeoutMs);
            if (object === undefined) {
                return true;
            }
            this.#objectVersion = Math.max(this.#objectVersion, object.version);
            this.#receiveObject(object, false);
            return object.version > after;
        }
        catch {
            return false;
        }
    }

    #pause(): Promise<void> {
        const { clock, random } = this.#options;
        return new Promise(resolve => clock.after(watchPauseMs * (0.75 + random() / 2), resolve));
    }

    #receiveRead(object: PlatformObject | undefined): void {
        if (object !== undefined) {
            this.#objectVersion = object.version;
            this.#receiveObject(object, true);
        }
    }

    #receiveObject(object: PlatformObject, isRead: boolean): void {
        // Each poll reads the object again; a version that was read before is neither validated nor reported again.
        if (object.version === this.#validatedVersion) {
            return;
        }
        const from = `platform/${object.version}`;
        const result = this.#accept(object.value, from);
        if (isRead || result === "invalid") {
            this.#validatedVersion = object.version;
        }
        // A watch event may be stale; a read may not.
        if (result === "older" && isRead) {
            this.#options.log.event("config.reverted", {
                level: "error",
                from,
                kept: this.revision,
                remedy: "the object was written without apply; apply a change with a revision above the kept one",
            });
        }
    }

    #accept(value: unknown, from: string): "accepted" | "unchanged" | "older" | "invalid" {
        const checked = checkFleetConfig(value);
        if (checked.kind === "invalid") {
            const first = checked.problems[0]!;
            this.#options.log.event("config.rejected", {
                level: "error",
                from,
                kept: this.revision,
                problems: checked.problems.length,
                first: describeProblem(first),
                remedy: "apply a valid configuration; the last good one stays in force",
            });
            return "invalid";
        }
        if (this.#current !== undefined && checked.value.revision <= this.revision) {
            return checked.value.revision === this.revision ? "unchanged" : "older";
        }
        const previous = this.#current;
        this.#current = checked.value;
        this.#options.log.event("config.accepted", {
            from,
            revision: checked.value.revision,
            previous: previous?.revision,
            organisations: checked.value.organisations.length,
            routes: checked.value.routes.length,
        });
        this.#listeners.forEach(listener => this.#notify(listener, checked.value, previous));
        return "accepted";
    }

    /** A listener that fails must not keep the others from learning of a change that is already in force. */
    #notify(listener: Listener, next: FleetConfig, previous: FleetConfig | undefined): void {
        try {
            listener(next, previous);
        }
        catch (error) {
            this.#options.log.event("config.listener.failed", {
                level: "error",
                revision: next.revision,
                problem: String(error),
                remedy: "report this as a bug of sniperoad",
            });
        }
    }
}
