/** Limits the attempts beyond the first of each request, over the fleet. */
import type { ServiceId } from "@sniperoad/core";

/** Figures of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Extra attempts for each request. */
    readonly share: number;
    /** Extra attempts that the fleet may make in each window beyond the share. */
    readonly burst: number;
}

/** Part of the share that is used; the rest covers requests that are counted in an earlier window than their retry. */
const usedShare = 0.9;
/** Part of the burst that instances may save up; the rest covers instances that start anew. */
const savedBurstShare = 0.8;
/** Credit of a new instance; many may start at once. */
const firstCredit = 0.5;

/**
 * A bucket for each service: each request adds a share of an attempt, and this instance's part of the burst bounds what
 * is saved up. Instances need no agreement, since their parts add up to the allowance of the fleet.
 *
 * @example
 * allowance.noteRequest(service, knownInstances);
 * if (allowance.tryTake(service)) { send again }
 */
export class RetryBudget {
    readonly #options: () => RetryBudgetOptions;
    readonly #credits = new Map<ServiceId, number>();

    constructor(options: () => RetryBudgetOptions) {
        this.#options = options;
    }

    /** Counts a request of a caller to a service. */
    recordRequest(service: ServiceId, instanceCount: number): void {
        const { share, burst } = this.#options();
        // Less than one whole attempt saved up would allow no retry at all.
        const most = Math.max(1, burst * savedBurstShare / Math.max(1, instanceCount));
        this.#credits.set(service, Math.min(most, this.#credit(service) + share * usedShare));
    }

    /** Whether an extra attempt is left. */
    hasCredit(service: ServiceId): boolean {
        return this.#credit(service) >= 1;
    }

    /** Takes one extra attempt; false if there is none. */
    tryAcquire(service: ServiceId): boolean {
        if (!this.hasCredit(service)) {
            return false;
        }
        this.#credits.set(service, this.#credit(service) - 1);
        return true;
    }

    #credit(service: ServiceId): number {
        return this.#credits.get(service) ?? firstCredit;
    }
}
