/** Distributes messages to all instances of a zone or of the fleet. */
import type { Random } from "@sniperoad/core";
import { groupBy } from "../group-by.js";
import type { GatewayInstance } from "../model.js";
import { aggregatorCount, rankAggregators } from "./aggregator-selector.js";
import type { Datagram, Message } from "./datagrams.js";
import type { DatagramPort } from "./ports.js";
import type { Member, Roster } from "./roster.js";

/** Number of instances up to which a message goes directly to each of them. */
const maxDirectTargets = 12;
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
        const { roster, self, datagrams } = this.#options;
        const datagram: Datagram = { message, isForZone: true, forwardTo: [] };
        const remote = roster.known().filter(({ info }) => info.zone !== self.zone);
        const zones = [...groupBy(remote, ({ info }) => info.zone).values()];
        datagrams.sendAll(zones.map(members => this.#remoteTarget(members)), datagram);
        this.#toZone(datagram);
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
        const addresses = this.#shuffle(this.#zoneAddresses());
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

    /** Live instances of the own zone, and one that is not live, so that parts of a zone meet after a partition. */
    #zoneAddresses(): string[] {
        const { roster, self, random } = this.#options;
        const members = roster.known().filter(({ info }) => info.zone === self.zone).map(({ info }) =>
            info.peerAddress
        );
        const [live, down] = [
            members.filter(address => roster.isLive(address)),
            members.filter(address => !roster.isLive(address)),
        ];
        const retried = down[Math.floor(random() * down.length)];
        return retried === undefined ? live : [...live, retried];
    }

    /** An instance of another zone: one of its first-ranked live ones, or any that is known if none is live. */
    #remoteTarget(members: readonly Member[]): string {
        const { roster, random } = this.#options;
        const live = members.filter(({ info, isLeaving }) => !isLeaving && roster.isLive(info.peerAddress));
        const ranked = rankAggregators(live.map(({ info }) => info)).slice(0, remoteTargetCount);
        const targets = ranked.length > 0 ? ranked : members.map(({ info }) => info);
        return targets[Math.floor(random() * targets.length)]!.peerAddress;
    }

    #shuffle(items: string[]): string[] {
        for (let index = items.length - 1; index > 0; index--) {
            const other = Math.floor(this.#options.random() * (index + 1));
            [items[index], items[other]] = [items[other]!, items[index]!];
        }
        return items;
    }
}
