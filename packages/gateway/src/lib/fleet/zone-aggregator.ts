/** Sums up the heartbeats of the instances of a zone. */
import type { Clock, Random } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { instanceKey, nameKey } from "../name-key.js";
import { sharedCollections } from "../store/state-messages.js";
import type { SharedCollection } from "../store/state-messages.js";
import { maxMemberAgeMs } from "./digest.js";
import type {
    DigestCollection,
    DigestCount,
    DistributedCrash,
    DistributedOutcome,
    ZoneDigest,
    ZoneLoads,
} from "./digest.js";
import type { CollectionState, CollectionStates, Heartbeat, UpstreamCount } from "./heartbeat.js";

/** Number of holders of a collection that a digest names. */
const maxHolders = 6;
/** Time after which counts of an instance that is no longer heard are dropped: its requests are then out of all windows. */
const usageRetentionMs = 6_000;
/** How often each outcome and crash is distributed, so that one lost datagram loses none. */
const distributionCount = 2;

interface Reporter {
    readonly heartbeat: Heartbeat;
    readonly receivedMs: number;
}

/** An outcome or crash with the number of times that it is still to be distributed. */
interface Queued<T> {
    readonly item: T;
    remaining: number;
}

/** Highest sequence numbers that were received from an instance. */
interface Received {
    outcome: number;
    crash: number;
}

/** Receivers of loads: the own zone receives them more often than the others. */
export type LoadsReceivers = "zone" | "others";

/** What the receipt of a heartbeat changed. */
export interface HeartbeatEffect {
    /** Whether the instance is new, or its readiness has changed. */
    readonly hasMemberChanged: boolean;
    /** Whether the instance is new, so that others may not know its identity. */
    readonly isNew: boolean;
    /** Whether the store has stopped answering the instance, so that another one must read in its place. */
    readonly hasReaderFailed: boolean;
}

/** Outcomes and crashes to be distributed. */
export interface OutcomeBatch {
    readonly outcomes: readonly DistributedOutcome[];
    readonly crashes: readonly DistributedCrash[];
}

/** Options of {@link ZoneAggregator}. */
export interface ZoneAggregatorOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    /** State of the collections of this instance, which the digest states. */
    readonly collections: () => CollectionStates;
}

/**
 * Keeps the latest heartbeat of each instance of the zone and creates digests of them. Counts in heartbeats are states,
 * so a digest is the sum of the latest ones: nothing is counted twice, whichever aggregator receives it.
 *
 * @example
 * aggregator.record(heartbeat);
 * const digest = aggregator.createDigest(false);
 */
export class ZoneAggregator {
    readonly #options: ZoneAggregatorOptions;
    /** By peer address, so that a restarted process replaces the previous one. */
    readonly #reporters = new Map<string, Reporter>();
    /** Latest heartbeats of processes that were replaced; their requests still count for the rates. */
    #replaced: Reporter[] = [];
    readonly #received = new Map<string, Received>();
    /** Ordinary successes that the own zone, and the other ones, have not received yet. */
    readonly #successes: Record<LoadsReceivers, Map<number, number>> = { zone: new Map(), others: new Map() };
    /** Peer addresses of the members of the latest digest, in its order. */
    #digestMembers: readonly string[] = [];
    #loadsSequence = 0;
    #outcomes: Queued<DistributedOutcome>[] = [];
    #crashes: Queued<DistributedCrash>[] = [];
    #sequence = 0;
    /** Time since which heartbeats have arrived without a pause. */
    #coveredSinceMs: number | undefined;
    #lastReceivedMs = -Infinity;

    constructor(options: ZoneAggregatorOptions) {
        this.#options = options;
    }

    /** Whether any instance uses this one as its aggregator. */
    get isActive(): boolean {
        return this.#options.clock.monotonicMs() - this.#lastReceivedMs <= maxMemberAgeMs;
    }

    /** Records a heartbeat; one that is older than the previous one of its process is ignored. */
    record(heartbeat: Heartbeat): HeartbeatEffect {
        const nowMs = this.#options.clock.monotonicMs();
        const previous = this.#reporters.get(heartbeat.peerAddress);
        const isNew = previous?.heartbeat.id !== heartbeat.id;
        if (!isNew && previous !== undefined && previous.heartbeat.sequence >= heartbeat.sequence) {
            return { hasMemberChanged: false, isNew: false, hasReaderFailed: false };
        }
        if (isNew && previous !== undefined) {
            this.#replaced.push(previous);
            this.#received.delete(previous.heartbeat.id);
        }
        if (!this.isActive) {
            this.#coveredSinceMs = nowMs;
        }
        this.#lastReceivedMs = nowMs;
        this.#reporters.set(heartbeat.peerAddress, { heartbeat, receivedMs: nowMs });
        heartbeat.successes.forEach(({ upstream, count }) => {
            add(this.#successes.zone, nameKey(upstream), count);
            add(this.#successes.others, nameKey(upstream), count);
        });
        this.#queueOutcomes(heartbeat);
        const hasMemberChanged = isNew
            || previous === undefined
            || nowMs - previous.receivedMs > maxMemberAgeMs
            || previous.heartbeat.isReady !== heartbeat.isReady
            || previous.heartbeat.isLeaving !== heartbeat.isLeaving;
        const hasReaderFailed = sharedCollections.some(collection =>
            heartbeat[collection]?.reader === "failing"
            && previous?.heartbeat[collection]?.reader !== "failing"
        );
        return { hasMemberChanged, isNew, hasReaderFailed };
    }

    /** Creates the next digest; `isStandby` leaves out what the other aggregator of the zone reports. */
    createDigest(isStandby: boolean): ZoneDigest {
        const { self, clock, collections } = this.#options;
        const nowMs = clock.monotonicMs();
        this.#removeExpired(nowMs);
        const reporters = [...this.#reporters.values()];
        const current = this.#current(nowMs);
        this.#digestMembers = current.map(({ heartbeat }) => heartbeat.peerAddress);
        const held = collections();
        return {
            aggregator: self,
            sequence: ++this.#sequence,
            coverageMs: nowMs - (this.#coveredSinceMs ?? nowMs),
            members: current.map(({ heartbeat, receivedMs }) => ({
                key: instanceKey(heartbeat.id),
                acknowledged: heartbeat.sequence & 0xFF,
                ageMs: nowMs - receivedMs,
                isReady: heartbeat.isReady,
                isLeaving: heartbeat.isLeaving,
            })),
            config: this.#collection("config", held.config, current),
            upstreams: this.#collection("upstreams", held.upstreams, current),
            ...(held.evacuations === undefined
                ? {}
                : { evacuations: this.#collection("evacuations", held.evacuations, current) }),
            // Requests of an instance that has just failed still count for the rates.
            usage: isStandby
                ? undefined
                : sumUsage([...reporters, ...this.#replaced].map(({ heartbeat }) => heartbeat)),
        };
    }

    /** Takes the loads for the own zone or the other ones; undefined if a standby has nothing to report. */
    takeLoads(receivers: LoadsReceivers, isStandby: boolean): ZoneLoads | undefined {
        const { self, clock } = this.#options;
        const successes = toCounts(this.#successes[receivers]);
        this.#successes[receivers] = new Map();
        if (isStandby && successes.length === 0) {
            return undefined;
        }
        const current = isStandby ? [] : this.#current(clock.monotonicMs());
        return {
            aggregatorKey: instanceKey(self.id),
            digestSequence: this.#sequence,
            sequence: ++this.#loadsSequence,
            acknowledged: Uint8Array.from(
                this.#digestMembers,
                address => (this.#reporters.get(address)?.heartbeat.sequence ?? 0) & 0xFF,
            ),
            inFlight: sumCounts(current.map(({ heartbeat }) => heartbeat.inFlight)),
            successes,
        };
    }

    /** Number of instances from which a heartbeat was received recently. */
    memberCount(): number {
        return this.#current(this.#options.clock.monotonicMs()).length;
    }

    #current(nowMs: number): readonly Reporter[] {
        return [...this.#reporters.values()].filter(({ receivedMs }) => nowMs - receivedMs <= maxMemberAgeMs);
    }

    /** Takes the outcomes and crashes that are due for distribution. */
    takeOutcomes(): OutcomeBatch {
        const outcomes = take(this.#outcomes);
        const crashes = take(this.#crashes);
        this.#outcomes = this.#outcomes.filter(({ remaining }) => remaining > 0);
        this.#crashes = this.#crashes.filter(({ remaining }) => remaining > 0);
        return { outcomes, crashes };
    }

    #queueOutcomes({ id, outcomes, crashes }: Heartbeat): void {
        const received = this.#received.get(id) ?? { outcome: 0, crash: 0 };
        this.#received.set(id, received);
        const origin = instanceKey(id);
        for (const { sequence, upstream, kind } of outcomes) {
            if (sequence > received.outcome) {
                received.outcome = sequence;
                const item = { origin, sequence, upstreamKey: nameKey(upstream), kind };
                this.#outcomes.push({ item, remaining: distributionCount });
            }
        }
        for (const { sequence, upstream, fingerprint } of crashes) {
            if (sequence > received.crash) {
                received.crash = sequence;
                const item = { origin, sequence, upstreamKey: nameKey(upstream), fingerprint };
                this.#crashes.push({ item, remaining: distributionCount });
            }
        }
    }

    #collection(
        collection: SharedCollection,
        { revision, confirmedAgeMs }: CollectionState,
        reporters: readonly Reporter[],
    ): DigestCollection {
        const { self, random } = this.#options;
        const holders = reporters
            .filter(({ heartbeat }) => (heartbeat[collection]?.revision ?? 0) >= revision && heartbeat.id !== self.id)
            .map(({ heartbeat }) => instanceKey(heartbeat.id));
        const first = Math.floor(random() * holders.length);
        const rotated = [...holders.slice(first), ...holders.slice(0, first)].slice(0, maxHolders - 1);
        const readers = reporters
            .map(({ heartbeat }) => ({
                key: instanceKey(heartbeat.id),
                state: heartbeat[collection]?.reader ?? "idle",
            }))
            .filter(({ state }) => state !== "idle");
        return { revision, confirmedAgeMs, holders: revision > 0 ? [instanceKey(self.id), ...rotated] : [], readers };
    }

    #removeExpired(nowMs: number): void {
        this.#replaced = this.#replaced.filter(({ receivedMs }) => nowMs - receivedMs <= usageRetentionMs);
        for (const [address, { heartbeat, receivedMs }] of this.#reporters) {
            if (nowMs - receivedMs > usageRetentionMs) {
                this.#reporters.delete(address);
                this.#received.delete(heartbeat.id);
            }
        }
    }
}

const take = <T>(queue: readonly Queued<T>[]): readonly T[] =>
    queue.map(queued => {
        queued.remaining--;
        return queued.item;
    });

const add = (counts: Map<number, number>, key: number, count: number): void => {
    counts.set(key, (counts.get(key) ?? 0) + count);
};

const toCounts = (counts: ReadonlyMap<number, number>): DigestCount[] =>
    [...counts].map(([key, count]) => ({ key, count }));

const sumCounts = (lists: readonly (readonly UpstreamCount[])[]): DigestCount[] => {
    const counts = new Map<number, number>();
    lists.forEach(list => list.forEach(({ upstream, count }) => add(counts, nameKey(upstream), count)));
    return toCounts(counts);
};

const sumUsage = (heartbeats: readonly Heartbeat[]): ZoneDigest["usage"] => {
    const admitted = new Map<number, number>();
    const offered = new Map<number, number>();
    for (const { usage } of heartbeats) {
        for (const entry of usage) {
            const key = nameKey(entry.organisation);
            add(admitted, key, entry.admitted);
            add(offered, key, entry.offered);
        }
    }
    return [...admitted].map(([key, count]) => ({ key, admitted: count, offered: offered.get(key) ?? 0 }));
};
