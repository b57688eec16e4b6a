/** Data model of the gateway: declared configuration, listed upstreams, requests and responses. */
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

/** SHA-256 of a caller's key as lower-case hex. Plain keys are never stored. */
export type KeyHash = Branded<"KeyHash">;

/** A service that receives a share of a route's requests. */
export interface Destination {
    readonly service: ServiceId;
    /** Relative to the weights of the route's other destinations. */
    readonly weight: number;
}

/** A declared route. Requests match the route of their host with the longest path prefix. */
export interface GatewayRoute {
    readonly id: RouteId;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may be executed more than once. */
    readonly isIdempotent: boolean;
    /** Whether callers need no key. */
    readonly isOpen: boolean;
    /** Maximum time until the caller receives a response. */
    readonly timeoutMs: number;
    /** Latency up to which a response has its full value. */
    readonly targetLatencyMs: number;
    /** Priority among requests; 0 is the highest. */
    readonly priority: number;
    /** Maximum number of upstreams to which a request may be sent. */
    readonly maxAttempts: number;
    readonly destinations: readonly Destination[];
}

/** A customer with its keys and its rate across the fleet. */
export interface GatewayOrganisation {
    readonly id: OrganisationId;
    readonly keys: readonly KeyHash[];
    /** Overrides the priority of the route, unless undefined. */
    readonly priority: number | undefined;
    /** 0: no limit. */
    readonly ratePerSecond: number;
    /** Number of requests allowed in each window in addition to the rate. */
    readonly burst: number;
}

/** What the operator declares of a service. */
export interface GatewayService {
    readonly id: ServiceId;
    /** Time for which its upstreams are cold after a start; 0: not declared. */
    readonly warmupMs: number;
    /** Requests per second that a cold upstream tolerates from all instances together; undefined: no limit. */
    readonly warmupRequestsPerSecond: number | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** How long a connection without a request stays open. */
    readonly idleTimeoutMs: number;
}

/** The whole declared configuration. Versions increase in irregular steps. */
export interface GatewayConfig {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly organisations: readonly GatewayOrganisation[];
    /** Declared services; routes may name others. */
    readonly services: readonly GatewayService[];
    readonly limits: CallerLimits;
}

/** An upstream as it registers itself. */
export interface ListedUpstream extends Upstream {
    /** Number of requests that it processes concurrently. */
    readonly slots: number;
    /** Remaining warm-up time at the time of its report; an upstream that warms up is slow. */
    readonly warmupLeftMs: number;
    /** Start time of its process; a different value with the same id means a new process. */
    readonly startedMs: number;
    /** Revision of its entry in the store, within the store's epoch; undefined: not known. */
    readonly entryRevision?: number | undefined;
}

/** A zone that the operator empties: its upstreams must not receive requests. */
export interface Evacuation {
    readonly zone: ZoneId;
}

/** Identity and addresses of one instance. */
export interface GatewayInstance {
    /** Includes an incarnation, so a restarted process has a new id. */
    readonly id: InstanceId;
    readonly zone: ZoneId;
    /** `host:port` for callers. */
    readonly callerAddress: string;
    /** `host:port` for other instances, over TCP and UDP. */
    readonly peerAddress: string;
    /** Size class of its machine by processor and link; aggregators are chosen from the largest class of a zone. */
    readonly capacity: number;
}

/** A decoded request from a caller. */
export interface DecodedRequest {
    /** As sent by the caller; undefined if it sent none. */
    readonly requestId: string | undefined;
    readonly host: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly target: string;
    /** Header fields to forward, without the key and hop-by-hop fields. */
    readonly headers: Headers;
    readonly key: string | undefined;
    /** Time that the caller waits for a response, counted from the request. */
    readonly deadlineMs: number | undefined;
}

/** What an upstream states about itself in an answer. */
export interface UpstreamStatement {
    /** Requests per second that it takes from all instances together; undefined: it names no limit. */
    readonly limitPerSecond: number | undefined;
    /** It is shutting down and takes no further requests. */
    readonly isLeaving: boolean;
    /** Time for which it wants no request from this instance; undefined: it names none. */
    readonly retryAfterMs: number | undefined;
}

/** What the header fields of an upstream's response state. */
export interface ResponseMetadata {
    /** The request to which the response belongs, according to the upstream. */
    readonly requestId: string | undefined;
    /** The upstream states that it did not execute the request. */
    readonly isNotRun: boolean;
    /** Another process than the expected one answered at the address. */
    readonly isMisdirected: boolean;
    /** The response carries the upstream's own mark, so no intermediary generated it. */
    readonly isFromUpstream: boolean;
    /** The body is not in the form in which the upstream's program wrote it. */
    readonly isEncoded: boolean;
    /** What the upstream states about itself, whatever the request. */
    readonly statement: UpstreamStatement;
}
