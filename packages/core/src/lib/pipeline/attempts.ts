/** Runs an admitted request: rate token, slot, final checks, dispatch and retries. */
import { match } from "ts-pattern";
import type { Clock, LogPort, MetricsPort, UpstreamPort, UpstreamResult } from "../ports.js";
import type { CrashGuard, RateLimiter, RateToken, RoutedRequest, SlotLease, UpstreamChooser } from "../stages.js";
import type { Headers, HttpResponse, Upstream } from "../types.js";
import type { Refusal, RefusalType } from "./refusals.js";
import { dispatchHeaders } from "./upstream-headers.js";

/** Dependencies of {@link runAttempts}. */
export interface AttemptContext {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    readonly upstreams: UpstreamPort;
    readonly rates: RateLimiter;
    readonly chooser: UpstreamChooser;
    readonly crashes: CrashGuard;
    /** Reason why the request may no longer be dispatched, checked right before each dispatch; undefined if it may. */
    readonly checkBeforeDispatch: (request: RoutedRequest) => RefusalType | undefined;
    /** Waits a short time until this instance is current. */
    readonly waitUntilCurrent: (request: RoutedRequest) => Promise<unknown>;
}

/** Result of a request over all its attempts. */
export type RunResult =
    | {
        readonly kind: "answer";
        readonly answer: HttpResponse;
        readonly upstream: Upstream;
        readonly attempts: number;
    }
    | { readonly kind: "refused"; readonly refusal: Refusal; readonly attempts: number; };

/** Maximum number of dispatches of one request; the retry budget is usually exhausted earlier. */
const maxAttempts = 4;
/** Maximum wait for a new rate token while a slot is held. */
const tokenReacquireWaitMs = 15;
/** Maximum number of waits until the instance is current; after that, the request is refused. */
const maxCurrentWaits = 2;
/** Number of slots released for lack of a rate token at which the request is refused. */
const maxSlotReleases = 5;
/** Delay before a crash suspect requests another permit. */
const permitRetryMs = 50;

interface Progress {
    /** Upstreams to which the request was dispatched, in this order. */
    readonly tried: Upstream[];
    /** Whether a dispatched attempt may have run without a known response. */
    mayHaveRun: boolean;
    /** Slots that were released for lack of a rate token. */
    slotReleases: number;
    /** Number of waits for this instance to be current. */
    currentWaits: number;
}

type Step =
    | { readonly kind: "finished"; readonly result: RunResult; }
    | { readonly kind: "retry"; };

/**
 * Runs a request until it has a response or a refusal.
 *
 * @example
 * const result = await runAttempts(request, callerHeaders, context);
 */
export const runAttempts = async (
    request: RoutedRequest,
    headers: Headers,
    context: AttemptContext,
): Promise<RunResult> => {
    const progress: Progress = { tried: [], mayHaveRun: false, slotReleases: 0, currentWaits: 0 };
    for (;;) {
        const step = await runAttempt(request, headers, progress, context);
        if (step.kind === "finished") {
            return step.result;
        }
    }
};

const refuse = (progress: Progress, type: RefusalType, retryAfterMs?: number, detail?: string): Step => ({
    kind: "finished",
    result: {
        kind: "refused",
        attempts: progress.tried.length,
        refusal: {
            type,
            outcome: progress.mayHaveRun ? "unknown" : "not-run",
            ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
            ...(detail === undefined ? {} : { detail }),
        },
    },
});

const runAttempt = async (
    request: RoutedRequest,
    headers: Headers,
    progress: Progress,
    context: AttemptContext,
): Promise<Step> => {
    const crash = context.crashes.check(request);
    if (crash.kind === "quarantined") {
        const { retryAfterMs, fingerprint } = crash;
        context.log.event("quarantine-refused", { request: request.id, fingerprint });
        return refuse(progress, "quarantined", retryAfterMs, `Fingerprint ${fingerprint}.`);
    }
    // Waits here and not at dispatch, where the request would hold a slot meanwhile.
    await context.waitUntilCurrent(request);
    if (context.clock.monotonicMs() >= request.deadlineMs) {
        return refuse(progress, "deadline");
    }
    // The token is acquired before the slot, so that an organisation over its rate holds no slots while it waits.
    const rate = await context.rates.acquire(request.organisation, request.deadlineMs);
    if (rate.kind === "refused") {
        const type = rate.reason === "over-rate" ? "over-rate" : "rate-unavailable";
        return refuse(progress, type, rate.retryAfterMs);
    }
    const slot = await context.chooser.acquire(request, progress.tried);
    if (slot.kind === "refused") {
        rate.token.release();
        return refuse(progress, slot.reason, slot.retryAfterMs);
    }
    return dispatch({ request, headers, progress, lease: slot.lease, token: rate.token }, context);
};

interface PendingDispatch {
    readonly request: RoutedRequest;
    readonly headers: Headers;
    readonly progress: Progress;
    readonly lease: SlotLease;
    readonly token: RateToken;
}

const dispatch = async (pending: PendingDispatch, context: AttemptContext): Promise<Step> => {
    const { request, progress, lease } = pending;
    const step = await prepareDispatch(pending, context);
    if (step !== undefined) {
        lease.release(undefined, 0);
        return step;
    }
    const startedMs = context.clock.monotonicMs();
    const timeoutMs = Math.max(1, request.deadlineMs - startedMs);
    progress.tried.push(lease.upstream);
    const result = await context.upstreams.send(lease.upstream, {
        id: request.id,
        method: request.method,
        target: request.target,
        headers: dispatchHeaders(pending.headers, request.id, timeoutMs),
        body: request.body,
        timeoutMs,
        // A non-idempotent request continues without its caller, so that its response can be stored for a retry.
        signal: request.route.idempotent ? request.signal : new AbortController().signal,
    });
    const latencyMs = context.clock.monotonicMs() - startedMs;
    lease.release(result, latencyMs);
    context.crashes.recordResult(request, lease.upstream, result);
    logDispatch(pending, result, latencyMs, context);
    return handleResult(pending, result, context);
};

/** Checks all conditions of a dispatch; the final checks and the dispatch share one turn of the event loop. */
const prepareDispatch = async (pending: PendingDispatch, context: AttemptContext): Promise<Step | undefined> => {
    const { request, progress, lease } = pending;
    let token = pending.token;
    const isSuspect = context.crashes.check(request).kind === "suspect";
    if (isSuspect && !await context.crashes.acquirePermit(request, lease.upstream)) {
        token.release();
        await new Promise<void>(resolve => context.clock.after(permitRetryMs, resolve));
        return { kind: "retry" };
    }
    for (;;) {
        // The request became a suspect while it waited, so the next attempt has to acquire a permit first.
        if (!isSuspect && context.crashes.check(request).kind === "suspect") {
            token.release();
            return { kind: "retry" };
        }
        const refusal = checkAtDispatch(request, context);
        if (refusal === "not-current" && progress.currentWaits++ < maxCurrentWaits) {
            token.release();
            return { kind: "retry" };
        }
        if (refusal !== undefined) {
            token.release();
            return refuse(progress, refusal);
        }
        if (token.consume()) {
            return undefined;
        }
        // The token expired in the queue. It is not released early, because a released token would admit another
        // request to a queue that is already too long, and the queue would never shorten. The wait is short, because a
        // slot is held meanwhile.
        const reacquired = await context.rates.acquire(
            request.organisation,
            context.clock.monotonicMs() + tokenReacquireWaitMs,
        );
        if (reacquired.kind === "refused") {
            progress.slotReleases++;
            return progress.slotReleases < maxSlotReleases
                ? { kind: "retry" }
                : refuse(progress, "over-rate", reacquired.retryAfterMs);
        }
        token = reacquired.token;
    }
};

const checkAtDispatch = (request: RoutedRequest, context: AttemptContext): RefusalType | undefined => {
    if (request.signal.aborted) {
        return "cancelled";
    }
    if (context.clock.monotonicMs() >= request.deadlineMs) {
        return "deadline";
    }
    return context.crashes.check(request).kind === "quarantined" ? "quarantined" : context.checkBeforeDispatch(request);
};

const logDispatch = (
    pending: PendingDispatch,
    result: UpstreamResult,
    latencyMs: number,
    context: AttemptContext,
): void => {
    const { request, lease, progress } = pending;
    context.log.event("route", {
        request: request.id,
        organisation: request.organisation,
        route: request.route.id,
        service: request.route.service,
        upstream: lease.upstream.id,
        attempt: progress.tried.length,
        result: result.kind,
        latencyMs: Math.round(latencyMs * 10) / 10,
    });
    context.metrics.timing("sniperoad.upstream.latency", latencyMs, {
        service: request.route.service,
        result: result.kind,
    });
};

const retryableStatuses = new Set([500, 502, 503, 504]);

const handleResult = (pending: PendingDispatch, result: UpstreamResult, context: AttemptContext): Step => {
    const { request, progress } = pending;
    const isIdempotent = request.route.idempotent;
    const canRetry = () =>
        progress.tried.length < maxAttempts
        && context.clock.monotonicMs() < request.deadlineMs
        && !request.signal.aborted
        && context.chooser.tryAcquireRetry(request);
    return match(result)
        .with({ kind: "answer" }, ({ answer }): Step => {
            if (isIdempotent && retryableStatuses.has(answer.status) && canRetry()) {
                progress.mayHaveRun = true;
                return { kind: "retry" };
            }
            const attempts = progress.tried.length;
            return { kind: "finished", result: { kind: "answer", answer, upstream: pending.lease.upstream, attempts } };
        })
        .with({ kind: "refused" }, (): Step => canRetry() ? { kind: "retry" } : refuse(progress, "no-upstream", 1000))
        .with(
            { kind: "shed" },
            ({ retryAfterMs }): Step => canRetry() ? { kind: "retry" } : refuse(progress, "no-upstream", retryAfterMs),
        )
        .with({ kind: "cancelled" }, (): Step => {
            progress.mayHaveRun = true;
            return refuse(progress, "cancelled");
        })
        .with({ kind: "timeout" }, (): Step => {
            progress.mayHaveRun = true;
            return isIdempotent && canRetry() ? { kind: "retry" } : refuse(progress, "upstream-timeout");
        })
        .with({ kind: "oversize" }, (): Step => {
            progress.mayHaveRun = true;
            return refuse(progress, "upstream-failed", undefined, "The answer is larger than 1 MB.");
        })
        .with({ kind: "reset" }, { kind: "truncated" }, { kind: "crossed" }, ({ kind }): Step => {
            progress.mayHaveRun = true;
            return isIdempotent && canRetry()
                ? { kind: "retry" }
                : refuse(progress, "upstream-failed", undefined, `The connection ended: ${kind}.`);
        })
        .exhaustive();
};
