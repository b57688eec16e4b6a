/** The message by which instances tell each other that they live, and what they know. */
import type { InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";

/** One collection of the store as an instance holds it. */
export interface CollectionState {
    readonly revision: number;
    /** Since the store last confirmed the revision as the newest, by any reader; undefined: never. */
    readonly confirmedAgeMs: number | undefined;
    /** Whether the sender reads this collection from the store itself. */
    readonly isReading: boolean;
    /** Since the sender's own last successful read, or since it began to read. */
    readonly readAgeMs: number;
}

/** Requests of an organisation since the start of the sender's process. */
export interface OrganisationUsage {
    readonly organisation: OrganisationId;
    /** Sent to upstreams, repeats included. */
    readonly admitted: number;
    /** Asked for by callers. */
    readonly offered: number;
}

/**
 * What a request showed of its upstream: an answer, a failure that the upstream itself answered, or silence, which may
 * be the path's fault.
 */
export type OutcomeKind = "success" | "failure" | "silence";

/** An outcome as a beat reports it. */
export interface ReportedOutcome {
    /** Rises by one with each outcome of the sender. */
    readonly sequence: number;
    readonly upstream: UpstreamId;
    readonly kind: OutcomeKind;
}

/** A request that was in flight when the process of an upstream ended. */
export interface ReportedCrash {
    readonly sequence: number;
    readonly fingerprint: string;
    readonly upstream: UpstreamId;
}

/** Requests in flight from the sender to an upstream. */
export interface ReportedInFlight {
    readonly upstream: UpstreamId;
    readonly count: number;
}

/** A beat. */
export interface Heartbeat {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Rises by one with each beat of the sender; a relayed beat may arrive twice. */
    readonly sequence: number;
    /** Whether it takes requests of callers. */
    readonly isReady: boolean;
    readonly isLeaving: boolean;
    readonly config: CollectionState;
    readonly upstreams: CollectionState;
    readonly usage: readonly OrganisationUsage[];
    readonly outcomes: readonly ReportedOutcome[];
    readonly crashes: readonly ReportedCrash[];
    /** Rises with each change of what is in flight at the sender. */
    readonly loadSequence: number;
    readonly inFlight: readonly ReportedInFlight[];
}
