/** Divides the capacity of a service among organisations by their declared rates. */
import type { Clock, OrganisationId } from "@sniperoad/core";

/** Interval at which usage is read again; reports on it are older. */
const refreshMs = 100;

/** What an organisation asks for. */
export interface OrganisationDemand {
    readonly id: OrganisationId;
    /** 0: no limit. */
    readonly declaredPerSecond: number;
    /** Requests from its callers at all instances. */
    readonly offeredPerSecond: number;
}

interface Demand {
    readonly weight: number;
    /** What passes the organisation's rate limit. */
    readonly perSecond: number;
}

/** Options of {@link FairShares}. */
export interface FairSharesOptions {
    readonly clock: Clock;
    readonly demands: () => readonly OrganisationDemand[];
}

/**
 * Turns the pressure on a service into that on each organisation: the capacity is divided by max-min fairness (Bertsekas
 * and Gallager, "Data Networks", section 6.5.2), weighted by the declared rates, so an organisation that asks for less
 * than its share gets all of it, and what it does not use goes to the others. It answers for an organisation that sends
 * many times its usual load within its rate.
 *
 * @example
 * const level = shares.levelOf(organisation, pressure.level);
 */
export class FairShares {
    readonly #options: FairSharesOptions;
    #demands = new Map<OrganisationId, Demand>();
    /** Demands in the order in which they exceed their shares. */
    #ordered: readonly Demand[] = [];
    #readMs = -Infinity;

    constructor(options: FairSharesOptions) {
        this.#options = options;
    }

    /** Negative logarithm of the share of an organisation's requests that is to be admitted. */
    levelOf(organisation: OrganisationId | undefined, level: number): number {
        this.#refresh();
        const demand = organisation === undefined ? undefined : this.#demands.get(organisation);
        if (level <= 0 || demand === undefined || demand.perSecond <= 0) {
            return level;
        }
        const granted = this.#perWeight(level) * demand.weight;
        return Math.max(0, Math.log(demand.perSecond / granted));
    }

    /** Share of each organisation's requests that is to be admitted. */
    shares(level: number): ReadonlyMap<OrganisationId, number> {
        this.#refresh();
        return new Map([...this.#demands.keys()].map(id => [id, Math.exp(-this.levelOf(id, level))]));
    }

    /** Requests per second for each unit of weight of the organisations that ask for more than their share. */
    #perWeight(level: number): number {
        let capacity = this.#ordered.reduce((sum, { perSecond }) => sum + perSecond, 0) * Math.exp(-level);
        let weight = this.#ordered.reduce((sum, demand) => sum + demand.weight, 0);
        for (const demand of this.#ordered) {
            if (demand.perSecond / demand.weight >= capacity / weight) {
                break;
            }
            capacity -= demand.perSecond;
            weight -= demand.weight;
        }
        return capacity / weight;
    }

    #refresh(): void {
        const { clock, demands } = this.#options;
        const nowMs = clock.monotonicMs();
        if (nowMs - this.#readMs < refreshMs) {
            return;
        }
        this.#readMs = nowMs;
        const asking = demands().filter(({ offeredPerSecond }) => offeredPerSecond > 0);
        const declared = asking.map(({ declaredPerSecond }) => declaredPerSecond).filter(rate => rate > 0);
        const meanRate = declared.length === 0 ? 1 : declared.reduce((sum, rate) => sum + rate, 0) / declared.length;
        this.#demands = new Map(asking.map(({ id, declaredPerSecond, offeredPerSecond }) => [
            id,
            declaredPerSecond > 0
                ? { weight: declaredPerSecond, perSecond: Math.min(declaredPerSecond, offeredPerSecond) }
                : { weight: meanRate, perSecond: offeredPerSecond },
        ]));
        this.#ordered = [...this.#demands.values()]
            .sort((left, right) => left.perSecond / left.weight - right.perSecond / right.weight);
    }
}
