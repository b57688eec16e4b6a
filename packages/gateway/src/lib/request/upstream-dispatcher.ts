/** Sends a request to upstreams, with retries and hedging where they are allowed. */
import type { Clock, LogPort, ServiceId, Timer, UpstreamId } from "@sniperoad/core";
import type { FleetLoad } from "../balance/fleet-load.js";
import type { Hedging } from "../balance/hedging.js";
import type { RetryBudget } from "../balance/retry-budget.js";
import type { Selection, UpstreamSelector } from "../balance/upstream-selector.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { RejectionMonitor } from "../health/rejection-monitor.js";
import type { SharedOutcomes } from "../health/shared-outcomes.js";
import type { UpstreamFloor } from "../health/upstream-floor.js";
import type { GatewayRoute, ListedUpstream } from "../model.js";
import type { LimitMeters } from "../statements/limit-meters.js";
import type { UpstreamOutages } from "../statements/upstream-outages.js";
import type { UpstreamStatements } from "../statements/upstream-statements.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import { AttemptEvaluator } from "./attempt-evaluator.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { DispatchedRequest, DispatchResult } from "./dispatch.js";
import type { HeaderCodec, UpstreamClient, UpstreamResult } from "./ports.js";

/** Fraction of the target latency that a quarter of the answers take, as long as it is not known. */
const assumedAnswerFraction = 0.15;
/** Fraction of the target latency after which an upstream that has not responded counts as silent. */
const silenceFraction = 1;
/**
 * Fraction of the target latency after which an attempt that lost to a hedged request counts as silent. Otherwise a hang
 * would leave no trace, since it is cancelled before the target latency.
 */
const loserSilenceFraction = 0.6;
/** Number of failed connections after which a request is not retried. They are not attempts, as nothing was sent. */
const maxFailedConnections = 4;
/** Reason of each abort of attempts. Without one, Node.js creates an exception with a stack trace for each request. */
const attemptsEnded = new Error("no attempt of the request is needed any more");

/** Options of {@link UpstreamDispatcher}. */
export interface UpstreamDispatcherOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly client: UpstreamClient;
    readonly codec: Pick<HeaderCodec, "upstreamHeaders">;
    readonly selector: UpstreamSelector;
    readonly load: FleetLoad;
    readonly paths: PathBackoff;
    readonly outcomes: SharedOutcomes;
    readonly floor: Pick<UpstreamFloor, "recordUse">;
    readonly meters: Pick<LimitMeters, "recordOwn">;
    readonly statements: Pick<UpstreamStatements, "recordAnswer">;
    readonly outages: Pick<UpstreamOutages, "recordRefused" | "recordAnswered">;
    readonly rejections: Pick<RejectionMonitor, "recordRejection">;
    readonly retryBudget: RetryBudget;
    /** Upstreams of a service that may get one more request now. */
    readonly candidates: (service: ServiceId) => readonly KnownUpstream[];
    readonly crashes: CrashTracker;
    /** Whether an answer is possible within a time. */
    readonly hasHope: (route: GatewayRoute, leftMs: number) => boolean;
    readonly hedging: Hedging;
    /** Upstreams that a request should leave to those of other routes. */
    readonly avoided: (
        dispatched: DispatchedRequest,
        candidates: readonly KnownUpstream[],
    ) => ReadonlySet<UpstreamId>;
    /** Lower quartile of the answer times of a service; undefined if it is not known. */
    readonly answerTimeMs: (service: ServiceId) => number | undefined;
    /** Called with the time of each successful attempt. */
    readonly onAnswer: (dispatched: DispatchedRequest, tookMs: number) => void;
}

interface Progress {
    readonly dispatched: DispatchedRequest;
    readonly tried: Set<UpstreamId>;
    /** Number of attempts that reached an upstream or are in flight. */
    sent: number;
    failedConnections: number;
    /** Result of the last attempt that ended; a final result is not replaced. */
    last: DispatchResult | undefined;
    /** Whether an upstream may have run the request in some attempt. */
    mayHaveRun: boolean;
}

/**
 * Sends requests to upstreams, retries failed attempts and hedges slow ones.
 *
 * @example
 * const result = await dispatcher.run(request);
 */
export class UpstreamDispatcher {
    readonly #options: UpstreamDispatcherOptions;
    readonly #evaluator: AttemptEvaluator;

    constructor(options: UpstreamDispatcherOptions) {
        this.#options = options;
        this.#evaluator = new AttemptEvaluator(options);
    }

    async run(dispatched: DispatchedRequest): Promise<DispatchResult> {
        this.#options.hedging.recordRequest(dispatched.service);
        const progress: Progress = {
            dispatched,
            tried: new Set(),
            sent: 0,
            failedConnections: 0,
            last: undefined,
            mayHaveRun: false,
        };
        const ended = new AbortController();
        const end = (): void => ended.abort(attemptsEnded);
        dispatched.signal.addEventListener("abort", end, { once: true });
        try {
            if (dispatched.signal.aborted) {
                end();
            }
            return await this.#runAttempts(progress, ended.signal);
        }
        finally {
            dispatched.signal.removeEventListener("abort", end);
            // The result of an attempt that is still in flight is no longer needed.
            end();
        }
    }

    /** Runs attempts one after the other; if the first one is slow, the second one starts before it ends. */
    async #runAttempts(progress: Progress, signal: AbortSignal): Promise<DispatchResult> {
        const running = new Set<Promise<void>>();
        for (;;) {
            const finalResult = progress.last;
            if (finalResult !== undefined && isFinal(finalResult)) {
                return finalResult;
            }
            if (running.size === 0) {
                const selection = this.#mayStartAttempt(progress) ? this.#select(progress) : undefined;
                if (selection === undefined) {
                    return this.#finalResult(progress);
                }
                this.#startAttempt(progress, selection, signal, running);
            }
            const isHedgeDue = await this.#waitForAttempt(progress, running);
            if (isHedgeDue && running.size > 0 && !progress.dispatched.signal.aborted) {
                this.#hedge(progress, signal, running);
            }
        }
    }

    /** Starts a second attempt while the first one is running, if that is allowed. */
    #hedge(progress: Progress, signal: AbortSignal, running: Set<Promise<void>>): void {
        const { hedging, clock, log } = this.#options;
        const { dispatched, sent } = progress;
        const { route, service, rank, deadlineAtMs, request } = dispatched;
        // The second upstream is to answer soon, so no suspect is tried.
        const selection = this.#select(progress, false);
        const leftMs = deadlineAtMs - clock.monotonicMs();
        const hasUpstream = selection !== undefined;
        if (hedging.tryHedge({ route, service, rank, leftMs, sent, hasUpstream }) && selection !== undefined) {
            log.event("request-hedged", {
                request: request.requestId,
                route: route.id,
                upstream: selection.upstream.listed.id,
                delayMs: Math.round(hedging.delayMs(route)),
                leftMs: Math.round(leftMs),
            });
            this.#startAttempt(progress, selection, signal, running, true);
        }
    }

    /** Waits until an attempt ends; returns true if the hedge delay passed first. */
    async #waitForAttempt({ dispatched, sent }: Progress, running: ReadonlySet<Promise<void>>): Promise<boolean> {
        const { clock } = this.#options;
        if (!dispatched.route.isIdempotent || sent > 1) {
            await Promise.race(running);
            return false;
        }
        let timer: Timer | undefined;
        const hedge = new Promise<true>(resolve => {
            timer = clock.after(this.#options.hedging.delayMs(dispatched.route), () => resolve(true));
        });
        const result = await Promise.race([hedge, ...running]);
        timer?.cancel();
        return result === true;
    }

    /** Whether another attempt may start. If it is a retry, this takes it from the retry budget. */
    #mayStartAttempt({ dispatched, sent, failedConnections, mayHaveRun }: Progress): boolean {
        const { retryBudget, clock, hasHope } = this.#options;
        const isUseful = hasHope(dispatched.route, dispatched.deadlineAtMs - clock.monotonicMs())
            && !dispatched.signal.aborted
            && failedConnections < maxFailedConnections;
        if (sent === 0) {
            return isUseful;
        }
        return isUseful
            && sent < dispatched.route.maxAttempts
            && (dispatched.route.isIdempotent || !mayHaveRun)
            && retryBudget.tryAcquire(dispatched.service, dispatched.rank);
    }

    /** Selects the upstream of the next attempt; undefined if every candidate was tried. */
    #select({ dispatched, tried }: Progress, mayProbe = true): Selection | undefined {
        const candidates = this.#options.candidates(dispatched.service);
        return this.#options.selector.select({
            candidates,
            avoided: this.#options.avoided(dispatched, candidates),
            tried,
            // Without retry budget a failure is final, so the request must not go to an upstream that may be gray.
            isRepeatable: mayProbe
                && dispatched.route.isIdempotent
                && tried.size + 1 < dispatched.route.maxAttempts
                && this.#options.retryBudget.hasCredit(dispatched.service, dispatched.rank),
            answerTimeMs: this.#options.answerTimeMs(dispatched.service)
                ?? dispatched.route.targetLatencyMs * assumedAnswerFraction,
        });
    }

    #startAttempt(
        progress: Progress,
        selection: Selection,
        signal: AbortSignal,
        running: Set<Promise<void>>,
        isHedge = false,
    ): void {
        this.#options.floor.recordUse(selection.upstream.listed.id);
        this.#options.meters.recordOwn(selection.upstream.listed.id);
        progress.sent++;
        progress.tried.add(selection.upstream.listed.id);
        const attempt = this.#attempt(progress, selection, signal).then(result => {
            running.delete(attempt);
            if (isHedge && result === progress.last && isFinal(result) && result.kind === "answer") {
                this.#options.hedging.recordWon();
            }
        });
        running.add(attempt);
    }

    async #attempt(progress: Progress, selection: Selection, signal: AbortSignal): Promise<DispatchResult> {
        const { clock, client, codec, load, outcomes } = this.#options;
        const { dispatched } = progress;
        const { listed } = selection.upstream;
        const startMs = clock.monotonicMs();
        const timeoutMs = Math.max(1, dispatched.deadlineAtMs - startMs);
        const endRequest = load.beginRequest(listed.id);
        const silenceTimer = clock.after(dispatched.route.targetLatencyMs * silenceFraction, () => {
            outcomes.record(listed.id, "silence");
            // A response that arrives later ends the backoff.
            this.#options.paths.recordFailure(listed.id);
        });
        const result = await client.call({
            upstream: listed,
            method: dispatched.request.method,
            target: dispatched.request.target,
            headers: codec.upstreamHeaders(dispatched.request, {
                upstream: listed,
                organisation: dispatched.organisation,
                deadlineMs: Math.max(1, Math.floor(timeoutMs)),
            }),
            body: dispatched.body,
            requestId: dispatched.request.requestId,
            owner: dispatched.organisation,
            timeoutMs,
            isRepeatable: dispatched.route.isIdempotent,
            signal,
        });
        endRequest();
        silenceTimer.cancel();
        if (result.kind === "refused" || result.kind === "invalid") {
            progress.sent--;
            progress.failedConnections++;
        }
        const outcome = this.#evaluator.evaluate({ result, dispatched, selection, startMs });
        const tookMs = clock.monotonicMs() - startMs;
        this.#recordTime(dispatched, listed, outcome, tookMs);
        this.#logAttempt(progress, selection, result, tookMs);
        progress.mayHaveRun ||= outcome.kind !== "not-run" && outcome.kind !== "invalid";
        // A result that the caller can use is not replaced by a later failure.
        if (progress.last === undefined || !isFinal(progress.last)) {
            progress.last = outcome;
        }
        return outcome;
    }

    #recordTime(
        dispatched: DispatchedRequest,
        listed: ListedUpstream,
        outcome: DispatchResult,
        tookMs: number,
    ): void {
        const { outcomes, hedging, onAnswer } = this.#options;
        const isLoser = outcome.kind === "cancelled" && !dispatched.signal.aborted;
        const isSuccess = outcome.kind === "answer" && !outcome.isFailure;
        if (isSuccess) {
            onAnswer(dispatched, tookMs);
        }
        if (isLoser && tookMs >= dispatched.route.targetLatencyMs * loserSilenceFraction) {
            outcomes.record(listed.id, "silence");
        }
        if (isLoser || isSuccess) {
            hedging.recordAttempt(dispatched.route.id, tookMs);
        }
    }

    /** Returns the result of a request for which no further attempt may start. */
    #finalResult({ dispatched, last, mayHaveRun }: Progress): DispatchResult {
        if (dispatched.signal.aborted) {
            return { kind: "cancelled" };
        }
        if (last === undefined) {
            return { kind: "not-run", reason: "no upstream of the service takes a request" };
        }
        if (last.kind === "not-run" && mayHaveRun) {
            return { kind: "unknown", reason: `an earlier attempt may have run; ${last.reason}`, isTimeout: false };
        }
        return last;
    }

    #logAttempt({ dispatched, sent }: Progress, selection: Selection, result: UpstreamResult, tookMs: number): void {
        this.#options.log.event("attempt", {
            request: dispatched.request.requestId,
            number: sent,
            route: dispatched.route.id,
            service: dispatched.service,
            upstream: selection.upstream.listed.id,
            gray: Number(selection.grayProbability.toFixed(3)),
            inFlight: selection.inFlight,
            candidates: selection.candidateCount,
            result: result.kind,
            status: result.kind === "answer" ? result.answer.status : undefined,
            reason: "reason" in result ? result.reason : undefined,
            tookMs: Math.round(tookMs),
            leftMs: Math.round(dispatched.deadlineAtMs - this.#options.clock.monotonicMs()),
        });
    }
}

/** A result after which no further attempt is made. */
const isFinal = (result: DispatchResult): boolean =>
    result.kind === "cancelled" || result.kind === "invalid" || result.kind === "answer" && !result.isFailure
    || result.kind === "unknown" && result.isFinal === true;
