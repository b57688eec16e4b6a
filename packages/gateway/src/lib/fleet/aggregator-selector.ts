/** Selects the aggregators of a zone. */
import type { Clock } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { instanceKey } from "../name-key.js";

/** Number of aggregators to which each heartbeat is sent; if one of them fails, the other still distributes it. */
export const aggregatorCount = 2;
/** Minimum time without an acknowledgement after which an aggregator is considered failed. */
const minAckTimeoutMs = 600;
/** Number of digest intervals after which an acknowledgement is overdue; one digest may be lost. */
const ackTimeoutIntervals = 2.2;
/** Time after an aggregator's failure for which it is not selected. */
const retryAfterMs = 3_000;

/** An aggregator that this instance uses, or used until it failed. */
interface UsedAggregator {
    readonly selectedMs: number;
    lastSelectedMs: number;
    /** Time of the last digest in which the aggregator listed this instance. */
    lastAckMs: number;
    /** Time at which its failure was detected, since when it is not selected; undefined if it is usable. */
    failedMs: number | undefined;
}

/** Fields that the selection depends on. */
export type AggregatorCandidate = Pick<GatewayInstance, "id" | "peerAddress" | "capacity">;

/**
 * Ranks the instances of a zone by the size of their machines and a hash, so that all of them select the same
 * aggregators. One that does not acknowledge this instance's heartbeats is skipped, even if others hear it.
 *
 * @example
 * const aggregators = selector.select(candidates, self.peerAddress);
 */
export class AggregatorSelector {
    readonly #clock: Clock;
    readonly #digestIntervalMs: () => number;
    readonly #used = new Map<string, UsedAggregator>();

    /** `digestIntervalMs` is the interval at which the aggregators of the zone send digests. */
    constructor(clock: Clock, digestIntervalMs: () => number) {
        this.#clock = clock;
        this.#digestIntervalMs = digestIntervalMs;
    }

    /** Records that an aggregator lists this instance in its digest. */
    recordAck(peerAddress: string): void {
        const aggregator = this.#used.get(peerAddress);
        if (aggregator !== undefined) {
            aggregator.lastAckMs = this.#clock.monotonicMs();
        }
    }

    /** Selects aggregators from the instances of one zone, this instance included. */
    select<T extends AggregatorCandidate>(candidates: readonly T[], selfAddress: string): readonly T[] {
        const selected = rankAggregators(candidates)
            .filter(({ peerAddress }) => peerAddress === selfAddress || this.#isUsable(peerAddress))
            .slice(0, aggregatorCount);
        selected.forEach(({ peerAddress }) => this.#recordSelection(peerAddress));
        return selected;
    }

    /** Whether an aggregator in use has failed since the last check. */
    hasLostAggregator(): boolean {
        const inUse = [...this.#used].filter(([, { failedMs }]) => failedMs === undefined);
        return inUse.some(([peerAddress]) => !this.#isUsable(peerAddress));
    }

    /** Removes the state of instances that are no longer known. */
    retain(isKnown: (peerAddress: string) => boolean): void {
        [...this.#used.keys()].filter(address => !isKnown(address)).forEach(address => this.#used.delete(address));
    }

    #isUsable(peerAddress: string): boolean {
        const aggregator = this.#used.get(peerAddress);
        if (aggregator === undefined) {
            return true;
        }
        const nowMs = this.#clock.monotonicMs();
        const ackTimeoutMs = Math.max(minAckTimeoutMs, ackTimeoutIntervals * this.#digestIntervalMs());
        // The state ends when the aggregator has not been selected for a while, or after the pause due to its failure.
        const isExpired = aggregator.failedMs === undefined
            ? nowMs - aggregator.lastSelectedMs > ackTimeoutMs
            : nowMs - aggregator.failedMs > retryAfterMs;
        if (isExpired) {
            this.#used.delete(peerAddress);
            return true;
        }
        if (nowMs - Math.max(aggregator.selectedMs, aggregator.lastAckMs) > ackTimeoutMs) {
            aggregator.failedMs ??= nowMs;
        }
        return aggregator.failedMs === undefined;
    }

    #recordSelection(peerAddress: string): void {
        const nowMs = this.#clock.monotonicMs();
        const aggregator = this.#used.get(peerAddress);
        if (aggregator === undefined) {
            this.#used.set(peerAddress, {
                selectedMs: nowMs,
                lastSelectedMs: nowMs,
                lastAckMs: nowMs,
                failedMs: undefined,
            });
        }
        else {
            aggregator.lastSelectedMs = nowMs;
        }
    }
}

/** Instances in the order in which a zone selects them as aggregators. */
export const rankAggregators = <T extends AggregatorCandidate>(items: readonly T[]): readonly T[] =>
    items.toSorted((left, right) => right.capacity - left.capacity || instanceKey(left.id) - instanceKey(right.id));
