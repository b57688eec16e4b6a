/** Admission: from a caller's request to a routed request, or a refusal. */
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
    /** The caller's header fields without the key. */
    readonly headers: Headers;
    readonly idempotencyKey: IdempotencyKey | undefined;
}

/** Result of {@link admit}. */
export type AdmissionDecision =
    | { readonly kind: "admitted"; readonly admitted: AdmittedRequest; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** What {@link admit} needs. */
export interface AdmissionContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly rules: RequestRules;
}

/** Header by which a caller bounds the time it waits, in milliseconds. */
export const deadlineHeader = "sniperoad-deadline-ms";
/** Header by which a caller declares its first attempt (`1`). */
export const attemptHeader = "sniperoad-attempt";

const maxDeadlineMs = 600_000;

/**
 * The outcome of a refusal before the claim is looked up. An earlier attempt under the same key may have run, so only
 * requests that cannot be repeats are certainly not run.
 */
export const outcomeBeforeClaim = (headers: Headers): Outcome =>
    header(headers, "idempotency-key") === undefined || header(headers, attemptHeader) === "1" ? "not-run" : "unknown";

/**
 * Checks key, route and headers of a request.
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
        return refuse(authenticationRefusals[authentication.reason], sentence(authentication.remedy));
    }
    const { organisation, key, headers } = authentication;
    const found = rules.matchRoute(request.method, request.target);
    if (found.kind !== "route") {
        return match(found)
            .with({ kind: "not-found" }, () => refuse("route-unknown"))
            .with(
                { kind: "method-not-allowed" },
                ({ allowed }) => refuse("method-not-allowed", `Allowed here: ${allowed.join(", ")}.`),
            )
            .with({ kind: "bad-target" }, ({ remedy }) => refuse("request-malformed", sentence(remedy)))
            .exhaustive();
    }
    const { route } = found;
    if (!rules.mayUse(route, organisation)) {
        return refuse("route-forbidden");
    }
    const waitMs = readDeadline(request.headers, route.timeoutMs);
    if (waitMs === undefined) {
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
                attempt: attemptId(context.random),
                organisation,
                key,
                route,
                method: request.method,
                target: request.target,
                body: request.body,
                bodyHash: context.sha256(request.body),
                deadlineMs: context.clock.monotonicMs() + waitMs,
                isFirstAttempt: header(request.headers, attemptHeader) === "1",
                signal: request.signal,
            },
        },
    };
};

const authenticationRefusals: Readonly<Record<AuthenticationRefusal, RefusalType>> = {
    "key-in-target": "key-in-query",
    "no-key": "key-missing",
    "several-keys": "request-malformed",
    "malformed-key": "key-wrong",
    "unknown-key": "key-wrong",
    "wrong-secret": "key-wrong",
    "withdrawn-key": "key-wrong",
    "no-configuration": "not-current",
};

const sentence = (text: string): string => `${text.charAt(0).toUpperCase()}${text.slice(1)}.`;

const readDeadline = (headers: Headers, routeTimeoutMs: number): number | undefined => {
    const text = header(headers, deadlineHeader);
    if (text === undefined) {
        return routeTimeoutMs;
    }
    const waitMs = Number(text);
    return /^[0-9]{1,6}$/.test(text) && waitMs >= 1 && waitMs <= maxDeadlineMs ? waitMs : undefined;
};

/** The IETF draft writes the key as a quoted string; plain keys are accepted as well. */
const unquote = (text: string): string => text.replace(/^"(.*)"$/, "$1");

const attemptId = (random: Random): AttemptId =>
    id<AttemptId>(Array.from({ length: 4 }, () => Math.floor(random() * 0x100000000).toString(36)).join("."));
