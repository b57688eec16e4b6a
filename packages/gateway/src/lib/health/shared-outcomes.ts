/** Outcomes of requests, shared between instances. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { Heartbeat, OutcomeKind, ReportedOutcome } from "../fleet/heartbeat.js";
import type { GrayFailureEstimator } from "./gray-failure-estimator.js";
import type { UpstreamFloor } from "./upstream-floor.js";

/** A failure is repeated in beats for this long, so that a lost beat loses none. */
const repeatFailureMs = 700;

/** Above it, a success is news too: the usual share of time that upstreams are gray. */
const suspectProbability = 0.3;
/** Above it, a further failure is no news: no instance sends a request that cannot be repeated there. */
const knownGrayProbability = 0.7;

interface OwnOutcome extends ReportedOutcome {
    readonly atMs: number;
    wasReported: boolean;
}

/** What {@link SharedOutcomes} needs. */
export interface SharedOutcomesOptions {
    readonly clock: Clock;
    readonly gray: GrayFailureEstimator;
    readonly floor: Pick<UpstreamFloor, "recordOutcome">;
    /** Sends a beat at once. */
    readonly announce: () => void;
}

/**
 * Feeds the outcomes of all instances to the gray filter. An answer of the upstream itself proves its state whoever
 * saw it, so a failure counts in the whole fleet within milliseconds.
 *
 * @example
 * outcomes.note(upstream, "failure");
 */
export class SharedOutcomes {
    readonly #options: SharedOutcomesOptions;
    #sequence = 0;
    #own: OwnOutcome[] = [];

    constructor(options: SharedOutcomesOptions) {
        this.#options = options;
    }

    /** Takes an outcome of this instance. */
    record(upstream: UpstreamId, kind: OutcomeKind): void {
        const { clock, announce, gray } = this.#options;
        const formerProbability = gray.probability(upstream);
        this.#apply({ upstream, kind });
        this.#own.push({
            sequence: ++this.#sequence,
            upstream,
            kind,
            atMs: clock.monotonicMs(),
            wasReported: false,
        });
        const isNews = kind === "success"
            ? formerProbability > suspectProbability
            : formerProbability <= knownGrayProbability;
        if (isNews) {
            announce();
        }
    }

    /** What a beat reports: successes once, failures for a while. */
    report(): ReportedOutcome[] {
        const sinceMs = this.#options.clock.monotonicMs() - repeatFailureMs;
        this.#own = this.#own.filter(({ kind, atMs, wasReported }) =>
            !wasReported || kind !== "success" && atMs >= sinceMs
        );
        this.#own.forEach(outcome => outcome.wasReported = true);
        return this.#own.map(({ sequence, upstream, kind }) => ({ sequence, upstream, kind }));
    }

    /** Takes the outcomes of another instance that its former beat did not have. */
    recordHeartbeat(beat: Heartbeat, former: Heartbeat | undefined): void {
        const known = Math.max(0, ...(former?.outcomes ?? []).map(({ sequence }) => sequence));
        beat.outcomes.filter(({ sequence }) => sequence > known).forEach(outcome => this.#apply(outcome));
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
