/** Cluster membership of one running instance: heartbeats, roster and leaving. */
import type { CoordinatorTerm, Membership, Roster, Seat } from "../membership.js";
import type { InstanceListing, Timer } from "../ports.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import type { DirectoryOptions, DirectoryResponse } from "./directory.js";
import { directoryResponse } from "./directory.js";
import {
    directoryMembers,
    excludedSeats,
    isConnected,
    livePeers,
    pollerRank,
    vacatableSeats,
} from "./fleet-queries.js";
import { FleetState } from "./fleet-state.js";
import { leaveSeat } from "./handover.js";
import { ListedInstances } from "./listed-instances.js";
import type { Heartbeat, SeatOffer } from "./messages.js";
import { heartbeatMethod, rosterMethod, seatMethod, stoppedMethod } from "./messages.js";
import type { HandoverHook, MembershipOptions } from "./options.js";
import type { PeerState } from "./peer-table.js";
import { PlatformSync } from "./platform-sync.js";
import type { FleetRoster } from "./seats.js";
import { seatIndexOf } from "./seats.js";
import type { MembershipSettings } from "./settings.js";
import { defaultMembershipSettings } from "./settings.js";

const emptyRoster: FleetRoster = { version: 0, seats: [] };

/**
 * Implements {@link Membership} on top of the ports.
 *
 * @example
 * const membership = new FleetMembership(options);
 * membership.start();
 * const term = membership.coordinatorTerm("rate/org-1/0");
 */
export class FleetMembership implements Membership {
    readonly self: InstanceId;
    readonly zone: ZoneId;
    readonly #options: MembershipOptions;
    readonly #settings: MembershipSettings;
    readonly #state: FleetState;
    readonly #sync: PlatformSync;
    readonly #listedInstances: ListedInstances;
    readonly #listeners: (() => void)[] = [];
    readonly #stopHooks: HandoverHook[] = [];
    readonly #handoverHooks: HandoverHook[] = [];
    #timer: Timer | undefined;
    #isRunning = false;
    #isLeaving = false;
    #isLeaveAnnounced = false;
    #startedMs = 0;
    #excludedSeats = "";

    constructor(options: MembershipOptions) {
        this.#options = options;
        this.#settings = { ...defaultMembershipSettings, ...options.settings };
        this.self = options.info.id;
        this.zone = options.info.zone;
        this.#state = new FleetState(this.self, this.#settings, options.exclusionQuorum);
        this.#listedInstances = new ListedInstances(this.self, this.#settings.listIntervalMs);
        this.#sync = new PlatformSync(this.#createSyncHost(), options, this.#settings);
        const { peers } = options;
        peers.handle(heartbeatMethod, (from, heartbeat) => this.#receiveHeartbeat(from, heartbeat));
        peers.handle(rosterMethod, () => ({ ...this.#state.roster ?? emptyRoster, members: this.liveInstances() }));
        peers.handle(stoppedMethod, (_from, { epoch, lastHeard }) => {
            this.#state.receiveStop(epoch, lastHeard, this.#nowMs());
            this.#notifyListeners();
            return {};
        });
        peers.handle(seatMethod, (from, offer) => ({ isAccepted: this.#receiveSeatOffer(from, offer) }));
    }

    /** Starts sending heartbeats and polling the platform. */
    start(): void {
        this.#isRunning = true;
        this.#startedMs = this.#nowMs();
        (this.#options.seedPeers ?? []).forEach(info => this.#addPeer(info));
        this.#sync.start();
        this.#tick();
    }

    /** Stops without a handover; the instance no longer acts as coordinator. */
    stop(): void {
        this.#isRunning = false;
        this.#state.stopActing();
        this.#state.stopVoting();
        this.#timer?.cancel();
        this.#sync.stop();
    }

    /**
     * Registers a hook that hands over the state of keys of which this instance is coordinator. The hook is called
     * immediately before this instance stops acting. Before its first `await`, it must capture the state, which must
     * not change afterwards.
     */
    onBeforeStop(hook: HandoverHook): void {
        this.#stopHooks.push(hook);
    }

    /** Registers a hook that runs while this instance leaves, after it has stopped acting as coordinator. */
    onHandover(hook: HandoverHook): void {
        this.#handoverHooks.push(hook);
    }

    /**
     * Informs callers and peers that this instance is about to leave. It continues to act as coordinator until the call
     * of {@link leave}, so that requests in flight can finish.
     */
    announceLeave(): void {
        this.#isLeaveAnnounced = true;
        this.#sendHeartbeats();
    }

    /** Leaves permanently: hands over state, gives up the seat and stops; see `leaveSeat`. */
    async leave(): Promise<void> {
        if (this.#isLeaving) {
            return;
        }
        this.#isLeaving = true;
        await leaveSeat({
            state: this.#state,
            sync: this.#sync,
            settings: this.#settings,
            ports: this.#options,
            stopHooks: this.#stopHooks,
            handoverHooks: this.#handoverHooks,
            stopped: () => {
                this.#sendHeartbeats();
                this.#notifyListeners();
            },
        });
        this.#sendHeartbeats();
        this.stop();
    }

    roster(): Roster {
        return this.#state.roster ?? emptyRoster;
    }

    isCurrent(): boolean {
        const { configuration } = this.#options;
        return this.#isRunning && configuration.isBehind?.() !== true
            && this.#state.isCurrent(configuration.revision(), this.#nowMs());
    }

    coordinatorOf(key: string): InstanceId | undefined {
        return this.#state.coordinatorOf(key, this.#nowMs());
    }

    /** The instance that becomes coordinator of the key after this instance has stopped; undefined if there is none. */
    nextCoordinator(key: string): InstanceId | undefined {
        return this.#state.nextCoordinator(key, this.#nowMs());
    }

    coordinatorTerm(key: string): CoordinatorTerm | undefined {
        return this.#state.coordinatorTerm(key, this.#nowMs());
    }

    replicaSeats(key: string, count: number): readonly Seat[] {
        return this.#state.replicaSeats(key, count);
    }

    liveInstances(): readonly InstanceInfo[] {
        const own = this.#isLeaveAnnounced || this.#isLeaving || !this.#isRunning ? [] : [this.#options.info];
        return [...own, ...this.#livePeers().flatMap(peer => peer.info ?? [])];
    }

    isGone(instance: InstanceId): boolean {
        return instance === this.self
            ? !this.#isRunning
            : this.#state.isGone(instance, this.#startedMs, this.#nowMs());
    }

    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Returns the instances that a caller should use. */
    directory(options: Omit<DirectoryOptions, "random"> = {}): DirectoryResponse {
        const { info, random } = this.#options;
        const own = {
            address: info.address,
            zone: info.zone,
            load: this.#load(),
            isLeaving: this.#isLeaveAnnounced || this.#isLeaving,
            isCurrent: this.isCurrent(),
        };
        return directoryResponse([own, ...directoryMembers(this.#livePeers())], { ...options, random });
    }

    #createSyncHost(): ConstructorParameters<typeof PlatformSync>[0] {
        return {
            self: this.self,
            zone: this.zone,
            roster: () => this.#state.roster,
            accept: roster => this.#acceptRoster(roster),
            refreshConfiguration: () => this.#options.configuration.refresh(),
            confirm: startedMs => this.#state.confirm(startedMs),
            confirmedMs: () => this.#state.confirmedMs,
            pollerRank: () => pollerRank(this.#state, this.#settings, this.#options.clock),
            isAssignable: index => this.#state.isAssignable(index),
            isConnected: () => isConnected(this.#state, this.#settings, this.#nowMs(), this.#isDead),
            vacatable: () => vacatableSeats(this.#state, this.#settings, this.#nowMs(), this.#isDead),
            updateListing: listing => this.#updateListing(listing),
            isLeaving: () => this.#isLeaving,
        };
    }

    #tick(): void {
        if (!this.#isRunning) {
            return;
        }
        const nowMs = this.#nowMs();
        const { deadAfterMs, heartbeatMs } = this.#settings;
        this.#state.peers.prune(nowMs - deadAfterMs * 2, peer => seatIndexOf(this.#state.roster, peer) !== undefined);
        this.#state.updateHeldVersions(this.#isDead, nowMs);
        this.#sendHeartbeats();
        this.#reportExclusions(nowMs);
        this.#timer = this.#options.clock.after(heartbeatMs, () => this.#tick());
    }

    #sendHeartbeats(): void {
        const nowMs = this.#nowMs();
        const { configuration, info, peers } = this.#options;
        this.#state.roster?.seats.forEach(({ holder }) => {
            if (holder !== undefined && holder !== this.self) {
                this.#state.peers.getOrCreate(holder, nowMs);
            }
        });
        const report = {
            revision: configuration.revision(),
            withdrawals: configuration.withdrawals(),
            load: this.#load(),
            isLeaving: this.#isLeaveAnnounced || this.#isLeaving,
            isStale: !this.isCurrent(),
            about: this.#isLeaveAnnounced || this.#isLeaving ? { ...info, state: "leaving" as const } : info,
        };
        this.#state.beginRound(nowMs);
        for (const peer of this.#state.peers.all()) {
            peers.notify(peer.id, heartbeatMethod, this.#state.compose(peer, report, nowMs));
        }
    }

    #receiveHeartbeat(from: InstanceId, heartbeat: Heartbeat): void {
        const { configuration, peers } = this.#options;
        const peer = this.#isRunning ? this.#state.receive(from, heartbeat, this.#nowMs()) : undefined;
        if (peer === undefined) {
            return;
        }
        if (heartbeat.about !== undefined) {
            peers.setAddress(from, heartbeat.about.peerAddress);
        }
        if (heartbeat.revision > configuration.revision() || heartbeat.withdrawals !== configuration.withdrawals()) {
            configuration.onPeerMismatch(from, heartbeat.revision, heartbeat.withdrawals);
        }
        if (this.#state.isBehind(heartbeat) && !peer.isFetching) {
            void this.#fetchRoster(peer);
        }
    }

    async #fetchRoster(peer: PeerState): Promise<void> {
        peer.isFetching = true;
        try {
            const reply = await this.#options.peers.call(peer.id, rosterMethod, {}, this.#settings.callTimeoutMs);
            reply.members.forEach(info => this.#addPeer(info));
            if (reply.version > 0) {
                this.#acceptRoster({ version: reply.version, seats: reply.seats });
            }
        }
        catch {
            // The next heartbeat from any instance that holds the version triggers another fetch.
            this.#options.metrics.increment("sniperoad.membership.fetch_failed");
        }
        finally {
            peer.isFetching = false;
        }
    }

    /** Processes a seat offer or the notice of another handover. Returns whether this instance now holds the seat. */
    #receiveSeatOffer(from: InstanceId, { index, seat }: SeatOffer): boolean {
        const held = this.#state.roster?.seats[index];
        const isForSelf = seat.holder === this.self;
        if (isForSelf && held?.holder === this.self && held.epoch === seat.epoch) {
            return true;
        }
        if (isForSelf && (!this.#isRunning || this.#isLeaving || this.#state.ownIndex !== undefined)) {
            return false;
        }
        const isAccepted = this.#state.acceptHandover(from, index, seat, this.#nowMs());
        if (isAccepted) {
            this.#options.log.event("membership.seat", { seat: seat.id, from, to: seat.holder, epoch: seat.epoch });
            this.#notifyListeners();
        }
        return isAccepted && isForSelf;
    }

    #acceptRoster(roster: FleetRoster): void {
        if (this.#state.accept(roster, this.#nowMs())) {
            const seat = this.#state.ownIndex === undefined ? undefined : roster.seats[this.#state.ownIndex]?.id;
            this.#options.log.event("membership.roster", { version: roster.version, seat });
            this.#notifyListeners();
        }
    }

    readonly #isDead = (instance: InstanceId): boolean => {
        const nowMs = this.#nowMs();
        const receivedMs = Math.max(this.#startedMs, this.#state.peers.get(instance)?.receivedMs ?? 0);
        return nowMs - receivedMs >= this.#settings.deadAfterMs && this.#listedInstances.isUnlisted(instance, nowMs);
    };

    #addPeer(info: InstanceInfo): void {
        if (info.id !== this.self) {
            const peer = this.#state.peers.getOrCreate(info.id, this.#nowMs());
            peer.info ??= info;
            this.#options.peers.setAddress(info.id, info.peerAddress);
        }
    }

    #updateListing({ instances }: InstanceListing): void {
        this.#listedInstances.update(instances.map(info => info.id), this.#nowMs());
        instances.forEach(info => this.#addPeer(info));
    }

    #livePeers(): readonly PeerState[] {
        return livePeers(this.#state, this.#settings, this.#nowMs());
    }

    #reportExclusions(nowMs: number): void {
        const excluded = excludedSeats(this.#state, nowMs);
        if (excluded !== this.#excludedSeats) {
            this.#excludedSeats = excluded;
            this.#options.log.event("membership.excluded", { seats: excluded });
            this.#notifyListeners();
        }
    }

    #notifyListeners(): void {
        this.#listeners.forEach(listener => listener());
    }

    #load(): number {
        return this.#options.load?.() ?? 0;
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }
}
