/** Bounds what is parsed of the responses of all connections in a turn of the event loop. */

/** Bytes that are no body, of all connections together; short header lines of this size take about 10 ms to parse. */
const maxBytesPerTurn = 65_536;
/** Bytes after which a connection that has waited lets the next one go on. */
const bytesPerWaiter = 4_096;

/** A connection with bytes to parse. */
export interface TurnWaiter {
    /** Bytes of its response that are no body and were parsed so far. */
    readonly overheadBytes: number;
    /** Parses what it may. */
    resume(): void;
}

/**
 * Lets connections parse what they received, within a bound for each turn of the event loop. The others wait, and those
 * with the fewest bytes that are no body go on first, so that ordinary responses are not behind endless ones.
 *
 * @example
 * if (turns.tryTake(connection)) {
 *     turns.spend(parse(piece));
 * }
 */
export class ParserTurns {
    readonly #nextTurn: (run: () => void) => void;
    readonly #waiting = new Set<TurnWaiter>();
    #spentBytes = 0;
    /** Bytes that the waiter that goes on now may still parse. */
    #grantedBytes: number | undefined;
    #isScheduled = false;

    /** @param nextTurn runs a function in the next turn of the event loop */
    constructor(nextTurn: (run: () => void) => void = run => void setImmediate(run)) {
        this.#nextTurn = nextTurn;
    }

    /** Whether a connection may parse its next piece now; otherwise it is resumed in a later turn. */
    tryTake(waiter: TurnWaiter): boolean {
        const isNext = this.#grantedBytes === undefined ? this.#waiting.size === 0 : this.#grantedBytes > 0;
        if (isNext && this.#spentBytes < maxBytesPerTurn) {
            return true;
        }
        this.#waiting.add(waiter);
        this.#schedule();
        return false;
    }

    /** Counts bytes that were parsed and are no body. */
    spend(sizeBytes: number): void {
        this.#spentBytes += sizeBytes;
        if (this.#grantedBytes !== undefined) {
            this.#grantedBytes -= sizeBytes;
        }
        this.#schedule();
    }

    /** Forgets a connection that has closed. */
    leave(waiter: TurnWaiter): void {
        this.#waiting.delete(waiter);
    }

    #schedule(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            this.#nextTurn(() => this.#run());
        }
    }

    #run(): void {
        this.#isScheduled = false;
        this.#spentBytes = 0;
        const waiters = [...this.#waiting].toSorted((left, right) => left.overheadBytes - right.overheadBytes);
        for (const waiter of waiters) {
            if (this.#spentBytes >= maxBytesPerTurn) {
                break;
            }
            this.#waiting.delete(waiter);
            this.#grantedBytes = bytesPerWaiter;
            waiter.resume();
        }
        this.#grantedBytes = undefined;
        if (this.#waiting.size > 0) {
            this.#schedule();
        }
    }
}
