/**
 * Estimates which upstreams have a gray failure, from the outcomes that all instances report. An upstream with a gray
 * failure ("a gray upstream") accepts requests but fails most of them, for a few seconds.
 */
import type { Clock, UpstreamId } from "@sniperoad/core";

/** Failure behaviour of upstreams; the parameters of {@link GrayFailureEstimator}. */
export interface GrayFailureModel {
    /** Rate at which a healthy upstream turns gray. */
    readonly onsetPerSecond: number;
    /** Rate at which a gray upstream recovers. */
    readonly recoveryPerSecond: number;
    /** Fraction of requests that a gray upstream fails. */
    readonly grayFailureShare: number;
    /** Fraction of requests that a healthy upstream fails. */
    readonly healthyFailureShare: number;
    /** How much more often a gray upstream sends no response than a healthy one whose network path has failed. */
    readonly silenceLikelihoodRatio: number;
}

/** Learns the model from the outcomes; see `GrayModelLearner`. */
export interface GrayModelSource {
    readonly model: GrayFailureModel;
    record(upstream: UpstreamId, isFailure: boolean): void;
    recordSilence(upstream: UpstreamId): void;
    forget(upstream: UpstreamId): void;
}

/**
 * Where the model starts, and remains unless it is learned. Upstreams are gray for almost a third of the time, in periods of about 3 s. A gray upstream fails three of four
 * requests, a healthy one 1.2%. Two silences (likelihood ratio 6 each) weigh about half as much as one failure (62.5).
 */
export const defaultGrayFailureModel: GrayFailureModel = {
    onsetPerSecond: 1 / 6.3,
    recoveryPerSecond: 1 / 2.7,
    grayFailureShare: 0.75,
    healthyFailureShare: 0.012,
    silenceLikelihoodRatio: 6,
};

/** A model that does not change. */
const fixedModel: GrayModelSource = {
    model: defaultGrayFailureModel,
    record: () => {},
    recordSilence: () => {},
    forget: () => {},
};

interface Estimate {
    probability: number;
    atMs: number;
}

/**
 * Estimates the probability that an upstream is gray with a hidden Markov model of two states. Each outcome updates the
 * estimate by Bayes' rule; without outcomes it decays towards the fraction of time that upstreams are gray.
 *
 * @example
 * const estimator = new GrayFailureEstimator(clock);
 * estimator.recordFailure(upstream);
 * estimator.probability(upstream); // about 0.96
 */
export class GrayFailureEstimator {
    readonly #clock: Clock;
    readonly #source: GrayModelSource;
    readonly #estimates = new Map<UpstreamId, Estimate>();

    constructor(clock: Clock, source: GrayModelSource = fixedModel) {
        this.#clock = clock;
        this.#source = source;
    }

    /** From 0 (healthy) to 1 (gray). */
    probability(upstream: UpstreamId): number {
        return this.#currentEstimate(upstream).probability;
    }

    recordSuccess(upstream: UpstreamId): void {
        const { grayFailureShare, healthyFailureShare } = this.#source.model;
        this.#source.record(upstream, false);
        this.#update(upstream, (1 - grayFailureShare) / (1 - healthyFailureShare));
    }

    recordFailure(upstream: UpstreamId): void {
        const { grayFailureShare, healthyFailureShare } = this.#source.model;
        this.#source.record(upstream, true);
        this.#update(upstream, grayFailureShare / healthyFailureShare);
    }

    /** Records a missing response. One may be due to the network path of one instance; two are strong evidence. */
    recordSilence(upstream: UpstreamId): void {
        this.#source.recordSilence(upstream);
        this.#update(upstream, this.#source.model.silenceLikelihoodRatio);
    }

    /** Discards the estimate of an upstream, as after a restart of its process. */
    reset(upstream: UpstreamId): void {
        this.#estimates.delete(upstream);
        this.#source.forget(upstream);
    }

    /** Removes upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#estimates.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => this.reset(upstream));
    }

    #update(upstream: UpstreamId, likelihoodRatio: number): void {
        const estimate = this.#currentEstimate(upstream);
        const odds = estimate.probability / (1 - estimate.probability) * likelihoodRatio;
        // Within these bounds a single outcome can still change the estimate.
        estimate.probability = Math.min(0.999, Math.max(0.001, odds / (1 + odds)));
        this.#estimates.set(upstream, estimate);
    }

    #currentEstimate(upstream: UpstreamId): Estimate {
        const { onsetPerSecond, recoveryPerSecond } = this.#source.model;
        const rate = onsetPerSecond + recoveryPerSecond;
        const stationary = onsetPerSecond / rate;
        const nowMs = this.#clock.monotonicMs();
        const estimate = this.#estimates.get(upstream);
        if (estimate === undefined) {
            return { probability: stationary, atMs: nowMs };
        }
        const decay = Math.exp(-rate * (nowMs - estimate.atMs) / 1_000);
        estimate.probability = stationary + (estimate.probability - stationary) * decay;
        estimate.atMs = nowMs;
        return estimate;
    }
}
