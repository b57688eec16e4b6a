/** Ports of the request path. */
import type { Headers, HttpResponse, OrganisationId } from "@sniperoad/core";
import type { DecodedRequest, ListedUpstream, ResponseMetadata } from "../model.js";

/** A request as it goes to an upstream. */
export interface UpstreamRequest {
    readonly upstream: ListedUpstream;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: Headers;
    readonly body: Uint8Array;
    /** Identifies the answer. */
    readonly requestId: string | undefined;
    /** Longest time until the whole answer is there. */
    readonly timeoutMs: number;
    /** Whether a lost connection can be made up for by another call. */
    readonly isRepeatable: boolean;
    readonly signal: AbortSignal;
}

/** An answer as a caller gets it. */
export interface CallerResponse extends HttpResponse {
    /**
     * The upstream stated no length, so the end of its connection was the end of the answer. Whether that end was early
     * cannot be told, so the caller must not get a length either.
     */
    readonly isCloseDelimited?: boolean;
}

/** A whole answer of an upstream. */
export interface UpstreamResponse extends CallerResponse {
    readonly marks: ResponseMetadata;
}

/**
 * What became of a call. Only `refused` and an answer marked as not run state that the request did not run; after every
 * other kind it may have run.
 */
export type UpstreamResult =
    | { readonly kind: "answer"; readonly answer: UpstreamResponse; }
    /** No connection was made. */
    | { readonly kind: "refused"; readonly reason: string; }
    /** The connection ended before a whole answer. */
    | { readonly kind: "broken"; readonly reason: string; readonly hadHeaders: boolean; }
    /** The answer belongs to another request, or its body is not the upstream's. */
    | { readonly kind: "foreign"; readonly reason: string; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "cancelled"; };

/** Sends requests to upstreams. It never rejects: every failure is a kind of result. */
export interface UpstreamClient {
    call(call: UpstreamRequest): Promise<UpstreamResult>;
    /** Closes idle connections, so that the next call shows whether the path is open before it sends anything. */
    closeIdle(upstream: ListedUpstream): void;
    /** Whether the address refuses a connection, so that the process there has ended. */
    isDown(upstream: ListedUpstream): Promise<boolean>;
}

/** Translates between the headers of a deployment and the gateway's types. */
export interface HeaderCodec {
    /** Reads a request; names of header fields are lower case. */
    decodeRequest(method: string, target: string, headers: Headers): DecodedRequest;
    /** Header of a request to an upstream. */
    upstreamHeaders(request: DecodedRequest, extra: {
        readonly upstream: ListedUpstream;
        readonly organisation: OrganisationId | undefined;
        readonly deadlineMs: number;
    }): Headers;
    /** What the header of an answer states. */
    decodeResponse(status: number, headers: Headers): ResponseMetadata;
    /** Header of an answer that the gateway itself makes. */
    refusalHeaders(requestId: string | undefined, retryAfterMs: number | undefined): Headers;
}
