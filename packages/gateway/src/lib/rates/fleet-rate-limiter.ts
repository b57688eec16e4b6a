/** Limits the request rate of each organisation across the fleet, without a round trip per request. */
import type { Clock, InstanceId, OrganisationId } from "@sniperoad/core";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import type { GatewayOrganisation } from "../model.js";
import { SlidingWindowCounter } from "./sliding-window-counter.js";

/** Options of {@link FleetRateLimiter}. */
export interface FleetRateLimiterOptions {
    /** Window over which requests are counted; a change applies only to organisations first seen afterwards. */
    readonly windowMs: number;
    /** Fraction of the limit by which the count may exceed it. */
    readonly overage: number;
    /** Number of requests by which the count may exceed the limit in addition. */
    readonly slack: number;
}

/** Share of the allowed excess that is used; the rest covers what other instances admit before their report arrives. */
const usableExcessShare = 0.6;
/**
 * Time from an admission until all instances count it: a heartbeat interval of 300 ms, two relays that batch for 100 ms
 * each, and 50 ms for busy instances.
 */
const reportDelayMs = 550;
/** Window over which the current request rate is estimated. */
const demandWindowMs = 600;
/** How long usage is reported after a change, so that lost heartbeats lose no information. */
const reportRetentionMs = 2_000;

interface Account {
    readonly admitted: SlidingWindowCounter;
    readonly offered: SlidingWindowCounter;
    ownAdmitted: SlidingWindowCounter;
    /** Totals since the process started. */
    totalAdmitted: number;
    totalOffered: number;
    changedMs: number;
}

/** Whether a request is admitted, with the numbers behind the decision. */
export interface RateDecision {
    readonly isAdmitted: boolean;
    /** Requests in the window, known and assumed. */
    readonly counted: number;
    readonly limit: number;
}

/** Size of the fleet as this instance knows it. */
export interface FleetSize {
    /** Live instances, this one included. */
    readonly live: number;
    /** Instances that may admit requests, live or not. */
    readonly known: number;
}

/**
 * Counts the requests of each organisation that all instances admit, from their heartbeats, and admits a request if the
 * count leaves room for it and for what is not reported yet. An instance for which less than half of the fleet is live
 * limits itself to an equal share of the rate, and the others reserve the shares of the instances that are not live.
 *
 * @example
 * if (rates.tryAdmit(organisation, size).isAdmitted) { send }
 */
export class FleetRateLimiter {
    readonly #clock: Clock;
    readonly #options: () => FleetRateLimiterOptions;
    readonly #accounts = new Map<OrganisationId, Account>();
    /** Last reported totals by instance and organisation. */
    readonly #lastReports = new Map<InstanceId, Map<OrganisationId, OrganisationUsage>>();

    constructor(clock: Clock, options: () => FleetRateLimiterOptions) {
        this.#clock = clock;
        this.#options = options;
    }

    /** Counts a request from a caller. */
    recordOffered(organisation: OrganisationId): void {
        const account = this.#account(organisation);
        account.offered.add(1);
        account.totalOffered++;
        account.changedMs = this.#clock.monotonicMs();
    }

    /** Decides whether to admit a request, and counts it if so. */
    tryAdmit(organisation: GatewayOrganisation, size: FleetSize): RateDecision {
        const account = this.#account(organisation.id);
        const decision = organisation.ratePerSecond > 0
            ? this.#decide(organisation, account, size)
            : { isAdmitted: true, counted: 0, limit: 0 };
        if (decision.isAdmitted) {
            account.admitted.add(1);
            account.ownAdmitted.add(1);
            account.totalAdmitted++;
            account.changedMs = this.#clock.monotonicMs();
        }
        return decision;
    }

    /** Usage to report to other instances: that of organisations whose counts changed recently. */
    report(): OrganisationUsage[] {
        const sinceMs = this.#clock.monotonicMs() - reportRetentionMs;
        return [...this.#accounts]
            .filter(([, account]) => account.changedMs > sinceMs && account.totalOffered > 0)
            .map(([organisation, account]) => ({
                organisation,
                admitted: account.totalAdmitted,
                offered: account.totalOffered,
            }));
    }

    /** Adds the usage that another instance reports. */
    recordReport(from: InstanceId, usage: readonly OrganisationUsage[]): void {
        const previous = this.#lastReports.get(from) ?? new Map<OrganisationId, OrganisationUsage>();
        this.#lastReports.set(from, previous);
        for (const entry of usage) {
            const last = previous.get(entry.organisation);
            const account = this.#account(entry.organisation);
            account.admitted.add(Math.max(0, entry.admitted - (last?.admitted ?? 0)));
            account.offered.add(Math.max(0, entry.offered - (last?.offered ?? 0)));
            previous.set(entry.organisation, entry);
        }
    }

    /** Removes the totals of instances that are no longer known. */
    retain(isKnown: (instance: InstanceId) => boolean): void {
        [...this.#lastReports.keys()].filter(instance => !isKnown(instance)).forEach(instance =>
            this.#lastReports.delete(instance)
        );
    }

    #decide(organisation: GatewayOrganisation, account: Account, size: FleetSize): RateDecision {
        const { windowMs, overage, slack } = this.#options();
        const windowLimit = organisation.ratePerSecond * windowMs / 1_000 + organisation.burst;
        const limit = windowLimit + usableExcessShare * (windowLimit * overage + slack);
        const instanceLimit = limit / Math.max(1, size.known);
        if (size.live * 2 < size.known) {
            const counted = account.ownAdmitted.total() + 1;
            return { isAdmitted: counted <= instanceLimit, counted, limit: instanceLimit };
        }
        const assumedUnreachable = (size.known - size.live) * instanceLimit;
        // Instances admit in proportion to their demand, so the demand bounds what is not reported yet.
        const unreported = account.offered.total() * reportDelayMs / demandWindowMs;
        const counted = account.admitted.total() + unreported + assumedUnreachable + 1;
        return { isAdmitted: counted <= limit, counted, limit };
    }

    #account(organisation: OrganisationId): Account {
        const found = this.#accounts.get(organisation);
        if (found !== undefined) {
            return found;
        }
        const { windowMs } = this.#options();
        const created: Account = {
            // Other instances count an admission late; the longer window compensates for that.
            admitted: new SlidingWindowCounter(this.#clock, windowMs + reportDelayMs),
            ownAdmitted: new SlidingWindowCounter(this.#clock, windowMs + reportDelayMs),
            offered: new SlidingWindowCounter(this.#clock, demandWindowMs),
            totalAdmitted: 0,
            totalOffered: 0,
            changedMs: 0,
        };
        this.#accounts.set(organisation, created);
        return created;
    }
}
