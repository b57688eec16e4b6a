/** Queue of the instances that wait for tokens of one share. */

interface QueueEntry {
    readonly instance: string;
    /** Tokens that the entry reserves. */
    count: number;
    /** Time at which the bucket will have refilled all tokens of the entry. */
    dueAtMs: number;
}

/** Time after its tokens are due at which an entry expires, unless its instance has requested tokens again. */
const entryGraceMs = 20;

/** Division of the available tokens for one requesting instance. */
export interface QueueGrant {
    /** Tokens for the need of the instance. */
    readonly forNeed: number;
    /** Remaining tokens that no entry reserves. */
    readonly spare: number;
}

/**
 * Reserves the tokens that refill an empty bucket for the instances that requested them first. Without it, an instance
 * that sends a request at the right moment overtakes those that wait, and their requests are refused although the
 * organisation keeps to its rate.
 */
export class TokenRequestQueue {
    #entries: QueueEntry[] = [];

    /** Tokens that instances are waiting for. */
    get total(): number {
        return this.#entries.reduce((sum, entry) => sum + entry.count, 0);
    }

    /** Serves an instance from its entries and from the tokens that no entry reserves. */
    take(instance: string, need: number, available: number, nowMs: number): QueueGrant {
        this.#entries = this.#entries.filter(entry => entry.dueAtMs + entryGraceMs >= nowMs);
        let left = available;
        let taken = 0;
        for (const entry of this.#entries) {
            const offered = Math.max(0, Math.min(entry.count, Math.floor(left)));
            left -= entry.count;
            if (entry.instance === instance) {
                const used = Math.min(offered, need - taken);
                taken += used;
                entry.count -= used;
            }
        }
        const rest = Math.max(0, Math.min(need - taken, Math.floor(left)));
        return { forNeed: taken + rest, spare: Math.max(0, left - rest) };
    }

    /**
     * Adjusts the entries of an instance to the tokens that it still needs: more are added at the end, as far as
     * `maxTotal` allows, and excess ones are removed from the end.
     *
     * @returns The number of tokens that must be available for the next token of this instance; undefined if it needs
     * none.
     */
    reserve(instance: string, need: number, maxTotal: number): number | undefined {
        let left = need;
        for (const entry of this.#entries) {
            if (entry.instance === instance) {
                entry.count = Math.min(entry.count, left);
                left -= entry.count;
            }
        }
        this.#entries = this.#entries.filter(entry => entry.count > 0);
        const added = Math.min(left, Math.ceil(maxTotal) - this.total);
        if (added > 0) {
            this.#entries.push({ instance, count: added, dueAtMs: Number.POSITIVE_INFINITY });
        }
        if (need === 0) {
            return undefined;
        }
        let before = 0;
        for (const entry of this.#entries) {
            if (entry.instance === instance) {
                break;
            }
            before += entry.count;
        }
        return before + 1;
    }

    /** Sets when the entries of an instance are due; `dueAtMs` returns the time for a number of tokens. */
    schedule(instance: string, dueAtMs: (tokens: number) => number): void {
        let total = 0;
        for (const entry of this.#entries) {
            total += entry.count;
            if (entry.instance === instance) {
                entry.dueAtMs = dueAtMs(total);
            }
        }
    }
}
