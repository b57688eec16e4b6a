/** Holds each organisation to its rate over all instances, without a round trip for a request. */
import type { Clock, InstanceId, OrganisationId } from "@sniperoad/core";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import type { GatewayOrganisation } from "../model.js";
import { SlidingWindowCounter } from "./sliding-window-counter.js";

/** Figures of {@link FleetRateLimiter}. */
export interface FleetRateLimiterOptions {
    /** Window over which requests are counted; a change holds for organisations that are seen later. */
    readonly windowMs: number;
    /** Share of the limit by which the count may exceed it. */
    readonly overage: number;
    /** Requests by which the count may exceed the limit besides. */
    readonly slack: number;
}

/** Part of the allowed excess that is used; the rest covers what other instances admit before they are heard. */
const usedExcessShare = 0.6;
/**
 * Time from an admission to the moment at which all instances count it: a beat of 300 ms, two relays that gather for
 * 100 ms each, and 50 ms for busy instances.
 */
const reportDelayMs = 550;
/** Window over which the present rate of requests is estimated. */
const demandWindowMs = 600;
/** Usage is reported for this long after a change, so that a lost beat loses nothing. */
const reportForMs = 2_000;

interface Account {
    readonly admitted: SlidingWindowCounter;
    readonly offered: SlidingWindowCounter;
    ownAdmitted: SlidingWindowCounter;
    /** Totals since the start of this process. */
    totalAdmitted: number;
    totalOffered: number;
    changedMs: number;
}

/** Whether a request is admitted, with the figures that decided it. */
export interface RateDecision {
    readonly isAdmitted: boolean;
    /** Requests of the window as far as they are known or must be assumed. */
    readonly counted: number;
    readonly limit: number;
}

/** What the fleet is like, as this instance hears it. */
export interface FleetSize {
    /** Instances that are heard, this one included. */
    readonly heard: number;
    /** Instances that may admit requests, heard or not. */
    readonly known: number;
}

/**
 * Counts what all instances admit for each organisation, from their beats, and admits a request if the count leaves
 * room for it and for what is not reported yet. An instance that hears less than half of the others keeps to its part
 * of the rate, and the others leave the parts of the instances they do not hear.
 *
 * @example
 * if (rates.tryAdmit(organisation, size).isAdmitted) { send }
 */
export class FleetRateLimiter {
    readonly #clock: Clock;
    readonly #options: () => FleetRateLimiterOptions;
    readonly #accounts = new Map<OrganisationId, Account>();
    /** Last totals of each instance and organisation. */
    readonly #reported = new Map<InstanceId, Map<OrganisationId, OrganisationUsage>>();

    constructor(clock: Clock, options: () => FleetRateLimiterOptions) {
        this.#clock = clock;
        this.#options = options;
    }

    /** Counts a request that a caller asks for. */
    noteOffered(organisation: OrganisationId): void {
        const account = this.#account(organisation);
        account.offered.add(1);
        account.totalOffered++;
        account.changedMs = this.#clock.monotonicMs();
    }

    /** Admits and counts one request, or refuses it. */
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

    /** What this instance reports: organisations whose counts changed lately. */
    report(): OrganisationUsage[] {
        const sinceMs = this.#clock.monotonicMs() - reportForMs;
        return [...this.#accounts]
            .filter(([, account]) => account.changedMs > sinceMs && account.totalOffered > 0)
            .map(([organisation, account]) => ({
                organisation,
                admitted: account.totalAdmitted,
                offered: account.totalOffered,
            }));
    }

    /** Takes what another instance reports. */
    noteReport(from: InstanceId, usage: readonly OrganisationUsage[]): void {
        const former = this.#reported.get(from) ?? new Map<OrganisationId, OrganisationUsage>();
        this.#reported.set(from, former);
        for (const entry of usage) {
            const last = former.get(entry.organisation);
            const account = this.#account(entry.organisation);
            account.admitted.add(Math.max(0, entry.admitted - (last?.admitted ?? 0)));
            account.offered.add(Math.max(0, entry.offered - (last?.offered ?? 0)));
            former.set(entry.organisation, entry);
        }
    }

    /** Forgets the totals of instances that are gone for good. */
    retain(isKnown: (instance: InstanceId) => boolean): void {
        [...this.#reported.keys()].filter(instance => !isKnown(instance)).forEach(instance =>
            this.#reported.delete(instance)
        );
    }

    #decide(organisation: GatewayOrganisation, account: Account, size: FleetSize): RateDecision {
        const { windowMs, overage, slack } = this.#options();
        const windowLimit = organisation.ratePerSecond * windowMs / 1_000 + organisation.burst;
        const limit = windowLimit + usedExcessShare * (windowLimit * overage + slack);
        const part = limit / Math.max(1, size.known);
        if (size.heard * 2 < size.known) {
            const counted = account.ownAdmitted.total() + 1;
            return { isAdmitted: counted <= part, counted, limit: part };
        }
        const unheard = (size.known - size.heard) * part;
        // Instances admit in proportion to their demand, so the demand bounds what is not reported yet.
        const unreported = account.offered.total() * reportDelayMs / demandWindowMs;
        const counted = account.admitted.total() + unreported + unheard + 1;
        return { isAdmitted: counted <= limit, counted, limit };
    }

    #account(organisation: OrganisationId): Account {
        const found = this.#accounts.get(organisation);
        if (found !== undefined) {
            return found;
        }
        const { windowMs } = this.#options();
        const created: Account = {
            // An admission is counted later than it was made; the longer window makes up for that.
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
