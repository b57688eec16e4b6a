/** Evaluates the results of attempts, and records what they show about the upstreams. */
import type { LogPort } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { Selection } from "../balance/upstream-selector.js";
import type { PathBackoff } from "../health/path-backoff.js";
import type { RejectionMonitor } from "../health/rejection-monitor.js";
import type { SharedOutcomes } from "../health/shared-outcomes.js";
import type { ListedUpstream } from "../model.js";
import type { UpstreamOutages } from "../statements/upstream-outages.js";
import type { UpstreamStatements } from "../statements/upstream-statements.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { DispatchedRequest, DispatchResult } from "./dispatch.js";
import type { UpstreamClient, UpstreamResponse, UpstreamResult } from "./ports.js";

/** Options of {@link AttemptEvaluator}. */
export interface AttemptEvaluatorOptions {
    readonly log: LogPort;
    readonly client: UpstreamClient;
    readonly paths: PathBackoff;
    readonly outcomes: SharedOutcomes;
    readonly statements: Pick<UpstreamStatements, "recordAnswer">;
    readonly rejections: Pick<RejectionMonitor, "recordRejection">;
    readonly crashes: CrashTracker;
    readonly outages: Pick<UpstreamOutages, "recordRefused" | "recordAnswered">;
}

/** An attempt with its result. */
export interface EndedAttempt {
    readonly result: UpstreamResult;
    readonly dispatched: DispatchedRequest;
    readonly selection: Selection;
    /** Monotonic time at which the attempt began. */
    readonly startMs: number;
}

/**
 * Tells what a result says about the request, and records what it says about the upstream: its health, its path, its
 * statements and whether it crashed.
 *
 * @example
 * const outcome = evaluator.evaluate({ result, dispatched, selection, startMs });
 */
export class AttemptEvaluator {
    readonly #options: AttemptEvaluatorOptions;

    constructor(options: AttemptEvaluatorOptions) {
        this.#options = options;
    }

    /** Evaluates the result of an attempt, and records what it shows about the upstream. */
    evaluate({ result, dispatched, selection, startMs }: EndedAttempt): DispatchResult {
        const { listed } = selection.upstream;
        const upstream = listed.id;
        const { paths } = this.#options;
        return match(result)
            .with({ kind: "answer" }, ({ answer }): DispatchResult => {
                paths.recordSuccess(upstream);
                this.#options.crashes.clear(dispatched.fingerprint);
                if (answer.metadata.isFromUpstream && !answer.metadata.isMisdirected) {
                    this.#options.outages.recordAnswered(listed, startMs);
                }
                return this.#evaluateResponse(answer, selection);
            })
            .with({ kind: "refused" }, ({ reason, hasExited }): DispatchResult => {
                this.#recordPathFailure(listed);
                if (hasExited === true) {
                    this.#options.outages.recordRefused(listed);
                }
                return { kind: "not-run", reason };
            })
            .with({ kind: "invalid" }, ({ reason }): DispatchResult => ({ kind: "invalid", reason }))
            .with({ kind: "broken" }, ({ reason, hadHeaders, isOwnFault }): DispatchResult => {
                this.#recordPathFailure(listed);
                if (isOwnFault === true) {
                    this.#options.outcomes.record(upstream, "failure");
                }
                if (!hadHeaders) {
                    void this.#recordIfCrashed(dispatched, listed);
                }
                return { kind: "unknown", reason, isTimeout: false };
            })
            .with({ kind: "foreign" }, ({ reason }): DispatchResult => ({ kind: "unknown", reason, isTimeout: false }))
            .with(
                { kind: "no-memory" },
                (): DispatchResult => ({
                    kind: "unknown",
                    reason: "the memory for responses is in use",
                    isTimeout: false,
                    isFinal: true,
                }),
            )
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

    #evaluateResponse(answer: UpstreamResponse, selection: Selection): DispatchResult {
        const { outcomes, paths, statements, rejections } = this.#options;
        const { listed } = selection.upstream;
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
            const { isLeaving, limitPerSecond, retryAfterMs } = answer.metadata.statement;
            // An upstream that states why it rejects is treated by its statement.
            if (!isLeaving && limitPerSecond === undefined && retryAfterMs === undefined) {
                rejections.recordRejection(selection.upstream, selection.inFlight);
            }
            return { kind: "not-run", reason: `the upstream refused it with ${answer.status}` };
        }
        if (!answer.metadata.isFromUpstream && answer.status < 500) {
            return { kind: "unknown", reason: "the answer does not bear the upstream's mark", isTimeout: false };
        }
        const isFailure = answer.status >= 500;
        outcomes.record(upstream, isFailure ? "failure" : "success");
        return { kind: "answer", answer, isFailure };
    }
}
