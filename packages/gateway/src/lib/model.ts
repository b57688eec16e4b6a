/** What operators declare and what upstreams report, in the terms of the gateway. */
import type {
    Branded,
    Headers,
    InstanceId,
    OrganisationId,
    RouteId,
    ServiceId,
    Upstream,
    ZoneId,
} from "@sniperoad/core";

/** SHA-256 of a caller's key as lower-case hex. Plain keys are never kept. */
export type KeyHash = Branded<"KeyHash">;

/** One service that a route may send to, with its share of the route's requests. */
export interface Destination {
    readonly service: ServiceId;
    /** Relative to the weights of the route's other destinations. */
    readonly weight: number;
}

/** A declared route. The longest path prefix of a host decides. */
export interface GatewayRoute {
    readonly id: RouteId;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Whether callers need no key. */
    readonly isOpen: boolean;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer has its full value. */
    readonly targetLatencyMs: number;
    /** Rank among requests; 0 is the most urgent. */
    readonly priority: number;
    /** Most upstreams to which one request may be sent. */
    readonly maxAttempts: number;
    readonly destinations: readonly Destination[];
}

/** A customer with its keys and its rate over the whole fleet. */
export interface GatewayOrganisation {
    readonly id: OrganisationId;
    readonly keys: readonly KeyHash[];
    /** Takes precedence over the priority of the route; undefined leaves the route's in force. */
    readonly priority: number | undefined;
    /** 0: no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** How long a connection without a request stays open. */
    readonly idleTimeoutMs: number;
}

/** The whole declared configuration. Versions rise, by irregular steps. */
export interface GatewayConfig {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly organisations: readonly GatewayOrganisation[];
    readonly limits: CallerLimits;
}

/** An upstream as it lists itself. */
export interface ListedUpstream extends Upstream {
    /** Requests that it runs at the same time. */
    readonly slots: number;
    /** How long it remains slow after its start, counted from its report. */
    readonly warmupLeftMs: number;
    /** Start of its process; the same id with another start is a new process. */
    readonly startedMs: number;
}

/** Identity and addresses of one instance. */
export interface GatewayInstance {
    /** Contains an incarnation, so a restarted process has a new id. */
    readonly id: InstanceId;
    readonly zone: ZoneId;
    /** `host:port` for callers. */
    readonly callerAddress: string;
    /** `host:port` for other instances, over TCP and UDP. */
    readonly peerAddress: string;
}

/** A request of a caller, decoded. */
export interface DecodedRequest {
    /** As the caller sent it; undefined when it sent none. */
    readonly requestId: string | undefined;
    readonly host: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly target: string;
    /** Header fields to pass on: no key, no field that concerns one connection only. */
    readonly headers: Headers;
    readonly key: string | undefined;
    /** How long the caller waits, counted from its request. */
    readonly deadlineMs: number | undefined;
}

/** What the header of an upstream's answer states. */
export interface ResponseMetadata {
    /** The request to which the answer belongs, by the upstream's word. */
    readonly requestId: string | undefined;
    /** The upstream states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Another process has the address. */
    readonly isMisdirected: boolean;
    /** The answer bears the upstream's own mark, so it was not made on the way. */
    readonly isFromUpstream: boolean;
    /** The body is not as the upstream's program wrote it. */
    readonly isEncoded: boolean;
}
