/** Shares the outcomes of requests between instances. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { DigestCount, DistributedOutcome } from "../fleet/digest.js";
import type { OutcomeKind, ReportedOutcome, UpstreamCount } from "../fleet/heartbeat.js";
import type { GrayFailureEstimator } from "./gray-failure-estimator.js";
import type { UpstreamFloor } from "./upstream-floor.js";

/** How long an announced outcome is repeated in heartbeats, so that it is reported even if a heartbeat is lost. */
const repeatMs = 700;

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

/** How long the outcome of an instance is remembered, so that a repetition of it is not counted again. */
const repetitionMs = 5_000;

interface LocalOutcome extends ReportedOutcome {
    readonly atMs: number;
}

/** Options of {@link SharedOutcomes}. */
export interface SharedOutcomesOptions {
    readonly clock: Clock;
    readonly gray: GrayFailureEstimator;
    readonly floor: Pick<UpstreamFloor, "recordOutcome">;
    /** Key of this instance, see `instanceKey`; its own outcomes come back to it. */
    readonly ownKey: number;
    /** Upstreams with a key, see `nameKey`. */
    readonly upstreamsOf: (key: number) => readonly UpstreamId[];
    /** Sends a heartbeat immediately. */
    readonly announce: () => void;
    /** Called with the number of requests of other instances that an upstream has ended. */
    readonly onRemote?: (upstream: UpstreamId, count: number) => void;
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
    /** Outcomes that others must know soon. */
    #announced: LocalOutcome[] = [];
    /** Ordinary successes since the last heartbeat. */
    #successes = new Map<UpstreamId, number>();
    /** Time of receipt of each recent outcome of another instance, by origin and sequence number. */
    readonly #received = new Map<string, number>();

    constructor(options: SharedOutcomesOptions) {
        this.#options = options;
    }

    /** Records an outcome of this instance. */
    record(upstream: UpstreamId, kind: OutcomeKind): void {
        const { clock, announce, gray } = this.#options;
        const previousProbability = gray.probability(upstream);
        this.#apply(upstream, kind);
        const mustAnnounce = kind === "success"
            ? previousProbability > announceSuccessProbability
            : previousProbability <= avoidedProbability;
        if (kind === "success" && !mustAnnounce) {
            this.#successes.set(upstream, (this.#successes.get(upstream) ?? 0) + 1);
            return;
        }
        this.#announced.push({ sequence: ++this.#sequence, upstream, kind, atMs: clock.monotonicMs() });
        if (mustAnnounce) {
            announce();
        }
    }

    /** Takes what the next heartbeat reports: ordinary successes once, other outcomes repeatedly. */
    take(): { readonly successes: readonly UpstreamCount[]; readonly outcomes: readonly ReportedOutcome[]; } {
        const sinceMs = this.#options.clock.monotonicMs() - repeatMs;
        this.#announced = this.#announced.filter(({ atMs }) => atMs >= sinceMs);
        const successes = [...this.#successes].map(([upstream, count]) => ({ upstream, count }));
        this.#successes = new Map();
        const outcomes = this.#announced.map(({ sequence, upstream, kind }) => ({ sequence, upstream, kind }));
        return { successes, outcomes };
    }

    /** Records outcomes that aggregators distribute; each counts once, although two aggregators repeat it. */
    recordDistributed(outcomes: readonly DistributedOutcome[]): void {
        const { ownKey, upstreamsOf, clock, onRemote } = this.#options;
        const nowMs = clock.monotonicMs();
        for (const { origin, sequence, upstreamKey, kind } of outcomes) {
            const identity = `${origin}/${sequence}`;
            if (origin !== ownKey && !this.#received.has(identity)) {
                this.#received.set(identity, nowMs);
                for (const upstream of upstreamsOf(upstreamKey)) {
                    this.#apply(upstream, kind);
                    onRemote?.(upstream, 1);
                }
            }
        }
        for (const [identity, atMs] of this.#received) {
            if (nowMs - atMs <= repetitionMs) {
                break;
            }
            this.#received.delete(identity);
        }
    }

    /** Records ordinary successes of other instances. */
    recordSuccesses(successes: readonly DigestCount[]): void {
        for (const { key, count } of successes) {
            for (const upstream of this.#options.upstreamsOf(key)) {
                this.#options.onRemote?.(upstream, count);
                for (let index = 0; index < count; index++) {
                    this.#apply(upstream, "success");
                }
            }
        }
    }

    #apply(upstream: UpstreamId, kind: OutcomeKind): void {
        const { gray, floor } = this.#options;
        floor.recordOutcome(upstream, kind);
        match(kind)
            .with("success", () => gray.recordSuccess(upstream))
            .with("failure", () => gray.recordFailure(upstream))
            .with("silence", () => gray.recordSilence(upstream))
            .exhaustive();
    }
}
