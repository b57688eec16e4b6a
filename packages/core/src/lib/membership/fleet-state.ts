/** Membership logic without timers and ports: composes heartbeats and evaluates received ones. */
import type { CoordinatorTerm, Seat } from "../membership.js";
import { rankSeats } from "../rendezvous.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import { Coordinators } from "./coordinators.js";
import type { Heartbeat, StoppedNotice } from "./messages.js";
import type { PeerState } from "./peer-table.js";
import { PeerTable } from "./peer-table.js";
import type { FleetRoster, FleetSeat } from "./seats.js";
import { isHandoverOf, mergeRosters, rosterDigest, seatIndexOf, withSeat } from "./seats.js";
import type { MembershipSettings } from "./settings.js";
import { quorumOf } from "./settings.js";
import { VoteTally } from "./vote-tally.js";
import { Voter } from "./voter.js";

/** The part of a heartbeat that describes its sender; {@link FleetState} fills in the other fields. */
export interface OwnReport {
    readonly revision: number;
    readonly withdrawals: number;
    /** Share of the instance's capacity in use, 0 to 1. */
    readonly load: number;
    readonly isLeaving: boolean;
    /** Whether the instance is not current. */
    readonly isStale: boolean;
    readonly about: InstanceInfo;
}

/** Number of heartbeat rounds with kept send times: 12.8 s by default, more than a lease or `currentWindowMs`. */
const maxKeptRounds = 32;

/** Membership state of one instance. Every method that depends on time takes the current monotonic time. */
export class FleetState {
    readonly peers = new PeerTable();
    readonly self: InstanceId;
    readonly #settings: MembershipSettings;
    readonly #voter: Voter;
    readonly #tally: VoteTally;
    readonly #rounds: { readonly sequence: number; readonly sentMs: number; }[] = [];
    readonly #coordinators: Coordinators;
    #sequence = 0;
    #roster: FleetRoster | undefined;
    #digest = 0;
    #ownIndex: number | undefined;
    /** Epochs that the heartbeats of the current round exclude. */
    #excludes: readonly number[] = [];
    #isActing = true;
    /** Heartbeat field with the epoch under which this instance has stopped acting; empty until then. */
    #stopped: Pick<Heartbeat, "stopped"> = {};
    /** Highest roster version that was held or received in a heartbeat. */
    #newestRoster = 0;
    /** Highest configuration revision received in a heartbeat. */
    #newestRevision = 0;
    #ownConfirmedMs = -Infinity;
    #peerConfirmedMs = -Infinity;
    /** When each instance lost or handed over its seat. */
    readonly #seatLostMs = new Map<InstanceId, number>();

    constructor(self: InstanceId, settings: MembershipSettings, exclusionQuorum?: (seats: number) => number) {
        this.self = self;
        this.#settings = settings;
        this.#voter = new Voter(settings);
        this.#tally = new VoteTally(settings, exclusionQuorum);
        this.#coordinators = new Coordinators(self, this.#tally);
    }

    get roster(): FleetRoster | undefined {
        return this.#roster;
    }

    get ownIndex(): number | undefined {
        return this.#ownIndex;
    }

    /** Last time at which this instance or a peer is known to have reached the platform. */
    get confirmedMs(): number {
        return Math.max(this.#ownConfirmedMs, this.#peerConfirmedMs);
    }

    /** Whether neither this instance nor a peer has reached the platform recently. */
    isPlatformUnavailable(nowMs: number): boolean {
        return nowMs - this.confirmedMs >= this.#settings.currentWindowMs;
    }

    /** Permanently stops acting as coordinator. */
    stopActing(): void {
        this.#isActing = false;
    }

    /** Composes the notice that this instance has permanently stopped acting; later heartbeats repeat its epoch. */
    composeStop(): Omit<StoppedNotice, "lastHeard"> | undefined {
        const seat = this.#roster?.seats[this.#ownIndex ?? -1];
        this.#stopped = seat === undefined ? {} : { stopped: seat.epoch };
        return seat === undefined ? undefined : { index: this.#ownIndex!, epoch: seat.epoch };
    }

    /** Records a stop notice, for any roster version. `lastHeard` is a sequence number of this instance. */
    receiveStop(epoch: number, lastHeard: number | undefined, nowMs: number): void {
        const lastActiveMs = this.#rounds.find(round => round.sequence === lastHeard)?.sentMs;
        this.#tally.addStop(epoch, lastActiveMs ?? -Infinity, nowMs);
    }

    /** Permanently stops voting. Call it only after {@link stopActing}. */
    stopVoting(): void {
        this.#voter.stop();
        this.#excludes = [];
    }

    /** Records that roster and configuration were read from the platform by reads that started at `startedMs`. */
    confirm(startedMs: number): void {
        this.#ownConfirmedMs = Math.max(this.#ownConfirmedMs, startedMs);
    }

    /** Accepts a roster if it is newer than the held one. Returns whether it was accepted. */
    accept(received: FleetRoster, nowMs: number): boolean {
        const merged = mergeRosters(this.#roster, received);
        if (merged === this.#roster) {
            return false;
        }
        this.#setRoster(merged, nowMs);
        return true;
    }

    /** Accepts a handover from the holder itself. Returns false if the sender does not hold the seat. */
    acceptHandover(from: InstanceId, index: number, seat: FleetSeat, nowMs: number): boolean {
        const held = this.#roster?.seats[index];
        if (held?.holder !== from || !isHandoverOf(seat, held) || seat.epoch !== held.epoch + 1) {
            return false;
        }
        this.#setRoster(withSeat(this.#roster!, index, { ...held, ...seat }), nowMs);
        return true;
    }

    /** Starts a round of heartbeats: sets the send time and the exclusions of the round. */
    beginRound(nowMs: number): void {
        this.#sequence++;
        this.#rounds.push({ sequence: this.#sequence, sentMs: nowMs });
        if (this.#rounds.length > maxKeptRounds) {
            this.#rounds.shift();
        }
        if (this.#roster === undefined) {
            return;
        }
        this.#excludes = this.#voter.exclude(this.#roster, holder => this.peers.get(holder), nowMs);
        if (this.#ownIndex !== undefined && this.#excludes.length > 0) {
            this.#tally.addExclusions(this.#ownIndex, this.#excludes, nowMs + this.#settings.leaseMs, nowMs);
        }
    }

    /** Composes this round's heartbeat for one peer. A grant in it is binding for this instance. */
    compose(peer: PeerState, report: OwnReport, nowMs: number): Heartbeat {
        const seat = seatIndexOf(this.#roster, peer.id);
        const grant = seat === undefined || peer.sequence < 0 ? undefined : this.#voter.grant(seat, peer, nowMs);
        const hasVotes = this.#ownIndex !== undefined && (grant !== undefined || this.#excludes.length > 0);
        const ageMs = Math.ceil((nowMs - this.#ownConfirmedMs) * (1 + this.#settings.maxDriftRatio));
        const isKnownToPeer = nowMs - peer.contactMs < this.#settings.currentWindowMs;
        return {
            sequence: this.#sequence,
            ...(peer.sequence < 0 ? {} : { echo: peer.sequence }),
            ...(grant === undefined ? {} : { grant }),
            ...this.#stopped,
            ...(hasVotes ? { voter: this.#roster!.seats[this.#ownIndex!]!.epoch } : {}),
            roster: this.#roster?.version ?? 0,
            digest: this.#digest,
            revision: report.revision,
            withdrawals: report.withdrawals,
            ...(ageMs < this.#settings.currentWindowMs ? { confirmedMs: ageMs } : {}),
            ...(this.#excludes.length === 0 ? {} : { excludes: this.#excludes }),
            load: Math.round(Math.min(1, Math.max(0, report.load)) * 100),
            ...(report.isLeaving ? { leaving: true } : {}),
            ...(report.isStale ? { stale: true } : {}),
            ...(isKnownToPeer ? {} : { about: report.about }),
        };
    }

    /** Processes a heartbeat. Returns its sender, or undefined if a later heartbeat has already arrived. */
    receive(from: InstanceId, heartbeat: Heartbeat, nowMs: number): PeerState | undefined {
        const peer = this.peers.getOrCreate(from, nowMs);
        if (heartbeat.sequence <= peer.sequence) {
            return undefined;
        }
        peer.sequence = heartbeat.sequence;
        peer.receivedMs = nowMs;
        peer.info = heartbeat.about ?? peer.info;
        peer.load = heartbeat.load / 100;
        peer.isLeaving = heartbeat.leaving === true;
        peer.isStale = heartbeat.stale === true;
        if (heartbeat.stopped !== undefined) {
            this.receiveStop(heartbeat.stopped, undefined, nowMs);
        }
        this.#newestRoster = Math.max(this.#newestRoster, heartbeat.roster);
        this.#newestRevision = Math.max(this.#newestRevision, heartbeat.revision);
        if (heartbeat.roster > peer.rosterVersion) {
            peer.rosterVersion = heartbeat.roster;
            this.updateHeldVersions(() => false, nowMs);
        }
        const sentMs = this.#rounds.find(round => round.sequence === heartbeat.echo)?.sentMs;
        if (sentMs !== undefined) {
            peer.contactMs = Math.max(peer.contactMs, sentMs);
            if (heartbeat.confirmedMs !== undefined) {
                this.#peerConfirmedMs = Math.max(this.#peerConfirmedMs, sentMs - heartbeat.confirmedMs);
            }
            peer.ahead = heartbeat.roster > (this.#roster?.version ?? 0) ? { heartbeat, sentMs } : undefined;
            if (peer.ahead === undefined) {
                this.#countVotes(from, heartbeat, sentMs, nowMs);
            }
        }
        return peer;
    }

    /** Whether the sender of a heartbeat holds a roster that this instance does not have. */
    isBehind(heartbeat: Heartbeat): boolean {
        const version = this.#roster?.version ?? 0;
        return heartbeat.roster > version
            || (heartbeat.roster > 0 && heartbeat.roster === version && heartbeat.digest !== this.#digest);
    }

    /** Updates which versions a quorum holds. Dead holders count as holding every version. */
    updateHeldVersions(isDead: (holder: InstanceId) => boolean, nowMs: number): void {
        const versions = this.#roster?.seats.map(({ holder }) => {
            if (holder === this.self) {
                return this.#roster!.version;
            }
            const version = holder === undefined ? 0 : this.peers.get(holder)?.rosterVersion ?? 0;
            return holder !== undefined && isDead(holder) ? Infinity : version;
        });
        if (versions !== undefined) {
            this.#tally.setHeldVersions(versions, nowMs);
        }
    }

    /** Whether a vacant seat may be assigned: no quorum remains at a version at which the seat was held. */
    isAssignable(index: number): boolean {
        const seat = this.#roster?.seats[index];
        return seat !== undefined && seat.holder === undefined
            && (seat.epoch === 0 || this.#tally.isAdoptedByQuorum(index));
    }

    /** Time since which a quorum excludes the seat or its vacancy is effective; undefined if its holder may act. */
    excludedSinceMs(index: number, nowMs: number): number | undefined {
        return this.#tally.excludedSinceMs(index, nowMs);
    }

    isCurrent(revision: number, nowMs: number): boolean {
        if (
            this.#roster === undefined || this.#newestRoster > this.#roster.version || this.#newestRevision > revision
        ) {
            return false;
        }
        const sinceMs = nowMs - this.#settings.currentWindowMs;
        if (this.confirmedMs > sinceMs) {
            return true;
        }
        const inContact = this.#roster.seats.filter(({ holder }) =>
            holder !== undefined && (holder === this.self || (this.peers.get(holder)?.contactMs ?? -Infinity) > sinceMs)
        );
        return inContact.length >= quorumOf(this.#roster.seats.length);
    }

    /**
     * Whether the instance is excluded, or has no seat and no two-way contact since it lost the seat or for too long:
     * for `deadAfterMs`, or for `currentWindowMs` and a lease if it was leaving.
     */
    isGone(instance: InstanceId, startedMs: number, nowMs: number): boolean {
        const index = seatIndexOf(this.#roster, instance);
        if (index !== undefined) {
            // An instance that has stopped acting as coordinator still hands over its claims, so only votes count here.
            return this.#tally.excludedByVotesSinceMs(index, nowMs) !== undefined;
        }
        const peer = this.peers.get(instance);
        const contactMs = peer?.contactMs ?? -Infinity;
        const lostMs = this.#seatLostMs.get(instance);
        const { currentWindowMs, leaseMs, deadAfterMs } = this.#settings;
        const contactTimeoutMs = peer?.isLeaving === true ? currentWindowMs + leaseMs : deadAfterMs;
        const isLost = lostMs !== undefined && contactMs <= lostMs;
        return isLost || nowMs - Math.max(startedMs, peer?.knownMs ?? 0, contactMs) >= contactTimeoutMs;
    }

    coordinatorOf(key: string, nowMs: number): InstanceId | undefined {
        return this.#roster === undefined ? undefined : this.#coordinators.coordinatorOf(this.#roster, key, nowMs);
    }

    /** The instance that becomes coordinator of the key after this instance has stopped. */
    nextCoordinator(key: string, nowMs: number): InstanceId | undefined {
        const isStaying = (holder: InstanceId) => this.peers.get(holder)?.isLeaving !== true;
        return this.#roster === undefined
            ? undefined
            : this.#coordinators.nextCoordinator(this.#roster, key, nowMs, isStaying);
    }

    coordinatorTerm(key: string, nowMs: number): CoordinatorTerm | undefined {
        return this.#isActing && this.#roster !== undefined && this.#ownIndex !== undefined
            ? this.#coordinators.coordinatorTerm(this.#roster, this.#ownIndex, key, nowMs)
            : undefined;
    }

    replicaSeats(key: string, count: number): readonly Seat[] {
        // A seat that was never held has no zone and no state. Vacated seats keep their rank.
        const ranked = rankSeats(this.#roster?.seats ?? [], key).filter(seat => seat.zone !== undefined);
        const zones = new Set<ZoneId | undefined>();
        const first = ranked.filter(seat => !zones.has(seat.zone) && zones.add(seat.zone));
        return [...first, ...ranked.filter(seat => !first.includes(seat))].slice(0, count);
    }

    /** Counts the votes of a heartbeat. Votes at a roster version newer than the held one must not be counted. */
    #countVotes(from: InstanceId, heartbeat: Heartbeat, sentMs: number, nowMs: number): void {
        const voter = seatIndexOf(this.#roster, from);
        // A delayed vote for a seat that the sender held earlier must not count for its current seat.
        if (voter === undefined || heartbeat.voter !== this.#roster!.seats[voter]!.epoch) {
            return;
        }
        const untilMs = sentMs + this.#settings.leaseMs;
        if (this.#ownIndex !== undefined && heartbeat.grant === this.#roster!.seats[this.#ownIndex]!.epoch) {
            this.#tally.addGrant(voter, untilMs, nowMs);
        }
        this.#tally.addExclusions(voter, heartbeat.excludes ?? [], untilMs, nowMs);
    }

    #setRoster(roster: FleetRoster, nowMs: number): void {
        for (const [instance, lostMs] of this.#seatLostMs) {
            if (nowMs - lostMs > 2 * this.#settings.deadAfterMs) {
                this.#seatLostMs.delete(instance);
            }
        }
        this.#roster?.seats.forEach(({ holder }) => {
            if (holder !== undefined && seatIndexOf(roster, holder) === undefined) {
                this.#seatLostMs.set(holder, nowMs);
            }
        });
        this.#roster = roster;
        this.#digest = rosterDigest(roster);
        this.#ownIndex = seatIndexOf(roster, this.self);
        this.#newestRoster = Math.max(this.#newestRoster, roster.version);
        this.#voter.setRoster(roster, this.#ownIndex, nowMs);
        this.#tally.setRoster(roster, this.#ownIndex, nowMs);
        this.updateHeldVersions(() => false, nowMs);
        for (const peer of this.peers.all()) {
            if (peer.ahead !== undefined && peer.ahead.heartbeat.roster <= roster.version) {
                this.#countVotes(peer.id, peer.ahead.heartbeat, peer.ahead.sentMs, nowMs);
                peer.ahead = undefined;
            }
        }
    }
}
