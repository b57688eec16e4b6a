/** Sends one request to upstreams, again where that is allowed. */
import type { Clock, LogPort, OrganisationId, ServiceId, Timer, UpstreamId } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { FleetLoad } from "../balance/fleet-load.js";
import type { RetryBudget } from "../balance/retry-budget.js";
import type { Selection, UpstreamSelector } from "../balance/upstream-selector.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { SharedOutcomes } from "../health/shared-outcomes.js";
import type { UpstreamFloor } from "../health/upstream-floor.js";
import type { DecodedRequest, GatewayRoute, ListedUpstream } from "../model.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { HeaderCodec, UpstreamClient, UpstreamResponse, UpstreamResult } from "./ports.js";

/**
 * Part of the target latency after which a repeatable request is sent to a second upstream too. Most answers come well
 * before it, and enough time is left for the second one.
 */
const hedgeAfterShare = 0.55;

/** Part of the target latency after which an upstream that has not answered counts as silent. */
const silentAfterShare = 1;
/** Connections that one request may try in vain. Nothing was sent, so they are no attempts. */
const maxVainConnections = 4;

/** What {@link UpstreamDispatcher} needs. */
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
    readonly retryBudget: RetryBudget;
    readonly candidates: (service: ServiceId) => readonly KnownUpstream[];
    readonly crashes: CrashTracker;
}

/** A request on its way to the upstreams of a service. */
export interface DispatchedRequest {
    readonly request: DecodedRequest;
    readonly body: Uint8Array;
    readonly route: GatewayRoute;
    readonly service: ServiceId;
    readonly organisation: OrganisationId | undefined;
    readonly fingerprint: string;
    /** Monotonic time at which the caller must have its answer. */
    readonly deadlineAtMs: number;
    /** Aborted when the caller goes away. */
    readonly signal: AbortSignal;
}

/** What became of the request. */
export type DispatchResult =
    /** `isFailure`: the upstream itself reports that it failed. */
    | { readonly kind: "answer"; readonly answer: UpstreamResponse; readonly isFailure: boolean; }
    /** No upstream ran it, or ever will. */
    | { readonly kind: "not-run"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; readonly isTimeout: boolean; }
    | { readonly kind: "cancelled"; };

interface Progress {
    readonly work: DispatchedRequest;
    readonly tried: Set<UpstreamId>;
    /** Attempts that reached an upstream, or are on their way. */
    sent: number;
    vainConnections: number;
    /** Best result so far of an attempt that has ended. */
    last: DispatchResult | undefined;
    /** Whether some attempt may have run. */
    mayHaveRun: boolean;
}

/**
 * Runs the attempts of requests.
 *
 * @example
 * const result = await attempts.run(work);
 */
export class UpstreamDispatcher {
    readonly #options: UpstreamDispatcherOptions;

    constructor(options: UpstreamDispatcherOptions) {
        this.#options = options;
    }

    async run(work: DispatchedRequest): Promise<DispatchResult> {
        const progress: Progress = {
            work,
            tried: new Set(),
            sent: 0,
            vainConnections: 0,
            last: undefined,
            mayHaveRun: false,
        };
        const ended = new AbortController();
        const signal = AbortSignal.any([work.signal, ended.signal]);
        try {
            return await this.#race(progress, signal);
        }
        finally {
            // A second attempt that is still on its way is of no more use.
            ended.abort();
        }
    }

    /** Starts attempts one after the other, the second one early if the first takes long. */
    async #race(progress: Progress, signal: AbortSignal): Promise<DispatchResult> {
        const running = new Set<Promise<void>>();
        for (;;) {
            const final = progress.last;
            if (final !== undefined && isFinal(final)) {
                return final;
            }
            if (running.size === 0) {
                const choice = this.#mayStart(progress) ? this.#choose(progress) : undefined;
                if (choice === undefined) {
                    return this.#giveUp(progress);
                }
                this.#start(progress, choice, signal, running);
            }
            const isHedgeDue = await this.#next(progress, running);
            if (isHedgeDue && running.size > 0 && this.#mayStart(progress)) {
                const choice = this.#choose(progress);
                if (choice !== undefined) {
                    this.#options.log.event("request-hedged", { request: progress.work.request.requestId });
                    this.#start(progress, choice, signal, running);
                }
            }
        }
    }

    /** Waits until an attempt ends; true if the time for a hedge came first. */
    async #next({ work, sent }: Progress, running: ReadonlySet<Promise<void>>): Promise<boolean> {
        const { clock } = this.#options;
        if (!work.route.isIdempotent || sent > 1) {
            await Promise.race(running);
            return false;
        }
        let timer: Timer | undefined;
        const hedge = new Promise<true>(resolve => {
            timer = clock.after(work.route.targetLatencyMs * hedgeAfterShare, () => resolve(true));
        });
        const result = await Promise.race([hedge, ...running]);
        timer?.cancel();
        return result === true;
    }

    #mayStart({ work, sent, vainConnections, mayHaveRun }: Progress): boolean {
        const { retryBudget: allowance, clock } = this.#options;
        const isUseful = clock.monotonicMs() < work.deadlineAtMs
            && !work.signal.aborted
            && vainConnections < maxVainConnections;
        if (sent === 0) {
            return isUseful;
        }
        return isUseful
            && sent < work.route.maxAttempts
            && (work.route.isIdempotent || !mayHaveRun)
            && allowance.tryAcquire(work.service);
    }

    #choose({ work, tried }: Progress): Selection | undefined {
        return this.#options.selector.select({
            candidates: this.#options.candidates(work.service),
            tried,
            // Without an extra attempt left a failure is final, so the request explores no suspects.
            isRepeatable: work.route.isIdempotent
                && tried.size + 1 < work.route.maxAttempts
                && this.#options.retryBudget.hasCredit(work.service),
        });
    }

    #start(progress: Progress, choice: Selection, signal: AbortSignal, running: Set<Promise<void>>): void {
        this.#options.floor.recordUse(choice.upstream.listed.id);
        progress.sent++;
        progress.tried.add(choice.upstream.listed.id);
        const attempt = this.#attempt(progress, choice, signal).then(() => {
            running.delete(attempt);
        });
        running.add(attempt);
    }

    async #attempt(progress: Progress, choice: Selection, signal: AbortSignal): Promise<void> {
        const { clock, client: caller, codec: dialect, load, outcomes } = this.#options;
        const { work } = progress;
        const { listed } = choice.upstream;
        const startMs = clock.monotonicMs();
        const timeoutMs = Math.max(1, work.deadlineAtMs - startMs);
        const done = load.beginRequest(listed.id);
        const silence = clock.after(work.route.targetLatencyMs * silentAfterShare, () => {
            outcomes.record(listed.id, "silence");
            // An answer that still comes ends the pause.
            this.#options.paths.recordFailure(listed.id);
        });
        const result = await caller.call({
            upstream: listed,
            method: work.request.method,
            target: work.request.target,
            headers: dialect.upstreamHeaders(work.request, {
                upstream: listed,
                organisation: work.organisation,
                deadlineMs: Math.max(1, Math.floor(timeoutMs)),
            }),
            body: work.body,
            requestId: work.request.requestId,
            timeoutMs,
            isRepeatable: work.route.isIdempotent,
            signal,
        });
        done();
        silence.cancel();
        if (result.kind === "refused") {
            progress.sent--;
            progress.vainConnections++;
        }
        const outcome = this.#judge(result, work, listed);
        this.#log(progress, choice, result, clock.monotonicMs() - startMs);
        progress.mayHaveRun ||= outcome.kind !== "not-run";
        // An attempt that a caller can use is not replaced by a later one that failed.
        if (progress.last === undefined || !isFinal(progress.last)) {
            progress.last = outcome;
        }
    }

    /** What an attempt says about the request and about its upstream. */
    #judge(result: UpstreamResult, work: DispatchedRequest, listed: ListedUpstream): DispatchResult {
        const upstream = listed.id;
        const { paths } = this.#options;
        return match(result)
            .with({ kind: "answer" }, ({ answer }): DispatchResult => {
                paths.recordSuccess(upstream);
                this.#options.crashes.clear(work.fingerprint);
                return this.#judgeAnswer(answer, upstream);
            })
            .with({ kind: "refused" }, ({ reason }): DispatchResult => {
                this.#notePathFailure(listed);
                return { kind: "not-run", reason };
            })
            .with({ kind: "broken" }, ({ reason, hadHeaders }): DispatchResult => {
                this.#notePathFailure(listed);
                if (!hadHeaders) {
                    void this.#noteIfCrashed(work, listed);
                }
                return { kind: "unknown", reason, isTimeout: false };
            })
            .with({ kind: "foreign" }, ({ reason }): DispatchResult => ({ kind: "unknown", reason, isTimeout: false }))
            .with({ kind: "timeout" }, (): DispatchResult => {
                this.#notePathFailure(listed);
                return { kind: "unknown", reason: "no answer in time", isTimeout: true };
            })
            .with({ kind: "cancelled" }, (): DispatchResult => ({ kind: "cancelled" }))
            .exhaustive();
    }

    #notePathFailure(listed: ListedUpstream): void {
        this.#options.paths.recordFailure(listed.id);
        this.#options.client.closeIdle(listed);
    }

    /** A connection that broke may be the path's fault; a process that refuses connections has ended. */
    async #noteIfCrashed(work: DispatchedRequest, listed: ListedUpstream): Promise<void> {
        if (await this.#options.client.isDown(listed)) {
            this.#options.log.event("upstream-crashed", {
                request: work.request.requestId,
                upstream: listed.id,
                fingerprint: work.fingerprint,
            });
            this.#options.crashes.recordCrash(work.fingerprint, listed.id);
        }
    }

    #judgeAnswer(answer: UpstreamResponse, upstream: UpstreamId): DispatchResult {
        const { outcomes, paths } = this.#options;
        if (answer.marks.isMisdirected) {
            paths.recordFailure(upstream);
            return { kind: "not-run", reason: "the address belongs to another upstream" };
        }
        if (answer.marks.isNotRun) {
            return { kind: "not-run", reason: `the upstream refused it with ${answer.status}` };
        }
        if (!answer.marks.isFromUpstream && answer.status < 500) {
            return { kind: "unknown", reason: "the answer does not bear the upstream's mark", isTimeout: false };
        }
        const isFailure = answer.status >= 500;
        outcomes.record(upstream, isFailure ? "failure" : "success");
        return { kind: "answer", answer, isFailure };
    }

    #giveUp({ work, last, mayHaveRun }: Progress): DispatchResult {
        if (work.signal.aborted) {
            return { kind: "cancelled" };
        }
        if (last === undefined) {
            return { kind: "not-run", reason: "no upstream of the service is listed" };
        }
        if (last.kind === "not-run" && mayHaveRun) {
            return { kind: "unknown", reason: `an earlier attempt may have run; ${last.reason}`, isTimeout: false };
        }
        return last;
    }

    #log({ work, sent }: Progress, choice: Selection, result: UpstreamResult, tookMs: number): void {
        this.#options.log.event("attempt", {
            request: work.request.requestId,
            number: sent,
            route: work.route.id,
            service: work.service,
            upstream: choice.upstream.listed.id,
            gray: Number(choice.grayProbability.toFixed(3)),
            inFlight: choice.inFlight,
            candidates: choice.candidateCount,
            result: result.kind,
            status: result.kind === "answer" ? result.answer.status : undefined,
            reason: "reason" in result ? result.reason : undefined,
            tookMs: Math.round(tookMs),
            leftMs: Math.round(work.deadlineAtMs - this.#options.clock.monotonicMs()),
        });
    }
}

/** A result after which no further attempt is made. */
const isFinal = (result: DispatchResult): boolean =>
    result.kind === "cancelled" || result.kind === "answer" && !result.isFailure;
