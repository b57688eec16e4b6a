/** The stages of a request, as the pipeline sees them. Each stage has its module and a fake or baseline for tests. */
import type { RouteConfig } from "./config.js";
import type { UpstreamResult } from "./ports.js";
import type { AttemptId, HttpResponse, IdempotencyKey, KeyId, OrganisationId, RequestId, Upstream } from "./types.js";

/** A request that has been authenticated and matched to a route. */
export interface RoutedRequest {
    readonly id: RequestId;
    readonly attempt: AttemptId;
    readonly organisation: OrganisationId;
    readonly key: KeyId;
    readonly route: RouteConfig;
    readonly method: string;
    /** Path and query, without any key. */
    readonly target: string;
    readonly body: Uint8Array;
    /** SHA-256 of the body. */
    readonly bodyHash: string;
    /** Monotonic time after which the caller no longer waits. */
    readonly deadlineMs: number;
    /** Whether the caller declared that it has never sent this request before. */
    readonly isFirstAttempt: boolean;
    readonly signal: AbortSignal;
}

/** A right to send one request to an upstream, for a short time. */
export interface RateToken {
    /**
     * Uses the token right before dispatch. False: it has expired or was used; acquire another one.
     * Call it in the same turn of the event loop as the dispatch, so that no pause can come in between unseen.
     */
    consume(): boolean;
    /** Returns an unused token; does nothing once it is spent. */
    release(): void;
}

/** Result of {@link RateLimiter.acquire}. */
export type RateDecision =
    | { readonly kind: "granted"; readonly token: RateToken; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; readonly reason: "over-rate" | "home-unavailable"; };

/** Holds each organisation to its rate and burst over the fleet. */
export interface RateLimiter {
    /** Gets a token for one dispatch; waits a short time at most, never past `deadlineMs` (monotonic). */
    acquire(organisation: OrganisationId, deadlineMs: number): Promise<RateDecision>;
}

/** A recorded claim: the only right to dispatch a non-idempotent request. */
export interface Claim {
    /** Records the answer, so that repeats get it. */
    complete(answer: HttpResponse): Promise<void>;
    /** Gives the claim up; only if nothing was dispatched. */
    release(): Promise<void>;
    /** Records that the request may have run and no answer is known. */
    markUnknown(): Promise<void>;
}

/** Result of {@link ClaimGate.begin}. */
export type ClaimDecision =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "repeat"; readonly answer: HttpResponse; }
    /** It ran, but the answer was too large to keep. */
    | { readonly kind: "ran-without-answer"; }
    | { readonly kind: "in-progress"; }
    /** It may have run; it is not repeated. */
    | { readonly kind: "unknown"; }
    /** Another request was sent under the same key. */
    | { readonly kind: "key-conflict"; }
    | { readonly kind: "invalid-key"; readonly remedy: string; }
    /** Too few holders answered. `isCertainlyNotRun` says whether no earlier attempt can have run. */
    | { readonly kind: "unavailable"; readonly isCertainlyNotRun: boolean; };

/** Lets each non-idempotent request run at most once over the fleet. */
export interface ClaimGate {
    begin(request: RoutedRequest, idempotencyKey: IdempotencyKey): Promise<ClaimDecision>;
}

/** A slot of an upstream, held for one dispatch. */
export interface SlotLease {
    readonly upstream: Upstream;
    /** Frees the slot and reports what became of the dispatch; undefined: nothing was dispatched. */
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

/** Chooses an upstream and waits for a slot, with a fair share for each organisation. */
export interface UpstreamChooser {
    /** `tried` are the upstreams that this request has already been sent to. */
    acquire(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision>;
    /** Whether one more retry is within the budget; counts it if so. */
    tryAcquireRetry(request: RoutedRequest): boolean;
    /** The load of this instance, 0 to 1, for the directory. */
    load(): number;
}

/** Result of {@link CrashGuard.check}. */
export type CrashDecision =
    | { readonly kind: "clear"; }
    /** Dispatch only while the permit is held; no other suspect runs on the upstream. */
    | { readonly kind: "suspect"; }
    /** `fingerprint` names the request for an operator who lifts the quarantine. */
    | { readonly kind: "quarantined"; readonly retryAfterMs: number; readonly fingerprint: string; };

/** Stops a request that crashes each upstream that runs it. */
export interface CrashGuard {
    /** Ask before the queue and again right before dispatch. */
    check(request: RoutedRequest): CrashDecision;
    /** For a suspect: gets the permit to run on the upstream; false: choose another upstream or wait. */
    acquirePermit(request: RoutedRequest, upstream: Upstream): Promise<boolean>;
    /** Call it with the result of each dispatch. */
    recordResult(request: RoutedRequest, upstream: Upstream, result: UpstreamResult): void;
}
