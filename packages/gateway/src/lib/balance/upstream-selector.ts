/** Selects the upstream of a request by health, load and zone. */
import type { Clock, Random, UpstreamId, ZoneId } from "@sniperoad/core";
import { slotsOf } from "../admission/service-load.js";
import type { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { UpstreamFloor } from "../health/upstream-floor.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { FleetLoad } from "./fleet-load.js";

/** Cost of a failed request that must not be repeated. All other costs are relative to it. */
const failureCost = 1;
/** Cost of a failed request that may be repeated: it loses time and an extra attempt, but tests the upstream. */
const repeatableFailureCost = 0.12;
/** Cost of queueing, for each request per slot that exceeds the slots of the upstream. */
const queueCost = 0.35;
/** Cost of an upstream whose slots are all in use; it spreads requests and leaves room for simultaneous arrivals. */
const utilizationCost = 0.08;
/** Cost of traffic to another zone: the price of about 7 KB, relative to the value of a request. */
const crossZoneCost = 0.035;
/**
 * Temperature of the softmax selection. Instances have the same estimates and select at the same time, so if each took
 * the upstream with the lowest cost, all of them would take the same one.
 */
const temperature = 0.04;

/** Options of {@link UpstreamSelector}. */
export interface UpstreamSelectorOptions {
    readonly zone: ZoneId;
    readonly clock: Clock;
    readonly random: Random;
    readonly gray: GrayFailureEstimator;
    readonly paths: PathBackoff;
    readonly load: FleetLoad;
    readonly floor: Pick<UpstreamFloor, "pick">;
}

/** Input of {@link UpstreamSelector.select}. */
export interface SelectionRequest {
    readonly candidates: readonly KnownUpstream[];
    /** Upstreams to which the request was already sent. */
    readonly tried: ReadonlySet<UpstreamId>;
    /** Whether the request may be retried at another upstream if this one fails. */
    readonly isRepeatable: boolean;
    /** Lower quartile of the time from the dispatch of a request of the service to its answer. */
    readonly answerTimeMs: number;
}

/** A selected upstream, with inputs of the selection for the log. */
export interface Selection {
    readonly upstream: KnownUpstream;
    readonly grayProbability: number;
    readonly inFlight: number;
    readonly candidateCount: number;
}

/**
 * Selects an upstream at random, with a probability that falls with its expected cost.
 *
 * @example
 * const selection = selector.select({ candidates, tried: new Set(), isRepeatable: false });
 */
export class UpstreamSelector {
    readonly #options: UpstreamSelectorOptions;

    constructor(options: UpstreamSelectorOptions) {
        this.#options = options;
    }

    /** Returns undefined if every candidate was tried. */
    select({ candidates, tried, isRepeatable, answerTimeMs }: SelectionRequest): Selection | undefined {
        const { paths, floor, gray, load } = this.#options;
        const untried = candidates.filter(({ listed }) => !tried.has(listed.id));
        const reachable = untried.filter(({ listed }) => !paths.isBackingOff(listed.id));
        // If all upstreams are in backoff, trying one is better than refusing the request.
        const pool = reachable.length > 0 ? reachable : untried;
        const upstream = floor.pick({ candidates: pool, isRepeatable, grayProbability: id => gray.probability(id) })
            ?? this.#sample(pool, isRepeatable, answerTimeMs);
        if (upstream === undefined) {
            return undefined;
        }
        return {
            upstream,
            grayProbability: gray.probability(upstream.listed.id),
            inFlight: load.inFlight(upstream.listed.id),
            candidateCount: pool.length,
        };
    }

    #cost(upstream: KnownUpstream, inFlight: number, isRepeatable: boolean): number {
        const { gray, zone, clock } = this.#options;
        const { listed } = upstream;
        const slots = slotsOf(upstream, clock.monotonicMs());
        const utilization = inFlight / Math.max(1, slots);
        return gray.probability(listed.id) * (isRepeatable ? repeatableFailureCost : failureCost)
            + Math.min(1, utilization) * utilizationCost
            + Math.max(0, utilization + 1 / Math.max(1, slots) - 1) * queueCost
            + (listed.zone === zone ? 0 : crossZoneCost);
    }

    #sample(
        pool: readonly KnownUpstream[],
        isRepeatable: boolean,
        answerTimeMs: number,
    ): KnownUpstream | undefined {
        const { load, clock } = this.#options;
        const inFlight = load.expected(pool.map(({ listed }) => listed), clock.monotonicMs(), answerTimeMs);
        const costs = pool.map((upstream, index) => this.#cost(upstream, inFlight[index]!, isRepeatable));
        const index = this.#sampleIndex(costs, pool.map(({ selectionWeight = 1 }) => selectionWeight));
        return index === undefined ? undefined : pool[index];
    }

    /** Samples from the softmax of the negative costs, multiplied by factors; undefined if there are none. */
    #sampleIndex(costs: readonly number[], factors: readonly number[]): number | undefined {
        const minCost = Math.min(...costs);
        const weights = costs.map((cost, index) => Math.exp((minCost - cost) / temperature) * factors[index]!);
        let remaining = this.#options.random() * weights.reduce((sum, weight) => sum + weight, 0);
        const index = weights.findIndex(weight => (remaining -= weight) <= 0);
        return index >= 0 ? index : weights.length > 0 ? weights.length - 1 : undefined;
    }
}
