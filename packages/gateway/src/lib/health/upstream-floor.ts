/** Keeps enough upstreams of a service in use while some of its requests fail. */
import type { Clock, Random, ServiceId, UpstreamId } from "@sniperoad/core";
import type { OutcomeKind } from "../fleet/heartbeat.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { KnownUpstream } from "../store/upstream-registry.js";

/**
 * Window over which failures are counted. The floor must hold in any interval of 2 s with failures, even if the
 * failures occur only at its end.
 */
const failureWindowMs = 4_000;
/** Failure ratio from which the floor is enforced; it is required from a ratio of 0.1. */
const minFailureRatio = 0.05;
/** How long an upstream counts as used. It is less than 2 s, since the reports of other instances arrive late. */
const recentUseMs = 1_400;
/** Added to the required fraction of upstreams, since an upstream may leave between two requests. */
const floorMargin = 0.06;
/** Fraction of requests that each instance sends to unused upstreams while the floor is not met. */
const pickFraction = 0.2;
/** The same for requests that must not be repeated, if the service also has repeatable ones for unused upstreams. */
const unrepeatablePickFraction = 0.05;
/** How long an upstream does not count for the floor after it has failed a request itself. */
const failureExclusionMs = 2_000;

interface ServiceUsage {
    readonly requests: SlidingWindowCounter;
    readonly failures: SlidingWindowCounter;
    /** Repeatable requests of this instance. */
    readonly repeatable: SlidingWindowCounter;
}

/** Input of {@link UpstreamFloor.pick}. */
export interface FloorPickRequest {
    readonly candidates: readonly KnownUpstream[];
    /** Whether the request may be retried at another upstream if this one fails. */
    readonly isRepeatable: boolean;
    /** Probability that an upstream is gray. */
    readonly grayProbability: (upstream: UpstreamId) => number;
}

/** Options of {@link UpstreamFloor}. */
export interface UpstreamFloorOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Fraction of a service's upstreams that must receive requests while some of its requests fail. */
    readonly floorShare: () => number;
    readonly serviceOf: (upstream: UpstreamId) => ServiceId | undefined;
}

/**
 * Keeps a minimum fraction of a service's upstreams in use. Selection by gray probability alone would leave few in use
 * when many have a high probability, some of them wrongly.
 * While a service has failures, part of its requests goes to upstreams that have neither received a request nor failed
 * recently.
 *
 * @example
 * const upstream = floor.pick({ candidates, isRepeatable: true, grayProbability });
 */
export class UpstreamFloor {
    readonly #options: UpstreamFloorOptions;
    readonly #usageByService = new Map<ServiceId, ServiceUsage>();
    readonly #lastUsedMs = new Map<UpstreamId, number>();
    readonly #lastFailedMs = new Map<UpstreamId, number>();

    constructor(options: UpstreamFloorOptions) {
        this.#options = options;
    }

    /** Records that a request was sent to an upstream. */
    recordUse(upstream: UpstreamId): void {
        this.#lastUsedMs.set(upstream, this.#options.clock.monotonicMs());
    }

    /** Records an outcome of any instance. */
    recordOutcome(upstream: UpstreamId, kind: OutcomeKind): void {
        this.recordUse(upstream);
        if (kind === "failure") {
            this.#lastFailedMs.set(upstream, this.#options.clock.monotonicMs());
        }
        const service = this.#options.serviceOf(upstream);
        if (service === undefined) {
            return;
        }
        const usage = this.#usageByService.get(service) ?? this.#newUsage();
        this.#usageByService.set(service, usage);
        usage.requests.add(1);
        usage.failures.add(kind === "success" ? 0 : 1);
    }

    /** Picks an upstream that must receive this request to meet the floor; undefined if any may be selected. */
    pick({ candidates, isRepeatable, grayProbability }: FloorPickRequest): KnownUpstream | undefined {
        const usage = this.#usageByService.get(candidates[0]?.listed.service ?? "" as ServiceId);
        if (usage === undefined) {
            return undefined;
        }
        usage.repeatable.add(isRepeatable ? 1 : 0);
        if (usage.failures.total() < minFailureRatio * usage.requests.total()) {
            return undefined;
        }
        const nowMs = this.#options.clock.monotonicMs();
        // An upstream that has failed recently does not count for the floor, and would probably fail the request.
        const healthy = candidates.filter(({ listed }) =>
            nowMs - (this.#lastFailedMs.get(listed.id) ?? -Infinity) > failureExclusionMs
        );
        const unused = healthy.filter(({ listed }) =>
            nowMs - (this.#lastUsedMs.get(listed.id) ?? -Infinity) > recentUseMs
        );
        const required = Math.ceil(healthy.length * Math.min(1, this.#options.floorShare() + floorMargin));
        if (
            healthy.length - unused.length >= required
            || this.#options.random() > this.#pickFraction(usage, isRepeatable)
        ) {
            return undefined;
        }
        // If all instances picked the upstream with the lowest probability, it would receive many requests at once.
        const [first, second] = [this.#randomOf(unused), this.#randomOf(unused)];
        return grayProbability(first.listed.id) < grayProbability(second.listed.id) ? first : second;
    }

    #randomOf(upstreams: readonly KnownUpstream[]): KnownUpstream {
        return upstreams[Math.floor(this.#options.random() * upstreams.length)]!;
    }

    #pickFraction({ repeatable }: ServiceUsage, isRepeatable: boolean): number {
        return isRepeatable || repeatable.total() === 0 ? pickFraction : unrepeatablePickFraction;
    }

    /** Removes upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        for (const times of [this.#lastUsedMs, this.#lastFailedMs]) {
            [...times.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => times.delete(upstream));
        }
    }

    #newUsage(): ServiceUsage {
        const { clock } = this.#options;
        return {
            requests: new SlidingWindowCounter(clock, failureWindowMs),
            failures: new SlidingWindowCounter(clock, failureWindowMs),
            repeatable: new SlidingWindowCounter(clock, failureWindowMs),
        };
    }
}
