/** The decisions of membership without timers and ports: what heartbeats say and what follows from them. */
import type { CoordinatorTerm, Seat } from "../membership.js";
import { rankSeats } from "../rendezvous.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import { Coordinators } from "./coordinators.js";
import type { Heartbeat, StoppedNotice } from "./messages.js";
import type { PeerState } from "./peer-table.js";
import { PeerTable } from "./peer-table.js";
import { Rights } from "./rights.js";
import type { FleetRoster, FleetSeat } from "./seats.js";
import { isHandoverOf, mergeRosters, rosterDigest, seatIndexOf, withSeat } from "./seats.js";
import type { MembershipSettings } from "./settings.js";
import { quorumOf } from "./settings.js";
import { Voter } from "./voter.js";

/** What a heartbeat says of its sender besides the fields that membership fills in. */
export interface OwnReport {
    readonly revision: number;
    readonly withdrawals: number;
    readonly load: number;
    readonly isLeaving: boolean;
    readonly isStale: boolean;
    readonly about: InstanceInfo;
}

/** Sending times are kept for this many heartbeats, longer than any window. */
const keptSendings = 32;

/** State of one instance. Every question takes the monotonic time at which it is asked. */
export class FleetState {
    readonly peers = new PeerTable();
    readonly self: InstanceId;
    readonly #settings: MembershipSettings;
    readonly #voter: Voter;
    readonly #rights: Rights;
    readonly #sendings: { readonly sequence: number; readonly sentMs: number; }[] = [];
    readonly #homes: Coordinators;
    #sequence = 0;
    #roster: FleetRoster | undefined;
    #digest = 0;
    #ownIndex: number | undefined;
    #excludes: readonly number[] = [];
    #isActing = true;
    /** Names the epoch under which this instance has stopped acting, once it says so. */
    #stopped: Pick<Heartbeat, "stopped"> = {};
    #newestRoster = 0;
    #newestRevision = 0;
    #ownConfirmedMs = -Infinity;
    #peerConfirmedMs = -Infinity;
    /** When instances lost or handed over their seats. */
    readonly #lostSeatMs = new Map<InstanceId, number>();

    constructor(self: InstanceId, settings: MembershipSettings, exclusionQuorum?: (seats: number) => number) {
        this.self = self;
        this.#settings = settings;
        this.#voter = new Voter(settings);
        this.#rights = new Rights(settings, exclusionQuorum);
        this.#homes = new Coordinators(self, this.#rights);
    }

    get roster(): FleetRoster | undefined {
        return this.#roster;
    }

    get ownIndex(): number | undefined {
        return this.#ownIndex;
    }

    /** Newest time at which the platform is known to have been reached by this instance or by a peer. */
    get confirmedMs(): number {
        return Math.max(this.#ownConfirmedMs, this.#peerConfirmedMs);
    }

    /** Whether neither this instance nor a peer has reached the platform recently. */
    isPlatformAway(nowMs: number): boolean {
        return nowMs - this.confirmedMs >= this.#settings.currentWindowMs;
    }

    /** Ends acting as home for good. */
    stopActing(): void {
        this.#isActing = false;
    }

    /** What a leaver that has stopped acting says of its seat, for good; see {@link StoppedNotice}. */
    composeStop(): Omit<StoppedNotice, "lastHeard"> | undefined {
        const seat = this.#roster?.seats[this.#ownIndex ?? -1];
        this.#stopped = seat === undefined ? {} : { stopped: seat.epoch };
        return seat === undefined ? undefined : { index: this.#ownIndex!, epoch: seat.epoch };
    }

    /** Takes in the word of a leaver, of any roster version. `lastHeard` is a sequence number of this instance. */
    receiveStop(epoch: number, lastHeard: number | undefined, nowMs: number): void {
        const heardMs = this.#sendings.find(sending => sending.sequence === lastHeard)?.sentMs;
        this.#rights.addStop(epoch, heardMs ?? -Infinity, nowMs);
    }

    /** Ends voting for good; only after {@link stopActing}. */
    stopVoting(): void {
        this.#voter.stop();
        this.#excludes = [];
    }

    /** Takes note that both versions were read from the platform, by reads that started at `startedMs`. */
    confirm(startedMs: number): void {
        this.#ownConfirmedMs = Math.max(this.#ownConfirmedMs, startedMs);
    }

    /** Accepts a roster if it is newer than the held one. Returns whether it was. */
    accept(seen: FleetRoster, nowMs: number): boolean {
        const merged = mergeRosters(this.#roster, seen);
        if (merged === this.#roster) {
            return false;
        }
        this.#setRoster(merged, nowMs);
        return true;
    }

    /** Accepts a hand-over from the holder itself. Returns whether the seat was still the sender's. */
    acceptHandover(from: InstanceId, index: number, seat: FleetSeat, nowMs: number): boolean {
        const held = this.#roster?.seats[index];
        if (held?.holder !== from || !isHandoverOf(seat, held) || seat.epoch !== held.epoch + 1) {
            return false;
        }
        this.#setRoster(withSeat(this.#roster!, index, { ...held, ...seat }), nowMs);
        return true;
    }

    /** Starts a round of heartbeats: fixes its sending time and the exclusions that it promises. */
    beginRound(nowMs: number): void {
        this.#sequence++;
        this.#sendings.push({ sequence: this.#sequence, sentMs: nowMs });
        if (this.#sendings.length > keptSendings) {
            this.#sendings.shift();
        }
        if (this.#roster === undefined) {
            return;
        }
        this.#excludes = this.#voter.exclude(this.#roster, holder => this.peers.get(holder), nowMs);
        if (this.#ownIndex !== undefined && this.#excludes.length > 0) {
            this.#rights.addExclusions(this.#ownIndex, this.#excludes, nowMs + this.#settings.leaseMs, nowMs);
        }
    }

    /** The heartbeat of this round for one peer. A grant in it binds this instance. */
    compose(peer: PeerState, report: OwnReport, nowMs: number): Heartbeat {
        const seat = seatIndexOf(this.#roster, peer.id);
        const grant = seat === undefined || peer.sequence < 0 ? undefined : this.#voter.grant(seat, peer, nowMs);
        const isVote = this.#ownIndex !== undefined && (grant !== undefined || this.#excludes.length > 0);
        const ageMs = Math.ceil((nowMs - this.#ownConfirmedMs) * (1 + this.#settings.driftShare));
        const isKnownThere = nowMs - peer.contactMs < this.#settings.currentWindowMs;
        return {
            sequence: this.#sequence,
            ...(peer.sequence < 0 ? {} : { echo: peer.sequence }),
            ...(grant === undefined ? {} : { grant }),
            ...this.#stopped,
            ...(isVote ? { voter: this.#roster!.seats[this.#ownIndex!]!.epoch } : {}),
            roster: this.#roster?.version ?? 0,
            digest: this.#digest,
            revision: report.revision,
            withdrawals: report.withdrawals,
            ...(ageMs < this.#settings.currentWindowMs ? { confirmedMs: ageMs } : {}),
            ...(this.#excludes.length === 0 ? {} : { excludes: this.#excludes }),
            load: Math.round(Math.min(1, Math.max(0, report.load)) * 100),
            ...(report.isLeaving ? { leaving: true } : {}),
            ...(report.isStale ? { stale: true } : {}),
            ...(isKnownThere ? {} : { about: report.about }),
        };
    }

    /** Takes in a heartbeat. Returns its sender, or undefined when a later one has arrived before. */
    receive(from: InstanceId, beat: Heartbeat, nowMs: number): PeerState | undefined {
        const peer = this.peers.know(from, nowMs);
        if (beat.sequence <= peer.sequence) {
            return undefined;
        }
        peer.sequence = beat.sequence;
        peer.heardMs = nowMs;
        peer.info = beat.about ?? peer.info;
        peer.load = beat.load / 100;
        peer.isLeaving = beat.leaving === true;
        peer.isStale = beat.stale === true;
        if (beat.stopped !== undefined) {
            this.receiveStop(beat.stopped, undefined, nowMs);
        }
        this.#newestRoster = Math.max(this.#newestRoster, beat.roster);
        this.#newestRevision = Math.max(this.#newestRevision, beat.revision);
        if (beat.roster > peer.rosterVersion) {
            peer.rosterVersion = beat.roster;
            this.refreshVersions(() => false, nowMs);
        }
        const sentMs = this.#sendings.find(sending => sending.sequence === beat.echo)?.sentMs;
        if (sentMs !== undefined) {
            peer.contactMs = Math.max(peer.contactMs, sentMs);
            if (beat.confirmedMs !== undefined) {
                this.#peerConfirmedMs = Math.max(this.#peerConfirmedMs, sentMs - beat.confirmedMs);
            }
            peer.ahead = beat.roster > (this.#roster?.version ?? 0) ? { beat, sentMs } : undefined;
            if (peer.ahead === undefined) {
                this.#count(from, beat, sentMs, nowMs);
            }
        }
        return peer;
    }

    /** Whether the sender of a heartbeat holds a roster that this instance lacks. */
    isBehind(beat: Heartbeat): boolean {
        const version = this.#roster?.version ?? 0;
        return beat.roster > version || (beat.roster > 0 && beat.roster === version && beat.digest !== this.#digest);
    }

    /** Works out which versions a quorum holds; holders that have ended hold every version. */
    refreshVersions(hasEnded: (holder: InstanceId) => boolean, nowMs: number): void {
        const versions = this.#roster?.seats.map(({ holder }) => {
            if (holder === this.self) {
                return this.#roster!.version;
            }
            const version = holder === undefined ? 0 : this.peers.get(holder)?.rosterVersion ?? 0;
            return holder !== undefined && hasEnded(holder) ? Infinity : version;
        });
        if (versions !== undefined) {
            this.#rights.setVersionsHeld(versions, nowMs);
        }
    }

    /** Whether a vacant seat may be assigned: no quorum can act any more under a version at which it was held. */
    isAssignable(index: number): boolean {
        const seat = this.#roster?.seats[index];
        return seat !== undefined && seat.holder === undefined && (seat.epoch === 0 || this.#rights.isSettled(index));
    }

    /** Since when a quorum excludes the seat, or its vacancy counts; undefined if its holder may act. */
    excludedSinceMs(index: number, nowMs: number): number | undefined {
        return this.#rights.excludedSinceMs(index, nowMs);
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

    /** Whether the instance has had no two-way contact since it lost its seat, or for a long time without a seat. */
    isGone(instance: InstanceId, startedMs: number, nowMs: number): boolean {
        const index = seatIndexOf(this.#roster, instance);
        if (index !== undefined) {
            // A leaver that has stopped as home still hands over its claims, so only votes count here.
            return this.#rights.votedOutSinceMs(index, nowMs) !== undefined;
        }
        const peer = this.peers.get(instance);
        const contactMs = peer?.contactMs ?? -Infinity;
        const lostMs = this.#lostSeatMs.get(instance);
        const { currentWindowMs, leaseMs, endedAfterMs } = this.#settings;
        const patienceMs = peer?.isLeaving === true ? currentWindowMs + leaseMs : endedAfterMs;
        const isLost = lostMs !== undefined && contactMs <= lostMs;
        return isLost || nowMs - Math.max(startedMs, peer?.knownMs ?? 0, contactMs) >= patienceMs;
    }

    homeOf(key: string, nowMs: number): InstanceId | undefined {
        return this.#roster === undefined ? undefined : this.#homes.homeOf(this.#roster, key, nowMs);
    }

    /** Where the right to act for the key goes when this instance stops. */
    nextHome(key: string, nowMs: number): InstanceId | undefined {
        const isStaying = (holder: InstanceId) => this.peers.get(holder)?.isLeaving !== true;
        return this.#roster === undefined ? undefined : this.#homes.nextHome(this.#roster, key, nowMs, isStaying);
    }

    homeTerm(key: string, nowMs: number): CoordinatorTerm | undefined {
        return this.#isActing && this.#roster !== undefined && this.#ownIndex !== undefined
            ? this.#homes.homeTerm(this.#roster, this.#ownIndex, key, nowMs)
            : undefined;
    }

    holders(key: string, count: number): readonly Seat[] {
        // A seat that was never held has no zone and no state; vacated seats keep their place.
        const ranked = rankSeats(this.#roster?.seats ?? [], key).filter(seat => seat.zone !== undefined);
        const zones = new Set<ZoneId | undefined>();
        const first = ranked.filter(seat => !zones.has(seat.zone) && zones.add(seat.zone));
        return [...first, ...ranked.filter(seat => !first.includes(seat))].slice(0, count);
    }

    /** Counts the votes of a heartbeat. Votes at a newer roster version than the held one must not count. */
    #count(from: InstanceId, beat: Heartbeat, sentMs: number, nowMs: number): void {
        const voter = seatIndexOf(this.#roster, from);
        // A delayed vote for a seat that the sender held before must not count for its seat now.
        if (voter === undefined || beat.voter !== this.#roster!.seats[voter]!.epoch) {
            return;
        }
        const untilMs = sentMs + this.#settings.leaseMs;
        if (this.#ownIndex !== undefined && beat.grant === this.#roster!.seats[this.#ownIndex]!.epoch) {
            this.#rights.addGrant(voter, untilMs, nowMs);
        }
        this.#rights.addExclusions(voter, beat.excludes ?? [], untilMs, nowMs);
    }

    #setRoster(roster: FleetRoster, nowMs: number): void {
        for (const [instance, lostMs] of this.#lostSeatMs) {
            if (nowMs - lostMs > 2 * this.#settings.endedAfterMs) {
                this.#lostSeatMs.delete(instance);
            }
        }
        this.#roster?.seats.forEach(({ holder }) => {
            if (holder !== undefined && seatIndexOf(roster, holder) === undefined) {
                this.#lostSeatMs.set(holder, nowMs);
            }
        });
        this.#roster = roster;
        this.#digest = rosterDigest(roster);
        this.#ownIndex = seatIndexOf(roster, this.self);
        this.#newestRoster = Math.max(this.#newestRoster, roster.version);
        this.#voter.setRoster(roster, this.#ownIndex, nowMs);
        this.#rights.setRoster(roster, this.#ownIndex, nowMs);
        this.refreshVersions(() => false, nowMs);
        for (const peer of this.peers.all()) {
            if (peer.ahead !== undefined && peer.ahead.beat.roster <= roster.version) {
                this.#count(peer.id, peer.ahead.beat, peer.ahead.sentMs, nowMs);
                peer.ahead = undefined;
            }
        }
    }
}
