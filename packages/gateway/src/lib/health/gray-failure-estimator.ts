/** Estimates which upstreams fail gray, from the outcomes that all instances report. */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** How upstreams of a deployment behave; the likelihoods behind {@link GrayFailureEstimator}. */
export interface GrayFailureModel {
    /** Rate at which a good upstream turns gray. */
    readonly onsetPerSecond: number;
    /** Rate at which a gray upstream turns good. */
    readonly recoveryPerSecond: number;
    /** Share of requests that a gray upstream fails. */
    readonly grayFailureShare: number;
    /** Share of requests that a good upstream fails. */
    readonly healthyFailureShare: number;
    /** How much more often a gray upstream is silent than a good one whose path has failed. */
    readonly silenceLikelihoodRatio: number;
}

/** The trial's upstreams: gray for a third of the time, in spells of 3 s, failing three of four; 1.2% otherwise. Two silences weigh half as much as one failure. */
export const defaultGrayFailureModel: GrayFailureModel = {
    onsetPerSecond: 1 / 6.3,
    recoveryPerSecond: 1 / 2.7,
    grayFailureShare: 0.75,
    healthyFailureShare: 0.012,
    silenceLikelihoodRatio: 6,
};

interface Belief {
    probability: number;
    atMs: number;
}

/**
 * The probability that an upstream is gray, by a hidden Markov model of two states. Each outcome updates it by Bayes'
 * rule; without outcomes it drifts towards the share of time that upstreams spend gray.
 *
 * @example
 * const filter = new GrayFilter(clock);
 * filter.noteFailure(upstream);
 * filter.probability(upstream); // about 0.9
 */
export class GrayFailureEstimator {
    readonly #clock: Clock;
    readonly #model: GrayFailureModel;
    readonly #beliefs = new Map<UpstreamId, Belief>();

    constructor(clock: Clock, model: GrayFailureModel = defaultGrayFailureModel) {
        this.#clock = clock;
        this.#model = model;
    }

    /** From 0 (good) to 1 (gray). */
    probability(upstream: UpstreamId): number {
        return this.#drifted(upstream).probability;
    }

    recordSuccess(upstream: UpstreamId): void {
        const { grayFailureShare, healthyFailureShare: goodFailureShare } = this.#model;
        this.#update(upstream, (1 - grayFailureShare) / (1 - goodFailureShare));
    }

    recordFailure(upstream: UpstreamId): void {
        const { grayFailureShare, healthyFailureShare: goodFailureShare } = this.#model;
        this.#update(upstream, grayFailureShare / goodFailureShare);
    }

    /** No answer in the usual time. One instance's word may be its path's fault; that of two is strong evidence. */
    recordSilence(upstream: UpstreamId): void {
        this.#update(upstream, this.#model.silenceLikelihoodRatio);
    }

    /** Forgets what is believed of an upstream, as after a restart of its process. */
    reset(upstream: UpstreamId): void {
        this.#beliefs.delete(upstream);
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#beliefs.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#beliefs.delete(upstream)
        );
    }

    #update(upstream: UpstreamId, likelihoodRatio: number): void {
        const belief = this.#drifted(upstream);
        const odds = belief.probability / (1 - belief.probability) * likelihoodRatio;
        // The bounds keep one outcome able to move the estimate.
        belief.probability = Math.min(0.999, Math.max(0.001, odds / (1 + odds)));
        this.#beliefs.set(upstream, belief);
    }

    #drifted(upstream: UpstreamId): Belief {
        const { onsetPerSecond, recoveryPerSecond } = this.#model;
        const rate = onsetPerSecond + recoveryPerSecond;
        const stationary = onsetPerSecond / rate;
        const nowMs = this.#clock.monotonicMs();
        const belief = this.#beliefs.get(upstream);
        if (belief === undefined) {
            return { probability: stationary, atMs: nowMs };
        }
        const kept = Math.exp(-rate * (nowMs - belief.atMs) / 1_000);
        belief.probability = stationary + (belief.probability - stationary) * kept;
        belief.atMs = nowMs;
        return belief;
    }
}
