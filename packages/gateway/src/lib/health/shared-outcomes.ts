/** Shares the outcomes of requests between instances. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { Heartbeat, OutcomeKind, ReportedOutcome } from "../fleet/heartbeat.js";
import type { GrayFailureEstimator } from "./gray-failure-estimator.js";
import type { UpstreamFloor } from "./upstream-floor.js";

/** How long a failure or silence is repeated in heartbeats, so that it is reported even if a heartbeat is lost. */
const failureRepeatMs = 700;

/**
 * Gray probability of an upstream above which its success is announced immediately. It equals the fraction of time that
 * upstreams usually are gray.
 */
const announceSuccessProbability = 0.3;
/**
 * Gray probability of an upstream above which a further failure is not announced: no instance sends this upstream a
 * request that must not be repeated.
 */
const avoidedProbability = 0.7;

interface LocalOutcome extends ReportedOutcome {
    readonly atMs: number;
    wasReported: boolean;
}

/** Options of {@link SharedOutcomes}. */
export interface SharedOutcomesOptions {
    readonly clock: Clock;
    readonly gray: GrayFailureEstimator;
    readonly floor: Pick<UpstreamFloor, "recordOutcome">;
    /** Sends a heartbeat immediately. */
    readonly announce: () => void;
}

/**
 * Feeds the outcomes of all instances to the gray failure estimator. A response of the upstream itself shows its state
 * whichever instance received it, so a failure takes effect in the whole fleet within milliseconds.
 *
 * @example
 * outcomes.record(upstream, "failure");
 */
export class SharedOutcomes {
    readonly #options: SharedOutcomesOptions;
    #sequence = 0;
    #localOutcomes: LocalOutcome[] = [];

    constructor(options: SharedOutcomesOptions) {
        this.#options = options;
    }

    /** Records an outcome of this instance. */
    record(upstream: UpstreamId, kind: OutcomeKind): void {
        const { clock, announce, gray } = this.#options;
        const previousProbability = gray.probability(upstream);
        this.#apply({ upstream, kind });
        this.#localOutcomes.push({
            sequence: ++this.#sequence,
            upstream,
            kind,
            atMs: clock.monotonicMs(),
            wasReported: false,
        });
        const mustAnnounce = kind === "success"
            ? previousProbability > announceSuccessProbability
            : previousProbability <= avoidedProbability;
        if (mustAnnounce) {
            announce();
        }
    }

    /** Outcomes for the next heartbeat: successes once, failures and silences repeatedly. */
    report(): ReportedOutcome[] {
        const sinceMs = this.#options.clock.monotonicMs() - failureRepeatMs;
        this.#localOutcomes = this.#localOutcomes.filter(({ kind, atMs, wasReported }) =>
            !wasReported || kind !== "success" && atMs >= sinceMs
        );
        this.#localOutcomes.forEach(outcome => outcome.wasReported = true);
        return this.#localOutcomes.map(({ sequence, upstream, kind }) => ({ sequence, upstream, kind }));
    }

    /** Records the outcomes in another instance's heartbeat that its previous heartbeat did not contain. */
    recordHeartbeat(heartbeat: Heartbeat, previous: Heartbeat | undefined): void {
        const lastSequence = Math.max(0, ...(previous?.outcomes ?? []).map(({ sequence }) => sequence));
        heartbeat.outcomes.filter(({ sequence }) => sequence > lastSequence).forEach(outcome => this.#apply(outcome));
    }

    #apply({ upstream, kind }: Pick<ReportedOutcome, "upstream" | "kind">): void {
        const { gray, floor } = this.#options;
        floor.recordOutcome(upstream, kind);
        match(kind)
            .with("success", () => gray.recordSuccess(upstream))
            .with("failure", () => gray.recordFailure(upstream))
            .with("silence", () => gray.recordSilence(upstream))
            .exhaustive();
    }
}
