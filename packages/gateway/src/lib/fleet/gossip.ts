/** Spreads beats over the fleet, and what they carry. */
import type { Clock, LogPort, Random, Timer } from "@sniperoad/core";
import { groupBy } from "../group-by.js";
import type { GatewayInstance } from "../model.js";
import { maxMemberAddresses } from "./datagrams.js";
import type { Datagram, HeartbeatsDatagram, RelayScope } from "./datagrams.js";
import { decodeHeartbeat, encodeHeartbeat } from "./heartbeat-codec.js";
import type { EncodedHeartbeat } from "./heartbeat-codec.js";
import type { Heartbeat } from "./heartbeat.js";
import type { DatagramPort } from "./ports.js";
import { RelayBatcher } from "./relay-batcher.js";
import { rankRelays, relayCount, RelaySelector } from "./relay-selector.js";
import type { RelayCandidate } from "./relay-selector.js";
import type { Member, Roster } from "./roster.js";

/** Time between two beats. Five of them fit into the time after which an instance counts as down. */
export const heartbeatIntervalMs = 300;
/** Least time between beats that are sent early, so that a burst of news costs one beat. */
const earlyBeatGapMs = 25;
/** Instances of another zone among which the receiver of a bundle is drawn; one that was lost takes only its part. */
const farRelaysWanted = relayCount + 1;
/** Silence of an instance of another zone after which it is no relay: two beats and the time that relays gather. */
const farSilentAfterMs = 800;
/** An instance that uses this one as a relay does so with each beat; two may be lost. */
const dependentForMs = 3 * heartbeatIntervalMs;
/** Instances that tell a newcomer of the others; more would only repeat the same addresses. */
const welcomesWanted = 6;
/** Time between tries to reach seeds and instances that are known but not heard. */
const searchIntervalMs = 1_000;

/** The part of a beat that other modules provide. */
export type HeartbeatPayload = Omit<Heartbeat, "id" | "zone" | "callerAddress" | "peerAddress" | "sequence">;

/** What {@link Gossip} needs. */
export interface GossipOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
    readonly seeds: readonly string[];
    readonly payload: () => HeartbeatPayload;
    /** Called once for each beat of another instance. */
    readonly onHeartbeat: (beat: Heartbeat, former: Heartbeat | undefined) => void;
    readonly onLoads: (datagram: Extract<Datagram, { kind: "loads"; }>) => void;
    readonly onUpstreams: (datagram: Extract<Datagram, { kind: "upstreams"; }>) => void;
}

/**
 * Sends a beat at intervals, and at once when there is news, to two relays of the own zone. They pass the beats of many
 * instances on together, so that neither the datagrams of an instance nor those between zones grow with the square of
 * the fleet.
 *
 * @example
 * gossip.start();
 * gossip.beatSoon();
 */
export class Gossip {
    readonly #options: GossipOptions;
    readonly #contacts: Set<string>;
    /** Contacts that get the next beat too, although they are not heard yet. */
    readonly #newContacts = new Set<string>();
    readonly #relays: RelaySelector;
    readonly #outbox: RelayBatcher;
    /** Instances that use this one as a relay out of turn, with the time of their last beat. */
    readonly #dependentsMs = new Map<string, number>();
    #sequence = 0;
    #lastBeatMs = -Infinity;
    #lastSearchMs = -Infinity;
    #timer: Timer | undefined;
    #early: Timer | undefined;
    #isStopped = false;

    constructor(options: GossipOptions) {
        this.#options = options;
        this.#contacts = new Set(options.seeds.filter(address => address !== options.self.peerAddress));
        this.#relays = new RelaySelector(options.clock);
        this.#outbox = new RelayBatcher({
            clock: options.clock,
            sendToZone: (beats, isUrgent) => this.#sendNear(beats, isUrgent),
            sendToOtherZones: (beats, isUrgent) => this.#sendFar(beats, isUrgent),
        });
        options.datagrams.onReceive(datagram => this.#receive(datagram));
    }

    start(): void {
        this.#tick();
    }

    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        this.#early?.cancel();
        this.#outbox.stop();
    }

    /** Sends a beat now, or shortly if one has just been sent. */
    sendHeartbeatSoon(): void {
        const { clock } = this.#options;
        const sinceMs = clock.monotonicMs() - this.#lastBeatMs;
        if (this.#early !== undefined || this.#isStopped) {
            return;
        }
        this.#early = clock.after(Math.max(0, earlyBeatGapMs - sinceMs), () => {
            this.#early = undefined;
            this.#beat(true);
        });
    }

    /** Contacts an instance that another source names. */
    contact(peerAddress: string): void {
        if (peerAddress !== this.#options.self.peerAddress && !this.#options.roster.isHeard(peerAddress)) {
            this.#contacts.add(peerAddress);
            this.#newContacts.add(peerAddress);
            this.sendHeartbeatSoon();
        }
    }

    /** Peer addresses of the relays of the own zone; this instance may be one of them. */
    relayAddresses(): readonly string[] {
        const { self } = this.#options;
        const near = this.#near().map(member => member.heartbeat);
        // An instance that leaves is no relay for others, but must still tell them if it is the last one of its zone.
        const own: RelayCandidate = { ...self, isLeaving: false };
        return this.#relays.select([...near, own], self.peerAddress).map(({ peerAddress }) => peerAddress);
    }

    /** Peer addresses of the other instances of the own zone. */
    sameZoneAddresses(): readonly string[] {
        return addressesOf(this.#near());
    }

    /** Sends a datagram to all instances that are heard. */
    sendToAll(datagram: Datagram): void {
        const addresses = this.#options.roster.live().map(member => member.heartbeat.peerAddress);
        this.#options.datagrams.sendAll(addresses, datagram);
    }

    #tick(): void {
        const { clock, random } = this.#options;
        if (this.#isStopped) {
            return;
        }
        const hasLostRelay = this.#relays.hasLostRelay();
        if (hasLostRelay || clock.monotonicMs() - this.#lastBeatMs >= heartbeatIntervalMs / 2) {
            this.#beat(hasLostRelay);
        }
        this.#search();
        this.#forget();
        // Jitter keeps the beats of instances that start together apart.
        this.#timer = clock.after(heartbeatIntervalMs * (0.9 + 0.2 * random()), () => this.#tick());
    }

    #forget(): void {
        const { roster } = this.#options;
        roster.expire();
        const known = roster.known();
        const addresses = new Set(addressesOf(known));
        const ids = new Set(known.map(({ heartbeat: beat }) => beat.id));
        this.#relays.retain(address => addresses.has(address));
        this.#outbox.retain(instance => ids.has(instance));
        [...this.#dependentsMs.keys()].filter(address => !addresses.has(address)).forEach(address =>
            this.#dependentsMs.delete(address)
        );
    }

    #beat(isUrgent: boolean): void {
        const { datagrams, roster, self, random } = this.#options;
        this.#lastBeatMs = this.#options.clock.monotonicMs();
        const beat = encodeHeartbeat(this.#newBeat());
        const relays = this.relayAddresses();
        // One of the relays, drawn each time, also sends to the other zones.
        const crossing = relays[Math.floor(random() * relays.length)];
        for (const relay of relays) {
            const scope = relay === crossing ? "fleet" : "zone";
            if (relay === self.peerAddress) {
                this.#outbox.add([beat], { scope, isUrgent });
            }
            else {
                datagrams.send(relay, this.#datagram([beat], scope, isUrgent));
            }
        }
        const contacts = [...this.#newContacts].filter(address => !roster.isHeard(address));
        this.#newContacts.clear();
        datagrams.sendAll(contacts, this.#datagram([beat], "none", false));
    }

    #near(): readonly Member[] {
        const { roster, self } = this.#options;
        return roster.live().filter(member => member.heartbeat.zone === self.zone);
    }

    #sendNear(beats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        this.#options.datagrams.sendAll(addressesOf(this.#near()), this.#datagram(beats, "none", isUrgent));
    }

    #sendFar(beats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        const { datagrams, roster, self, random } = this.#options;
        const far = roster.live().filter(member => member.heartbeat.zone !== self.zone);
        const targets = [...groupBy(far, member => member.heartbeat.zone).values()].flatMap(members => {
            const relays = this.#farRelays(members);
            return relays[Math.floor(random() * relays.length)]?.heartbeat.peerAddress ?? [];
        });
        datagrams.sendAll(targets, this.#datagram(beats, "zone", isUrgent));
    }

    /** Of a zone from which nothing came lately the relays may be lost, so any of its instances may be the receiver. */
    #farRelays(members: readonly Member[]): readonly Member[] {
        const sinceMs = this.#options.clock.monotonicMs() - farSilentAfterMs;
        const fresh = members.filter(({ lastHeardMs: heardMs }) => heardMs >= sinceMs);
        const ranked = rankRelays(fresh, member => member.heartbeat).slice(0, farRelaysWanted);
        return ranked.length > 0 ? ranked : members;
    }

    /** Beats to seeds, contacts and silent instances, so that a start, a loss of datagrams or a partition heals. */
    #search(): void {
        const { clock, roster, datagrams } = this.#options;
        const isAlone = roster.live().length === 0;
        if (!isAlone && clock.monotonicMs() - this.#lastSearchMs < searchIntervalMs) {
            return;
        }
        this.#lastSearchMs = clock.monotonicMs();
        this.#tellMembers();
        const silent = roster.known().map(member => member.heartbeat.peerAddress);
        const targets = new Set([...this.#contacts, ...silent].filter(address => !roster.isHeard(address)));
        if (targets.size > 0) {
            datagrams.sendAll([...targets], this.#datagram([encodeHeartbeat(this.#newBeat())], "none", false));
        }
    }

    /**
     * Tells a random instance of the others. Instances that start together may miss each other's first beats, and
     * nobody else would ever tell them.
     */
    #tellMembers(): void {
        const { roster, random, datagrams } = this.#options;
        const addresses = addressesOf(roster.live());
        const target = addresses[Math.floor(random() * addresses.length)];
        if (target !== undefined) {
            const first = Math.floor(random() * addresses.length);
            const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
            datagrams.send(target, { kind: "members", addresses: rotated.slice(0, maxMemberAddresses) });
        }
    }

    #receive(datagram: Datagram): void {
        if (this.#isStopped) {
            return;
        }
        if (datagram.kind === "beats") {
            this.#receiveBeats(datagram);
        }
        else if (datagram.kind === "loads") {
            this.#options.onLoads(datagram);
        }
        else if (datagram.kind === "members") {
            datagram.addresses.forEach(address => this.contact(address));
        }
        else {
            this.#options.onUpstreams(datagram);
        }
    }

    #receiveBeats({ sender, scope, isUrgent, beats }: HeartbeatsDatagram): void {
        const { roster, self } = this.#options;
        this.#relays.noteDirect(sender);
        // A beat that comes by two relays counts once.
        const fresh = beats.filter(({ id, sequence }) => id !== self.id && sequence > roster.sequenceOf(id));
        if (scope === "none") {
            this.#forwardToDependents(fresh, isUrgent);
        }
        else {
            this.#noteDependent(sender);
            this.#outbox.add(beats, { scope, isUrgent });
        }
        fresh.forEach(beat => this.#receiveBeat(beat));
    }

    /** An instance that uses this one as a relay out of turn cannot reach the zone's first relays, nor they it. */
    #noteDependent(sender: string): void {
        const { roster, self, clock } = this.#options;
        const near = this.#near().map(member => member.heartbeat);
        const first = rankRelays<RelayCandidate>([...near, { ...self, isLeaving: false }], beat => beat).slice(
            0,
            relayCount,
        );
        const isFirst = first.some(({ peerAddress }) => peerAddress === self.peerAddress);
        if (!isFirst && roster.get(sender)?.heartbeat.zone === self.zone) {
            this.#dependentsMs.set(sender, clock.monotonicMs());
        }
    }

    /** Gives what the zone's first relays sent to the instances that they do not reach. */
    #forwardToDependents(beats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        const sinceMs = this.#options.clock.monotonicMs() - dependentForMs;
        const dependents = [...this.#dependentsMs].filter(([, atMs]) => atMs >= sinceMs).map(([address]) => address);
        if (dependents.length > 0 && beats.length > 0) {
            this.#options.datagrams.sendAll(dependents, this.#datagram(beats, "none", isUrgent));
        }
    }

    #receiveBeat(encoded: EncodedHeartbeat): void {
        const { roster, onHeartbeat: onBeat } = this.#options;
        const beat = decodeHeartbeat(encoded);
        const wasHeard = roster.isHeard(beat.peerAddress);
        const former = roster.get(beat.peerAddress)?.heartbeat;
        roster.note(beat);
        onBeat(beat, former?.id === beat.id ? former : undefined);
        if (!wasHeard) {
            this.#welcome(beat);
        }
    }

    /** Tells an instance that was not heard before of the others. The next beat tells it of this one. */
    #welcome(beat: Heartbeat): void {
        const { log, datagrams, roster, random } = this.#options;
        const heard = roster.live().length;
        log.event("instance-heard", { peer: beat.id, zone: beat.zone, heard });
        this.sendHeartbeatSoon();
        if (random() * heard > welcomesWanted) {
            return;
        }
        const addresses = addressesOf(roster.live()).filter(address => address !== beat.peerAddress);
        for (let start = 0; start < addresses.length; start += maxMemberAddresses) {
            datagrams.send(beat.peerAddress, {
                kind: "members",
                addresses: addresses.slice(start, start + maxMemberAddresses),
            });
        }
    }

    #newBeat(): Heartbeat {
        const { self, payload: content } = this.#options;
        return { ...self, sequence: ++this.#sequence, ...content() };
    }

    #datagram(beats: readonly EncodedHeartbeat[], scope: RelayScope, isUrgent: boolean): Datagram {
        return { kind: "beats", sender: this.#options.self.peerAddress, scope, isUrgent, beats };
    }
}

const addressesOf = (members: readonly Member[]): string[] => members.map(member => member.heartbeat.peerAddress);
