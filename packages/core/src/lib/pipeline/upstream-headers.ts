/** Selects the headers that are forwarded between caller and upstream. */
import type { Headers, RequestId } from "../types.js";
import { attemptHeader, deadlineHeader } from "./admission.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Headers that carry the organisation's key, or that the entry instance sets itself. */
const replacedHeaders = new Set([
    "authorization",
    "x-api-key",
    "host",
    "content-length",
    "expect",
    "x-request-id",
    "accept-encoding",
    deadlineHeader,
    attemptHeader,
]);

const headersNamedByConnection = (headers: Headers): ReadonlySet<string> =>
    new Set(
        headers
            .filter(([name]) => name === "connection")
            .flatMap(([, value]) => value.split(",").map(part => part.trim().toLowerCase())),
    );

/**
 * Headers of a dispatch: without the key and hop-by-hop headers, with the request id and the remaining time.
 *
 * @example
 * dispatchHeaders([["authorization", "Bearer k.s"]], requestId, 500); // no authorization header
 */
export const dispatchHeaders = (headers: Headers, requestId: RequestId, timeoutMs: number): Headers => {
    const named = headersNamedByConnection(headers);
    return [
        ...headers.filter(([name]) => !connectionHeaders.has(name) && !replacedHeaders.has(name) && !named.has(name)),
        ["x-request-id", requestId],
        [deadlineHeader, String(Math.max(1, Math.floor(timeoutMs)))],
    ];
};

/** Headers of an upstream's response as the caller receives them. */
export const responseHeaders = (headers: Headers, requestId: RequestId): Headers => {
    const named = headersNamedByConnection(headers);
    return [
        ...headers.filter(([name]) =>
            !connectionHeaders.has(name) && !named.has(name) && name !== "content-length" && name !== "x-request-id"
        ),
        ["x-request-id", requestId],
    ];
};
