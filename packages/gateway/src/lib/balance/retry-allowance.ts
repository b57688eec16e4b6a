/** Limits the attempts beyond the first of each request, over the fleet. */
import type { Clock, ServiceId } from "@sniperoad/core";

/** Figures of {@link RetryAllowance}. */
export interface RetryAllowanceOptions {
    /** Extra attempts for each request. */
    readonly share: number;
    /** Extra attempts that the fleet may make in each window beyond the share. */
    readonly burst: number;
    readonly windowMs: number;
}

/** Part of the share that is used; the rest covers requests that are counted in an earlier window than their retry. */
const usedShare = 0.9;
/** Part of the burst that is used. */
const usedBurst = 0.8;
/** Most credit from the share; a longer quiet time earns no more. */
const maxShareCredit = 3;

interface Account {
    shareCredit: number;
    burstCredit: number;
    atMs: number;
}

/**
 * A bucket for each service: each request adds a share of an attempt, and time adds this instance's part of the burst.
 * Instances need no agreement, since their parts add up to the allowance of the fleet.
 *
 * @example
 * allowance.noteRequest(service);
 * if (allowance.tryTake(service, knownInstances)) { send again }
 */
export class RetryAllowance {
    readonly #clock: Clock;
    readonly #options: RetryAllowanceOptions;
    readonly #accounts = new Map<ServiceId, Account>();

    constructor(clock: Clock, options: RetryAllowanceOptions) {
        this.#clock = clock;
        this.#options = options;
    }

    /** Counts a request of a caller to a service. */
    noteRequest(service: ServiceId): void {
        const account = this.#account(service);
        account.shareCredit = Math.min(maxShareCredit, account.shareCredit + this.#options.share * usedShare);
    }

    /** Takes one extra attempt; false if there is none. */
    tryTake(service: ServiceId, instanceCount: number): boolean {
        const account = this.#account(service);
        this.#fill(account, instanceCount);
        if (account.shareCredit >= 1) {
            account.shareCredit--;
            return true;
        }
        if (account.shareCredit + account.burstCredit >= 1) {
            account.burstCredit -= 1 - account.shareCredit;
            account.shareCredit = 0;
            return true;
        }
        return false;
    }

    #fill(account: Account, instanceCount: number): void {
        const { burst, windowMs } = this.#options;
        const part = burst * usedBurst / Math.max(1, instanceCount);
        const nowMs = this.#clock.monotonicMs();
        // The burst holds for each window, so at most half of it may be saved up and half earned in a window.
        account.burstCredit = Math.min(part / 2, account.burstCredit + (nowMs - account.atMs) * part / 2 / windowMs);
        account.atMs = nowMs;
    }

    #account(service: ServiceId): Account {
        const found = this.#accounts.get(service);
        if (found !== undefined) {
            return found;
        }
        const created = { shareCredit: 0, burstCredit: 0, atMs: this.#clock.monotonicMs() };
        this.#accounts.set(service, created);
        return created;
    }
}
