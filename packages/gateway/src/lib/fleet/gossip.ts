/** Disseminates heartbeats and the state in them across the fleet. */
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

/** Interval between heartbeats. Five of them fit into the time after which an instance is considered down. */
export const heartbeatIntervalMs = 300;
/** Minimum gap before an early heartbeat, so that a burst of changes causes only one. */
const minHeartbeatGapMs = 25;
/** A batch goes to one of this many instances of a zone, selected at random; a failed one loses only its share. */
const remoteRelayCount = relayCount + 1;
/** Maximum age of a remote relay's last heartbeat: two intervals and the batching delay of two relays. */
const remoteRelayTimeoutMs = 800;
/** An instance that uses this one as a relay does so with each heartbeat, of which two may be lost. */
const dependentTimeoutMs = 3 * heartbeatIntervalMs;
/** Expected number of instances that send a newcomer the member list; more would only repeat the same addresses. */
const welcomeCount = 6;
/** Interval between attempts to reach seeds and known instances that are not live. */
const discoveryIntervalMs = 1_000;

/** Heartbeat fields that other modules provide. */
export type HeartbeatPayload = Omit<Heartbeat, "id" | "zone" | "callerAddress" | "peerAddress" | "sequence">;

/** Options of {@link Gossip}. */
export interface GossipOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
    readonly seeds: readonly string[];
    readonly payload: () => HeartbeatPayload;
    /** Called once per heartbeat of another instance, with the previous one of the same process. */
    readonly onHeartbeat: (heartbeat: Heartbeat, previous: Heartbeat | undefined) => void;
    readonly onLoads: (datagram: Extract<Datagram, { kind: "loads"; }>) => void;
    readonly onUpstreams: (datagram: Extract<Datagram, { kind: "upstreams"; }>) => void;
}

/**
 * Sends a heartbeat periodically, and early when something urgent has changed, to two relays in the own zone. Relays
 * batch the heartbeats of many instances, so that neither the datagrams of one instance nor those between zones grow
 * with the square of the fleet size.
 *
 * @example
 * gossip.start();
 * gossip.sendHeartbeatSoon();
 */
export class Gossip {
    readonly #options: GossipOptions;
    readonly #contacts: Set<string>;
    /** Contacts that receive the next heartbeat although they are not live yet. */
    readonly #newContacts = new Set<string>();
    readonly #relaySelector: RelaySelector;
    readonly #batcher: RelayBatcher;
    /** Instances that use this one as a fallback relay, with the time of their last heartbeat. */
    readonly #dependents = new Map<string, number>();
    #sequence = 0;
    #lastHeartbeatMs = -Infinity;
    #lastDiscoveryMs = -Infinity;
    #timer: Timer | undefined;
    #earlyTimer: Timer | undefined;
    #isStopped = false;

    constructor(options: GossipOptions) {
        this.#options = options;
        this.#contacts = new Set(options.seeds.filter(address => address !== options.self.peerAddress));
        this.#relaySelector = new RelaySelector(options.clock);
        this.#batcher = new RelayBatcher({
            clock: options.clock,
            sendToZone: (heartbeats, isUrgent) => this.#sendToZone(heartbeats, isUrgent),
            sendToOtherZones: (heartbeats, isUrgent) => this.#sendToOtherZones(heartbeats, isUrgent),
        });
        options.datagrams.onReceive(datagram => this.#receive(datagram));
    }

    start(): void {
        this.#tick();
    }

    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        this.#earlyTimer?.cancel();
        this.#batcher.stop();
    }

    /** Sends a heartbeat now, or after a short delay if one has just been sent. */
    sendHeartbeatSoon(): void {
        const { clock } = this.#options;
        const elapsedMs = clock.monotonicMs() - this.#lastHeartbeatMs;
        if (this.#earlyTimer !== undefined || this.#isStopped) {
            return;
        }
        this.#earlyTimer = clock.after(Math.max(0, minHeartbeatGapMs - elapsedMs), () => {
            this.#earlyTimer = undefined;
            this.#sendHeartbeat(true);
        });
    }

    /** Contacts an instance that was discovered by other means than its heartbeat. */
    contact(peerAddress: string): void {
        if (peerAddress !== this.#options.self.peerAddress && !this.#options.roster.isLive(peerAddress)) {
            this.#contacts.add(peerAddress);
            this.#newContacts.add(peerAddress);
            this.sendHeartbeatSoon();
        }
    }

    /** Peer addresses of the relays in the own zone, which may include this instance. */
    relayAddresses(): readonly string[] {
        const { self } = this.#options;
        const members = this.#sameZoneMembers().map(member => member.heartbeat);
        // A leaving instance does not relay for others, but must announce its leave even if it is alone in its zone.
        const own: RelayCandidate = { ...self, isLeaving: false };
        return this.#relaySelector.select([...members, own], self.peerAddress).map(({ peerAddress }) => peerAddress);
    }

    /** Peer addresses of the other instances in the own zone. */
    sameZoneAddresses(): readonly string[] {
        return addressesOf(this.#sameZoneMembers());
    }

    /** Sends a datagram to all live instances. */
    sendToAll(datagram: Datagram): void {
        const addresses = this.#options.roster.live().map(member => member.heartbeat.peerAddress);
        this.#options.datagrams.sendAll(addresses, datagram);
    }

    #tick(): void {
        const { clock, random } = this.#options;
        if (this.#isStopped) {
            return;
        }
        const hasLostRelay = this.#relaySelector.hasLostRelay();
        if (hasLostRelay || clock.monotonicMs() - this.#lastHeartbeatMs >= heartbeatIntervalMs / 2) {
            this.#sendHeartbeat(hasLostRelay);
        }
        this.#discover();
        this.#prune();
        // Jitter spreads the heartbeats of instances that started together.
        this.#timer = clock.after(heartbeatIntervalMs * (0.9 + 0.2 * random()), () => this.#tick());
    }

    #prune(): void {
        const { roster } = this.#options;
        roster.expire();
        const known = roster.known();
        const addresses = new Set(addressesOf(known));
        const ids = new Set(known.map(({ heartbeat }) => heartbeat.id));
        this.#relaySelector.retain(address => addresses.has(address));
        this.#batcher.retain(instance => ids.has(instance));
        [...this.#dependents.keys()].filter(address => !addresses.has(address)).forEach(address =>
            this.#dependents.delete(address)
        );
    }

    #sendHeartbeat(isUrgent: boolean): void {
        const { datagrams, roster, self, random } = this.#options;
        this.#lastHeartbeatMs = this.#options.clock.monotonicMs();
        const encoded = encodeHeartbeat(this.#createHeartbeat());
        const relays = this.relayAddresses();
        // One relay, selected at random for each heartbeat, also forwards it to the other zones.
        const crossZoneRelay = relays[Math.floor(random() * relays.length)];
        for (const relay of relays) {
            const scope = relay === crossZoneRelay ? "fleet" : "zone";
            if (relay === self.peerAddress) {
                this.#batcher.add([encoded], { scope, isUrgent });
            }
            else {
                datagrams.send(relay, this.#createDatagram([encoded], scope, isUrgent));
            }
        }
        const contacts = [...this.#newContacts].filter(address => !roster.isLive(address));
        this.#newContacts.clear();
        datagrams.sendAll(contacts, this.#createDatagram([encoded], "none", false));
    }

    #sameZoneMembers(): readonly Member[] {
        const { roster, self } = this.#options;
        return roster.live().filter(member => member.heartbeat.zone === self.zone);
    }

    #sendToZone(heartbeats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        this.#options.datagrams.sendAll(
            addressesOf(this.#sameZoneMembers()),
            this.#createDatagram(heartbeats, "none", isUrgent),
        );
    }

    #sendToOtherZones(heartbeats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        const { datagrams, roster, self, random } = this.#options;
        const remote = roster.live().filter(member => member.heartbeat.zone !== self.zone);
        const targets = [...groupBy(remote, member => member.heartbeat.zone).values()].flatMap(members => {
            const relays = this.#remoteRelays(members);
            return relays[Math.floor(random() * relays.length)]?.heartbeat.peerAddress ?? [];
        });
        datagrams.sendAll(targets, this.#createDatagram(heartbeats, "zone", isUrgent));
    }

    /** Relays of another zone, or all its instances if none is recent, since its relays may then be down. */
    #remoteRelays(members: readonly Member[]): readonly Member[] {
        const sinceMs = this.#options.clock.monotonicMs() - remoteRelayTimeoutMs;
        const recent = members.filter(({ lastHeardMs }) => lastHeardMs >= sinceMs);
        const ranked = rankRelays(recent, member => member.heartbeat).slice(0, remoteRelayCount);
        return ranked.length > 0 ? ranked : members;
    }

    /** Contacts all known addresses that are not live, to recover from a start, packet loss or a partition. */
    #discover(): void {
        const { clock, roster, datagrams } = this.#options;
        const isIsolated = roster.live().length === 0;
        if (!isIsolated && clock.monotonicMs() - this.#lastDiscoveryMs < discoveryIntervalMs) {
            return;
        }
        this.#lastDiscoveryMs = clock.monotonicMs();
        this.#sendMemberList();
        const known = roster.known().map(member => member.heartbeat.peerAddress);
        const targets = new Set([...this.#contacts, ...known].filter(address => !roster.isLive(address)));
        if (targets.size > 0) {
            datagrams.sendAll(
                [...targets],
                this.#createDatagram([encodeHeartbeat(this.#createHeartbeat())], "none", false),
            );
        }
    }

    /** Sends the member list to a random instance: those that start together may miss each other's first heartbeats. */
    #sendMemberList(): void {
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
            this.#receiveHeartbeats(datagram);
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

    #receiveHeartbeats({ sender, scope, isUrgent, beats }: HeartbeatsDatagram): void {
        const { roster, self } = this.#options;
        this.#relaySelector.recordDirectDatagram(sender);
        // A heartbeat that arrives through two relays is processed once.
        const fresh = beats.filter(({ id, sequence }) => id !== self.id && sequence > roster.sequenceOf(id));
        if (scope === "none") {
            this.#forwardToDependents(fresh, isUrgent);
        }
        else {
            this.#recordDependent(sender);
            this.#batcher.add(beats, { scope, isUrgent });
        }
        fresh.forEach(encoded => this.#receiveHeartbeat(encoded));
    }

    /** Records a sender that uses this instance as a fallback: it and the first-ranked relays are disconnected. */
    #recordDependent(sender: string): void {
        const { roster, self, clock } = this.#options;
        const members = this.#sameZoneMembers().map(member => member.heartbeat);
        const firstRanked = rankRelays<RelayCandidate>([...members, { ...self, isLeaving: false }], item => item).slice(
            0,
            relayCount,
        );
        const isFirstRanked = firstRanked.some(({ peerAddress }) => peerAddress === self.peerAddress);
        if (!isFirstRanked && roster.get(sender)?.heartbeat.zone === self.zone) {
            this.#dependents.set(sender, clock.monotonicMs());
        }
    }

    /** Forwards heartbeats from the first-ranked relays to the instances that these cannot reach. */
    #forwardToDependents(heartbeats: readonly EncodedHeartbeat[], isUrgent: boolean): void {
        const sinceMs = this.#options.clock.monotonicMs() - dependentTimeoutMs;
        const dependents = [...this.#dependents].filter(([, lastSeenMs]) => lastSeenMs >= sinceMs).map(([address]) =>
            address
        );
        if (dependents.length > 0 && heartbeats.length > 0) {
            this.#options.datagrams.sendAll(dependents, this.#createDatagram(heartbeats, "none", isUrgent));
        }
    }

    #receiveHeartbeat(encoded: EncodedHeartbeat): void {
        const { roster, onHeartbeat } = this.#options;
        const heartbeat = decodeHeartbeat(encoded);
        const wasLive = roster.isLive(heartbeat.peerAddress);
        const previous = roster.get(heartbeat.peerAddress)?.heartbeat;
        roster.record(heartbeat);
        onHeartbeat(heartbeat, previous?.id === heartbeat.id ? previous : undefined);
        if (!wasLive) {
            this.#welcome(heartbeat);
        }
    }

    /** Sends the member list to a newly live instance. The next heartbeat announces this instance to it. */
    #welcome(heartbeat: Heartbeat): void {
        const { log, datagrams, roster, random } = this.#options;
        const liveCount = roster.live().length;
        log.event("instance-heard", { peer: heartbeat.id, zone: heartbeat.zone, heard: liveCount });
        this.sendHeartbeatSoon();
        if (random() * liveCount > welcomeCount) {
            return;
        }
        const addresses = addressesOf(roster.live()).filter(address => address !== heartbeat.peerAddress);
        for (let start = 0; start < addresses.length; start += maxMemberAddresses) {
            datagrams.send(heartbeat.peerAddress, {
                kind: "members",
                addresses: addresses.slice(start, start + maxMemberAddresses),
            });
        }
    }

    #createHeartbeat(): Heartbeat {
        const { self, payload } = this.#options;
        return { ...self, sequence: ++this.#sequence, ...payload() };
    }

    #createDatagram(heartbeats: readonly EncodedHeartbeat[], scope: RelayScope, isUrgent: boolean): Datagram {
        return { kind: "beats", sender: this.#options.self.peerAddress, scope, isUrgent, beats: heartbeats };
    }
}

const addressesOf = (members: readonly Member[]): string[] => members.map(member => member.heartbeat.peerAddress);
