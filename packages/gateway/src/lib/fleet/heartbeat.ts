/** Heartbeats: what an instance reports about itself to the aggregators of its zone. */
import type { OrganisationId, UpstreamId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";

/** The sender's copy of one collection of the store. */
export interface CollectionState {
    readonly revision: number;
    /** Time since the store last confirmed to any reader that the revision is the newest; undefined: never. */
    readonly confirmedAgeMs: number | undefined;
    /** Whether the sender itself reads the collection from the store, and with which success. */
    readonly reader: ReaderState;
}

/** The sender's copies of all collections that it keeps. */
export interface CollectionStates {
    readonly config: CollectionState;
    readonly upstreams: CollectionState;
    /** Undefined where zones are not evacuated. */
    readonly evacuations?: CollectionState | undefined;
}

/**
 * How an instance reads a collection from the store: it does not (`idle`), it has had no answer yet (`starting`), the
 * store answers (`working`), or an answer is overdue or calls fail (`failing`).
 */
export type ReaderState = "idle" | "starting" | "working" | "failing";

/** Reader states, indexed by their number on the wire. */
export const readerStates: readonly ReaderState[] = ["idle", "starting", "working", "failing"];

/** Recent requests of an organisation at the sender. Counts are of a window, so a repeated report changes nothing. */
export interface OrganisationUsage {
    readonly organisation: OrganisationId;
    /** Requests admitted within the window of the rate. */
    readonly admitted: number;
    /** Requests received from callers within the shorter window in which the current demand is estimated. */
    readonly offered: number;
}

/**
 * What a request reveals about its upstream: success, a failure that the upstream itself reported, or silence, which
 * the network path may have caused.
 */
export type OutcomeKind = "success" | "failure" | "silence";

/** Outcome kinds, indexed by their number on the wire. */
export const outcomeKinds: readonly OutcomeKind[] = ["success", "failure", "silence"];

/** An outcome that may change how other instances use the upstream. */
export interface ReportedOutcome {
    /** Increases by one with each such outcome of the sender. */
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

/** A number of requests at an upstream. */
export interface UpstreamCount {
    readonly upstream: UpstreamId;
    readonly count: number;
}

/** What an instance sends to its aggregators periodically, and early when something urgent has changed. */
export interface Heartbeat extends GatewayInstance, CollectionStates {
    /** Increases by one with each heartbeat of the sender. */
    readonly sequence: number;
    /** Whether the sender accepts requests from callers. */
    readonly isReady: boolean;
    readonly isLeaving: boolean;
    readonly usage: readonly OrganisationUsage[];
    /** Whether the usage contains new requests of an organisation near its limit, which others must know soon. */
    readonly hasScarceUsage: boolean;
    /** Requests in flight from the sender. */
    readonly inFlight: readonly UpstreamCount[];
    /** Ordinary successes since the previous heartbeat; only the first aggregator receives them. */
    readonly successes: readonly UpstreamCount[];
    /** Outcomes that others must know soon, repeated for a while since a heartbeat may be lost. */
    readonly outcomes: readonly ReportedOutcome[];
    readonly crashes: readonly ReportedCrash[];
}

/** The identity of the sender of a heartbeat. */
export const instanceInfo = (
    { id, zone, callerAddress, peerAddress, capacity }: GatewayInstance,
): GatewayInstance => ({ id, zone, callerAddress, peerAddress, capacity });
