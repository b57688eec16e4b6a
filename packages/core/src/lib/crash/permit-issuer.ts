/** Issues permits at the coordinator of a service, so that only one suspect at a time runs on an upstream. */
import type { Membership } from "../membership.js";
import type { Clock } from "../ports.js";
import type { ServiceId, UpstreamId } from "../types.js";
import type { Fingerprint } from "./fingerprint.js";

/** A request to acquire or release a permit. */
export interface PermitRequest {
    readonly service: ServiceId;
    readonly upstream: UpstreamId;
    readonly fingerprint: Fingerprint;
    /** Time after which the permit expires if it is not released. */
    readonly holdMs: number;
}

interface IssuedPermit {
    readonly fingerprint: Fingerprint;
    readonly untilMs: number;
}

/** Key whose coordinator issues the permits of a service. */
export const permitCoordinatorKey = (service: ServiceId): string => `suspect/${service}`;

/** Time from the start of a term during which no permits are issued, because those of the predecessor are unknown. */
const newTermDelayMs = 2_000;

/**
 * Issues permits while this instance is the coordinator of a service's suspects.
 *
 * @example
 * issuer.acquire({ service, upstream, fingerprint, holdMs: 500 }); // true for the first suspect on the upstream
 */
export class PermitIssuer {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #permitsByService = new Map<
        ServiceId,
        { readonly term: string; readonly permits: Map<UpstreamId, IssuedPermit>; }
    >();

    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
    }

    /** Returns false if another suspect has the permit of the upstream, or if this instance may not issue permits. */
    acquire(request: PermitRequest): boolean {
        const permits = this.#permitsOf(request.service);
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
        const permits = this.#permitsOf(request.service);
        if (permits?.get(request.upstream)?.fingerprint === request.fingerprint) {
            permits.delete(request.upstream);
        }
    }

    /** Returns the permits of the current term; undefined if this instance may not issue any. */
    #permitsOf(service: ServiceId): Map<UpstreamId, IssuedPermit> | undefined {
        const term = this.#membership.coordinatorTerm(permitCoordinatorKey(service));
        if (term === undefined || this.#clock.monotonicMs() < term.startedAtMs + newTermDelayMs) {
            return undefined;
        }
        const known = this.#permitsByService.get(service);
        if (known !== undefined && known.term === term.id) {
            return known.permits;
        }
        const permits = new Map<UpstreamId, IssuedPermit>();
        this.#permitsByService.set(service, { term: term.id, permits });
        return permits;
    }
}
