/** Estimates by how much the requests for a service exceed what its upstreams can serve. */
import type { Clock } from "@sniperoad/core";
import type { ServiceLoad } from "./service-load.js";

/** Interval of the estimates. */
export const pressureIntervalMs = 100;
/** Shortest time between reports over which growth of the load is measured; shorter ones are mostly noise. */
const minSlopeMs = 500;
/** Time constant of the estimated demand; shorter ones follow the noise of small services. */
const demandSmoothingMs = 300;
/** Time in which a wait beyond the target is to be worked off. */
const drainMs = 300;
/** Time constant of the mean service time. */
const serviceTimeSmoothingMs = 2_000;
/** Highest level; beyond it only the floor of each rank is admitted anyway. */
const maxLevel = 3;
/**
 * Shares of the slots in use between which a service turns from one with room, whatever waits at single upstreams, to a
 * full one. Random placement by old reports keeps about nine of ten slots in use when requests wait everywhere.
 */
const fullShares = { min: 0.7, max: 0.85 };
/** Time for which samples are kept: the longest age of reports and the time before them that is compared. */
const keptMs = 4_000;
/** Completed requests before which no service time is estimated. */
const minCompleted = 10;
/** Bounds of the logarithm of demand to capacity. */
const demandBounds = { min: -1.5, max: 2 };

/** What a {@link ServicePressure} is reviewed with. */
export interface PressureInput {
    /** Requests in flight from all instances, and slots; see `loadOf`. */
    readonly load: ServiceLoad;
    /** Requests that the upstreams complete per second, for all instances. */
    readonly completedPerSecond: number;
    /** Mean age of the reports that the load consists of. */
    readonly reportAgeMs: number;
    /** Wait at the upstreams that leaves the requests of the service within their objectives. */
    readonly targetWaitMs: number;
}

interface Sample {
    readonly atMs: number;
    /** Time of the reports. */
    readonly reportedMs: number;
    readonly reportedWaitMs: number;
    readonly level: number;
}

/**
 * Regulates how much of the requests for a service is admitted, for load that exceeds its capacity while the reports on
 * it are older than most requests. All instances see the same reports, so decisions by a threshold admit or reject at
 * all of them at once until the next report. Instead each instance estimates the ratio of demand to capacity: from the
 * growth of the expected wait between reports, or below capacity the share of the slots in use, and the share that was
 * admitted while they were made. The wait follows from Little's law, as in PIE (RFC 8033), and its distance from the
 * target is corrected slowly.
 *
 * @example
 * pressure.review(input);
 * const isAdmitted = random() < Math.exp(-pressure.level);
 */
export class ServicePressure {
    readonly #clock: Clock;
    #samples: Sample[] = [];
    /** Sums that decay with {@link serviceTimeSmoothingMs}. */
    #busyMs = 0;
    #completed = 0;
    #waitMs = 0;
    #demand = demandBounds.min;
    #level = 0;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Negative logarithm of the share of requests that is to be admitted; 0 while all can be served. */
    get level(): number {
        return this.#level;
    }

    /** Expected wait for a slot of a request that is sent now. */
    get waitMs(): number {
        return Math.max(0, this.#waitMs);
    }

    /** Mean time for which a request takes a slot; undefined before the first answers. */
    get serviceTimeMs(): number | undefined {
        return this.#completed < minCompleted ? undefined : this.#busyMs / this.#completed;
    }

    /** Whether the last review is so old that another one is due. */
    get isDue(): boolean {
        return this.#clock.monotonicMs() - (this.#samples.at(-1)?.atMs ?? -Infinity) >= pressureIntervalMs;
    }

    /** Adapts to the reports; to be called every {@link pressureIntervalMs}. */
    review({ load: { inFlight, slots, busy }, completedPerSecond, reportAgeMs, targetWaitMs }: PressureInput): void {
        const atMs = this.#clock.monotonicMs();
        const passedMs = Math.min(1_000, atMs - (this.#samples.at(-1)?.atMs ?? atMs));
        const kept = Math.exp(-passedMs / serviceTimeSmoothingMs);
        this.#busyMs = this.#busyMs * kept + busy * passedMs;
        this.#completed = this.#completed * kept + completedPerSecond * passedMs / 1_000;
        const serviceTimeMs = this.serviceTimeMs;
        const reportedMs = atMs - reportAgeMs;
        if (slots <= 0 || serviceTimeMs === undefined) {
            this.#samples = [{ atMs, reportedMs, reportedWaitMs: 0, level: 0 }];
            this.#level = 0;
            return;
        }
        const full = fullness(busy / slots);
        const reportedWaitMs = (inFlight - slots) * serviceTimeMs / slots * full;
        const former = this.#samples.findLast(sample => sample.reportedMs <= reportedMs - minSlopeMs);
        if (former !== undefined) {
            const admitted = reportedWaitMs <= 0
                ? inFlight / slots
                : 1 + (reportedWaitMs - Math.max(0, former.reportedWaitMs)) / (reportedMs - former.reportedMs);
            const ratio = full * admitted + (1 - full) * busy / slots;
            const demand = Math.log(Math.max(0.1, ratio)) + this.#levelBetween(former.reportedMs, reportedMs);
            const bounded = Math.min(demandBounds.max, Math.max(demandBounds.min, demand));
            this.#demand += (bounded - this.#demand) * (1 - Math.exp(-passedMs / demandSmoothingMs));
        }
        // What was admitted since the reports changes the wait.
        const since = Math.exp(this.#demand - this.#levelBetween(reportedMs, atMs)) - 1;
        this.#waitMs = Math.max(-serviceTimeMs, reportedWaitMs + since * reportAgeMs);
        this.#level = Math.max(0, Math.min(maxLevel, this.#demand + (this.#waitMs - targetWaitMs) / drainMs));
        this.#samples.push({ atMs, reportedMs, reportedWaitMs, level: this.#level });
        this.#samples = this.#samples.filter(sample => sample.atMs >= atMs - keptMs);
    }

    #levelBetween(fromMs: number, toMs: number): number {
        const samples = this.#samples.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs);
        return samples.length === 0 ? this.#level : samples.reduce((sum, { level }) => sum + level, 0) / samples.length;
    }
}

/** 0 for a service with free slots, 1 for a full one. */
const fullness = (busyShare: number): number =>
    Math.min(1, Math.max(0, (busyShare - fullShares.min) / (fullShares.max - fullShares.min)));
