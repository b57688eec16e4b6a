/** Decides what follows from an error that no component has handled. */
import type { Clock, LogPort } from "@sniperoad/core";
import { errorMessage } from "../errors.js";

/** Number of unhandled errors within {@link windowMs} from which the state of the process counts as damaged. */
const maxErrors = 20;
const windowMs = 10_000;
/** Maximum length of the logged stack, in characters. */
const maxStackLength = 600;

/** Options of {@link UnexpectedErrors}. */
export interface UnexpectedErrorsOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    /** Ends the process, after which the platform starts it again. */
    readonly exit: () => void;
}

/**
 * Keeps the process running after an unhandled error, since one malformed message must not end the requests of all other
 * callers. Many errors within a short time mean that the process itself is damaged, and end it.
 *
 * @example
 * process.on("uncaughtException", error => errors.record(error));
 */
export class UnexpectedErrors {
    readonly #options: UnexpectedErrorsOptions;
    #recentMs: number[] = [];
    /** Number of unhandled errors since the start. */
    count = 0;

    constructor(options: UnexpectedErrorsOptions) {
        this.#options = options;
    }

    record(error: unknown): void {
        const { clock, log, exit } = this.#options;
        const nowMs = clock.monotonicMs();
        this.count++;
        this.#recentMs = [...this.#recentMs.filter(atMs => nowMs - atMs < windowMs), nowMs];
        const mustExit = this.#recentMs.length >= maxErrors;
        log.event("unexpected-error", {
            reason: errorMessage(error),
            stack: error instanceof Error ? error.stack?.slice(0, maxStackLength) : undefined,
            count: this.count,
            isExiting: mustExit,
        });
        if (mustExit) {
            exit();
        }
    }
}
