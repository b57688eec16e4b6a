/** A request on its way to upstreams, and its result. */
import type { OrganisationId, ServiceId } from "@sniperoad/core";
import type { DecodedRequest, GatewayRoute } from "../model.js";
import type { UpstreamResponse } from "./ports.js";

/** A request to send to an upstream of a service. */
export interface DispatchedRequest {
    readonly request: DecodedRequest;
    readonly body: Uint8Array;
    readonly route: GatewayRoute;
    readonly service: ServiceId;
    readonly organisation: OrganisationId | undefined;
    readonly fingerprint: string;
    /** Priority of the organisation, or of the route; 0 is the most urgent. */
    readonly rank: number;
    /** Monotonic time by which the caller must have its response. */
    readonly deadlineAtMs: number;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Result of a dispatched request. */
export type DispatchResult =
    /** `isFailure`: the upstream itself responded with a server error. */
    | { readonly kind: "answer"; readonly answer: UpstreamResponse; readonly isFailure: boolean; }
    /** No upstream has run the request, and none will. */
    | { readonly kind: "not-run"; readonly reason: string; }
    /** No upstream can be sent the request as it is. */
    | { readonly kind: "invalid"; readonly reason: string; }
    /** An upstream may have run the request, or may still run it. `isFinal`: a further attempt would end alike. */
    | {
        readonly kind: "unknown";
        readonly reason: string;
        readonly isTimeout: boolean;
        readonly isFinal?: boolean;
    }
    | { readonly kind: "cancelled"; };
