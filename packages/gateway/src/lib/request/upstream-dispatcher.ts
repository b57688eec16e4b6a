/** Sends a request to upstreams, with retries and hedging where they are allowed. */
import type { Clock, LogPort, ServiceId, Timer, UpstreamId } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { FleetLoad } from "../balance/fleet-load.js";
import type { RetryBudget } from "../balance/retry-budget.js";
import type { Selection, UpstreamSelector } from "../balance/upstream-selector.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { SharedOutcomes } from "../health/shared-outcomes.js";
import type { UpstreamFloor } from "../health/upstream-floor.js";
import type { GatewayRoute, ListedUpstream } from "../model.js";
import type { LimitMeters } from "../statements/limit-meters.js";
import type { UpstreamOutages } from "../statements/upstream-outages.js";
import type { UpstreamStatements } from "../statements/upstream-statements.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { DispatchedRequest, DispatchResult } from "./dispatch.js";
import type { HeaderCodec, UpstreamClient, UpstreamResponse, UpstreamResult } from "./ports.js";

/**
 * Fraction of the target latency after which an idempotent request is also sent to a second upstream. Most responses
 * arrive well before it, and enough time is left for the second one.
 */
const hedgeDelayFraction = 0.55;

/** Fraction of the target latency that a quarter of the answers take, as long as it is not known. */
const assumedAnswerFraction = 0.15;
/** Fraction of the target latency after which an upstream that has not responded counts as silent. */
const silenceFraction = 1;
/** Number of failed connections after which a request is not retried. They are not attempts, as nothing was sent. */
const maxFailedConnections = 4;

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
    readonly retryBudget: RetryBudget;
    /** Upstreams of a service that may get one more request now. */
    readonly candidates: (service: ServiceId) => readonly KnownUpstream[];
    readonly crashes: CrashTracker;
    /** Whether an answer is possible within a time. */
    readonly hasHope: (route: GatewayRoute, leftMs: number) => boolean;
    /** Whether the service has free slots, so that a hedged request takes none from others. */
    readonly hasRoom: (service: ServiceId) => boolean;
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

    constructor(options: UpstreamDispatcherOptions) {
        this.#options = options;
    }

    async run(dispatched: DispatchedRequest): Promise<DispatchResult> {
        const progress: Progress = {
            dispatched,
            tried: new Set(),
            sent: 0,
            failedConnections: 0,
            last: undefined,
            mayHaveRun: false,
        };
        const ended = new AbortController();
        const signal = AbortSignal.any([dispatched.signal, ended.signal]);
        try {
            return await this.#runAttempts(progress, signal);
        }
        finally {
            // The result of an attempt that is still in flight is no longer needed.
            ended.abort();
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
            const mayHedge = isHedgeDue && running.size > 0 && this.#options.hasRoom(progress.dispatched.service);
            if (mayHedge && this.#mayStartAttempt(progress)) {
                const selection = this.#select(progress);
                if (selection !== undefined) {
                    this.#options.log.event("request-hedged", { request: progress.dispatched.request.requestId });
                    this.#startAttempt(progress, selection, signal, running);
                }
            }
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
            timer = clock.after(dispatched.route.targetLatencyMs * hedgeDelayFraction, () => resolve(true));
        });
        const result = await Promise.race([hedge, ...running]);
        timer?.cancel();
        return result === true;
    }

    /** Whether another attempt may start. If it is a retry or a hedge, this takes it from the retry budget. */
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
    #select({ dispatched, tried }: Progress): Selection | undefined {
        return this.#options.selector.select({
            candidates: this.#options.candidates(dispatched.service),
            tried,
            // Without retry budget a failure is final, so the request must not go to an upstream that may be gray.
            isRepeatable: dispatched.route.isIdempotent
                && tried.size + 1 < dispatched.route.maxAttempts
                && this.#options.retryBudget.hasCredit(dispatched.service, dispatched.rank),
            answerTimeMs: this.#options.answerTimeMs(dispatched.service)
                ?? dispatched.route.targetLatencyMs * assumedAnswerFraction,
        });
    }

    #startAttempt(progress: Progress, selection: Selection, signal: AbortSignal, running: Set<Promise<void>>): void {
        this.#options.floor.recordUse(selection.upstream.listed.id);
        this.#options.meters.recordOwn(selection.upstream.listed.id);
        progress.sent++;
        progress.tried.add(selection.upstream.listed.id);
        const attempt = this.#attempt(progress, selection, signal).then(() => {
            running.delete(attempt);
        });
        running.add(attempt);
    }

    async #attempt(progress: Progress, selection: Selection, signal: AbortSignal): Promise<void> {
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
        if (
            result.kind === "answer" && result.answer.metadata.isFromUpstream && !result.answer.metadata.isMisdirected
        ) {
            this.#options.outages.recordAnswered(listed, startMs);
        }
        const outcome = this.#evaluate(result, dispatched, listed);
        if (outcome.kind === "answer" && !outcome.isFailure) {
            this.#options.onAnswer(dispatched, clock.monotonicMs() - startMs);
        }
        this.#logAttempt(progress, selection, result, clock.monotonicMs() - startMs);
        progress.mayHaveRun ||= outcome.kind !== "not-run" && outcome.kind !== "invalid";
        // A result that the caller can use is not replaced by a later failure.
        if (progress.last === undefined || !isFinal(progress.last)) {
            progress.last = outcome;
        }
    }

    /** Evaluates the result of an attempt, and records what it shows about the upstream. */
    #evaluate(result: UpstreamResult, dispatched: DispatchedRequest, listed: ListedUpstream): DispatchResult {
        const upstream = listed.id;
        const { paths } = this.#options;
        return match(result)
            .with({ kind: "answer" }, ({ answer }): DispatchResult => {
                paths.recordSuccess(upstream);
                this.#options.crashes.clear(dispatched.fingerprint);
                return this.#evaluateResponse(answer, listed);
            })
            .with({ kind: "refused" }, ({ reason, hasExited }): DispatchResult => {
                this.#recordPathFailure(listed);
                if (hasExited === true) {
                    this.#options.outages.recordRefused(listed);
                }
                return { kind: "not-run", reason };
            })
            .with({ kind: "invalid" }, ({ reason }): DispatchResult => ({ kind: "invalid", reason }))
            .with({ kind: "broken" }, ({ reason, hadHeaders }): DispatchResult => {
                this.#recordPathFailure(listed);
                if (!hadHeaders) {
                    void this.#recordIfCrashed(dispatched, listed);
                }
                return { kind: "unknown", reason, isTimeout: false };
            })
            .with({ kind: "foreign" }, ({ reason }): DispatchResult => ({ kind: "unknown", reason, isTimeout: false }))
            .with({ kind: "timeout" }, (): DispatchResult => {
                this.#recordPathFailure(listed);
                return { kind: "unknown", reason: "no answer in time", isTimeout: true };
            })
            .with({ kind: "cancelled" }, (): DispatchResult => ({ kind: "cancelled" }))
            .exhaustive();
    }

    #recordPathFailure(listed: ListedUpstream): void {
        this.#options.paths.recordFailure(listed.id);
        this.#options.client.closeIdle(listed);
    }

    /** A network failure can also break a connection; only an upstream that refuses connections has crashed. */
    async #recordIfCrashed(dispatched: DispatchedRequest, listed: ListedUpstream): Promise<void> {
        if (await this.#options.client.isDown(listed)) {
            this.#options.outages.recordRefused(listed);
            this.#options.log.event("upstream-crashed", {
                request: dispatched.request.requestId,
                upstream: listed.id,
                fingerprint: dispatched.fingerprint,
            });
            this.#options.crashes.recordCrash(dispatched.fingerprint, listed.id);
        }
    }

    #evaluateResponse(answer: UpstreamResponse, listed: ListedUpstream): DispatchResult {
        const { outcomes, paths, statements } = this.#options;
        const upstream = listed.id;
        if (answer.metadata.isMisdirected) {
            paths.recordFailure(upstream);
            return { kind: "not-run", reason: "the address belongs to another upstream" };
        }
        if (answer.metadata.isNotRun || answer.metadata.isFromUpstream) {
            statements.recordAnswer(listed, answer.metadata.statement);
            if (answer.metadata.statement.isLeaving) {
                this.#options.client.closeIdle(listed);
            }
        }
        if (answer.metadata.isNotRun) {
            return { kind: "not-run", reason: `the upstream refused it with ${answer.status}` };
        }
        if (!answer.metadata.isFromUpstream && answer.status < 500) {
            return { kind: "unknown", reason: "the answer does not bear the upstream's mark", isTimeout: false };
        }
        const isFailure = answer.status >= 500;
        outcomes.record(upstream, isFailure ? "failure" : "success");
        return { kind: "answer", answer, isFailure };
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
    result.kind === "cancelled" || result.kind === "invalid" || result.kind === "answer" && !result.isFailure;
