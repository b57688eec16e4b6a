/** Interfaces of the pipeline's stages. Each stage has its own module and a fake or baseline for tests. */
import type { RouteConfig } from "./config.js";
import type { UpstreamResult } from "./ports.js";
import type { AttemptId, HttpResponse, IdempotencyKey, KeyId, OrganisationId, RequestId, Upstream } from "./types.js";

/** A request that has been authenticated and matched to a route. */
export interface RoutedRequest {
    readonly id: RequestId;
    readonly attempt: AttemptId;
    readonly organisation: OrganisationId;
    /** Public part of the API key that authenticated the request. */
    readonly key: KeyId;
    readonly route: RouteConfig;
    readonly method: string;
    /** Path and query, without the caller's API key. */
    readonly target: string;
    readonly body: Uint8Array;
    /** SHA-256 of the body. */
    readonly bodyHash: string;
    /** Monotonic time after which the caller stops waiting. */
    readonly deadlineMs: number;
    /** Whether the caller declared this to be its first attempt to send the request. */
    readonly isFirstAttempt: boolean;
    readonly signal: AbortSignal;
}

/** A token that permits sending one request to an upstream within a short time. */
export interface RateToken {
    /**
     * Consumes the token immediately before dispatch. Returns false if it has expired or was already used; acquire
     * another one in that case. Call it in the same event loop turn as the dispatch, so that no pause can occur
     * unnoticed in between.
     */
    consume(): boolean;
    /** Returns an unused token. Has no effect on a consumed token. */
    release(): void;
}

/**
 * Result of {@link RateLimiter.acquire}. `coordinator-unavailable`: no coordinator of the organisation's rate
 * responded.
 */
export type RateDecision =
    | { readonly kind: "granted"; readonly token: RateToken; }
    | {
        readonly kind: "refused";
        readonly retryAfterMs: number;
        readonly reason: "over-rate" | "coordinator-unavailable";
    };

/** Limits each organisation to its rate and burst across the fleet. */
export interface RateLimiter {
    /** Acquires a token for one dispatch. Waits briefly if necessary, but not beyond `deadlineMs` (monotonic). */
    acquire(organisation: OrganisationId, deadlineMs: number): Promise<RateDecision>;
}

/** A recorded claim, without which a non-idempotent request must not be dispatched. */
export interface Claim {
    /** Records the response, so that repeated requests get it. */
    complete(response: HttpResponse): Promise<void>;
    /** Releases the claim. Call it only if nothing was dispatched. */
    release(): Promise<void>;
    /** Records that the request may have run and that its response is unknown. */
    markUnknown(): Promise<void>;
}

/** Result of {@link ClaimGate.begin}. */
export type ClaimDecision =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "repeat"; readonly answer: HttpResponse; }
    /** The request ran, but its response was too large to store. */
    | { readonly kind: "ran-without-answer"; }
    | { readonly kind: "in-progress"; }
    /** The request may have run, so it must not be repeated. */
    | { readonly kind: "unknown"; }
    /** The idempotency key was used for a different request. */
    | { readonly kind: "key-conflict"; }
    | { readonly kind: "invalid-key"; readonly remedy: string; }
    /** Too few holders recorded the claim. `isCertainlyNotRun` is true if no earlier attempt can have run. */
    | { readonly kind: "unavailable"; readonly isCertainlyNotRun: boolean; };

/** Ensures that each non-idempotent request runs at most once across the fleet. */
export interface ClaimGate {
    begin(request: RoutedRequest, idempotencyKey: IdempotencyKey): Promise<ClaimDecision>;
}

/** A slot of an upstream, held for one dispatch. */
export interface SlotLease {
    readonly upstream: Upstream;
    /** Releases the slot and reports the result of the dispatch; undefined if nothing was dispatched. */
    release(result: UpstreamResult | undefined, latencyMs: number): void;
}

/** Result of {@link UpstreamChooser.acquire}. */
export type SlotDecision =
    | { readonly kind: "slot"; readonly lease: SlotLease; }
    | {
        readonly kind: "refused";
        readonly reason: "no-upstream" | "queue-full" | "deadline" | "cancelled";
        readonly retryAfterMs: number;
    };

/** Chooses an upstream and waits for a slot, with fair sharing between organisations. */
export interface UpstreamChooser {
    /** `tried` lists the upstreams to which this request has already been sent. */
    acquire(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision>;
    /** Takes one retry from the retry budget. Returns false if the budget is exhausted. */
    tryAcquireRetry(request: RoutedRequest): boolean;
    /** Load of this instance, 0 to 1. The directory uses it to select the instances that callers should use. */
    load(): number;
}

/** Result of {@link CrashGuard.check}. */
export type CrashDecision =
    | { readonly kind: "clear"; }
    /** The request may be dispatched only with a permit, so that no other suspect runs on the upstream. */
    | { readonly kind: "suspect"; }
    /** `fingerprint` identifies the request for an operator who lifts the quarantine. */
    | { readonly kind: "quarantined"; readonly retryAfterMs: number; readonly fingerprint: string; };

/** Quarantines requests that crash the upstreams on which they run. */
export interface CrashGuard {
    /** Checks a request. Call it before queueing and again immediately before dispatch. */
    check(request: RoutedRequest): CrashDecision;
    /** Acquires a suspect's permit to run on the upstream. If it returns false, choose another upstream or wait. */
    acquirePermit(request: RoutedRequest, upstream: Upstream): Promise<boolean>;
    /** Records the result of a dispatch. Call it after each one. */
    recordResult(request: RoutedRequest, upstream: Upstream, result: UpstreamResult): void;
}
