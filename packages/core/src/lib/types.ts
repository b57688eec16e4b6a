/** Branded identifiers and values shared between modules. */

declare const brand: unique symbol;

/** A string type that the compiler distinguishes from other strings, used for identifiers. */
export type Branded<Name extends string> = string & { readonly [brand]: Name; };

/** Id of one process of the fleet. It contains an incarnation, so a restarted process has a new id. */
export type InstanceId = Branded<"InstanceId">;
/** Id of a fixed position in the roster. Coordinators are chosen among seats. */
export type SeatId = Branded<"SeatId">;
/** Id of an availability zone. */
export type ZoneId = Branded<"ZoneId">;
/** Id of a customer of the fleet, to which rates, keys and fair shares belong. */
export type OrganisationId = Branded<"OrganisationId">;
/** Public part of an organisation's API key. */
export type KeyId = Branded<"KeyId">;
/** Id of a set of interchangeable upstreams. */
export type ServiceId = Branded<"ServiceId">;
/** Id of one backend server. */
export type UpstreamId = Branded<"UpstreamId">;
/** Id of a declared route. */
export type RouteId = Branded<"RouteId">;
/** Correlates one caller request in responses, logs and upstream headers. */
export type RequestId = Branded<"RequestId">;
/** The caller's idempotency key. */
export type IdempotencyKey = Branded<"IdempotencyKey">;
/** Id of one attempt to run a request; a claim records the attempt that holds it. */
export type AttemptId = Branded<"AttemptId">;

/**
 * Brands a plain string. Use it where strings enter the system (settings, wire, tests).
 *
 * @example
 * const zone = id<ZoneId>("eu-north-1a");
 */
export const id = <T extends Branded<string>>(text: string): T => text as T;

/** Separates the instance name from the process incarnation in an {@link InstanceId}. */
export const incarnationSeparator = "~";

/**
 * Returns the name of an instance without its incarnation. The platform's list contains this name until the process has
 * been queried for its id.
 *
 * @example
 * instanceName(id<InstanceId>("entry-1~k3x9")); // "entry-1"
 */
export const instanceName = (instance: InstanceId): InstanceId =>
    instance.split(incarnationSeparator, 1)[0] as InstanceId;

/** Header fields in order; names are lower case. */
export type Headers = readonly (readonly [name: string, value: string])[];

/**
 * Returns the first value of a header field.
 *
 * @example
 * header([["x-request-id", "r1"]], "x-request-id"); // "r1"
 */
export const header = (headers: Headers, name: string): string | undefined =>
    headers.find(([candidate]) => candidate === name)?.[1];

/** A complete request as sent by the caller. */
export interface CallerRequest {
    readonly id: RequestId;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: Headers;
    readonly body: Uint8Array;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** A complete response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Uint8Array;
}

/** States in a response or refusal whether the request ran. */
export type Outcome = "not-run" | "ran" | "unknown";

/** One upstream in the platform's list of upstreams and instances. */
export interface Upstream {
    readonly id: UpstreamId;
    readonly service: ServiceId;
    readonly zone: ZoneId;
    /** `host:port` with an IP address as the host. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** One instance of the fleet, as in the platform's list or a heartbeat. */
export interface InstanceInfo {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    /** `host:port` for callers. */
    readonly address: string;
    /** `host:port` for peers. */
    readonly peerAddress: string;
    readonly state: "live" | "leaving";
}
