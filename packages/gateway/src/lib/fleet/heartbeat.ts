/** Heartbeats: the messages by which instances detect each other's liveness and share state. */
import type { InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";

/** The sender's copy of one collection of the store. */
export interface CollectionState {
    readonly revision: number;
    /** Time since the store last confirmed to any reader that the revision is the newest; undefined: never. */
    readonly confirmedAgeMs: number | undefined;
    /** Whether the sender itself reads the collection from the store. */
    readonly isReading: boolean;
    /** Time since the sender's last successful read, or since it started to read. */
    readonly readAgeMs: number;
}

/** Request counts of an organisation since the start of the sender's process. */
export interface OrganisationUsage {
    readonly organisation: OrganisationId;
    /** Requests sent to upstreams, retries included. */
    readonly admitted: number;
    /** Requests received from callers. */
    readonly offered: number;
}

/**
 * What a request reveals about its upstream: success, a failure that the upstream itself reported, or silence, which
 * the network path may have caused.
 */
export type OutcomeKind = "success" | "failure" | "silence";

/** An outcome as reported in a heartbeat. */
export interface ReportedOutcome {
    /** Increases by one with each outcome of the sender. */
    readonly sequence: number;
    readonly upstream: UpstreamId;
    readonly kind: OutcomeKind;
}

/** A request that was in flight when the process of its upstream exited. */
export interface ReportedCrash {
    /** Increases by one with each crash that the sender reports. */
    readonly sequence: number;
    readonly fingerprint: string;
    readonly upstream: UpstreamId;
}

/** Number of requests in flight from the sender to an upstream. */
export interface ReportedInFlight {
    readonly upstream: UpstreamId;
    readonly count: number;
}

/** What an instance sends to the others periodically, and early when something urgent has changed. */
export interface Heartbeat {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Increases by one with each heartbeat of the sender; detects relayed heartbeats that arrive twice. */
    readonly sequence: number;
    /** Whether the sender accepts requests from callers. */
    readonly isReady: boolean;
    readonly isLeaving: boolean;
    readonly config: CollectionState;
    readonly upstreams: CollectionState;
    readonly usage: readonly OrganisationUsage[];
    readonly outcomes: readonly ReportedOutcome[];
    readonly crashes: readonly ReportedCrash[];
    /** Increases with each change of the sender's in-flight counts. */
    readonly loadSequence: number;
    readonly inFlight: readonly ReportedInFlight[];
}
