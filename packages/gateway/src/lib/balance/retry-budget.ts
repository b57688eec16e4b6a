/** Limits retries and hedged requests over the whole fleet. */
import type { Clock, ServiceId } from "@sniperoad/core";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";

/** Limits of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Number of extra attempts allowed for each request; usually a fraction. */
    readonly share: number;
    /** Extra attempts that the fleet may make in each window beyond the share. */
    readonly burst: number;
    /** Window over which requests and extra attempts are counted. */
    readonly windowMs: number;
}

/** Fraction of the share that is used; the rest covers retries that fall into a later window than their requests. */
const usedShareFraction = 0.9;
/** Fraction of the burst that instances may use; the rest covers newly started instances. */
const usedBurstFraction = 0.8;
/** Part of the allowance that a request leaves for each more urgent rank, which matters while extra attempts are scarce. */
const reservedShare = 0.12;
/** Largest part that is left for more urgent ranks, so that no rank is starved of extra attempts. */
const maxReservedShare = 0.36;
/** Time from the start for which the part of the burst is not available, since many instances may start at once. */
const burstDelayMs = 1_000;

interface Account {
    readonly requests: SlidingWindowCounter;
    readonly retries: SlidingWindowCounter;
}

/**
 * Counts the requests and the extra attempts of each service at this instance over the window of the budget. Extra
 * attempts may be made up to a share of the requests and this instance's part of the burst, at any time within the
 * window: an instance with few requests needs several at once, when an upstream fails. Instances need no coordination,
 * since their parts add up to the budget of the fleet.
 *
 * @example
 * budget.recordRequest(service, knownInstances);
 * if (budget.tryAcquire(service, rank)) { retry }
 */
export class RetryBudget {
    readonly #clock: Clock;
    readonly #options: () => RetryBudgetOptions;
    readonly #accounts = new Map<ServiceId, Account>();
    readonly #startedMs: number;
    #instanceCount = 1;

    constructor(clock: Clock, options: () => RetryBudgetOptions) {
        this.#clock = clock;
        this.#options = options;
        this.#startedMs = clock.monotonicMs();
    }

    /** Counts a request of a caller to a service. */
    recordRequest(service: ServiceId, instanceCount: number): void {
        this.#instanceCount = Math.max(1, instanceCount);
        this.#account(service).requests.add(1);
    }

    /** Whether an extra attempt is available to a request of a rank; 0 is the most urgent one. */
    hasCredit(service: ServiceId, rank: number): boolean {
        const { requests, retries } = this.#account(service);
        const { share, burst } = this.#options();
        const hasBurst = this.#clock.monotonicMs() - this.#startedMs >= burstDelayMs;
        const burstPart = hasBurst ? burst * usedBurstFraction / this.#instanceCount : 0;
        const allowance = requests.total() * share * usedShareFraction + burstPart;
        const reserved = allowance * Math.min(maxReservedShare, Math.max(0, rank) * reservedShare);
        return retries.total() + 1 <= allowance - reserved;
    }

    /** Takes one extra attempt for a request of a rank; returns false if none is available. */
    tryAcquire(service: ServiceId, rank: number): boolean {
        if (!this.hasCredit(service, rank)) {
            return false;
        }
        this.#account(service).retries.add(1);
        return true;
    }

    #account(service: ServiceId): Account {
        const found = this.#accounts.get(service);
        if (found !== undefined) {
            return found;
        }
        const { windowMs } = this.#options();
        const created: Account = {
            requests: new SlidingWindowCounter(this.#clock, windowMs),
            retries: new SlidingWindowCounter(this.#clock, windowMs),
        };
        this.#accounts.set(service, created);
        return created;
    }
}
