/** Chooses the upstream of a request by health, load and distance. */
import type { Clock, Random, UpstreamId, ZoneId } from "@sniperoad/core";
import type { GrayFailureEstimator } from "../health/gray-failure-estimator.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { UpstreamFloor } from "../health/upstream-floor.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { FleetLoad } from "./fleet-load.js";

/** Cost of a request that an upstream fails, for a request that cannot be repeated. All costs are relative to it. */
const failureCost = 1;
/** The same for a request that can be repeated: it loses time and an extra attempt, and finds out about the upstream. */
const repeatableFailureCost = 0.12;
/** Cost of a full upstream per request that waits for each slot. */
const queueCost = 0.35;
/** Cost of a busy upstream below its slots; it spreads requests and keeps room for those that arrive together. */
const busyCost = 0.08;
/** Cost of traffic to another zone: the price of some 7 KB, as part of the worth of a request. */
const otherZoneCost = 0.035;
/** Part of its slots that an upstream has while it warms up. */
const warmingShare = 0.5;
/**
 * Spread of the choice. Instances see the same beliefs and choose at the same time, so that always taking the cheapest
 * would send all of them to one upstream.
 */
const spread = 0.04;

/** What {@link UpstreamSelector} needs. */
export interface UpstreamSelectorOptions {
    readonly zone: ZoneId;
    readonly clock: Clock;
    readonly random: Random;
    readonly gray: GrayFailureEstimator;
    readonly paths: PathBackoff;
    readonly load: FleetLoad;
    readonly floor: Pick<UpstreamFloor, "pick">;
}

/** What a choice depends on. */
export interface SelectionRequest {
    readonly candidates: readonly KnownUpstream[];
    /** Upstreams to which the request was sent already. */
    readonly tried: ReadonlySet<UpstreamId>;
    /** Whether the request may be sent to another upstream if this one fails it. */
    readonly isRepeatable: boolean;
}

/** A choice with the inputs that decided it. */
export interface Selection {
    readonly upstream: KnownUpstream;
    readonly grayProbability: number;
    readonly inFlight: number;
    readonly candidateCount: number;
}

/**
 * Draws an upstream at random, with odds that fall with its expected cost.
 *
 * @example
 * const choice = chooser.choose({ candidates, tried: new Set(), isRepeatable: false });
 */
export class UpstreamSelector {
    readonly #options: UpstreamSelectorOptions;

    constructor(options: UpstreamSelectorOptions) {
        this.#options = options;
    }

    /** Undefined when every candidate was tried. */
    select({ candidates, tried, isRepeatable }: SelectionRequest): Selection | undefined {
        const { paths, floor, gray, load } = this.#options;
        const untried = candidates.filter(({ listed }) => !tried.has(listed.id));
        const reachable = untried.filter(({ listed }) => !paths.isBackingOff(listed.id));
        // If every path has failed lately, trying one is better than refusing without a try.
        const pool = reachable.length > 0 ? reachable : untried;
        const upstream = floor.pick({ candidates: pool, isRepeatable, grayProbability: id => gray.probability(id) })
            ?? this.#drawFrom(pool, isRepeatable);
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

    #cost({ listed, warmupEndMs: warmUntilMs }: KnownUpstream, isRepeatable: boolean): number {
        const { gray, load, zone, clock } = this.#options;
        const slots = warmUntilMs > clock.monotonicMs() ? listed.slots * warmingShare : listed.slots;
        const fill = load.inFlight(listed.id) / Math.max(1, slots);
        return gray.probability(listed.id) * (isRepeatable ? repeatableFailureCost : failureCost)
            + Math.min(1, fill) * busyCost
            + Math.max(0, fill + 1 / Math.max(1, slots) - 1) * queueCost
            + (listed.zone === zone ? 0 : otherZoneCost);
    }

    #drawFrom(pool: readonly KnownUpstream[], isRepeatable: boolean): KnownUpstream | undefined {
        const index = this.#draw(pool.map(upstream => this.#cost(upstream, isRepeatable)));
        return index === undefined ? undefined : pool[index];
    }

    #draw(costs: readonly number[]): number | undefined {
        const least = Math.min(...costs);
        const weights = costs.map(cost => Math.exp((least - cost) / spread));
        let left = this.#options.random() * weights.reduce((sum, weight) => sum + weight, 0);
        const index = weights.findIndex(weight => (left -= weight) <= 0);
        return index >= 0 ? index : weights.length > 0 ? weights.length - 1 : undefined;
    }
}
