/** Learns how often, how long and how much upstreams fail, from the outcomes that all instances report. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import type { GrayFailureModel } from "./gray-failure-estimator.js";

type LearnedParameter = "onsetPerSecond" | "recoveryPerSecond" | "grayFailureShare" | "healthyFailureShare";

const learnedParameters: readonly LearnedParameter[] = [
    "onsetPerSecond",
    "recoveryPerSecond",
    "grayFailureShare",
    "healthyFailureShare",
];
/** Factor by which a parameter changes in a step. */
const stepFactor = 1.2;
/** Largest factor between a learned parameter and the prior one. */
const maxFactor = 4;
/** Bounds of the failure shares: a gray upstream must differ from a healthy one. */
const shareBounds = { grayFailureShare: { min: 0.3, max: 0.97 }, healthyFailureShare: { min: 0.002, max: 0.15 } };
/** Evidence that a step needs, in nats. One outcome adds at most the logarithm of {@link stepFactor}, 0.18. */
const minEvidence = 6;
/** Interval between steps, so that a fault of some seconds, however large, moves the model by one step at most. */
const stepIntervalMs = 15_000;
/** Time after which evidence counts half. */
const evidenceHalfLifeMs = 600_000;
/** Weight of the prior, in nats for a parameter that differs by a factor of e. */
const priorWeight = 8;

/** The model, and for each parameter one with more and one with less of it. */
const variantsOf = (model: GrayFailureModel, prior: GrayFailureModel): readonly GrayFailureModel[] => [
    model,
    ...learnedParameters.flatMap(parameter =>
        [stepFactor, 1 / stepFactor].map(factor => ({
            ...model,
            [parameter]: bounded(parameter, model[parameter] * factor, prior),
        }))
    ),
];

const bounded = (parameter: LearnedParameter, value: number, prior: GrayFailureModel): number => {
    const bounds = parameter === "grayFailureShare" || parameter === "healthyFailureShare"
        ? shareBounds[parameter]
        : { min: prior[parameter] / maxFactor, max: prior[parameter] * maxFactor };
    return Math.min(bounds.max, Math.max(bounds.min, value));
};

/** Logarithm of the prior density of a model, but for a constant. */
const logPrior = (model: GrayFailureModel, prior: GrayFailureModel): number =>
    learnedParameters.reduce(
        (sum, parameter) => sum - priorWeight * Math.log(model[parameter] / prior[parameter]) ** 2,
        0,
    );

interface Filter {
    /** Probability that the upstream is gray, by variant. */
    readonly probabilities: Float64Array;
    atMs: number;
}

/**
 * Compares the present model with its variants by how well each predicts the outcomes, and changes one parameter by a
 * step when the evidence for it is strong. Predictions take into account which upstreams were chosen, so that avoiding
 * suspects does not distort them.
 *
 * @example
 * learner.record(upstream, true);
 * learner.model.grayFailureShare;
 */
export class GrayModelLearner {
    readonly #clock: Clock;
    readonly #prior: GrayFailureModel;
    readonly #onStep: (model: GrayFailureModel) => void;
    readonly #filters = new Map<UpstreamId, Filter>();
    #variants: readonly GrayFailureModel[];
    /** Logarithm of how much better each variant has predicted than the model. */
    #evidence: Float64Array;
    #reviewedMs: number;

    /** `onStep` is called with each new model. */
    constructor(clock: Clock, prior: GrayFailureModel, onStep: (model: GrayFailureModel) => void = () => {}) {
        this.#clock = clock;
        this.#onStep = onStep;
        this.#prior = prior;
        this.#variants = variantsOf(prior, prior);
        this.#evidence = new Float64Array(this.#variants.length);
        this.#reviewedMs = clock.monotonicMs();
    }

    /** The model that is in force. */
    get model(): GrayFailureModel {
        return this.#variants[0]!;
    }

    /** Records the outcome of a request. */
    record(upstream: UpstreamId, isFailure: boolean): void {
        const filter = this.#currentFilter(upstream);
        let base = 0;
        for (const [index, { grayFailureShare, healthyFailureShare }] of this.#variants.entries()) {
            const probability = filter.probabilities[index]!;
            const gray = probability * (isFailure ? grayFailureShare : 1 - grayFailureShare);
            const healthy = (1 - probability) * (isFailure ? healthyFailureShare : 1 - healthyFailureShare);
            const logLikelihood = Math.log(gray + healthy);
            base = index === 0 ? logLikelihood : base;
            this.#evidence[index]! += logLikelihood - base;
            filter.probabilities[index] = gray / (gray + healthy);
        }
        this.#review();
    }

    /** Records a missing response, which shows something of the upstream but not of the shares. */
    recordSilence(upstream: UpstreamId): void {
        const { probabilities } = this.#currentFilter(upstream);
        const ratio = this.model.silenceLikelihoodRatio;
        probabilities.forEach((probability, index) => {
            probabilities[index] = probability * ratio / (1 - probability + probability * ratio);
        });
    }

    /** Forgets an upstream whose process was replaced or that is no longer listed. */
    forget(upstream: UpstreamId): void {
        this.#filters.delete(upstream);
    }

    #currentFilter(upstream: UpstreamId): Filter {
        const nowMs = this.#clock.monotonicMs();
        const filter = this.#filters.get(upstream)
            ?? { probabilities: Float64Array.from(this.#variants, stationary), atMs: nowMs };
        this.#filters.set(upstream, filter);
        const elapsedSeconds = (nowMs - filter.atMs) / 1_000;
        if (elapsedSeconds > 0) {
            this.#variants.forEach((variant, index) => {
                const share = stationary(variant);
                const decay = Math.exp(-(variant.onsetPerSecond + variant.recoveryPerSecond) * elapsedSeconds);
                filter.probabilities[index] = share + (filter.probabilities[index]! - share) * decay;
            });
            filter.atMs = nowMs;
        }
        return filter;
    }

    #review(): void {
        const nowMs = this.#clock.monotonicMs();
        if (nowMs - this.#reviewedMs < stepIntervalMs) {
            return;
        }
        this.#reviewedMs = nowMs;
        const basePrior = logPrior(this.model, this.#prior);
        const support = this.#variants.map((variant, index) =>
            this.#evidence[index]! + logPrior(variant, this.#prior) - basePrior
        );
        const best = support.indexOf(Math.max(...support));
        if (support[best]! < minEvidence) {
            const kept = 0.5 ** (stepIntervalMs / evidenceHalfLifeMs);
            this.#evidence = this.#evidence.map(evidence => evidence * kept);
            return;
        }
        this.#variants = variantsOf(this.#variants[best]!, this.#prior);
        this.#evidence = new Float64Array(this.#variants.length);
        this.#filters.forEach(({ probabilities }) => probabilities.fill(probabilities[best]!));
        this.#onStep(this.model);
    }
}

/** Fraction of time that an upstream is gray. */
const stationary = ({ onsetPerSecond, recoveryPerSecond }: GrayFailureModel): number =>
    onsetPerSecond / (onsetPerSecond + recoveryPerSecond);
