/** Limits the request rate of each organisation across the fleet, without a round trip per request. */
import type { Clock, OrganisationId, Random } from "@sniperoad/core";
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
    /** Share of the window of the rate that the usage does not cover, from 0 to 1. */
    readonly uncoveredShare: () => number;
    /** Called when a request of an organisation near its limit is admitted; the others must know soon. */
    readonly onScarce: () => void;
}

/** Number of standard deviations of the requests that are not reported yet for which the count leaves room. */
const safetyDeviations = 1.5;
/**
 * Share of the allowed excess that is left free in addition, for what the estimate of unreported requests does not cover:
 * reports that are lost, and processes that are replaced.
 */
const safetyShare = 0.25;
/** How much longer than the window of the rate an admission counts, since the request may be sent again later. */
const extraWindowMs = 100;
/** Window over which the current request rate is estimated. */
const demandWindowMs = 600;
/** Demand, as a multiple of the rate, that is assumed after a restart of all processes until they hear of each other. */
const assumedDemand = 3;
/**
 * Former admissions are rarely spread evenly over the window that no report covers. This times u (1 - u) of the limit is
 * assumed in addition while the share u is not covered: nothing at both ends, like the deviation of a bridge process.
 */
const unevenShare = 0.6;
/** Share of the limit from which other instances are told of admissions soon. */
const scarceShare = 0.6;
/** Time from an admission until others count it, while the limit is near. */
const scarceReportDelayMs = 500;
/** Requests of this instance. */
interface Account {
    readonly admitted: SlidingWindowCounter;
    readonly offered: SlidingWindowCounter;
}

/** What a {@link FleetRateLimiter} depends on. */
export interface FleetRateLimiterSetup {
    readonly clock: Clock;
    readonly random: Random;
    readonly limits: () => FleetRateLimiterOptions;
    readonly remote: RemoteRates;
}

/** Whether a request is admitted, with the numbers behind the decision. */
export interface RateDecision {
    readonly isAdmitted: boolean;
    /** Number of requests in the window: those reported, those of unreachable instances, and this one. */
    readonly counted: number;
    /** Value of `counted` from which no request is admitted; shortly below it, only some are. */
    readonly limit: number;
    /** Share of the window that the reports of the other instances cover; what is missing counts as used up. */
    readonly coveredShare: number;
}

/** Size of the fleet according to the roster of this instance. */
export interface FleetSize {
    /** Live instances, this one included. */
    readonly live: number;
    /** Instances that may admit requests, live or not. */
    readonly known: number;
}

/**
 * Counts the requests of each organisation that all instances admit, and admits a request if the count leaves room for
 * it. Near the limit it admits as many of them as all instances together have room for until they hear of each other. If
 * fewer than half of the known instances are live, this instance is probably partitioned and limits itself to an equal
 * share of the rate; the shares of other instances that are not live are reserved for them.
 *
 * @example
 * if (rates.tryAdmit(organisation, size).isAdmitted) { send }
 */
export class FleetRateLimiter {
    readonly #clock: Clock;
    readonly #options: () => FleetRateLimiterOptions;
    readonly #remote: RemoteRates;
    readonly #random: Random;
    readonly #accounts = new Map<OrganisationId, Account>();
    #hasScarceUsage = false;

    constructor({ clock, random, limits, remote }: FleetRateLimiterSetup) {
        this.#clock = clock;
        this.#options = limits;
        this.#remote = remote;
        this.#random = random;
    }

    /** Counts a request from a caller. */
    recordOffered(organisation: OrganisationId): void {
        this.#account(organisation).offered.add(1);
    }

    /** Requests per second from the callers of an organisation, at all instances, whether they are admitted or not. */
    offeredPerSecond(organisation: OrganisationId): number {
        const own = this.#accounts.get(organisation)?.offered.total() ?? 0;
        return (own + this.#remote.usage(nameKey(organisation)).offered) * 1_000 / demandWindowMs;
    }

    /** Decides whether to admit a request, and counts it if so. */
    tryAdmit(organisation: GatewayOrganisation, size: FleetSize): RateDecision {
        const account = this.#account(organisation.id);
        const decision = organisation.ratePerSecond > 0
            ? this.#decide(organisation, account, size)
            : { isAdmitted: true, counted: 0, limit: Infinity, coveredShare: 1 };
        if (decision.isAdmitted) {
            account.admitted.add(1);
            if (decision.counted >= decision.limit * scarceShare) {
                this.#hasScarceUsage = true;
                this.#remote.onScarce();
            }
        }
        return decision;
    }

    /** Takes what the next heartbeat reports: the usage of organisations with requests in the windows. */
    take(): { readonly usage: readonly OrganisationUsage[]; readonly hasScarceUsage: boolean; } {
        const hasScarceUsage = this.#hasScarceUsage;
        this.#hasScarceUsage = false;
        return { usage: this.#usage(), hasScarceUsage };
    }

    #usage(): OrganisationUsage[] {
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
        const excess = windowLimit * overage + slack;
        const bound = windowLimit + excess;
        const safeBound = bound - safetyShare * excess;
        const instanceLimit = windowLimit / Math.max(1, size.known);
        if (size.live * 2 < size.known) {
            const counted = account.admitted.total() + 1;
            return { isAdmitted: counted <= instanceLimit, counted, limit: instanceLimit, coveredShare: 1 };
        }
        const assumedUnreachable = (size.known - size.live) * instanceLimit;
        const remote = this.#remote.usage(nameKey(organisation.id));
        // Processes that were replaced together may have admitted all that they would.
        const uncoveredShare = this.#remote.uncoveredShare();
        const assumedBefore = safeBound * uncoveredShare * (1 + unevenShare * (1 - uncoveredShare));
        const used = account.admitted.total() + remote.admitted + assumedUnreachable + assumedBefore + 1;
        const reportDelayMs = used >= bound * scarceShare
            ? Math.min(scarceReportDelayMs, this.#remote.reportDelayMs())
            : this.#remote.reportDelayMs();
        const assumedRate = organisation.ratePerSecond * assumedDemand * uncoveredShare;
        const unreported = Math.max(remote.offered / demandWindowMs, assumedRate / 1_000) * reportDelayMs;
        const room = safeBound - used;
        const deviations = safetyDeviations * Math.sqrt(Math.min(unreported, Math.max(0, room)));
        const usable = room - deviations;
        // All instances see the same room, so each admits only a part if their requests do not fit into it.
        const isAdmitted = usable >= 0 && (usable >= unreported || this.#random() < usable / unreported);
        const limit = safeBound - deviations;
        return { isAdmitted, counted: used, limit, coveredShare: 1 - uncoveredShare };
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
