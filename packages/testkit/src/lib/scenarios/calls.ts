/** Calls of the callers of a scenario. */
import type { Outcome } from "@sniperoad/core";

/** One call and its result. */
export interface CallRecord {
    readonly atMs: number;
    readonly organisation: string;
    readonly route: string;
    readonly idempotencyKey: string | undefined;
    readonly status: number;
    readonly outcome: Outcome;
    readonly type: string;
    readonly endedMs: number;
}

/** Request that a caller sends. */
export interface CallSpec {
    readonly organisation: string;
    readonly method: string;
    readonly target: string;
    readonly idempotencyKey?: string;
    readonly isFirst?: boolean;
    readonly deadlineMs?: number;
}
