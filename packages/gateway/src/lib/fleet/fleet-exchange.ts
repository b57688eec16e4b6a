/** Exchanges the state of instances across the fleet. */
import type { Clock, LogPort, Random, Timer } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { instanceKey } from "../name-key.js";
import type { SharedOutage } from "../statements/upstream-outages.js";
import type { SharedStatement } from "../statements/upstream-statements.js";
import { sharedCollections } from "../store/state-messages.js";
import type { SharedCollection } from "../store/state-messages.js";
import { AggregatorSelector } from "./aggregator-selector.js";
import { direct } from "./datagrams.js";
import type { Datagram, HeartbeatPurpose, Message, UpstreamsMessage } from "./datagrams.js";
import { digestIntervalOf, urgentGapOf } from "./digest-interval.js";
import { DigestPublisher } from "./digest-publisher.js";
import type { DigestCount, ZoneDigest } from "./digest.js";
import { Discovery } from "./discovery.js";
import { Distributor } from "./distributor.js";
import { EarliestTimer } from "./earliest-timer.js";
import { FleetView } from "./fleet-view.js";
import { omittedEntryCount } from "./heartbeat-codec.js";
import { instanceInfo } from "./heartbeat.js";
import type { CollectionStates, Heartbeat } from "./heartbeat.js";
import type { DatagramPort } from "./ports.js";
import { RosterUpdater } from "./roster-updater.js";
import type { Member, Roster } from "./roster.js";
import type { OutcomeBatch } from "./zone-aggregator.js";

/** Mean interval between heartbeats. Five of them fit into the time after which an instance is considered down. */
export const heartbeatIntervalMs = 300;
/** Minimum time from a heartbeat to an urgent one, so that a burst of changes causes only one. */
const minHeartbeatGapMs = 25;
/** Minimum time from a heartbeat to one that reports requests of an organisation near its limit. */
const minUsageGapMs = 60;
/** Minimum time from a heartbeat to one that only reports changed loads, in the smallest zones. */
const minLoadGapMs = 100;
/** Age of an acknowledged heartbeat above which an aggregator counts as not receiving the heartbeats of this instance. */
const maxAckAgeMs = 1_000;
/** Heartbeat fields that other modules provide. */
export type HeartbeatPayload = Omit<Heartbeat, keyof GatewayInstance | "sequence">;

interface HeartbeatOptions {
    readonly isUrgent: boolean;
    /** Whether the second aggregator, which distributes loads and usage only as a stand-in, need not receive it. */
    readonly isForFirstOnly: boolean;
}

/** Options of {@link FleetExchange}. */
export interface FleetExchangeOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    readonly datagrams: DatagramPort;
    readonly roster: Roster;
    /** Peer addresses of instances to contact first. */
    readonly seeds: readonly string[];
    /** Window over which admitted requests are counted. */
    readonly usageWindowMs: () => number;
    /** Provides the payload of the next heartbeat, and forgets what is reported only once. */
    readonly takePayload: () => HeartbeatPayload;
    readonly collections: () => CollectionStates;
    /** Called with the outcomes and crashes of other instances, possibly repeatedly. */
    readonly onOutcomes: (batch: OutcomeBatch) => void;
    readonly onSuccesses: (successes: readonly DigestCount[]) => void;
    /** Called with the revision of a collection that another instance holds. */
    readonly onRevision: (collection: SharedCollection, revision: number, confirmedAgeMs: number | undefined) => void;
    readonly onUpstreams: (message: UpstreamsMessage) => void;
    /** Called with what upstreams have stated to other instances, possibly repeatedly. */
    readonly onStatements: (statements: readonly SharedStatement[]) => void;
    /** Called with outages of upstreams that other instances have noticed. */
    readonly onOutages: (outages: readonly SharedOutage[]) => void;
}

/**
 * Sends heartbeats to two aggregators of the own zone, and early when something has changed. Each aggregator sums up
 * its zone and distributes a digest to all instances, so what an instance receives does not grow with the fleet but for
 * six bytes of liveness for each other instance.
 *
 * @example
 * exchange.start();
 * exchange.sendHeartbeatSoon();
 */
export class FleetExchange {
    /** What the other instances have in flight and have admitted. */
    readonly view: FleetView;
    readonly #options: FleetExchangeOptions;
    readonly #distributor: Distributor;
    readonly #publisher: DigestPublisher;
    readonly #selector: AggregatorSelector;
    readonly #discovery: Discovery;
    readonly #rosterUpdater: RosterUpdater;
    #sequence = 0;
    /** Live instances of the own zone at the last tick. */
    #zoneSize = 0;
    #lastHeartbeatMs = -Infinity;
    /** Time of the last heartbeat that was sent to both aggregators. */
    #lastFullHeartbeatMs = -Infinity;
    #timer: Timer | undefined;
    readonly #earlyHeartbeat: EarliestTimer;
    /** Whether the next early heartbeat is urgent. */
    #isUrgentDue = false;
    #isStopped = false;

    constructor(options: FleetExchangeOptions) {
        const { self, clock } = options;
        this.#options = options;
        this.view = new FleetView(clock, instanceKey(self.id), options.usageWindowMs);
        this.#distributor = new Distributor(options);
        this.#rosterUpdater = new RosterUpdater(options);
        this.#publisher = new DigestPublisher({
            ...options,
            distributor: this.#distributor,
            intervalMs: () => this.digestIntervalMs(),
            urgentGapMs: isStandby => urgentGapOf(this.#zoneSize, isStandby),
            onDigest: digest => this.#applyDigest(digest),
            onLoads: loads => this.#options.onSuccesses(this.view.applyLoads(loads)),
        });
        this.#earlyHeartbeat = new EarliestTimer(clock, () => this.#sendEarlyHeartbeat());
        this.#selector = new AggregatorSelector(clock, () => this.digestIntervalMs());
        this.#discovery = new Discovery({
            ...options,
            ownState: () => this.view.sent(this.#sequence & 0xFF) ?? { isReady: false, isLeaving: false },
            aggregatorAddresses: () => this.aggregatorAddresses(),
        });
        options.datagrams.onReceive(datagram => this.#receive(datagram));
    }

    start(): void {
        this.#tick();
        this.#publisher.start();
    }

    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        this.#earlyHeartbeat.cancel();
        this.#publisher.stop();
    }

    /** Interval between the digests of each aggregator; it grows with the zone. */
    digestIntervalMs(): number {
        return digestIntervalOf(this.#zoneSize);
    }

    /** Typical time from a change at an instance until all others count it. */
    reportDelayMs(): number {
        return heartbeatIntervalMs + this.digestIntervalMs() / 2 + 150;
    }

    /** Sends an urgent heartbeat now, or after a short delay if one has just been sent. */
    sendHeartbeatSoon(): void {
        this.#scheduleHeartbeat(minHeartbeatGapMs, true);
    }

    /** Sends a heartbeat with changed loads soon; sooner in a small zone, where each request weighs more. */
    sendLoadsSoon(): void {
        this.#scheduleHeartbeat(Math.max(minLoadGapMs, this.digestIntervalMs() / 3), false);
    }

    /** Sends a heartbeat soon, since an organisation near its limit has used it. */
    sendUsageSoon(): void {
        this.#scheduleHeartbeat(minUsageGapMs, false);
    }

    /** Contacts an instance that was discovered by other means, unless it is live. */
    contact(peerAddress: string): void {
        this.#discovery.contact(peerAddress);
    }

    /** As an aggregator, distributes a digest soon, since the state of this instance has changed. */
    announceState(): void {
        this.#publisher.announceState();
    }

    /** Peer addresses of the aggregators that this instance uses, which may include itself. */
    aggregatorAddresses(): readonly string[] {
        const { self } = this.#options;
        // A leaving instance must announce its leave even if it is alone in its zone.
        const candidates = this.#sameZoneMembers().filter(({ isLeaving }) => !isLeaving).map(({ info }) => info);
        return this.#selector.select([...candidates, self], self.peerAddress).map(({ peerAddress }) => peerAddress);
    }

    /** Distributes a message to all instances. */
    sendToAll(message: Message): void {
        this.#distributor.toFleet(message);
    }

    #tick(): void {
        const { clock, random } = this.#options;
        if (this.#isStopped) {
            return;
        }
        this.#zoneSize = this.#sameZoneMembers().length;
        const hasLostAggregator = this.#selector.hasLostAggregator();
        // An early heartbeat to both aggregators shortly before replaces the periodic one.
        if (hasLostAggregator || clock.monotonicMs() - this.#lastFullHeartbeatMs >= heartbeatIntervalMs / 2) {
            this.#sendHeartbeat({ isUrgent: hasLostAggregator, isForFirstOnly: false });
        }
        this.#discovery.run();
        this.#discovery.requestIdentities();
        this.#prune();
        // Jitter spreads the heartbeats of instances that started together.
        this.#timer = clock.after(heartbeatIntervalMs * (0.9 + 0.2 * random()), () => this.#tick());
    }

    #prune(): void {
        const { roster } = this.#options;
        roster.expire();
        const addresses = new Set(roster.known().map(({ info }) => info.peerAddress));
        this.#selector.retain(address => addresses.has(address));
    }

    #sameZoneMembers(): readonly Member[] {
        const { roster, self } = this.#options;
        return roster.live().filter(({ info }) => info.zone === self.zone);
    }

    #scheduleHeartbeat(minGapMs: number, isUrgent: boolean): void {
        this.#isUrgentDue ||= isUrgent;
        this.#earlyHeartbeat.schedule(this.#lastHeartbeatMs + minGapMs);
    }

    #sendEarlyHeartbeat(): void {
        const isUrgent = this.#isUrgentDue;
        this.#isUrgentDue = false;
        this.#sendHeartbeat({ isUrgent, isForFirstOnly: !isUrgent });
    }

    #sendHeartbeat({ isUrgent, isForFirstOnly }: HeartbeatOptions): void {
        const { datagrams, self, clock } = this.#options;
        this.#lastHeartbeatMs = clock.monotonicMs();
        if (!isForFirstOnly) {
            this.#lastFullHeartbeatMs = this.#lastHeartbeatMs;
        }
        const heartbeat = this.#createHeartbeat();
        const addresses = this.aggregatorAddresses().slice(0, isForFirstOnly ? 1 : undefined);
        // Each success is reported to one aggregator only, so that no two digests contain it.
        for (const [index, address] of addresses.entries()) {
            const sent = index === 0 ? heartbeat : { ...heartbeat, successes: [] };
            if (address === self.peerAddress) {
                this.#publisher.recordReport(sent, isUrgent);
            }
            else {
                datagrams.send(address, direct({ kind: "heartbeat", purpose: "report", isUrgent, heartbeat: sent }));
            }
        }
    }

    #createHeartbeat(): Heartbeat {
        const { self, takePayload, log } = this.#options;
        const heartbeat = { ...self, ...takePayload(), sequence: ++this.#sequence };
        this.view.recordSent(heartbeat);
        const omitted = omittedEntryCount(heartbeat);
        if (omitted > 0) {
            // The limits of the organisations that are left out hold at each instance for itself only.
            log.event("heartbeat-truncated", { omitted, usage: heartbeat.usage.length });
        }
        return heartbeat;
    }

    #receive(datagram: Datagram): void {
        if (this.#isStopped) {
            return;
        }
        this.#distributor.forward(datagram);
        const { message } = datagram;
        if (message.kind === "heartbeat") {
            this.#receiveHeartbeat(message.heartbeat, message.purpose, message.isUrgent);
        }
        else if (message.kind === "digest") {
            this.#publisher.recordOther(message.digest);
            this.#applyDigest(message.digest);
        }
        else if (message.kind === "loads") {
            this.#options.onSuccesses(this.view.applyLoads(message.loads));
        }
        else if (message.kind === "outcomes") {
            this.#options.onOutcomes(message);
        }
        else if (message.kind === "statements") {
            this.#options.onStatements(message.statements);
        }
        else if (message.kind === "outages") {
            this.#options.onOutages(message.outages);
        }
        else if (message.kind === "identities") {
            this.#discovery.receiveIdentities(message.infos);
        }
        else if (message.kind === "identity-request") {
            this.#discovery.answerIdentityRequest(message.sender, message.keys);
        }
        else {
            this.#options.onUpstreams(message);
        }
    }

    #receiveHeartbeat(heartbeat: Heartbeat, purpose: HeartbeatPurpose, isUrgent: boolean): void {
        const { roster, onRevision, self } = this.#options;
        const wasLive = roster.isLive(heartbeat.peerAddress);
        const key = instanceKey(heartbeat.id);
        roster.learn(instanceInfo(heartbeat));
        this.#rosterUpdater.recordHeard(key, instanceInfo(heartbeat), heartbeat, 0);
        for (const collection of sharedCollections) {
            const stated = heartbeat[collection];
            if (stated !== undefined) {
                roster.recordRevision(key, collection, stated.revision);
                roster.recordReader(key, collection, stated.reader, 0);
                onRevision(collection, stated.revision, stated.confirmedAgeMs);
            }
        }
        if (purpose === "report") {
            this.#publisher.recordReport(heartbeat, isUrgent);
        }
        else if (purpose === "hello") {
            this.#discovery.answerHello(heartbeat);
        }
        else if (!wasLive && heartbeat.zone === self.zone) {
            this.sendHeartbeatSoon();
        }
    }

    #applyDigest(digest: ZoneDigest): void {
        const { self, onSuccesses, roster } = this.#options;
        const { aggregator, members } = digest;
        if (aggregator.id !== self.id) {
            roster.learn(aggregator);
        }
        const ownKey = instanceKey(self.id);
        // What the digest of a standby states is known already while that of the other aggregator is recent.
        const isKnown = digest.usage === undefined
            && aggregator.zone !== self.zone
            && this.view.hasRecent(aggregator.zone, members.length, this.digestIntervalMs());
        for (const member of isKnown ? [] : members) {
            if (member.key === ownKey) {
                if (member.ageMs <= maxAckAgeMs) {
                    this.#selector.recordAck(aggregator.peerAddress);
                }
                continue;
            }
            const info = roster.identityOf(member.key);
            if (info !== undefined) {
                this.#rosterUpdater.recordHeard(member.key, info, member, member.ageMs);
            }
            else {
                this.#discovery.recordUnidentified(member.key, aggregator);
            }
        }
        sharedCollections.forEach(collection => this.#rosterUpdater.applyCollection(collection, digest));
        onSuccesses(this.view.apply(digest));
    }
}
