/** Permits for suspects at the home of a service: at most one suspect runs on an upstream at a time. */
import type { Membership } from "../membership.js";
import type { Clock } from "../ports.js";
import type { ServiceId, UpstreamId } from "../types.js";
import type { Fingerprint } from "./fingerprint.js";

/** A permit that is asked for or given back. */
export interface PermitRequest {
    readonly service: ServiceId;
    readonly upstream: UpstreamId;
    readonly fingerprint: Fingerprint;
    readonly holdMs: number;
}

interface Held {
    readonly fingerprint: Fingerprint;
    readonly untilMs: number;
}

/** Key of the home that gives a service's permits. */
export const permitCoordinatorKey = (service: ServiceId): string => `suspect/${service}`;

/** A new home does not know which permits are out; it gives none for this long. */
const quietMs = 2_000;

/**
 * Gives permits while this instance is home of the service's suspects.
 *
 * @example
 * home.ask({ service, upstream, fingerprint, holdMs: 500 }); // true for the first suspect on the upstream
 */
export class PermitIssuer {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #held = new Map<ServiceId, { readonly term: string; readonly permits: Map<UpstreamId, Held>; }>();

    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
    }

    acquire(request: PermitRequest): boolean {
        const permits = this.#permits(request.service);
        const nowMs = this.#clock.monotonicMs();
        const held = permits?.get(request.upstream);
        if (
            permits === undefined
            || (held !== undefined && held.untilMs > nowMs && held.fingerprint !== request.fingerprint)
        ) {
            return false;
        }
        permits.set(request.upstream, { fingerprint: request.fingerprint, untilMs: nowMs + request.holdMs });
        return true;
    }

    release(request: PermitRequest): void {
        const permits = this.#permits(request.service);
        if (permits?.get(request.upstream)?.fingerprint === request.fingerprint) {
            permits.delete(request.upstream);
        }
    }

    #permits(service: ServiceId): Map<UpstreamId, Held> | undefined {
        const term = this.#membership.coordinatorTerm(permitCoordinatorKey(service));
        if (term === undefined || this.#clock.monotonicMs() < term.startedAtMs + quietMs) {
            return undefined;
        }
        const known = this.#held.get(service);
        if (known !== undefined && known.term === term.id) {
            return known.permits;
        }
        const permits = new Map<UpstreamId, Held>();
        this.#held.set(service, { term: term.id, permits });
        return permits;
    }
}
