/** Logs when requests for a service exceed its capacity, and how the capacity is divided. */
import type { Clock, LogPort, OrganisationId, ServiceId } from "@sniperoad/core";

/** Interval of the lines on an overload that lasts. */
const repeatMs = 2_000;
/** Time without pressure after which an overload counts as over. */
const endMs = 1_000;
/** Number of organisations in a line, those with the lowest shares. */
const maxOrganisations = 5;

/** What is logged of a service. */
export interface OverloadState {
    readonly level: number;
    readonly waitMs: number;
    /** Share of each organisation's requests that is to be admitted before ranks are applied. */
    readonly shares: () => ReadonlyMap<OrganisationId, number>;
}

interface Overload {
    readonly sinceMs: number;
    loggedMs: number;
    underPressureMs: number;
    highestLevel: number;
}

/**
 * Logs the begin and end of an overload, and every two seconds between them.
 *
 * @example
 * overloads.review(service, { level: pressure.level, waitMs, shares });
 */
export class OverloadLog {
    readonly #clock: Clock;
    readonly #log: LogPort;
    readonly #overloads = new Map<ServiceId, Overload>();

    constructor(clock: Clock, log: LogPort) {
        this.#clock = clock;
        this.#log = log;
    }

    review(service: ServiceId, { level, waitMs, shares }: OverloadState): void {
        const nowMs = this.#clock.monotonicMs();
        const found = this.#overloads.get(service);
        if (level <= 0) {
            if (found !== undefined && nowMs - found.underPressureMs >= endMs) {
                this.#overloads.delete(service);
                this.#log.event("service-overload-end", {
                    service,
                    tookMs: Math.round(found.underPressureMs - found.sinceMs),
                    lowestShare: rounded(Math.exp(-found.highestLevel)),
                });
            }
            return;
        }
        const overload = found ?? { sinceMs: nowMs, loggedMs: -Infinity, underPressureMs: nowMs, highestLevel: 0 };
        this.#overloads.set(service, overload);
        overload.underPressureMs = nowMs;
        overload.highestLevel = Math.max(overload.highestLevel, level);
        if (nowMs - overload.loggedMs >= repeatMs) {
            overload.loggedMs = nowMs;
            const lowest = [...shares()].filter(([, share]) => share < 1).sort((left, right) => left[1] - right[1]);
            this.#log.event("service-overload", {
                service,
                share: rounded(Math.exp(-level)),
                waitMs: Math.round(waitMs),
                organisations: lowest.slice(0, maxOrganisations).map(([id, share]) => `${id}=${rounded(share)}`).join(
                    " ",
                ),
            });
        }
    }
}

const rounded = (share: number): number => Number(share.toFixed(2));
