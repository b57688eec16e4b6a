import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { defaultGrayFailureModel, GrayFailureEstimator } from "./gray-failure-estimator.js";
import type { GrayFailureModel, GrayModelSource } from "./gray-failure-estimator.js";
import { GrayModelLearner } from "./gray-model-learner.js";

const upstreams = Array.from({ length: 24 }, (_, index) => id<UpstreamId>(`u${index}`));

interface Days {
    readonly truth: GrayFailureModel;
    readonly durationMs?: number;
    readonly isLearned?: boolean;
    /** Whether all requests fail at a time. */
    readonly isOutage?: (nowMs: number) => boolean;
    readonly seed?: number;
}

/** Part of the requests that may be repeated, so that they also probe suspects. */
const repeatableShare = 0.3;

/** Draws an upstream with the temperature and the costs of a failure of the upstream selector. */
const draw = (estimator: GrayFailureEstimator, random: () => number): UpstreamId => {
    const cost = random() < repeatableShare ? 0.12 : 1;
    const weights = upstreams.map(upstream => Math.exp(-estimator.probability(upstream) * cost / 0.04));
    let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
    return upstreams[weights.findIndex(weight => (remaining -= weight) <= 0)] ?? upstreams[0]!;
};

/** Sends 150 requests a second. */
const play = async ({ truth, durationMs = 300_000, isLearned = true, isOutage = () => false, seed = 1 }: Days) => {
    const clock = new VirtualClock();
    const random = seededRandom(seed);
    const learner = new GrayModelLearner(clock, defaultGrayFailureModel);
    const source: GrayModelSource | undefined = isLearned ? learner : undefined;
    const estimator = new GrayFailureEstimator(clock, source);
    const gray = new Set<UpstreamId>();
    const counts = { requests: 0, failures: 0 };
    const turn = (upstream: UpstreamId): void => {
        const isGray = gray.has(upstream);
        if (random() < (isGray ? truth.recoveryPerSecond : truth.onsetPerSecond) / 50) {
            gray[isGray ? "delete" : "add"](upstream);
        }
    };
    for (let nowMs = 0; nowMs < durationMs; nowMs += 20) {
        upstreams.forEach(turn);
        for (let request = 0; request < 3; request++) {
            const upstream = draw(estimator, random);
            const failureShare = gray.has(upstream) ? truth.grayFailureShare : truth.healthyFailureShare;
            const isFailure = isOutage(nowMs) || random() < failureShare;
            estimator[isFailure ? "recordFailure" : "recordSuccess"](upstream);
            counts.requests++;
            counts.failures += isFailure ? 1 : 0;
        }
        await clock.advance(20);
    }
    return { model: learner.model, failedShare: counts.failures / counts.requests };
};

const ratio = (model: GrayFailureModel, parameter: keyof GrayFailureModel, truth = defaultGrayFailureModel): number =>
    model[parameter] / truth[parameter];

const close = (value: number, factor: number): boolean => value <= factor && value >= 1 / factor;

// Guards against a model that wanders away while the prior is right.
test("the model stays near the prior where the prior is right", async () => {
    const { model } = await play({ truth: defaultGrayFailureModel });
    for (
        const parameter of ["onsetPerSecond", "recoveryPerSecond", "grayFailureShare", "healthyFailureShare"] as const
    ) {
        assert.ok(close(ratio(model, parameter), 1.5), JSON.stringify(model));
    }
});

// Guards against a model that single events or a fault of some seconds change.
test("neither some failures nor an outage of 8 s move the model by more than a step", async () => {
    const clock = new VirtualClock();
    const learner = new GrayModelLearner(clock, defaultGrayFailureModel);
    for (let failure = 0; failure < 5; failure++) {
        await clock.advance(16_000);
        learner.record(upstreams[0]!, true);
    }
    assert.equal(learner.model, defaultGrayFailureModel);
    const isOutage = (nowMs: number): boolean => nowMs >= 20_000 && nowMs < 28_000;
    const { model } = await play({ truth: defaultGrayFailureModel, durationMs: 30_000, isOutage });
    const changed = Object.values(model).filter((value, index) =>
        value !== Object.values(defaultGrayFailureModel)[index]
    );
    assert.ok(changed.length <= 1, JSON.stringify(model));
});

const longer: GrayFailureModel = { ...defaultGrayFailureModel, onsetPerSecond: 1 / 20, recoveryPerSecond: 1 / 12 };

// Guards against constants that do not fit the upstreams of a deployment.
test("the model approaches longer gray periods, and fewer requests fail than with the prior", async () => {
    const [learned, prior] = await Promise.all([play({ truth: longer }), play({ truth: longer, isLearned: false })]);
    const text = JSON.stringify({ learned, prior: prior.failedShare });
    for (const parameter of ["onsetPerSecond", "recoveryPerSecond"] as const) {
        const before = ratio(defaultGrayFailureModel, parameter, longer);
        const after = ratio(learned.model, parameter, longer);
        assert.ok(after < 0.85 * before && after > 0.7, text);
    }
    assert.ok(learned.failedShare < 0.98 * prior.failedShare, text);
});

test.run();
