/** The order in which drawing instances wait for the tokens of one share. */

interface Place {
    readonly drawer: string;
    count: number;
    dueMs: number;
}

/** A place is given up when its instance has not asked again this long after its tokens were due. */
const graceMs = 20;

/** What a drawing instance gets out of a number of tokens. */
export interface QueueGrant {
    /** Tokens for its need. */
    readonly forNeed: number;
    /** Tokens that nobody waits for. */
    readonly spare: number;
}

/**
 * Keeps the tokens that refill an empty bucket for the instances that asked first. Without it, an instance that asks at
 * the right moment overtakes those that wait, and their requests are refused although the organisation keeps to its rate.
 */
export class TokenRequestQueue {
    #places: Place[] = [];

    /** Tokens that instances wait for. */
    get total(): number {
        return this.#places.reduce((sum, place) => sum + place.count, 0);
    }

    /** Serves an instance from its places and from what is left behind all places. */
    take(drawer: string, need: number, available: number, nowMs: number): QueueGrant {
        this.#places = this.#places.filter(place => place.dueMs + graceMs >= nowMs);
        let left = available;
        let taken = 0;
        for (const place of this.#places) {
            const offered = Math.max(0, Math.min(place.count, Math.floor(left)));
            left -= place.count;
            if (place.drawer === drawer) {
                const used = Math.min(offered, need - taken);
                taken += used;
                place.count -= used;
            }
        }
        const rest = Math.max(0, Math.min(need - taken, Math.floor(left)));
        return { forNeed: taken + rest, spare: Math.max(0, left - rest) };
    }

    /**
     * Adjusts the places of an instance to the tokens that it still needs: more are added at the end, as far as
     * `maxTotal` allows, and fewer are removed from the end.
     *
     * @returns how many tokens must be there for the next one of this instance; undefined if it needs none.
     */
    reserve(drawer: string, need: number, maxTotal: number): number | undefined {
        let left = need;
        for (const place of this.#places) {
            if (place.drawer === drawer) {
                place.count = Math.min(place.count, left);
                left -= place.count;
            }
        }
        this.#places = this.#places.filter(place => place.count > 0);
        const added = Math.min(left, Math.ceil(maxTotal) - this.total);
        if (added > 0) {
            this.#places.push({ drawer, count: added, dueMs: Number.POSITIVE_INFINITY });
        }
        if (need === 0) {
            return undefined;
        }
        let before = 0;
        for (const place of this.#places) {
            if (place.drawer === drawer) {
                break;
            }
            before += place.count;
        }
        return before + 1;
    }

    /** Sets when the places of an instance are due; `dueMs` tells it for a number of tokens. */
    schedule(drawer: string, dueMs: (tokens: number) => number): void {
        let total = 0;
        for (const place of this.#places) {
            total += place.count;
            if (place.drawer === drawer) {
                place.dueMs = dueMs(total);
            }
        }
    }
}
