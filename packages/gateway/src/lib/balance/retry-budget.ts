/** Limits retries and hedged requests over the whole fleet. */
import type { ServiceId } from "@sniperoad/core";

/** Limits of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Number of extra attempts allowed for each request; usually a fraction. */
    readonly share: number;
    /** Extra attempts that the fleet may make in each window beyond the share. */
    readonly burst: number;
}

/** Fraction of the share that is used; the rest covers retries that fall into a later window than their requests. */
const usedShareFraction = 0.9;
/** Fraction of the burst that instances may accumulate; the rest covers newly started instances. */
const usedBurstFraction = 0.8;
/** Credit of a new instance in attempts; it is low, since many instances may start at once. */
const initialCredit = 0.5;

/**
 * A token bucket for each service: each request adds a fraction of an attempt, up to this instance's part of the burst.
 * Instances need no coordination, since their parts add up to the budget of the fleet.
 *
 * @example
 * budget.recordRequest(service, knownInstances);
 * if (budget.tryAcquire(service)) { retry }
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
        // A capacity of less than one attempt would never allow a retry.
        const capacity = Math.max(1, burst * usedBurstFraction / Math.max(1, instanceCount));
        this.#credits.set(service, Math.min(capacity, this.#credit(service) + share * usedShareFraction));
    }

    /** Whether an extra attempt is available. */
    hasCredit(service: ServiceId): boolean {
        return this.#credit(service) >= 1;
    }

    /** Takes one extra attempt; returns false if none is available. */
    tryAcquire(service: ServiceId): boolean {
        if (!this.hasCredit(service)) {
            return false;
        }
        this.#credits.set(service, this.#credit(service) - 1);
        return true;
    }

    #credit(service: ServiceId): number {
        return this.#credits.get(service) ?? initialCredit;
    }
}
