/** Spreads beats over the fleet, and what they carry. */
import type { Clock, LogPort, Random, Timer } from "@sniperoad/core";
import { groupBy } from "../group-by.js";
import type { GatewayInstance } from "../model.js";
import type { Beat } from "./beat.js";
import { maxMemberAddresses } from "./datagrams.js";
import type { Datagram } from "./datagrams.js";
import type { DatagramPort } from "./ports.js";
import type { Member, Roster } from "./roster.js";

/** Time between two beats. Four of them fit into the time after which an instance counts as down. */
export const beatIntervalMs = 400;
/** Least time between beats that are sent early, so that a burst of news costs one beat. */
const earlyBeatGapMs = 25;
/** A zone with this many instances or fewer gets beats directly; a relay would save little. */
const maxDirectPerZone = 2;
/** Instances that tell a newcomer of the others; more would only repeat the same addresses. */
const welcomesWanted = 6;
/** Time between tries to reach seeds and instances that are known but not heard. */
const searchIntervalMs = 1_000;

/** The part of a beat that other modules provide. */
export type BeatContent = Omit<Beat, "id" | "zone" | "callerAddress" | "peerAddress" | "sequence">;

/** What {@link Gossip} needs. */
export interface GossipOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
    readonly seeds: readonly string[];
    readonly content: () => BeatContent;
    /** Called once for each beat of another instance. */
    readonly onBeat: (beat: Beat, former: Beat | undefined) => void;
    readonly onUpstreams: (datagram: Extract<Datagram, { kind: "upstreams"; }>) => void;
}

/**
 * Sends a beat to all instances at intervals, and at once when there is news. Instances of the own zone get it
 * directly, those of other zones by relays, so that the traffic between zones does not grow with the square of the
 * fleet.
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
    #sequence = 0;
    #lastBeatMs = -Infinity;
    #lastSearchMs = -Infinity;
    #timer: Timer | undefined;
    #early: Timer | undefined;
    #isStopped = false;

    constructor(options: GossipOptions) {
        this.#options = options;
        this.#contacts = new Set(options.seeds.filter(address => address !== options.self.peerAddress));
        options.datagrams.onReceive(datagram => this.#receive(datagram));
    }

    start(): void {
        this.#tick();
    }

    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        this.#early?.cancel();
    }

    /** Sends a beat now, or shortly if one has just been sent. */
    beatSoon(): void {
        const { clock } = this.#options;
        const sinceMs = clock.monotonicMs() - this.#lastBeatMs;
        if (this.#early !== undefined || this.#isStopped) {
            return;
        }
        this.#early = clock.after(Math.max(0, earlyBeatGapMs - sinceMs), () => {
            this.#early = undefined;
            this.#beat();
        });
    }

    /** Contacts an instance that another source names. */
    contact(peerAddress: string): void {
        if (peerAddress !== this.#options.self.peerAddress && !this.#options.roster.isHeard(peerAddress)) {
            this.#contacts.add(peerAddress);
            this.#newContacts.add(peerAddress);
            this.beatSoon();
        }
    }

    /** Sends a datagram to all instances that are heard. */
    sendToAll(datagram: Datagram): void {
        const addresses = this.#options.roster.live().map(member => member.beat.peerAddress);
        this.#options.datagrams.sendAll(addresses, datagram);
    }

    #tick(): void {
        const { clock, roster, random } = this.#options;
        if (this.#isStopped) {
            return;
        }
        if (clock.monotonicMs() - this.#lastBeatMs >= beatIntervalMs / 2) {
            this.#beat();
        }
        this.#search();
        roster.expire();
        // Jitter keeps the beats of instances that start together apart.
        this.#timer = clock.after(beatIntervalMs * (0.9 + 0.2 * random()), () => this.#tick());
    }

    #beat(): void {
        const { datagrams, roster, self } = this.#options;
        this.#lastBeatMs = this.#options.clock.monotonicMs();
        const beat = this.#newBeat();
        const live = roster.live();
        const near = live.filter(member => member.beat.zone === self.zone);
        const { relays, direct } = this.#split(live.filter(member => member.beat.zone !== self.zone));
        const contacts = [...this.#newContacts].filter(address => !roster.isHeard(address));
        this.#newContacts.clear();
        datagrams.sendAll([...addressesOf([...near, ...direct]), ...contacts], this.#datagram(beat, false));
        datagrams.sendAll(addressesOf(relays), this.#datagram(beat, true));
    }

    /** A relay for each zone with several instances; the instances of the other zones get beats directly. */
    #split(far: readonly Member[]): { readonly relays: readonly Member[]; readonly direct: readonly Member[]; } {
        const relays: Member[] = [];
        const direct: Member[] = [];
        for (const members of groupBy(far, member => member.beat.zone).values()) {
            if (members.length <= maxDirectPerZone) {
                direct.push(...members);
            }
            else {
                // Another relay each time: one that is lost costs one beat.
                relays.push(members[Math.floor(this.#options.random() * members.length)]!);
            }
        }
        return { relays, direct };
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
        const silent = roster.known().map(member => member.beat.peerAddress);
        const targets = new Set([...this.#contacts, ...silent].filter(address => !roster.isHeard(address)));
        if (targets.size > 0) {
            datagrams.sendAll([...targets], this.#datagram(this.#newBeat(), false));
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
        if (datagram.kind === "beat") {
            this.#receiveBeat(datagram.beat, datagram.mustForward);
        }
        else if (datagram.kind === "members") {
            datagram.addresses.forEach(address => this.contact(address));
        }
        else {
            this.#options.onUpstreams(datagram);
        }
    }

    #receiveBeat(beat: Beat, mustForward: boolean): void {
        const { roster, self, datagrams, onBeat } = this.#options;
        if (beat.id === self.id) {
            return;
        }
        if (mustForward) {
            const near = roster.live().filter(member => member.beat.zone === self.zone);
            datagrams.sendAll(
                addressesOf(near.filter(member => member.beat.id !== beat.id)),
                this.#datagram(beat, false),
            );
        }
        const wasHeard = roster.isHeard(beat.peerAddress);
        const former = roster.get(beat.peerAddress)?.beat;
        // A beat that comes by two relays counts once; one of a former process may come late.
        if (former !== undefined && former.id === beat.id && former.sequence >= beat.sequence) {
            return;
        }
        roster.note(beat);
        onBeat(beat, former?.id === beat.id ? former : undefined);
        if (!wasHeard) {
            this.#welcome(beat);
        }
    }

    /** Tells an instance that was not heard before of the others. The next beat tells it of this one. */
    #welcome(beat: Beat): void {
        const { log, datagrams, roster, random } = this.#options;
        const heard = roster.live().length;
        log.event("instance-heard", { peer: beat.id, zone: beat.zone, heard });
        this.beatSoon();
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

    #newBeat(): Beat {
        const { self, content } = this.#options;
        return { ...self, sequence: ++this.#sequence, ...content() };
    }

    #datagram(beat: Beat, mustForward: boolean): Datagram {
        return { kind: "beat", beat, mustForward };
    }
}

const addressesOf = (members: readonly Member[]): string[] => members.map(member => member.beat.peerAddress);
