/** Processes a caller request from admission to its response. */
import { match } from "ts-pattern";
import type { Membership } from "../membership.js";
import type { Clock, LogPort, MetricsPort, Random, Sha256, UpstreamPort } from "../ports.js";
import type { Claim, ClaimDecision, ClaimGate, CrashGuard, RateLimiter, RoutedRequest } from "../stages.js";
import type { UpstreamChooser } from "../stages.js";
import type { CallerRequest, Headers, HttpResponse, Outcome } from "../types.js";
import { admit, outcomeBeforeClaim } from "./admission.js";
import type { AdmittedRequest } from "./admission.js";
import { runAttempts } from "./attempts.js";
import type { RunResult } from "./attempts.js";
import { outcomeHeader, problemAnswer } from "./refusals.js";
import type { Refusal, RefusalType } from "./refusals.js";
import type { RequestRules } from "./request-rules.js";
import { responseHeaders } from "./upstream-headers.js";
import { waitUntilCurrent } from "./wait-until-current.js";

/** Dependencies of a {@link RequestPipeline}. */
export interface PipelineContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    readonly membership: Membership;
    readonly rules: RequestRules;
    readonly rates: RateLimiter;
    readonly claims: ClaimGate;
    readonly chooser: UpstreamChooser;
    readonly crashes: CrashGuard;
    readonly upstreams: UpstreamPort;
}

/**
 * Handles caller requests. Each request gets exactly one response: the complete one of an upstream, or a refusal that
 * says whether the request ran.
 *
 * @example
 * const pipeline = new RequestPipeline(context);
 * const response = await pipeline.handle(callerRequest);
 */
export class RequestPipeline {
    readonly #context: PipelineContext;
    #inFlight = 0;
    #isLeaving = false;
    #idleListeners: (() => void)[] = [];

    constructor(context: PipelineContext) {
        this.#context = context;
    }

    /** Number of requests that have no response yet. */
    get inFlight(): number {
        return this.#inFlight;
    }

    /** Stops admitting requests and resolves once those in flight have their responses. */
    async drain(): Promise<void> {
        this.#isLeaving = true;
        if (this.#inFlight > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
    }

    /** Runs a request; the promise never rejects for a reason that a caller can cause. */
    async handle(request: CallerRequest): Promise<HttpResponse> {
        if (this.#isLeaving) {
            return problemAnswer({ type: "leaving", outcome: outcomeBeforeClaim(request.headers) }, request.id);
        }
        const { clock, metrics } = this.#context;
        const startedMs = clock.monotonicMs();
        this.#inFlight++;
        try {
            const response = await this.#admitAndRun(request);
            const tags = { status: String(response.status) };
            metrics.increment("sniperoad.requests", tags);
            metrics.timing("sniperoad.request.duration", clock.monotonicMs() - startedMs, tags);
            return response;
        }
        finally {
            this.#inFlight--;
            if (this.#inFlight === 0) {
                this.#idleListeners.splice(0).forEach(resolve => resolve());
            }
        }
    }

    async #admitAndRun(request: CallerRequest): Promise<HttpResponse> {
        const decision = admit(request, this.#context);
        if (decision.kind === "refused") {
            return this.#refuse(request, decision.refusal);
        }
        const { admitted } = decision;
        if (!await waitUntilCurrent(this.#context, admitted.request.deadlineMs)) {
            return this.#refuse(request, { type: "not-current", outcome: outcomeBeforeClaim(request.headers) });
        }
        if (admitted.request.route.idempotent) {
            return this.#createResponse(request, await this.#run(admitted.request, admitted.headers));
        }
        return this.#claimAndRun(request, admitted);
    }

    async #claimAndRun(request: CallerRequest, admitted: AdmittedRequest): Promise<HttpResponse> {
        const decision = await this.#context.claims.begin(admitted.request, admitted.idempotencyKey!);
        if (decision.kind !== "run") {
            return this.#respondWithoutRun(request, decision);
        }
        const result = await this.#run(admitted.request, admitted.headers);
        await resolveClaim(decision.claim, result);
        return this.#createResponse(request, result);
    }

    #run(request: RoutedRequest, headers: Headers): Promise<RunResult> {
        return runAttempts(request, headers, {
            ...this.#context,
            checkBeforeDispatch: routed => this.#checkBeforeDispatch(routed),
            waitUntilCurrent: routed => waitUntilCurrent(this.#context, routed.deadlineMs),
        });
    }

    /** A request that has waited is refused if its key was withdrawn or this instance is no longer current. */
    #checkBeforeDispatch(request: RoutedRequest): RefusalType | undefined {
        if (!this.#context.membership.isCurrent()) {
            return "not-current";
        }
        return this.#context.rules.isKeyValid(request.key, request.organisation) ? undefined : "key-wrong";
    }

    #createResponse(request: CallerRequest, result: RunResult): HttpResponse {
        if (result.kind === "refused") {
            return this.#refuse(request, result.refusal);
        }
        return withOutcome(result.answer, request, "ran");
    }

    #respondWithoutRun(request: CallerRequest, decision: Exclude<ClaimDecision, { kind: "run"; }>): HttpResponse {
        const refuse = (type: RefusalType, outcome: Outcome, detail?: string) =>
            this.#refuse(request, { type, outcome, ...(detail === undefined ? {} : { detail }) });
        return match(decision)
            .with({ kind: "repeat" }, ({ answer }) => withOutcome(answer, request, "ran"))
            .with({ kind: "ran-without-answer" }, () => refuse("answer-not-kept", "ran"))
            .with({ kind: "in-progress" }, () => refuse("request-in-progress", "unknown"))
            .with({ kind: "unknown" }, () => refuse("outcome-unknown", "unknown"))
            // A request with this body never ran, because the key belongs to another request.
            .with({ kind: "key-conflict" }, () => refuse("idempotency-key-reused", "not-run"))
            .with(
                { kind: "invalid-key" },
                ({ remedy }) => refuse("idempotency-key-invalid", outcomeBeforeClaim(request.headers), remedy),
            )
            .with(
                { kind: "unavailable" },
                ({ isCertainlyNotRun }) => refuse("claims-unavailable", isCertainlyNotRun ? "not-run" : "unknown"),
            )
            .exhaustive();
    }

    #refuse(request: CallerRequest, refusal: Refusal): HttpResponse {
        const { log, metrics } = this.#context;
        log.event("refuse", {
            request: request.id,
            type: refusal.type,
            outcome: refusal.outcome,
            retryAfterMs: refusal.retryAfterMs,
        });
        metrics.increment("sniperoad.refusals", { type: refusal.type, outcome: refusal.outcome });
        return problemAnswer(refusal, request.id);
    }
}

const withOutcome = (response: HttpResponse, request: CallerRequest, outcome: Outcome): HttpResponse => ({
    ...response,
    headers: [
        ...responseHeaders(response.headers, request.id).filter(([name]) => name !== outcomeHeader),
        [outcomeHeader, outcome],
    ],
});

const resolveClaim = async (claim: Claim, result: RunResult): Promise<void> => {
    if (result.kind === "answer") {
        await claim.complete(result.answer);
    }
    else if (result.refusal.outcome === "not-run") {
        await claim.release();
    }
    else {
        await claim.markUnknown();
    }
};
