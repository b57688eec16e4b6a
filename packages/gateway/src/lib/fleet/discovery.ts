/** Discovers other instances and spreads their identities. */
import type { Clock, Random } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { rankAggregators } from "./aggregator-selector.js";
import { direct, maxIdentities, maxRequestedKeys } from "./datagrams.js";
import type { HeartbeatPurpose, Message } from "./datagrams.js";
import type { CollectionStates, Heartbeat } from "./heartbeat.js";
import type { DatagramPort } from "./ports.js";
import type { MemberState, Roster } from "./roster.js";

/** Interval between messages that spread identities and between attempts to reach instances that are not live. */
const discoveryIntervalMs = 1_000;
/** Shorter interval after a start, when most instances do not know each other. */
const startDiscoveryIntervalMs = 300;
/** Duration of the start in this sense. */
const startDurationMs = 3_000;
/** Maximum number of instances that are not live to which each attempt sends a hello. */
const maxHellos = 4;
/** Number of first-ranked instances of a zone that are named to an instance of that zone. */
const namedAggregators = 4;
/** Time for which a digest may list an unknown instance before its identity is requested. */
const identityWaitMs = 200;

/** Options of {@link Discovery}. */
export interface DiscoveryOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
    /** Peer addresses of instances to contact first. */
    readonly seeds: readonly string[];
    readonly ownState: () => MemberState;
    readonly collections: () => CollectionStates;
    /** Peer addresses of the aggregators that this instance uses. */
    readonly aggregatorAddresses: () => readonly string[];
}

/**
 * Says hello to instances that may not know this one, spreads the identities of aggregators, and requests the identities
 * of instances that digests list.
 *
 * @example
 * discovery.run();
 * discovery.contact("10.0.0.5:7000");
 */
export class Discovery {
    readonly #options: DiscoveryOptions;
    readonly #startedMs: number;
    #lastRunMs = -Infinity;
    /** Peer addresses of seeds and of instances found by other means; those that are not live are contacted again. */
    readonly #contacts: Set<string>;
    /** Keys of instances that digests list without a known identity, with the time since when and who listed them. */
    readonly #unidentified = new Map<number, { readonly sinceMs: number; readonly aggregator: GatewayInstance; }>();

    constructor(options: DiscoveryOptions) {
        this.#options = options;
        this.#startedMs = options.clock.monotonicMs();
        this.#contacts = new Set(options.seeds.filter(address => address !== options.self.peerAddress));
    }

    /** Records that a digest lists an instance whose identity is unknown. */
    recordUnidentified(key: number, aggregator: GatewayInstance): void {
        if (!this.#unidentified.has(key)) {
            this.#unidentified.set(key, { sinceMs: this.#options.clock.monotonicMs(), aggregator });
        }
    }

    /** Answers the hello of another instance. */
    answerHello(sender: GatewayInstance): void {
        this.#sendPresence([sender.peerAddress], "reply");
        this.#sendIdentities(sender, this.#sampleIdentities(maxIdentities));
    }

    /** Contacts an instance that was discovered by other means, unless it is live. */
    contact(peerAddress: string): void {
        const { self, roster } = this.#options;
        if (peerAddress !== self.peerAddress && !roster.isLive(peerAddress)) {
            this.#contacts.add(peerAddress);
            this.#sendHello([peerAddress]);
        }
    }

    /** Learns identities, and says hello to those that may be aggregators of the own zone. */
    receiveIdentities(infos: readonly GatewayInstance[]): void {
        const { roster, self } = this.#options;
        const isIsolated = roster.live().length === 0;
        const sameZone = roster.live().map(({ info }) => info).filter(({ zone }) => zone === self.zone);
        for (const info of infos.filter(({ peerAddress }) => peerAddress !== self.peerAddress)) {
            roster.learn(info);
            if (roster.isLive(info.peerAddress)) {
                continue;
            }
            // The zone's aggregators must be found; the others follow from digests.
            const better = rankAggregators([...sameZone, self, info]).slice(0, namedAggregators);
            if (isIsolated || info.zone === self.zone && better.includes(info)) {
                this.#sendHello([info.peerAddress]);
            }
        }
    }

    answerIdentityRequest(sender: string, keys: readonly number[]): void {
        const { roster, datagrams } = this.#options;
        const infos = keys.flatMap(key => roster.identityOf(key) ?? []);
        for (let start = 0; start < infos.length; start += maxIdentities) {
            const message: Message = { kind: "identities", infos: infos.slice(start, start + maxIdentities) };
            datagrams.send(sender, direct(message));
        }
    }

    /** Sends the identity of this instance, without what is reported only once. */
    #sendPresence(addresses: readonly string[], purpose: HeartbeatPurpose): void {
        if (addresses.length === 0) {
            return;
        }
        const { self, collections, datagrams } = this.#options;
        const heartbeat: Heartbeat = {
            ...self,
            ...this.#options.ownState(),
            ...collections(),
            sequence: 0,
            usage: [],
            hasScarceUsage: false,
            inFlight: [],
            successes: [],
            outcomes: [],
            crashes: [],
        };
        datagrams.sendAll(addresses, direct({ kind: "heartbeat", purpose, isUrgent: false, heartbeat }));
    }

    #sendHello(addresses: readonly string[]): void {
        this.#sendPresence(addresses, "hello");
    }

    /** Spreads identities, and contacts instances that are not live, so that parts of a fleet meet again. */
    run(): void {
        const { clock, roster, random } = this.#options;
        const nowMs = clock.monotonicMs();
        const live = roster.live();
        const isStarting = nowMs - this.#startedMs < startDurationMs;
        const intervalMs = isStarting ? startDiscoveryIntervalMs : discoveryIntervalMs;
        if (live.length > 0 && nowMs - this.#lastRunMs < intervalMs * 0.9) {
            return;
        }
        this.#lastRunMs = nowMs;
        const target = live[Math.floor(random() * live.length)];
        if (target !== undefined) {
            this.#sendIdentities(target.info, []);
        }
        const known = roster.known().map(({ info }) => info.peerAddress);
        const down = [...new Set([...this.#contacts, ...known])].filter(address => !roster.isLive(address));
        // Without any live instance, all that are known are tried.
        const count = live.length === 0 ? down.length : maxHellos;
        const first = Math.floor(random() * down.length);
        this.#sendHello([...down.slice(first), ...down.slice(0, first)].slice(0, count));
    }

    /** Sends the identities of this instance, the first-ranked ones of the receiver's zone, and some others. */
    #sendIdentities(receiver: Pick<GatewayInstance, "peerAddress" | "zone">, others: readonly GatewayInstance[]): void {
        const { self, roster, datagrams } = this.#options;
        const live = roster.live().map(({ info }) => info);
        const ranked = rankAggregators(live.filter(({ zone }) => zone === receiver.zone)).slice(0, namedAggregators);
        const infos = new Map([self, ...ranked, ...others].map(info => [info.peerAddress, info]));
        infos.delete(receiver.peerAddress);
        const message: Message = { kind: "identities", infos: [...infos.values()].slice(0, maxIdentities) };
        datagrams.send(receiver.peerAddress, direct(message));
    }

    /** Requests identities that are still unknown. */
    requestIdentities(): void {
        const { clock, roster, datagrams, self, random } = this.#options;
        const dueMs = clock.monotonicMs() - identityWaitMs;
        const aggregators = this.#options.aggregatorAddresses().filter(address => address !== self.peerAddress);
        const keysByAddress = new Map<string, number[]>();
        for (const [key, { sinceMs, aggregator }] of this.#unidentified) {
            if (roster.identityOf(key) !== undefined) {
                this.#unidentified.delete(key);
                continue;
            }
            if (sinceMs > dueMs) {
                continue;
            }
            // The aggregators of the own zone usually know it; the one that listed it does for certain.
            const own = aggregators[Math.floor(random() * aggregators.length)];
            const address = aggregator.zone === self.zone || own === undefined || random() < 0.5
                ? aggregator.peerAddress
                : own;
            const keys = keysByAddress.get(address) ?? [];
            keysByAddress.set(address, keys);
            keys.push(key);
        }
        for (const [address, keys] of keysByAddress) {
            const message: Message = {
                kind: "identity-request",
                sender: self.peerAddress,
                keys: keys.slice(0, maxRequestedKeys),
            };
            datagrams.send(address, direct(message));
        }
    }

    #sampleIdentities(count: number): readonly GatewayInstance[] {
        const { roster, random } = this.#options;
        const live = roster.live();
        const first = Math.floor(random() * live.length);
        return [...live.slice(first), ...live.slice(0, first)].slice(0, count).map(({ info }) => info);
    }
}
