/** Bounds the time that the parsing of callers' bytes takes in a turn of the event loop. */
import type { Clock } from "@sniperoad/core";

/** Time for all connections together. More delays other requests by as much in each turn. */
const maxTurnMs = 10;

/** Options of {@link TurnBudget}. */
export interface TurnBudgetOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    /** Runs a task in the next turn; `setImmediate` in a process. */
    readonly nextTurn: (task: () => void) => void;
}

/**
 * Lets connections work until the time of the turn is used; the others continue in the next turns, in the order in which
 * they asked. Many connections that send chunks of one byte would otherwise block the event loop for seconds.
 *
 * @example
 * while (hasWork && budget.hasTime()) { work(); }
 * budget.continueLater(resume);
 */
export class TurnBudget {
    readonly #options: TurnBudgetOptions;
    /** Start of the turn; undefined until something is done in it. */
    #startMs: number | undefined;
    #waiting: (() => void)[] = [];

    constructor(options: TurnBudgetOptions) {
        this.#options = options;
    }

    /** Whether others wait, so that each connection should do only a part of its work. */
    get isContended(): boolean {
        return this.#waiting.length > 0;
    }

    /** Whether work may be done in this turn. */
    hasTime(): boolean {
        const nowMs = this.#options.clock.monotonicMs();
        if (this.#startMs === undefined) {
            this.#startMs = nowMs;
            this.#options.nextTurn(() => this.#beginTurn());
        }
        return nowMs - this.#startMs < maxTurnMs;
    }

    /** Continues with a task in this turn or a later one, after those that wait already. */
    continueLater(task: () => void): void {
        this.#waiting.push(task);
        this.hasTime();
    }

    #beginTurn(): void {
        this.#startMs = undefined;
        if (this.#waiting.length === 0) {
            return;
        }
        const waiting = this.#waiting;
        this.#waiting = [];
        let done = 0;
        while (done < waiting.length && this.hasTime()) {
            waiting[done++]!();
        }
        this.#waiting = [...waiting.slice(done), ...this.#waiting];
    }
}
