/** Bounds the time that the parsing of callers' bytes takes in a turn of the event loop. */
import type { Clock } from "@sniperoad/core";

/** Time for all connections together. More delays other requests by as much in each turn. */
const maxTurnMs = 10;
/** Bytes up to which a connection is served first; each further level has twice as many. */
const firstLevelBytes = 1_024;
const levelCount = 8;

/** Options of {@link TurnBudget}. */
export interface TurnBudgetOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    /** Runs a task in the next turn; `setImmediate` in a process. */
    readonly nextTurn: (task: () => void) => void;
}

/**
 * Lets connections work until the time of the turn is used; the others continue in the next turns. Those that have used
 * least are served first, by multilevel feedback (Corbató et al., 1962), and those alike in the order in which they
 * asked. Otherwise many connections that send chunks of one byte would block the event loop for seconds, and an ordinary
 * request would wait for a round of them in each of its steps.
 *
 * @example
 * while (hasWork && budget.hasTime()) { work(); }
 * budget.continueLater(resume, usedBytes);
 */
export class TurnBudget {
    readonly #options: TurnBudgetOptions;
    /** Start of the turn; undefined until something is done in it. */
    #startMs: number | undefined;
    readonly #levels: (() => void)[][] = Array.from({ length: levelCount }, () => []);

    constructor(options: TurnBudgetOptions) {
        this.#options = options;
    }

    /** Whether others wait, so that each connection should do only a part of its work. */
    get isContended(): boolean {
        return this.#levels.some(({ length }) => length > 0);
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

    /**
     * Continues with a task in this turn or a later one.
     *
     * @param usedBytes what its connection has used lately
     */
    continueLater(task: () => void, usedBytes: number): void {
        const level = Math.floor(Math.log2(Math.max(1, usedBytes / firstLevelBytes)));
        this.#levels[Math.min(level, levelCount - 1)]!.push(task);
        this.hasTime();
    }

    #beginTurn(): void {
        this.#startMs = undefined;
        // Tasks that continue later are served in this turn only if none waits that has used less.
        for (let tasks = this.#nextTasks(); tasks !== undefined && this.hasTime(); tasks = this.#nextTasks()) {
            tasks.shift()!();
        }
    }

    #nextTasks(): (() => void)[] | undefined {
        return this.#levels.find(({ length }) => length > 0);
    }
}
