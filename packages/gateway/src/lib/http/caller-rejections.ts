/** Counts and logs callers that are rejected because they take too much. */
import type { Clock, LogPort } from "@sniperoad/core";

/** Time between two lines on the same kind; abusive callers would otherwise fill the log. */
const lineIntervalMs = 1_000;

/**
 * Why a caller was rejected: `memory`, no memory for a header, a body or a response; `header`, a header that is far too
 * long; `malformed`, bytes that are no request, or a `CONNECT`; `connections`, too many connections; `stalled-body`, a
 * body that does not arrive; `unread-response`, a response that is not read.
 */
export type CallerRejection = "memory" | "header" | "malformed" | "connections" | "stalled-body" | "unread-response";

/** Options of {@link CallerRejections}. */
export interface CallerRejectionsOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly log: LogPort;
    readonly onRejection: (reason: CallerRejection) => void;
}

interface Unlogged {
    count: number;
    lineMs: number;
}

/**
 * Counts each rejection, and logs the first of a kind at once and the number of the others at most once a second.
 *
 * @example
 * rejections.record("memory");
 */
export class CallerRejections {
    readonly #options: CallerRejectionsOptions;
    readonly #unlogged = new Map<CallerRejection, Unlogged>();

    constructor(options: CallerRejectionsOptions) {
        this.#options = options;
    }

    record(reason: CallerRejection): void {
        const state = this.#unlogged.get(reason) ?? { count: 0, lineMs: -Infinity };
        this.#unlogged.set(reason, state);
        state.count++;
        this.#options.onRejection(reason);
        this.#write(reason, state);
    }

    /** Logs what was counted since the last lines. */
    review(): void {
        this.#unlogged.forEach((state, reason) => this.#write(reason, state));
    }

    #write(reason: CallerRejection, state: Unlogged): void {
        const nowMs = this.#options.clock.monotonicMs();
        if (state.count > 0 && nowMs - state.lineMs >= lineIntervalMs) {
            this.#options.log.event("caller-rejected", { reason, count: state.count });
            state.count = 0;
            state.lineMs = nowMs;
        }
    }
}
