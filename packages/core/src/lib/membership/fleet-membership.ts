/** Membership of one running instance: heartbeats, roster, leave. */
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

const noRoster: FleetRoster = { version: 0, seats: [] };

/**
 * Implements {@link Membership} over the ports.
 *
 * @example
 * const membership = new FleetMembership({ info, clock, random, peers, platform, instanceList, configuration, log, metrics });
 * membership.start();
 * const term = membership.homeTerm("rate/org-1/0");
 */
export class FleetMembership implements Membership {
    readonly self: InstanceId;
    readonly zone: ZoneId;
    readonly #options: MembershipOptions;
    readonly #settings: MembershipSettings;
    readonly #state: FleetState;
    readonly #sync: PlatformSync;
    readonly #listing: ListedInstances;
    readonly #listeners: (() => void)[] = [];
    readonly #stopHooks: HandoverHook[] = [];
    readonly #hooks: HandoverHook[] = [];
    #timer: Timer | undefined;
    #isRunning = false;
    #isLeaving = false;
    #isAnnounced = false;
    #startedMs = 0;
    #excludedSeats = "";

    constructor(options: MembershipOptions) {
        this.#options = options;
        this.#settings = { ...defaultMembershipSettings, ...options.settings };
        this.self = options.info.id;
        this.zone = options.info.zone;
        this.#state = new FleetState(this.self, this.#settings, options.exclusionQuorum);
        this.#listing = new ListedInstances(this.self, this.#settings.listIntervalMs);
        this.#sync = new PlatformSync(this.#host(), options, this.#settings);
        const { peers } = options;
        peers.handle(heartbeatMethod, (from, beat) => this.#receive(from, beat));
        peers.handle(rosterMethod, () => ({ ...this.#state.roster ?? noRoster, members: this.liveInstances() }));
        peers.handle(stoppedMethod, (_from, { epoch, lastHeard }) => {
            this.#state.receiveStop(epoch, lastHeard, this.#nowMs());
            this.#changed();
            return {};
        });
        peers.handle(seatMethod, (from, offer) => ({ isAccepted: this.#receiveSeat(from, offer) }));
    }

    /** Starts heartbeats and polls. */
    start(): void {
        this.#isRunning = true;
        this.#startedMs = this.#nowMs();
        (this.#options.seedPeers ?? []).forEach(info => this.#learn(info));
        this.#sync.start();
        this.#beat();
    }

    /** Stops without handing anything over; the instance acts as home no more. */
    stop(): void {
        this.#isRunning = false;
        this.#state.stopActing();
        this.#state.stopVoting();
        this.#timer?.cancel();
        this.#sync.stop();
    }

    /**
     * Registers a hand-over of state that belongs to keys of this home. It is called right before this instance stops
     * acting and must take its state, and stop changing it, before its first pause.
     */
    onStop(hook: HandoverHook): void {
        this.#stopHooks.push(hook);
    }

    /** Registers work to do while this instance leaves, after it has stopped acting as home. */
    onHandover(hook: HandoverHook): void {
        this.#hooks.push(hook);
    }

    /**
     * Tells callers and peers that this instance is about to leave. It goes on acting as home until {@link leave}, so
     * that requests in flight can finish.
     */
    announceLeave(): void {
        this.#isAnnounced = true;
        this.#sendAll();
    }

    /** Leaves for good: hands over what this instance holds, gives the seat away and stops; see `leaveSeat`. */
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
            hooks: this.#hooks,
            stopped: () => {
                this.#sendAll();
                this.#changed();
            },
        });
        this.#sendAll();
        this.stop();
    }

    roster(): Roster {
        return this.#state.roster ?? noRoster;
    }

    isCurrent(): boolean {
        const { configuration } = this.#options;
        return this.#isRunning && configuration.isBehind?.() !== true
            && this.#state.isCurrent(configuration.revision(), this.#nowMs());
    }

    coordinatorOf(key: string): InstanceId | undefined {
        return this.#state.homeOf(key, this.#nowMs());
    }

    /** The home of the key once this instance, its home now, has stopped; undefined if no seat can follow. */
    nextHome(key: string): InstanceId | undefined {
        return this.#state.nextHome(key, this.#nowMs());
    }

    coordinatorTerm(key: string): CoordinatorTerm | undefined {
        return this.#state.homeTerm(key, this.#nowMs());
    }

    replicaSeats(key: string, count: number): readonly Seat[] {
        return this.#state.holders(key, count);
    }

    liveInstances(): readonly InstanceInfo[] {
        const own = this.#isAnnounced || this.#isLeaving || !this.#isRunning ? [] : [this.#options.info];
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

    /** Answers a caller that asks which instances to use. */
    directory(options: Omit<DirectoryOptions, "random"> = {}): DirectoryResponse {
        const { info, random } = this.#options;
        const own = {
            address: info.address,
            zone: info.zone,
            load: this.#load(),
            isLeaving: this.#isAnnounced || this.#isLeaving,
            isCurrent: this.isCurrent(),
        };
        return directoryResponse([own, ...directoryMembers(this.#livePeers())], { ...options, random });
    }

    #host(): ConstructorParameters<typeof PlatformSync>[0] {
        return {
            self: this.self,
            zone: this.zone,
            roster: () => this.#state.roster,
            accept: roster => this.#accept(roster),
            refreshConfiguration: () => this.#options.configuration.refresh(),
            confirm: startedMs => this.#state.confirm(startedMs),
            confirmedMs: () => this.#state.confirmedMs,
            pollerRank: () => pollerRank(this.#state, this.#settings, this.#options.clock),
            isAssignable: index => this.#state.isAssignable(index),
            isConnected: () => isConnected(this.#state, this.#settings, this.#nowMs(), this.#hasEnded),
            vacatable: () => vacatableSeats(this.#state, this.#settings, this.#nowMs(), this.#hasEnded),
            learnListing: listing => this.#learnListing(listing),
            isLeaving: () => this.#isLeaving,
        };
    }

    #beat(): void {
        if (!this.#isRunning) {
            return;
        }
        const nowMs = this.#nowMs();
        const { endedAfterMs, heartbeatMs } = this.#settings;
        this.#state.peers.prune(nowMs - endedAfterMs * 2, peer => seatIndexOf(this.#state.roster, peer) !== undefined);
        this.#state.refreshVersions(this.#hasEnded, nowMs);
        this.#sendAll();
        this.#noticeExclusions(nowMs);
        this.#timer = this.#options.clock.after(heartbeatMs, () => this.#beat());
    }

    #sendAll(): void {
        const nowMs = this.#nowMs();
        const { configuration, info, peers } = this.#options;
        this.#state.roster?.seats.forEach(({ holder }) => {
            if (holder !== undefined && holder !== this.self) {
                this.#state.peers.know(holder, nowMs);
            }
        });
        const report = {
            revision: configuration.revision(),
            withdrawals: configuration.withdrawals(),
            load: this.#load(),
            isLeaving: this.#isAnnounced || this.#isLeaving,
            isStale: !this.isCurrent(),
            about: this.#isAnnounced || this.#isLeaving ? { ...info, state: "leaving" as const } : info,
        };
        this.#state.beginRound(nowMs);
        for (const peer of this.#state.peers.all()) {
            peers.notify(peer.id, heartbeatMethod, this.#state.compose(peer, report, nowMs));
        }
    }

    #receive(from: InstanceId, beat: Heartbeat): void {
        const { configuration, peers } = this.#options;
        const peer = this.#isRunning ? this.#state.receive(from, beat, this.#nowMs()) : undefined;
        if (peer === undefined) {
            return;
        }
        if (beat.about !== undefined) {
            peers.setAddress(from, beat.about.peerAddress);
        }
        if (beat.revision > configuration.revision() || beat.withdrawals !== configuration.withdrawals()) {
            configuration.onPeerMismatch(from, beat.revision, beat.withdrawals);
        }
        if (this.#state.isBehind(beat) && !peer.isFetching) {
            void this.#fetch(peer);
        }
    }

    async #fetch(peer: PeerState): Promise<void> {
        peer.isFetching = true;
        try {
            const reply = await this.#options.peers.call(peer.id, rosterMethod, {}, this.#settings.callTimeoutMs);
            reply.members.forEach(info => this.#learn(info));
            if (reply.version > 0) {
                this.#accept({ version: reply.version, seats: reply.seats });
            }
        }
        catch {
            // The next heartbeat of any instance that holds the version asks again.
            this.#options.metrics.increment("sniperoad.membership.fetch_failed");
        }
        finally {
            peer.isFetching = false;
        }
    }

    #receiveSeat(from: InstanceId, { index, seat }: SeatOffer): boolean {
        const held = this.#state.roster?.seats[index];
        const isOwn = seat.holder === this.self;
        if (isOwn && held?.holder === this.self && held.epoch === seat.epoch) {
            return true;
        }
        if (isOwn && (!this.#isRunning || this.#isLeaving || this.#state.ownIndex !== undefined)) {
            return false;
        }
        const isAccepted = this.#state.acceptHandover(from, index, seat, this.#nowMs());
        if (isAccepted) {
            this.#options.log.event("membership.seat", { seat: seat.id, from, to: seat.holder, epoch: seat.epoch });
            this.#changed();
        }
        return isAccepted && isOwn;
    }

    #accept(roster: FleetRoster): void {
        if (this.#state.accept(roster, this.#nowMs())) {
            const seat = this.#state.ownIndex === undefined ? undefined : roster.seats[this.#state.ownIndex]?.id;
            this.#options.log.event("membership.roster", { version: roster.version, seat });
            this.#changed();
        }
    }

    readonly #hasEnded = (instance: InstanceId): boolean => {
        const nowMs = this.#nowMs();
        const heardMs = Math.max(this.#startedMs, this.#state.peers.get(instance)?.heardMs ?? 0);
        return nowMs - heardMs >= this.#settings.endedAfterMs && this.#listing.isUnlisted(instance, nowMs);
    };

    #learn(info: InstanceInfo): void {
        if (info.id !== this.self) {
            const peer = this.#state.peers.know(info.id, this.#nowMs());
            peer.info ??= info;
            this.#options.peers.setAddress(info.id, info.peerAddress);
        }
    }

    #learnListing({ instances }: InstanceListing): void {
        this.#listing.learn(instances.map(info => info.id), this.#nowMs());
        instances.forEach(info => this.#learn(info));
    }

    #livePeers(): readonly PeerState[] {
        return livePeers(this.#state, this.#settings, this.#nowMs());
    }

    #noticeExclusions(nowMs: number): void {
        const excluded = excludedSeats(this.#state, nowMs);
        if (excluded !== this.#excludedSeats) {
            this.#excludedSeats = excluded;
            this.#options.log.event("membership.excluded", { seats: excluded });
            this.#changed();
        }
    }

    #changed(): void {
        this.#listeners.forEach(listener => listener());
    }

    #load(): number {
        return this.#options.load?.() ?? 0;
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }
}
