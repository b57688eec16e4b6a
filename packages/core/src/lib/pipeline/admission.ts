/** Admission: turns a caller's request into a routed request, or refuses it. */
import { match } from "ts-pattern";
import type { AuthenticationRefusal } from "../configuration/index.js";
import type { Clock, Random, Sha256 } from "../ports.js";
import type { RoutedRequest } from "../stages.js";
import { header, id } from "../types.js";
import type { AttemptId, CallerRequest, Headers, IdempotencyKey, Outcome } from "../types.js";
import type { Refusal, RefusalType } from "./refusals.js";
import type { RequestRules } from "./request-rules.js";

/** An admitted request, with the idempotency key where its route needs one. */
export interface AdmittedRequest {
    readonly request: RoutedRequest;
    /** The caller's header fields without the organisation's key. */
    readonly headers: Headers;
    readonly idempotencyKey: IdempotencyKey | undefined;
}

/** Result of {@link admit}. */
export type AdmissionDecision =
    | { readonly kind: "admitted"; readonly admitted: AdmittedRequest; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Dependencies of {@link admit}. */
export interface AdmissionContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly rules: RequestRules;
}

/** Header with the maximum time for which the caller waits, in milliseconds. */
export const deadlineHeader = "sniperoad-deadline-ms";
/** Header with which a caller declares its first attempt (`1`). */
export const attemptHeader = "sniperoad-attempt";

const maxDeadlineMs = 600_000;

/**
 * The outcome of a refusal before the claim is looked up. An earlier attempt with the same idempotency key may have
 * run, so only a request that cannot be a retry is certainly not run.
 */
export const outcomeBeforeClaim = (headers: Headers): Outcome =>
    header(headers, "idempotency-key") === undefined || header(headers, attemptHeader) === "1" ? "not-run" : "unknown";

/**
 * Checks the key, the route and the headers of a request.
 *
 * @example
 * const decision = admit(callerRequest, { clock, random, sha256, rules });
 */
export const admit = (request: CallerRequest, context: AdmissionContext): AdmissionDecision => {
    const outcome = outcomeBeforeClaim(request.headers);
    const refuse = (type: RefusalType, detail?: string): AdmissionDecision => ({
        kind: "refused",
        refusal: { type, outcome, ...(detail === undefined ? {} : { detail }) },
    });
    const { rules } = context;
    const authentication = rules.authenticate(request.headers, request.target);
    if (authentication.kind === "refused") {
        return refuse(refusalTypeByReason[authentication.reason], toSentence(authentication.remedy));
    }
    const { organisation, key, headers } = authentication;
    const routeMatch = rules.matchRoute(request.method, request.target);
    if (routeMatch.kind !== "route") {
        return match(routeMatch)
            .with({ kind: "not-found" }, () => refuse("route-unknown"))
            .with(
                { kind: "method-not-allowed" },
                ({ allowed }) => refuse("method-not-allowed", `Allowed here: ${allowed.join(", ")}.`),
            )
            .with({ kind: "bad-target" }, ({ remedy }) => refuse("request-malformed", toSentence(remedy)))
            .exhaustive();
    }
    const { route } = routeMatch;
    if (!rules.mayUse(route, organisation)) {
        return refuse("route-forbidden");
    }
    const timeoutMs = parseTimeout(request.headers, route.timeoutMs);
    if (timeoutMs === undefined) {
        return refuse("request-malformed", `${deadlineHeader} must be a whole number from 1 to ${maxDeadlineMs}.`);
    }
    const idempotencyKey = header(request.headers, "idempotency-key");
    if (!route.idempotent && idempotencyKey === undefined) {
        return refuse("idempotency-key-missing");
    }
    return {
        kind: "admitted",
        admitted: {
            headers,
            idempotencyKey: idempotencyKey === undefined ? undefined : id<IdempotencyKey>(unquote(idempotencyKey)),
            request: {
                id: request.id,
                attempt: createAttemptId(context.random),
                organisation,
                key,
                route,
                method: request.method,
                target: request.target,
                body: request.body,
                bodyHash: context.sha256(request.body),
                deadlineMs: context.clock.monotonicMs() + timeoutMs,
                isFirstAttempt: header(request.headers, attemptHeader) === "1",
                signal: request.signal,
            },
        },
    };
};

const refusalTypeByReason: Readonly<Record<AuthenticationRefusal, RefusalType>> = {
    "key-in-target": "key-in-query",
    "no-key": "key-missing",
    "several-keys": "request-malformed",
    "malformed-key": "key-wrong",
    "unknown-key": "key-wrong",
    "wrong-secret": "key-wrong",
    "withdrawn-key": "key-wrong",
    "no-configuration": "not-current",
};

const toSentence = (text: string): string => `${text.charAt(0).toUpperCase()}${text.slice(1)}.`;

const parseTimeout = (headers: Headers, routeTimeoutMs: number): number | undefined => {
    const text = header(headers, deadlineHeader);
    if (text === undefined) {
        return routeTimeoutMs;
    }
    const timeoutMs = Number(text);
    return /^[0-9]{1,6}$/.test(text) && timeoutMs >= 1 && timeoutMs <= maxDeadlineMs ? timeoutMs : undefined;
};

/** The IETF draft defines the key as a quoted string; unquoted keys are accepted as well. */
const unquote = (text: string): string => text.replace(/^"(.*)"$/, "$1");

const createAttemptId = (random: Random): AttemptId =>
    id<AttemptId>(Array.from({ length: 4 }, () => Math.floor(random() * 0x100000000).toString(36)).join("."));
