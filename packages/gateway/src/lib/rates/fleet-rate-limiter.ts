/** Limits the request rate of each organisation across the fleet, without a round trip per request. */
import type { Clock, OrganisationId } from "@sniperoad/core";
import type { RemoteUsage } from "../fleet/fleet-view.js";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import type { GatewayOrganisation } from "../model.js";
import { nameKey } from "../name-key.js";
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

/** What the limiter knows of the other instances. */
export interface RemoteRates {
    /** Usage of the organisation with a key, see `nameKey`. */
    readonly usage: (key: number) => RemoteUsage;
    /** Time from an admission at another instance until it is contained in the usage. */
    readonly reportDelayMs: () => number;
}

/**
 * Share of the allowed excess up to which requests are admitted; the rest covers what other instances admit before
 * their reports arrive.
 */
const usableExcessShare = 0.6;
/**
 * How much longer than the window of the rate an admission counts, since the request reaches its upstream later than
 * that and may be sent again.
 */
const extraWindowMs = 550;
/** Window over which the current request rate is estimated. */
const demandWindowMs = 600;
/** Requests of this instance. */
interface Account {
    readonly admitted: SlidingWindowCounter;
    readonly offered: SlidingWindowCounter;
}

/** Whether a request is admitted, with the numbers behind the decision. */
export interface RateDecision {
    readonly isAdmitted: boolean;
    /** Number of requests in the window: those reported, those assumed to be unreported, and this one. */
    readonly counted: number;
    /** Maximum of `counted` at which a request is admitted. */
    readonly limit: number;
}

/** Size of the fleet according to the roster of this instance. */
export interface FleetSize {
    /** Live instances, this one included. */
    readonly live: number;
    /** Instances that may admit requests, live or not. */
    readonly known: number;
}

/**
 * Counts the requests of each organisation that all instances admit, and admits a request if the count leaves room for it and for what is not reported yet. If fewer than half of the known instances are live,
 * this instance is probably partitioned and limits itself to an equal share of the rate; the shares of other instances
 * that are not live are reserved for them.
 *
 * @example
 * if (rates.tryAdmit(organisation, size).isAdmitted) { send }
 */
export class FleetRateLimiter {
    readonly #clock: Clock;
    readonly #options: () => FleetRateLimiterOptions;
    readonly #remote: RemoteRates;
    readonly #accounts = new Map<OrganisationId, Account>();

    constructor(clock: Clock, options: () => FleetRateLimiterOptions, remote: RemoteRates) {
        this.#clock = clock;
        this.#options = options;
        this.#remote = remote;
    }

    /** Counts a request from a caller. */
    recordOffered(organisation: OrganisationId): void {
        this.#account(organisation).offered.add(1);
    }

    /** Decides whether to admit a request, and counts it if so. */
    tryAdmit(organisation: GatewayOrganisation, size: FleetSize): RateDecision {
        const account = this.#account(organisation.id);
        const decision = organisation.ratePerSecond > 0
            ? this.#decide(organisation, account, size)
            : { isAdmitted: true, counted: 0, limit: 0 };
        if (decision.isAdmitted) {
            account.admitted.add(1);
        }
        return decision;
    }

    /** Usage to report to other instances: that of organisations with requests in the windows. */
    report(): OrganisationUsage[] {
        return [...this.#accounts]
            .map(([organisation, { admitted, offered }]) => ({
                organisation,
                admitted: admitted.total(),
                offered: offered.total(),
            }))
            .filter(({ admitted, offered }) => admitted > 0 || offered > 0);
    }

    #decide(organisation: GatewayOrganisation, account: Account, size: FleetSize): RateDecision {
        const { windowMs, overage, slack } = this.#options();
        const windowLimit = organisation.ratePerSecond * windowMs / 1_000 + organisation.burst;
        const limit = windowLimit + usableExcessShare * (windowLimit * overage + slack);
        const instanceLimit = limit / Math.max(1, size.known);
        if (size.live * 2 < size.known) {
            const counted = account.admitted.total() + 1;
            return { isAdmitted: counted <= instanceLimit, counted, limit: instanceLimit };
        }
        const assumedUnreachable = (size.known - size.live) * instanceLimit;
        const remote = this.#remote.usage(nameKey(organisation.id));
        // Instances admit in proportion to their demand, so the demand bounds what is not reported yet.
        const unreported = remote.offered * this.#remote.reportDelayMs() / demandWindowMs;
        const counted = account.admitted.total() + remote.admitted + unreported + assumedUnreachable + 1;
        return { isAdmitted: counted <= limit, counted, limit };
    }

    #account(organisation: OrganisationId): Account {
        const found = this.#accounts.get(organisation);
        if (found !== undefined) {
            return found;
        }
        const { windowMs } = this.#options();
        const created: Account = {
            admitted: new SlidingWindowCounter(this.#clock, windowMs + extraWindowMs),
            offered: new SlidingWindowCounter(this.#clock, demandWindowMs),
        };
        this.#accounts.set(organisation, created);
        return created;
    }
}
