/** Requests that simulated callers send in a scenario, and their recorded results. */
import type { Outcome } from "@sniperoad/core";

/** One call and its result. */
export interface CallRecord {
    readonly atMs: number;
    readonly organisation: string;
    readonly route: string;
    readonly idempotencyKey: string | undefined;
    readonly status: number;
    readonly outcome: Outcome;
    /** Refusal type of the problem response; empty if the request was not refused. */
    readonly refusalType: string;
    readonly endedMs: number;
}

/** Request that a caller sends. */
export interface CallSpec {
    readonly organisation: string;
    readonly method: string;
    readonly target: string;
    readonly idempotencyKey?: string;
    /** Whether the caller declares that no earlier attempt was sent. */
    readonly isFirstAttempt?: boolean;
    readonly deadlineMs?: number;
}
