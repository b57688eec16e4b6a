/** Distributes what this instance receives as an aggregator of its zone. */
import type { Clock, Random, Timer } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { rankAggregators } from "./aggregator-selector.js";
import { maxIdentities, maxOutcomes } from "./datagrams.js";
import type { ZoneDigest, ZoneLoads } from "./digest.js";
import type { Distributor } from "./distributor.js";
import { EarliestTimer } from "./earliest-timer.js";
import { instanceInfo } from "./heartbeat.js";
import type { CollectionStates, Heartbeat } from "./heartbeat.js";
import { ZoneAggregator } from "./zone-aggregator.js";
import type { LoadsReceivers, OutcomeBatch } from "./zone-aggregator.js";

/** Minimum time between digests with urgent changes of members or of the state. */
const minUrgentGapMs = 40;
/** Minimum time between digests that report requests of an organisation near its limit. */
const scarceUsageGapMs = 150;
/** Minimum time between loads for the own zone, as a fraction of the digest interval. */
const loadsIntervalFraction = 0.4;
/** Fraction of the digest interval after which a digest reports new members; many may start at once. */
const memberChangeFraction = 0.4;
/** Number of digest intervals for which an instance stays a standby without a digest of the other aggregator. */
const standbyIntervals = 1.5;
/** Share of the members of a standby that the other aggregator's digest must list. */
const coveredShare = 0.9;

/** Options of {@link DigestPublisher}. */
export interface DigestPublisherOptions {
    readonly self: GatewayInstance;
    readonly clock: Clock;
    readonly random: Random;
    readonly distributor: Distributor;
    readonly intervalMs: () => number;
    /** Minimum time between distributions of outcomes. */
    readonly urgentGapMs: (isStandby: boolean) => number;
    readonly collections: () => CollectionStates;
    /** Processes what this instance distributes to the others. */
    readonly onDigest: (digest: ZoneDigest) => void;
    readonly onLoads: (loads: ZoneLoads) => void;
    readonly onOutcomes: (batch: OutcomeBatch) => void;
}

/**
 * Distributes a digest periodically, and outcomes, identities and urgent changes soon, as long as any instance uses this
 * one as its aggregator. While a higher-ranked aggregator of the zone reports the same members, this one is a standby:
 * its digests state liveness only.
 *
 * @example
 * publisher.start();
 * publisher.recordReport(heartbeat, true);
 */
export class DigestPublisher {
    readonly #options: DigestPublisherOptions;
    readonly #aggregator: ZoneAggregator;
    /** Identities to distribute. */
    #newIdentities: GatewayInstance[] = [];
    #lastUrgentMs = -Infinity;
    #lastDigestMs = -Infinity;
    #timer: Timer | undefined;
    #lastLoadsMs = -Infinity;
    readonly #earlyDigest: EarliestTimer;
    readonly #earlyLoads: EarliestTimer;
    readonly #urgent: EarliestTimer;
    /** Time until which this instance is a standby. */
    #standbyUntilMs = -Infinity;
    #isStopped = false;

    constructor(options: DigestPublisherOptions) {
        this.#options = options;
        this.#aggregator = new ZoneAggregator(options);
        this.#earlyDigest = new EarliestTimer(options.clock, () => {
            this.#distributeUrgent();
            this.#distributeDigest();
        });
        this.#earlyLoads = new EarliestTimer(options.clock, () => this.#distributeLoads("zone"));
        this.#urgent = new EarliestTimer(options.clock, () => this.#distributeUrgent());
    }

    start(): void {
        this.#tick();
    }

    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        [this.#earlyDigest, this.#earlyLoads, this.#urgent].forEach(timer => timer.cancel());
    }

    /** Records the report of an instance, or of this one, that uses this instance as its aggregator. */
    recordReport(heartbeat: Heartbeat, isUrgent: boolean): void {
        const { hasMemberChanged, isNew, hasReaderFailed } = this.#aggregator.record(heartbeat);
        if (isNew) {
            this.#newIdentities.push(instanceInfo(heartbeat));
        }
        if (hasMemberChanged) {
            const gapMs = heartbeat.isLeaving ? minUrgentGapMs : this.#options.intervalMs() * memberChangeFraction;
            this.#earlyDigest.schedule(this.#lastDigestMs + gapMs);
        }
        if (hasReaderFailed) {
            this.#earlyDigest.schedule(this.#lastDigestMs + minUrgentGapMs);
        }
        if (heartbeat.hasScarceUsage && !this.#isStandby()) {
            this.#earlyDigest.schedule(this.#lastDigestMs + scarceUsageGapMs);
        }
        if (heartbeat.inFlight.length + heartbeat.successes.length > 0) {
            this.#earlyLoads.schedule(this.#lastLoadsMs + this.#options.intervalMs() * loadsIntervalFraction);
        }
        if (isUrgent) {
            this.#urgent.schedule(this.#lastUrgentMs + this.#options.urgentGapMs(this.#isStandby()));
        }
    }

    /** Records the digest of another aggregator, which may make this instance a standby. */
    recordOther({ aggregator, members, usage }: ZoneDigest): void {
        const { self, clock, intervalMs } = this.#options;
        const isPrimary = aggregator.zone === self.zone
            && usage !== undefined
            && rankAggregators([self, aggregator])[0] === aggregator;
        if (isPrimary) {
            const isCovered = members.length >= this.#aggregator.memberCount() * coveredShare;
            this.#standbyUntilMs = isCovered ? clock.monotonicMs() + intervalMs() * standbyIntervals : -Infinity;
        }
    }

    /** As an aggregator, distributes a digest soon, since a member or the state of this instance has changed. */
    announceState(): void {
        this.#earlyDigest.schedule(this.#lastDigestMs + minUrgentGapMs);
    }

    #distributeUrgent(): void {
        this.#lastUrgentMs = this.#options.clock.monotonicMs();
        const { outcomes, crashes } = this.#aggregator.takeOutcomes();
        for (let start = 0; start < Math.max(outcomes.length, crashes.length); start += maxOutcomes) {
            const batch = {
                outcomes: outcomes.slice(start, start + maxOutcomes),
                crashes: crashes.slice(start, start + maxOutcomes),
            };
            this.#options.distributor.toFleet({ kind: "outcomes", ...batch });
            this.#options.onOutcomes(batch);
        }
        const identities = this.#newIdentities;
        this.#newIdentities = [];
        for (let start = 0; start < identities.length; start += maxIdentities) {
            const infos = identities.slice(start, start + maxIdentities);
            this.#options.distributor.toFleet({ kind: "identities", infos });
        }
    }

    #distributeDigest(): void {
        this.#lastDigestMs = this.#options.clock.monotonicMs();
        if (this.#aggregator.isActive) {
            const { distributor, onDigest } = this.#options;
            const digest = this.#aggregator.createDigest(this.#isStandby());
            distributor.toFleet({ kind: "digest", digest });
            onDigest(digest);
            this.#distributeLoads("zone");
            this.#distributeLoads("others");
        }
    }

    #distributeLoads(receivers: LoadsReceivers): void {
        const { distributor, onLoads, clock } = this.#options;
        const loads = this.#aggregator.takeLoads(receivers, this.#isStandby());
        if (loads === undefined) {
            return;
        }
        if (receivers === "others") {
            distributor.toOtherZones({ kind: "loads", loads });
            return;
        }
        this.#lastLoadsMs = clock.monotonicMs();
        distributor.toOwnZone({ kind: "loads", loads });
        onLoads(loads);
    }

    #isStandby(): boolean {
        return this.#options.clock.monotonicMs() < this.#standbyUntilMs;
    }

    #tick(): void {
        const { clock, random, intervalMs } = this.#options;
        if (this.#isStopped) {
            return;
        }
        const delayMs = intervalMs();
        if (clock.monotonicMs() - this.#lastDigestMs >= delayMs / 2) {
            this.#distributeUrgent();
            this.#distributeDigest();
        }
        this.#timer = clock.after(delayMs * (0.9 + 0.2 * random()), () => this.#tick());
    }
}
