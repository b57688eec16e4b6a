/** Merges the digests of all zones into counts of the other instances. */
import type { Clock, ZoneId } from "@sniperoad/core";
import type { RemoteLoad } from "../balance/load-estimate.js";
import { instanceKey, nameKey } from "../name-key.js";
import type { DigestCount, ZoneDigest, ZoneLoads } from "./digest.js";
import type { Heartbeat } from "./heartbeat.js";

/** Age of a digest above which its requests in flight no longer count; the aggregator or the path to it has failed. */
const inFlightExpiryMs = 2_500;
/** Age of a digest above which none of it counts: its requests are then out of all windows. */
const usageExpiryMs = 6_000;
/** Age up to which a digest of another aggregator of the zone shows how many members a complete one has. */
const comparableMs = 1_200;
/** Share of the members of the largest comparable digest of a zone from which another one counts as complete. */
const completeShare = 0.9;
/** How many of its own heartbeats this instance keeps to subtract itself from digests. */
const maxHistory = 128;

interface ReceivedDigest {
    readonly digest: ZoneDigest;
    readonly receivedMs: number;
    /** The heartbeat of this instance that the digest contains; undefined if it contains none. */
    readonly own: Heartbeat | undefined;
    /** Latest loads of the aggregator, which may belong to an earlier digest. */
    loads: ReceivedLoads | undefined;
}

interface ReceivedLoads {
    readonly sequence: number;
    readonly receivedMs: number;
    readonly inFlight: readonly DigestCount[];
    /** See `ReceivedDigest`. */
    readonly own: Heartbeat | undefined;
}

/** Usage of a zone by organisation when its present aggregator, which does not know of it, took over. */
interface InheritedUsage {
    readonly admitted: ReadonlyMap<number, number>;
    readonly atMs: number;
}

interface ZoneView {
    /** By key of the aggregator. */
    readonly byAggregator: Map<number, ReceivedDigest>;
    /** Latest digest that counts as complete. */
    current: ReceivedDigest | undefined;
    inherited: InheritedUsage | undefined;
}

/** Usage of an organisation at the other instances. */
export interface RemoteUsage {
    readonly admitted: number;
    readonly offered: number;
}

/**
 * Sums up what other instances have in flight and have admitted. Of each zone, the latest digest counts; those of two
 * aggregators overlap and are not added unless most of their members differ. What this instance itself has reported is
 * subtracted, since it knows its own counts better.
 *
 * @example
 * view.apply(digest);
 * view.inFlight(nameKey(upstream));
 */
export class FleetView {
    readonly #clock: Clock;
    readonly #ownKey: number;
    readonly #usageWindowMs: () => number;
    readonly #zones = new Map<ZoneId, ZoneView>();
    /** Latest heartbeats of this instance, by the low byte of their sequence numbers. */
    readonly #history = new Map<number, Heartbeat>();
    /** Loads that arrived before their digest, by key of the aggregator. */
    readonly #earlyLoads = new Map<number, ZoneLoads>();
    #inFlight: ReadonlyMap<number, number> = new Map();
    #loads: readonly RemoteLoad[] = [];
    #usage: ReadonlyMap<number, RemoteUsage> = new Map();
    #validUntilMs = -Infinity;

    /** `ownKey`: see `instanceKey`. `usageWindowMs`: window over which admitted requests are counted. */
    constructor(clock: Clock, ownKey: number, usageWindowMs: () => number) {
        this.#clock = clock;
        this.#ownKey = ownKey;
        this.#usageWindowMs = usageWindowMs;
    }

    /** Records a heartbeat that this instance sends. */
    recordSent(heartbeat: Heartbeat): void {
        const slot = heartbeat.sequence & 0xFF;
        this.#history.delete(slot);
        this.#history.set(slot, heartbeat);
        this.#history.delete((heartbeat.sequence - maxHistory) & 0xFF);
    }

    /** The heartbeat of this instance that an aggregator acknowledges; undefined if there is none. */
    sent(acknowledged: number | undefined): Heartbeat | undefined {
        return acknowledged === undefined ? undefined : this.#history.get(acknowledged);
    }

    /** Applies a digest, and returns the successes of loads that arrived before it. */
    apply(digest: ZoneDigest): readonly DigestCount[] {
        const { aggregator, members, sequence } = digest;
        const key = instanceKey(aggregator.id);
        const zone = this.#zones.get(aggregator.zone)
            ?? { byAggregator: new Map(), current: undefined, inherited: undefined };
        this.#zones.set(aggregator.zone, zone);
        const previous = zone.byAggregator.get(key);
        if (previous !== undefined && previous.digest.sequence >= sequence) {
            return [];
        }
        const own = this.sent(members.find(member => member.key === this.#ownKey)?.acknowledged);
        const received = { digest, receivedMs: this.#clock.monotonicMs(), own, loads: previous?.loads };
        zone.byAggregator.set(key, received);
        this.#select(zone, received);
        this.#validUntilMs = -Infinity;
        const early = this.#earlyLoads.get(key);
        this.#earlyLoads.delete(key);
        return early === undefined ? [] : this.applyLoads(early);
    }

    /** Applies loads once their digest has arrived, and returns the successes that they add. */
    applyLoads(loads: ZoneLoads): readonly DigestCount[] {
        const { aggregatorKey, digestSequence, sequence, inFlight, acknowledged } = loads;
        const received = [...this.#zones.values()]
            .flatMap(({ byAggregator }) => byAggregator.get(aggregatorKey) ?? [])
            .at(0);
        if (received === undefined || received.digest.sequence < digestSequence) {
            this.#earlyLoads.set(aggregatorKey, loads);
            return [];
        }
        // Datagrams may be repeated or overtaken, and the acknowledgements refer to the members of one digest.
        const isNew = received.loads === undefined || received.loads.sequence < sequence;
        if (received.digest.sequence !== digestSequence || !isNew) {
            return [];
        }
        const ownIndex = received.digest.members.findIndex(({ key }) => key === this.#ownKey);
        const own = ownIndex < 0 ? undefined : this.sent(acknowledged[ownIndex]);
        const successes = this.#successesOfOthers(loads, own, received.loads?.own);
        received.loads = { sequence, receivedMs: this.#clock.monotonicMs(), inFlight, own };
        this.#validUntilMs = -Infinity;
        return successes;
    }

    /**
     * Share of a window that the usage of the other instances does not cover, from 0 to 1: after a restart of many processes
     * nobody knows what they admitted before.
     */
    uncoveredShare(windowMs = this.#usageWindowMs()): number {
        const nowMs = this.#clock.monotonicMs();
        let [uncovered, members] = [0, 0];
        for (const { current, inherited } of this.#zones.values()) {
            if (current !== undefined && nowMs - current.receivedMs <= usageExpiryMs) {
                const coveredMs = current.digest.coverageMs + nowMs - current.receivedMs;
                const share = inherited === undefined ? Math.max(0, 1 - coveredMs / windowMs) : 0;
                uncovered += share * current.digest.members.length;
                members += current.digest.members.length;
            }
        }
        return members === 0 ? 1 : uncovered / members;
    }

    /** Requests in flight from other instances to an upstream. */
    inFlight(key: number): number {
        this.#refresh();
        return this.#inFlight.get(key) ?? 0;
    }

    /** Whether a complete digest of at least `memberCount` instances of a zone was received within `maxAgeMs`. */
    hasRecent(zone: ZoneId, memberCount: number, maxAgeMs: number): boolean {
        const current = this.#zones.get(zone)?.current;
        return current !== undefined
            && current.digest.members.length >= memberCount
            && this.#clock.monotonicMs() - current.receivedMs <= maxAgeMs;
    }

    /** What is in flight from the other instances of each zone. */
    loads(): readonly RemoteLoad[] {
        this.#refresh();
        return this.#loads;
    }

    /** Usage of an organisation at other instances. */
    usage(key: number): RemoteUsage {
        this.#refresh();
        return this.#usage.get(key) ?? noUsage;
    }

    #select(zone: ZoneView, received: ReceivedDigest): void {
        const nowMs = this.#clock.monotonicMs();
        for (const [aggregator, { receivedMs }] of zone.byAggregator) {
            if (nowMs - receivedMs > inFlightExpiryMs) {
                zone.byAggregator.delete(aggregator);
            }
        }
        const comparable = [...zone.byAggregator.values()].filter(({ receivedMs }) =>
            nowMs - receivedMs <= comparableMs
        );
        const largest = Math.max(...comparable.map(({ digest }) => digest.members.length));
        const isComplete = received.digest.members.length >= completeShare * largest;
        if (!isComplete || received.digest.usage === undefined) {
            return;
        }
        const former = zone.current;
        zone.current = received;
        const windowMs = this.#usageWindowMs();
        if (received.digest.coverageMs >= windowMs) {
            zone.inherited = undefined;
        }
        else if (former !== undefined && former.digest.aggregator.id !== received.digest.aggregator.id) {
            const admitted = new Map(former.digest.usage?.map(entry => [entry.key, entry.admitted]));
            zone.inherited ??= { admitted, atMs: nowMs };
        }
    }

    /** Subtracts the own successes, which this instance has counted already. */
    #successesOfOthers(
        { successes }: ZoneLoads,
        own: Heartbeat | undefined,
        previousOwn: Heartbeat | undefined,
    ): readonly DigestCount[] {
        if (own === undefined || successes.length === 0) {
            return successes;
        }
        const ownCounts = new Map<number, number>();
        const firstSequence = (previousOwn?.sequence ?? own.sequence - 1) + 1;
        for (let sequence = Math.max(firstSequence, own.sequence - maxHistory); sequence <= own.sequence; sequence++) {
            this.#history.get(sequence & 0xFF)?.successes.forEach(({ upstream, count }) => {
                const key = nameKey(upstream);
                ownCounts.set(key, (ownCounts.get(key) ?? 0) + count);
            });
        }
        return successes
            .map(({ key, count }) => ({ key, count: count - (ownCounts.get(key) ?? 0) }))
            .filter(({ count }) => count > 0);
    }

    #refresh(): void {
        const nowMs = this.#clock.monotonicMs();
        if (nowMs < this.#validUntilMs) {
            return;
        }
        this.#validUntilMs = nowMs + refreshIntervalMs;
        const inFlight = new Map<number, number>();
        const loads: RemoteLoad[] = [];
        const usage = new Map<number, { admitted: number; offered: number; }>();
        for (const zone of this.#zones.values()) {
            for (const received of countedDigests(zone)) {
                const ageMs = nowMs - received.receivedMs;
                if (ageMs <= inFlightExpiryMs && received.loads !== undefined) {
                    const load = remoteLoadOf(received.loads);
                    loads.push(load);
                    load.inFlight.forEach((count, key) => inFlight.set(key, (inFlight.get(key) ?? 0) + count));
                }
                if (ageMs <= usageExpiryMs) {
                    this.#addUsage(usage, received, received === zone.current ? zone.inherited : undefined);
                }
            }
        }
        this.#inFlight = inFlight;
        this.#loads = loads;
        this.#usage = usage;
    }

    #addUsage(
        usage: Map<number, { admitted: number; offered: number; }>,
        { digest, own }: ReceivedDigest,
        inherited: InheritedUsage | undefined,
    ): void {
        const ownUsage = new Map(own?.usage.map(entry => [nameKey(entry.organisation), entry]));
        const reported = new Map(digest.usage?.map(entry => [entry.key, entry]));
        for (const key of new Set([...reported.keys(), ...(inherited?.admitted.keys() ?? [])])) {
            const { admitted, offered } = reported.get(key) ?? noUsage;
            const ownEntry = ownUsage.get(key) ?? noUsage;
            const sum = usage.get(key) ?? { admitted: 0, offered: 0 };
            usage.set(key, sum);
            sum.admitted += Math.max(0, Math.max(admitted, this.#inheritedCount(inherited, key)) - ownEntry.admitted);
            sum.offered += Math.max(0, offered - ownEntry.offered);
        }
    }

    /** Inherited requests leave the window evenly; their times are unknown. */
    #inheritedCount(inherited: InheritedUsage | undefined, key: number): number {
        if (inherited === undefined) {
            return 0;
        }
        const share = 1 - (this.#clock.monotonicMs() - inherited.atMs) / this.#usageWindowMs();
        return Math.max(0, share) * (inherited.admitted.get(key) ?? 0);
    }
}

const noUsage: RemoteUsage = { admitted: 0, offered: 0 };
/** Interval at which sums are recalculated without a new digest, since old ones expire. */
const refreshIntervalMs = 200;

/** The current digest of a zone, and full ones of other aggregators most of whose members no counted one contains. */
const countedDigests = ({ current, byAggregator }: ZoneView): readonly ReceivedDigest[] => {
    if (current === undefined) {
        return [];
    }
    const counted = [current];
    const keys = new Set(current.digest.members.map(({ key }) => key));
    for (const received of byAggregator.values()) {
        const others = received.digest.members.filter(({ key }) => !keys.has(key));
        const isFull = received.digest.usage !== undefined;
        if (
            received !== current && isFull && others.length * 2 >= received.digest.members.length && others.length > 0
        ) {
            counted.push(received);
            others.forEach(({ key }) => keys.add(key));
        }
    }
    return counted;
};

/** Mean age of the counts of an instance when its aggregator reports them. */
const reportAgeMs = 60;

/** What the instances of a zone but this one have in flight. */
const remoteLoadOf = ({ inFlight, own, receivedMs }: ReceivedLoads): RemoteLoad => {
    const counts = new Map(inFlight.map(({ key, count }) => [key, count]));
    own?.inFlight.forEach(({ upstream, count }) => {
        const key = nameKey(upstream);
        counts.set(key, Math.max(0, (counts.get(key) ?? 0) - count));
    });
    return { atMs: receivedMs - reportAgeMs, inFlight: counts };
};
