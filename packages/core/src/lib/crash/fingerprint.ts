/** Identification of requests that may crash upstreams. */
import type { Sha256 } from "../ports.js";
import type { RoutedRequest } from "../stages.js";
import type { Branded } from "../types.js";

/** Identifies equal requests of one organisation, regardless of their idempotency keys. */
export type Fingerprint = Branded<"Fingerprint">;

/**
 * Computes the fingerprint of a request. It excludes the idempotency key, because a caller may send a crashing request
 * again with a new key.
 *
 * @example
 * fingerprintOf(request, sha256); // 32 hex digits
 */
export const fingerprintOf = (request: RoutedRequest, sha256: Sha256): Fingerprint => {
    const parts = [request.organisation, request.route.id, request.method, request.target, request.bodyHash];
    return sha256(parts.join("\n")).slice(0, 32) as Fingerprint;
};
