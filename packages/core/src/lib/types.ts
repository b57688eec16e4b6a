/** Branded identifiers and the values that pass between modules. */

declare const brand: unique symbol;

/** A string that the compiler keeps apart from other strings; use it for identifiers. */
export type Branded<Name extends string> = string & { readonly [brand]: Name; };

/** One process of the fleet. It contains an incarnation, so a restarted process has a new id. */
export type InstanceId = Branded<"InstanceId">;
/** A fixed position in the roster; homes are chosen over seats. */
export type SeatId = Branded<"SeatId">;
/** An availability zone. */
export type ZoneId = Branded<"ZoneId">;
/** A customer of the fleet; rates, keys and fair shares belong to it. */
export type OrganisationId = Branded<"OrganisationId">;
/** The public half of an organisation's key. */
export type KeyId = Branded<"KeyId">;
/** A set of upstreams that do the same work. */
export type ServiceId = Branded<"ServiceId">;
/** One back end server. */
export type UpstreamId = Branded<"UpstreamId">;
/** A declared route. */
export type RouteId = Branded<"RouteId">;
/** Correlates one caller request in answers, logs and upstream headers. */
export type RequestId = Branded<"RequestId">;
/** The caller's idempotency key. */
export type IdempotencyKey = Branded<"IdempotencyKey">;
/** One attempt to run a request; a claim names the attempt that holds it. */
export type AttemptId = Branded<"AttemptId">;

/**
 * Gives a plain string its brand. Use it where a string enters the system (settings, wire, tests).
 *
 * @example
 * const zone = id<ZoneId>("eu-north-1a");
 */
export const id = <T extends Branded<string>>(text: string): T => text as T;

/** Separates the name of an instance from the incarnation of its process in an {@link InstanceId}. */
export const incarnationSeparator = "~";

/**
 * The name of an instance without the incarnation of its process, which is how the platform's list knows it before the
 * process has been asked.
 *
 * @example
 * instanceName(id<InstanceId>("entry-1~k3x9")); // "entry-1"
 */
export const instanceName = (instance: InstanceId): InstanceId =>
    instance.split(incarnationSeparator, 1)[0] as InstanceId;

/** Header fields in order; names are lower case. */
export type Headers = readonly (readonly [name: string, value: string])[];

/**
 * The first value of a header field.
 *
 * @example
 * header([["x-request-id", "r1"]], "x-request-id"); // "r1"
 */
export const header = (headers: Headers, name: string): string | undefined =>
    headers.find(([candidate]) => candidate === name)?.[1];

/** A request as the caller sent it, whole. */
export interface CallerRequest {
    readonly id: RequestId;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: Headers;
    readonly body: Uint8Array;
    /** Aborted when the caller goes away. */
    readonly signal: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array;
}

/** What an answer or refusal says about whether the request ran. */
export type Outcome = "not-run" | "ran" | "unknown";

/** One upstream as the instance list shows it. */
export interface Upstream {
    readonly id: UpstreamId;
    readonly service: ServiceId;
    readonly zone: ZoneId;
    /** `host:port` by IP number. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** One entry instance as the instance list or a heartbeat shows it. */
export interface InstanceInfo {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    /** `host:port` for callers. */
    readonly address: string;
    /** `host:port` for peers. */
    readonly peerAddress: string;
    readonly state: "live" | "leaving";
}
