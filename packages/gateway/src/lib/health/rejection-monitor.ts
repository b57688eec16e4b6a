/** Tells upstreams that reject requests although they have room from full ones. */
import { id } from "@sniperoad/core";
import type { Clock, OrganisationId, ServiceId } from "@sniperoad/core";
import { slotsOf } from "../admission/service-load.js";
import type { RemoteUsage } from "../fleet/fleet-view.js";
import type { OrganisationUsage } from "../fleet/heartbeat.js";
import { nameKey } from "../name-key.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { SharedOutcomes } from "./shared-outcomes.js";

/** Part of its slots up to which an upstream has room, whatever was sent to it since the loads were reported. */
const lowLoad = 0.5;
/** Window over which the rejections of a service are counted. */
const windowMs = 3_000;
/** Time after which a rejection is evaluated: the other instances' rejections are known by then. */
const evaluationDelayMs = 1_000;
/**
 * Rejections at low load for each request of a service from which they are a fault of the service, not of single
 * upstreams: no other upstream would be better.
 */
const serviceFaultShare = 0.2;

/** Options of {@link RejectionMonitor}. */
export interface RejectionMonitorOptions {
    readonly clock: Clock;
    /** Usage that the other instances report for a key, see `nameKey`. */
    readonly usage: (key: number) => RemoteUsage;
    /** Requests of a service per second, from all instances. */
    readonly requestsPerSecond: (service: ServiceId) => number;
    readonly outcomes: Pick<SharedOutcomes, "record">;
}

/**
 * Counts "not run" answers of upstreams at low load. An upstream that rejects at once has few requests in flight, so it
 * would get more than the others. Such a rejection counts like a missing response, in the whole fleet, unless many
 * upstreams of the service reject: then none of them is avoided.
 *
 * @example
 * rejections.recordRejection(selection.upstream, selection.inFlight);
 */
export class RejectionMonitor {
    readonly #options: RejectionMonitorOptions;
    readonly #counts = new Map<ServiceId, SlidingWindowCounter>();

    constructor(options: RejectionMonitorOptions) {
        this.#options = options;
    }

    /** Records that an upstream has rejected a request when it had `inFlight` others. */
    recordRejection(upstream: KnownUpstream, inFlight: number): void {
        const { clock, outcomes } = this.#options;
        const { id: rejecting, service } = upstream.listed;
        if (inFlight > slotsOf(upstream, clock.monotonicMs()) * lowLoad) {
            return;
        }
        this.#countOf(service).add(1);
        clock.after(evaluationDelayMs, () => {
            if (!this.#isServiceFault(service)) {
                outcomes.record(rejecting, "silence");
            }
        });
    }

    /** What the next heartbeat reports; the counts of a service travel like those of an organisation. */
    report(): readonly OrganisationUsage[] {
        return [...this.#counts]
            .map(([service, count]) => ({ organisation: entryName(service), admitted: count.total(), offered: 0 }))
            .filter(({ admitted }) => admitted > 0);
    }

    #isServiceFault(service: ServiceId): boolean {
        const { usage, requestsPerSecond } = this.#options;
        const rejections = this.#countOf(service).total() + usage(nameKey(entryName(service))).admitted;
        return rejections >= serviceFaultShare * requestsPerSecond(service) * windowMs / 1_000;
    }

    #countOf(service: ServiceId): SlidingWindowCounter {
        const count = this.#counts.get(service) ?? new SlidingWindowCounter(this.#options.clock, windowMs);
        this.#counts.set(service, count);
        return count;
    }
}

const entryName = (service: ServiceId): OrganisationId => id<OrganisationId>(`rejections/${service}`);
