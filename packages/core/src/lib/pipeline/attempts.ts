/** Runs an admitted request: token, slot, last checks, dispatch, retries. */
import { match } from "ts-pattern";
import type { Clock, LogPort, MetricsPort, UpstreamPort, UpstreamResult } from "../ports.js";
import type { CrashGuard, RateLimiter, RateToken, RoutedRequest, SlotLease, UpstreamChooser } from "../stages.js";
import type { Headers, HttpResponse, Upstream } from "../types.js";
import type { Refusal, RefusalType } from "./refusals.js";
import { dispatchHeaders } from "./upstream-headers.js";

/** What {@link runAttempts} needs. */
export interface AttemptContext {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    readonly upstreams: UpstreamPort;
    readonly rates: RateLimiter;
    readonly chooser: UpstreamChooser;
    readonly crashes: CrashGuard;
    /** Why the request may not be dispatched any more, asked right before each dispatch; undefined: it may. */
    readonly checkBeforeDispatch: (request: RoutedRequest) => RefusalType | undefined;
    /** Waits a short time for this instance to be current. */
    readonly waitUntilCurrent: (request: RoutedRequest) => Promise<unknown>;
}

/** What became of a request over all its attempts. */
export type RunResult =
    | {
        readonly kind: "answer";
        readonly answer: HttpResponse;
        readonly upstream: Upstream;
        readonly attempts: number;
    }
    | { readonly kind: "refused"; readonly refusal: Refusal; readonly attempts: number; };

/** Attempts of one request; the retry budget usually ends earlier. */
const maxAttempts = 4;
/** Longest wait for a token while a slot is held. */
const redrawWaitMs = 15;
/** Waits for being current, each short, before the request is refused. */
const maxCurrentWaits = 2;
/** Slots given up for want of a token before the request is refused. */
const maxRedraws = 5;
/** Pause before a suspect asks for another permit. */
const permitRetryMs = 50;

interface Progress {
    readonly tried: Upstream[];
    /** Whether an attempt was dispatched that may have run without a known answer. */
    mayHaveRun: boolean;
    /** Slots that were given up for want of a token. */
    redraws: number;
    /** Waits for this instance to be current. */
    waits: number;
}

type Step =
    | { readonly kind: "finished"; readonly result: RunResult; }
    | { readonly kind: "again"; };

/**
 * Runs a request until it has an answer or a refusal.
 *
 * @example
 * const result = await runAttempts(request, callerHeaders, context);
 */
export const runAttempts = async (
    request: RoutedRequest,
    headers: Headers,
    context: AttemptContext,
): Promise<RunResult> => {
    const progress: Progress = { tried: [], mayHaveRun: false, redraws: 0, waits: 0 };
    for (;;) {
        const step = await runOnce(request, headers, progress, context);
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

const runOnce = async (
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
    // Waited for here and not at the dispatch, where the request would hold a slot meanwhile.
    await context.waitUntilCurrent(request);
    if (context.clock.monotonicMs() >= request.deadlineMs) {
        return refuse(progress, "deadline");
    }
    // The token comes before the slot: an organisation that is over its rate must not hold slots while it waits.
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

interface Dispatch {
    readonly request: RoutedRequest;
    readonly headers: Headers;
    readonly progress: Progress;
    readonly lease: SlotLease;
    readonly token: RateToken;
}

const dispatch = async (work: Dispatch, context: AttemptContext): Promise<Step> => {
    const { request, progress, lease } = work;
    const blocked = await clearForDispatch(work, context);
    if (blocked !== undefined) {
        lease.release(undefined, 0);
        return blocked;
    }
    const startedMs = context.clock.monotonicMs();
    const timeoutMs = Math.max(1, request.deadlineMs - startedMs);
    progress.tried.push(lease.upstream);
    const result = await context.upstreams.send(lease.upstream, {
        id: request.id,
        method: request.method,
        target: request.target,
        headers: dispatchHeaders(work.headers, request.id, timeoutMs),
        body: request.body,
        timeoutMs,
        // A non-idempotent request goes on without its caller, so that its answer can be kept for the repeat.
        signal: request.route.idempotent ? request.signal : new AbortController().signal,
    });
    const latencyMs = context.clock.monotonicMs() - startedMs;
    lease.release(result, latencyMs);
    context.crashes.recordResult(request, lease.upstream, result);
    logDispatch(work, result, latencyMs, context);
    return conclude(work, result, context);
};

/** Everything that must hold at the moment of dispatch; the last part runs without giving up the event loop. */
const clearForDispatch = async (work: Dispatch, context: AttemptContext): Promise<Step | undefined> => {
    const { request, progress, lease } = work;
    let token = work.token;
    const isSuspect = context.crashes.check(request).kind === "suspect";
    if (isSuspect && !await context.crashes.acquirePermit(request, lease.upstream)) {
        token.release();
        await new Promise<void>(resolve => context.clock.after(permitRetryMs, resolve));
        return { kind: "again" };
    }
    for (;;) {
        // Suspicion that arrived while the request waited: it needs a permit first, on the next round.
        if (!isSuspect && context.crashes.check(request).kind === "suspect") {
            token.release();
            return { kind: "again" };
        }
        const refusal = refusalAtDispatch(request, context);
        if (refusal === "not-current" && progress.waits++ < maxCurrentWaits) {
            token.release();
            return { kind: "again" };
        }
        if (refusal !== undefined) {
            token.release();
            return refuse(progress, refusal);
        }
        if (token.consume()) {
            return undefined;
        }
        // The token expired in the queue. It is not returned early: a returned token would admit another request to a
        // queue that is too long already, and the queue would never shorten. Only a short wait while a slot is held.
        const again = await context.rates.acquire(request.organisation, context.clock.monotonicMs() + redrawWaitMs);
        if (again.kind === "refused") {
            progress.redraws++;
            return progress.redraws < maxRedraws
                ? { kind: "again" }
                : refuse(progress, "over-rate", again.retryAfterMs);
        }
        token = again.token;
    }
};

const refusalAtDispatch = (request: RoutedRequest, context: AttemptContext): RefusalType | undefined => {
    if (request.signal.aborted) {
        return "cancelled";
    }
    if (context.clock.monotonicMs() >= request.deadlineMs) {
        return "deadline";
    }
    return context.crashes.check(request).kind === "quarantined" ? "quarantined" : context.checkBeforeDispatch(request);
};

const logDispatch = (work: Dispatch, result: UpstreamResult, latencyMs: number, context: AttemptContext): void => {
    const { request, lease, progress } = work;
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

const gatewayStatuses = new Set([500, 502, 503, 504]);

const conclude = (work: Dispatch, result: UpstreamResult, context: AttemptContext): Step => {
    const { request, progress } = work;
    const isIdempotent = request.route.idempotent;
    const canRetry = () =>
        progress.tried.length < maxAttempts
        && context.clock.monotonicMs() < request.deadlineMs
        && !request.signal.aborted
        && context.chooser.tryAcquireRetry(request);
    return match(result)
        .with({ kind: "answer" }, ({ answer }): Step => {
            if (isIdempotent && gatewayStatuses.has(answer.status) && canRetry()) {
                progress.mayHaveRun = true;
                return { kind: "again" };
            }
            const attempts = progress.tried.length;
            return { kind: "finished", result: { kind: "answer", answer, upstream: work.lease.upstream, attempts } };
        })
        .with({ kind: "refused" }, (): Step => canRetry() ? { kind: "again" } : refuse(progress, "no-upstream", 1000))
        .with(
            { kind: "shed" },
            ({ retryAfterMs }): Step => canRetry() ? { kind: "again" } : refuse(progress, "no-upstream", retryAfterMs),
        )
        .with({ kind: "cancelled" }, (): Step => {
            progress.mayHaveRun = true;
            return refuse(progress, "cancelled");
        })
        .with({ kind: "timeout" }, (): Step => {
            progress.mayHaveRun = true;
            return isIdempotent && canRetry() ? { kind: "again" } : refuse(progress, "upstream-timeout");
        })
        .with({ kind: "oversize" }, (): Step => {
            progress.mayHaveRun = true;
            return refuse(progress, "upstream-failed", undefined, "The answer is larger than 1 MB.");
        })
        .with({ kind: "reset" }, { kind: "truncated" }, { kind: "crossed" }, ({ kind }): Step => {
            progress.mayHaveRun = true;
            return isIdempotent && canRetry()
                ? { kind: "again" }
                : refuse(progress, "upstream-failed", undefined, `The connection ended: ${kind}.`);
        })
        .exhaustive();
};
