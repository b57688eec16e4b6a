/** Limits retries and hedged requests over the whole fleet. */
import { id } from "@sniperoad/core";
import type { Clock, OrganisationId, Random, ServiceId } from "@sniperoad/core";
import type { RemoteUsage } from "../fleet/fleet-view.js";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import { nameKey } from "../name-key.js";
import type { FleetSize } from "../rates/fleet-rate-limiter.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import { AttemptWindow } from "./attempt-window.js";
import type { AttemptLimits } from "./attempt-window.js";

/** Limits of a {@link RetryBudget}, over the whole fleet. */
export interface RetryBudgetOptions extends AttemptLimits {
    /** Window over which requests and extra attempts are counted. */
    readonly windowMs: number;
}

/** What the budget knows of the other instances. */
export interface RemoteAttempts {
    /** Sums of the entries of a key that the other instances report, see {@link RetryBudget.take}. */
    readonly usage: (key: number) => RemoteUsage;
    /** Time from an extra attempt at another instance until it is contained in the usage. */
    readonly reportDelayMs: () => number;
    /** Share of a window that the usage does not cover, from 0 to 1. */
    readonly uncoveredShare: (windowMs: number) => number;
    /** Called when an extra attempt is made while they are scarce; the others must know soon. */
    readonly onScarce: () => void;
}

/** What a {@link RetryBudget} depends on. */
export interface RetryBudgetSetup {
    readonly clock: Clock;
    readonly random: Random;
    readonly limits: () => RetryBudgetOptions;
    readonly remote: RemoteAttempts;
    readonly reach: () => FleetSize;
}

/** Part of the bound that is used; the rest covers requests and attempts that are counted in a neighbouring window. */
const usedFraction = 0.96;
/** Fraction of its own requests' share that an instance uses while it does not hear most of the others. */
const isolatedShareFraction = 0.9;
/** Fraction of its part of the burst that it uses then; the rest covers newly started instances. */
const isolatedBurstFraction = 0.8;
/** Part of the allowance that it leaves free, for what others did when the instance no longer heard them. */
const isolatedMarginShare = 0.15;
/** Part of the allowance that a request leaves for each more urgent rank, which matters while extra attempts are scarce. */
const reservedShare = 0.12;
/** Largest part that is left for more urgent ranks, so that no rank is starved of extra attempts. */
const maxReservedShare = 0.36;
/** Time from the start for which an instance that hears few others does not use the burst; many may start at once. */
const burstDelayMs = 1_000;
/** Window over which the demand for extra attempts is counted. */
const demandWindowMs = 1_000;
/**
 * Number of report delays whose demand must fit into the room. Spending that follows a view of age d does not overshoot
 * if it uses at most the fraction 1 / e of the room within d.
 */
const feedbackDelays = 2.7;
/** Extra attempts for each request that are taken to begin at once, as if an upstream fault had just started. */
const onsetAttempts = 2;
/** Number of standard deviations of the attempts that are not reported yet for which the room is left free. */
const safetyDeviations = 1.5;
/** Share of the allowance from which other instances are told of extra attempts soon. */
const scarceShare = 0.6;
/** Time until others count an extra attempt while they are scarce. */
const scarceReportDelayMs = 700;
/** Chance of an extra attempt from which a request may count on it. */
const reliableChance = 0.5;
/** Increase of the reported requests, as a fraction of them, that is no new load but instances that are heard again. */
const heardAgainShare = 0.25;

/** Counts of a service. */
interface Account {
    /** Requests and extra attempts of all instances. */
    readonly fleet: AttemptWindow;
    /** Those of the other instances, as far as they are contained in `fleet`. */
    readonly remote: AttemptWindow;
    readonly ownRequests: SlidingWindowCounter;
    readonly ownAttempts: SlidingWindowCounter;
    /** Extra attempts that this instance wanted, made or not. */
    readonly ownDemand: SlidingWindowCounter;
    readonly requestsKey: number;
    readonly attemptsKey: number;
}

/**
 * Counts the requests and extra attempts of each service over the fleet, and allows an extra attempt while all windows
 * stay within the bound. Extra attempts that other instances have not reported yet are accounted for by allowing only a
 * part of them when the room becomes small. It answers for upstreams that fail or reject part of the requests of a whole
 * service: whichever instances need extra attempts get them.
 *
 * @example
 * budget.recordRequest(service);
 * if (budget.tryAcquire(service, rank)) { retry }
 */
export class RetryBudget {
    readonly #setup: RetryBudgetSetup;
    readonly #accounts = new Map<ServiceId, Account>();
    readonly #startedMs: number;
    #hasScarceUsage = false;

    constructor(setup: RetryBudgetSetup) {
        this.#setup = setup;
        this.#startedMs = setup.clock.monotonicMs();
    }

    /** Counts a request of a caller to a service. */
    recordRequest(service: ServiceId): void {
        const account = this.#account(service);
        this.#updateRemote(account);
        account.ownRequests.add(1);
        account.fleet.addRequests(1);
    }

    /** Whether an extra attempt is likely to be available to a request of a rank; 0 is the most urgent one. */
    hasCredit(service: ServiceId, rank: number): boolean {
        return this.#chance(this.#account(service), rank) >= reliableChance;
    }

    /** Takes one extra attempt for a request of a rank; returns false if none is available. */
    tryAcquire(service: ServiceId, rank: number): boolean {
        const account = this.#account(service);
        account.ownDemand.add(1);
        const chance = this.#chance(account, rank);
        if (chance <= 0 || chance < 1 && this.#setup.random() >= chance) {
            return false;
        }
        account.ownAttempts.add(1);
        account.fleet.addAttempts(1);
        if (account.fleet.attempts() >= this.#allowance(account) * scarceShare) {
            this.#hasScarceUsage = true;
            this.#setup.remote.onScarce();
        }
        return true;
    }

    /** Takes what the next heartbeat reports; the counts of a service travel like those of an organisation. */
    take(): { readonly usage: readonly OrganisationUsage[]; readonly hasScarceUsage: boolean; } {
        const hasScarceUsage = this.#hasScarceUsage;
        this.#hasScarceUsage = false;
        const usage = [...this.#accounts]
            .flatMap(([service, { ownRequests, ownAttempts, ownDemand }]) => [
                { organisation: requestsName(service), admitted: ownRequests.total(), offered: 0 },
                { organisation: attemptsName(service), admitted: ownAttempts.total(), offered: ownDemand.total() },
            ])
            .filter(({ admitted, offered }) => admitted > 0 || offered > 0);
        return { usage, hasScarceUsage };
    }

    /** Probability with which an extra attempt is allowed. */
    #chance(account: Account, rank: number): number {
        const { limits, reach } = this.#setup;
        const { demand } = this.#updateRemote(account);
        const { live, known } = reach();
        const { share } = limits();
        const reserved = Math.min(maxReservedShare, Math.max(0, rank) * reservedShare);
        const room = usedFraction * account.fleet.room({ share, burst: this.#burst() });
        if (live * 2 < known) {
            const free = room - isolatedMarginShare * this.#allowance(account);
            const ownFree = this.#isolatedAllowance(account, known) * (1 - reserved) - account.ownAttempts.total();
            return Math.min(free, ownFree) >= 1 ? 1 : 0;
        }
        const allowance = this.#allowance(account);
        const unheard = allowance * (known - live) / known;
        const free = room - unheard - allowance * reserved;
        const unreported = this.#unreported(account, demand);
        const usable = free - safetyDeviations * Math.sqrt(Math.min(unreported, Math.max(0, free)));
        return usable <= 0 || free < 1 ? 0 : Math.min(1, usable / unreported);
    }

    /** Extra attempts that other instances may make before this one hears of them. */
    #unreported({ fleet, remote }: Account, demand: number): number {
        const { limits, remote: others } = this.#setup;
        const isScarce = fleet.attempts() >= scarceShare * (limits().share * fleet.requests() + limits().burst);
        const delayMs = isScarce ? Math.min(scarceReportDelayMs, others.reportDelayMs()) : others.reportDelayMs();
        const requestsPerMs = remote.requests() / limits().windowMs;
        return Math.max(
            onsetAttempts * requestsPerMs * delayMs,
            feedbackDelays * demand / demandWindowMs * delayMs,
        );
    }

    /** Adds what the others have newly reported; counts that are no longer reported stay until the window has passed. */
    #updateRemote({ fleet, remote, requestsKey, attemptsKey }: Account): { readonly demand: number; } {
        const { usage } = this.#setup.remote;
        const reported = usage(attemptsKey);
        const reportedRequests = usage(requestsKey).admitted;
        const newRequests = reportedRequests - remote.requests();
        if (newRequests > 0) {
            const durationMs = newRequests > heardAgainShare * reportedRequests ? this.#setup.limits().windowMs : 0;
            fleet.addRequests(newRequests, durationMs);
            remote.addRequests(newRequests, durationMs);
        }
        const newAttempts = reported.admitted - remote.attempts();
        if (newAttempts > 0) {
            fleet.addAttempts(newAttempts);
            remote.addAttempts(newAttempts);
        }
        return { demand: reported.offered };
    }

    #allowance({ fleet }: Account): number {
        return this.#setup.limits().share * fleet.requests() + this.#burst();
    }

    /** The burst; 0 while processes that were replaced together may have used it before. */
    #burst(): number {
        const { clock, limits, remote } = this.#setup;
        const { burst, windowMs } = limits();
        const isCovered = clock.monotonicMs() - this.#startedMs >= windowMs || remote.uncoveredShare(windowMs) === 0;
        return isCovered ? burst : 0;
    }

    /** Extra attempts of an instance that does not hear most of the others: the share of its requests, and a part. */
    #isolatedAllowance({ ownRequests }: Account, known: number): number {
        const { share, burst } = this.#setup.limits();
        const hasBurst = this.#setup.clock.monotonicMs() - this.#startedMs >= burstDelayMs;
        return ownRequests.total() * share * isolatedShareFraction
            + (hasBurst ? burst * isolatedBurstFraction / known : 0);
    }

    #account(service: ServiceId): Account {
        const found = this.#accounts.get(service);
        if (found !== undefined) {
            return found;
        }
        const { clock, limits } = this.#setup;
        const { windowMs } = limits();
        const created: Account = {
            fleet: new AttemptWindow(clock, windowMs),
            remote: new AttemptWindow(clock, windowMs),
            ownRequests: new SlidingWindowCounter(clock, windowMs),
            ownAttempts: new SlidingWindowCounter(clock, windowMs),
            ownDemand: new SlidingWindowCounter(clock, demandWindowMs),
            requestsKey: nameKey(requestsName(service)),
            attemptsKey: nameKey(attemptsName(service)),
        };
        this.#accounts.set(service, created);
        return created;
    }
}

/** Names of the entries of a service in the usage of heartbeats. */
const requestsName = (service: ServiceId): OrganisationId => id<OrganisationId>(`retry-budget/requests/${service}`);
const attemptsName = (service: ServiceId): OrganisationId => id<OrganisationId>(`retry-budget/attempts/${service}`);
