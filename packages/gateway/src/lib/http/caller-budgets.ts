/** What the servers of a process share to bound what callers take. */
import type { Clock, LogPort } from "@sniperoad/core";
import { MemoryBudget } from "../request/memory-budget.js";
import { callerBoundsOf } from "./caller-bounds.js";
import type { CallerBounds, ProcessLimits } from "./caller-bounds.js";
import { CallerRejections } from "./caller-rejections.js";
import type { CallerRejection } from "./caller-rejections.js";
import { TurnBudget } from "./turn-budget.js";

/** Bounds, and what counts towards them. */
export interface CallerBudgets {
    readonly bounds: CallerBounds;
    readonly budget: MemoryBudget;
    readonly turns: TurnBudget;
    readonly rejections: CallerRejections;
}

/** Options of {@link createCallerBudgets}. */
export interface CallerBudgetsOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    readonly limits: ProcessLimits;
    /** Bytes of responses without a length that are read from upstreams. */
    readonly upstreamBytes: () => number;
    readonly onRejection: (reason: CallerRejection) => void;
}

/**
 * Creates the budgets of a process.
 *
 * @example
 * const budgets = createCallerBudgets({ clock, log, limits: { memoryMb: 250 }, upstreamBytes, onRejection });
 */
export const createCallerBudgets = (
    { clock, log, limits, upstreamBytes, onRejection }: CallerBudgetsOptions,
): CallerBudgets => {
    const bounds = callerBoundsOf(limits);
    const { maxBufferedBytes, maxHeapBytes } = bounds;
    return {
        bounds,
        budget: new MemoryBudget({ clock, maxBytes: maxBufferedBytes, maxHeapBytes, upstreamBytes }),
        turns: new TurnBudget({ clock, nextTurn: task => void setImmediate(task) }),
        rejections: new CallerRejections({ clock, log, onRejection }),
    };
};
