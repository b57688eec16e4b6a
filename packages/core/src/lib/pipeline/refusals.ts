/** Refusals as callers receive them: problem details (RFC 9457) with a stable type, a remedy and an outcome. */
import type { Headers, HttpResponse, Outcome, RequestId } from "../types.js";

interface RefusalKind {
    readonly status: number;
    readonly title: string;
    readonly remedy: string;
}

const refusalKinds = {
    "key-missing": {
        status: 401,
        title: "No key",
        remedy: 'Send the organisation\'s key as "Authorization: Bearer <key>" or "X-Api-Key: <key>".',
    },
    "key-wrong": {
        status: 401,
        title: "Key not accepted",
        remedy: "Check the key, or ask the operator of the fleet for a new one; it may have been withdrawn.",
    },
    "key-in-query": {
        status: 400,
        title: "Key in the query string",
        remedy: "Send the key in a header; query strings end up in logs. Have this key replaced.",
    },
    "route-unknown": {
        status: 404,
        title: "No such route",
        remedy: "Check method and path; the operator's configuration lists the routes.",
    },
    "method-not-allowed": {
        status: 405,
        title: "Method not allowed",
        remedy: "Use one of the methods that the path has.",
    },
    "route-forbidden": {
        status: 403,
        title: "Route not open to this organisation",
        remedy: "Ask the operator to add the organisation to the route.",
    },
    "request-malformed": {
        status: 400,
        title: "Malformed request",
        remedy: "Correct the request as the detail says.",
    },
    "request-too-large": {
        status: 413,
        title: "Request body too large",
        remedy: "Send at most the number of bytes that the detail names.",
    },
    "idempotency-key-missing": {
        status: 400,
        title: "Idempotency-Key missing",
        remedy: "Send an Idempotency-Key header with a new UUIDv7, and the same one with each retry.",
    },
    "idempotency-key-invalid": {
        status: 400,
        title: "Idempotency-Key not accepted",
        remedy: "Send a UUIDv7 made from the fleet's time, which the directory answer states.",
    },
    "idempotency-key-reused": {
        status: 422,
        title: "Idempotency-Key used for another request",
        remedy: "Use a new key for each request, and the same key only for retries of it.",
    },
    "request-in-progress": {
        status: 409,
        title: "Request in progress",
        remedy: "Wait, then retry with the same Idempotency-Key to get the answer.",
    },
    "outcome-unknown": {
        status: 409,
        title: "Outcome unknown, not repeated",
        remedy: "The request may have run. Look up its effect before you send it under a new key.",
    },
    "answer-not-kept": {
        status: 409,
        title: "Request ran, answer not kept",
        remedy: "The request ran once. Look up its effect; do not send it again.",
    },
    "claims-unavailable": {
        status: 503,
        title: "Claim could not be recorded",
        remedy: "Retry with the same Idempotency-Key; that is safe.",
    },
    "not-current": {
        status: 503,
        title: "Instance has no recent confirmation",
        remedy: "Ask the directory for another instance and retry there.",
    },
    "leaving": {
        status: 503,
        title: "Instance is shutting down",
        remedy: "Ask the directory for another instance and retry there.",
    },
    "over-rate": {
        status: 429,
        title: "Organisation is over its rate",
        remedy: "Retry after the stated time, or ask the operator for a higher rate.",
    },
    "rate-unavailable": {
        status: 503,
        title: "Rate could not be checked",
        remedy: "Retry after the stated time.",
    },
    "no-upstream": {
        status: 503,
        title: "No upstream available",
        remedy: "Retry after the stated time.",
    },
    "queue-full": {
        status: 503,
        title: "Too many requests waiting",
        remedy: "Retry after the stated time, at another instance.",
    },
    "deadline": {
        status: 504,
        title: "Deadline passed before dispatch",
        remedy: "Retry with a longer Sniperoad-Deadline-Ms, or later.",
    },
    "cancelled": {
        status: 499,
        title: "Caller went away",
        remedy: "Retry if the answer is still wanted.",
    },
    "quarantined": {
        status: 422,
        title: "Request crashed two upstreams",
        remedy: "Do not send it again unchanged; ask the operator to lift the quarantine if it is harmless.",
    },
    "crash-suspect": {
        status: 503,
        title: "Request is suspected of crashing upstreams",
        remedy: "Do not send it again unchanged; if it is harmless, retry after the stated time.",
    },
    "upstream-failed": {
        status: 502,
        title: "Upstream gave no whole answer",
        remedy: "An idempotent request may be retried; otherwise retry only with the same Idempotency-Key.",
    },
    "upstream-timeout": {
        status: 504,
        title: "Upstream did not answer in time",
        remedy: "An idempotent request may be retried; otherwise retry only with the same Idempotency-Key.",
    },
} as const satisfies Record<string, RefusalKind>;

/** Stable last segment of a problem's `type`. */
export type RefusalType = keyof typeof refusalKinds;

/** All refusal types, for documentation and tests. */
export const refusalTypes = Object.keys(refusalKinds) as readonly RefusalType[];

/** Reason why a request gets no response from an upstream. */
export interface Refusal {
    readonly type: RefusalType;
    readonly outcome: Outcome;
    /** Details of this request, in addition to the remedy. */
    readonly detail?: string;
    readonly retryAfterMs?: number;
}

/** Prefix of each problem's `type`, followed by a {@link RefusalType}. */
export const problemTypePrefix = "https://sniperoad.example/problems/";

/** Header with the outcome of the request: `not-run`, `ran` or `unknown`. */
export const outcomeHeader = "sniperoad-outcome";

const encoder = new TextEncoder();

/**
 * The response that reports a refusal to the caller.
 *
 * @example
 * problemAnswer({ type: "over-rate", outcome: "not-run", retryAfterMs: 300 }, requestId).status; // 429
 */
export const problemAnswer = (refusal: Refusal, requestId: RequestId): HttpResponse => {
    const kind: RefusalKind = refusalKinds[refusal.type];
    const headers: (readonly [string, string])[] = [
        ["content-type", "application/problem+json"],
        ["x-request-id", requestId],
        [outcomeHeader, refusal.outcome],
    ];
    if (refusal.retryAfterMs !== undefined) {
        headers.push(["retry-after", String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)))]);
    }
    const body = {
        type: problemTypePrefix + refusal.type,
        title: kind.title,
        status: kind.status,
        detail: refusal.detail === undefined ? kind.remedy : `${refusal.detail} ${kind.remedy}`,
        outcome: refusal.outcome,
        requestId,
        ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(refusal.retryAfterMs) }),
    };
    return { status: kind.status, headers: headers satisfies Headers, body: encoder.encode(JSON.stringify(body)) };
};
