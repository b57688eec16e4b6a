/** Distributes messages to all instances of a zone or of the fleet. */
import type { Random } from "@sniperoad/core";
import { groupBy } from "../group-by.js";
import type { GatewayInstance } from "../model.js";
import { aggregatorCount, rankAggregators } from "./aggregator-selector.js";
import type { Datagram, Message } from "./datagrams.js";
import type { DatagramPort } from "./ports.js";
import type { Member, Roster } from "./roster.js";

/** A message that its receiver distributes in its zone. */
const zoneDatagram = (message: Message): Datagram => ({ message, isForZone: true, forwardTo: [] });

/**
 * How much earlier than the others of its zone an instance may have been heard without counting as failed for the choice
 * of those that forward; a heartbeat interval with jitter and some delay.
 */
const heardToleranceMs = 450;

/** The instances of a zone that have been heard as recently as the others. */
const recentlyHeard = (members: readonly Member[]): readonly Member[] => {
    const newestMs = Math.max(...members.map(({ heardMs }) => heardMs));
    return members.filter(({ heardMs }) => heardMs >= newestMs - heardToleranceMs);
};

/** Number of instances up to which a message goes directly to each of them. */
const maxDirectTargets = 16;
/** A message goes to one of this many instances of another zone, selected at random, so a failed one loses a share. */
const remoteTargetCount = aggregatorCount + 1;

/** Options of {@link Distributor}. */
export interface DistributorOptions {
    readonly self: GatewayInstance;
    readonly random: Random;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
}

/**
 * Sends a message to about √n instances of a zone, each of which forwards it to its share of the others, so that no
 * sender's link carries a copy for each instance. The shares are drawn anew for each message, so one instance that does
 * not forward loses single messages for a few others. Each other zone receives one copy.
 *
 * @example
 * distributor.toFleet({ kind: "digest", digest });
 */
export class Distributor {
    readonly #options: DistributorOptions;

    constructor(options: DistributorOptions) {
        this.#options = options;
    }

    /** Sends a message to all other instances. */
    toFleet(message: Message): void {
        this.toOtherZones(message);
        this.toOwnZone(message);
    }

    /** Sends a message to all instances of the other zones. */
    toOtherZones(message: Message): void {
        const { roster, self, datagrams } = this.#options;
        const remote = roster.known().filter(({ info }) => info.zone !== self.zone);
        const zones = [...groupBy(remote, ({ info }) => info.zone).values()];
        datagrams.sendAll(zones.map(members => this.#remoteTarget(members)), zoneDatagram(message));
    }

    /** Sends a message to the other instances of the own zone. */
    toOwnZone(message: Message): void {
        this.#toZone(zoneDatagram(message));
    }

    /** Forwards a received datagram as it demands. */
    forward(datagram: Datagram): void {
        if (datagram.forwardTo.length > 0) {
            this.#options.datagrams.sendAll(datagram.forwardTo, { ...datagram, isForZone: false, forwardTo: [] });
        }
        if (datagram.isForZone) {
            this.#toZone(datagram);
        }
    }

    #toZone(datagram: Datagram): void {
        const { datagrams } = this.#options;
        const addresses = this.#zoneAddresses();
        if (addresses.length <= maxDirectTargets) {
            datagrams.sendAll(addresses, { ...datagram, isForZone: false, forwardTo: [] });
            return;
        }
        const groupCount = Math.ceil(Math.sqrt(addresses.length));
        const groups = groupBy(addresses.entries(), ([index]) => index % groupCount);
        for (const group of groups.values()) {
            const [first, ...forwardTo] = group.map(([, address]) => address);
            datagrams.send(first!, { ...datagram, isForZone: false, forwardTo });
        }
    }

    /**
     * Live instances of the own zone in random order, those that may have failed last, as the first ones forward. One that
     * is not live is added, so that parts of a zone meet after a partition.
     */
    #zoneAddresses(): readonly string[] {
        const { roster, self, random } = this.#options;
        const members = roster.known().filter(({ info }) => info.zone === self.zone);
        const live = this.#shuffle(members.filter(({ info }) => roster.isLive(info.peerAddress)));
        const current = new Set(recentlyHeard(live));
        const down = members.filter(({ info }) => !roster.isLive(info.peerAddress));
        const retried = down[Math.floor(random() * down.length)];
        const ordered = [...current, ...live.filter(member => !current.has(member))];
        return [...ordered, ...(retried === undefined ? [] : [retried])].map(({ info }) => info.peerAddress);
    }

    /** An instance of another zone: one of its first-ranked live ones, or any that is known if none is live. */
    #remoteTarget(members: readonly Member[]): string {
        const { roster, random } = this.#options;
        const live = members.filter(({ info, isLeaving }) => !isLeaving && roster.isLive(info.peerAddress));
        const ranked = rankAggregators(recentlyHeard(live).map(({ info }) => info)).slice(0, remoteTargetCount);
        const targets = ranked.length > 0 ? ranked : members.map(({ info }) => info);
        return targets[Math.floor(random() * targets.length)]!.peerAddress;
    }

    #shuffle<T>(items: T[]): T[] {
        for (let index = items.length - 1; index > 0; index--) {
            const other = Math.floor(this.#options.random() * (index + 1));
            [items[index], items[other]] = [items[other]!, items[index]!];
        }
        return items;
    }
}
