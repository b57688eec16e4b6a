/** Waiting work with a fair share for each organisation. */
import type { OrganisationId } from "../types.js";

/** One waiting item. */
export interface QueuedItem<T> {
    readonly organisation: OrganisationId;
    /** Expected slot time. */
    readonly costMs: number;
    readonly item: T;
}

interface Line<T> {
    readonly entries: QueuedItem<T>[];
    deficitMs: number;
}

/**
 * Deficit round robin over organisations: in its turn each gets the same slot time, whatever its requests cost and
 * however many it has waiting.
 *
 * @example
 * queue.add({ organisation, costMs: 50, item });
 * queue.take(item => tryToPlace(item));
 */
export class FairQueue<T> {
    readonly #quantumMs: number;
    readonly #limit: number;
    /** In the order of turns; the first one is next. */
    readonly #lines = new Map<OrganisationId, Line<T>>();
    #size = 0;

    constructor(quantumMs: number, limit: number) {
        this.#quantumMs = quantumMs;
        this.#limit = limit;
    }

    get size(): number {
        return this.#size;
    }

    /**
     * Adds an item. When the queue is full, the newest item of the longest line gives way, so an organisation cannot
     * take the room of the others. Returns the item that has no room: another one, this one, or none.
     */
    add(waiting: QueuedItem<T>): QueuedItem<T> | undefined {
        const line = this.#lines.get(waiting.organisation) ?? { entries: [], deficitMs: 0 };
        this.#lines.set(waiting.organisation, line);
        line.entries.push(waiting);
        this.#size++;
        if (this.#size <= this.#limit) {
            return undefined;
        }
        let longest = line;
        for (const other of this.#lines.values()) {
            longest = other.entries.length > longest.entries.length ? other : longest;
        }
        const dropped = longest.entries.at(-1)!;
        this.remove(dropped);
        return dropped;
    }

    remove(waiting: QueuedItem<T>): boolean {
        const line = this.#lines.get(waiting.organisation);
        const index = line?.entries.indexOf(waiting) ?? -1;
        if (line === undefined || index < 0) {
            return false;
        }
        line.entries.splice(index, 1);
        this.#size--;
        if (line.entries.length === 0) {
            this.#lines.delete(waiting.organisation);
        }
        return true;
    }

    /** Offers items in their fair order until none of the next ones can be placed. */
    dispatch(tryPlace: (item: T) => boolean): void {
        // An organisation whose next request cannot be placed, on account of its route, does not hold up the others.
        const stuck = new Set<OrganisationId>();
        while (stuck.size < this.#lines.size) {
            const [organisation, line] = this.#lines.entries().next().value!;
            const next = line.entries[0]!;
            if (!stuck.has(organisation) && line.deficitMs >= next.costMs) {
                if (tryPlace(next.item)) {
                    line.deficitMs -= next.costMs;
                    this.remove(next);
                    continue;
                }
                stuck.add(organisation);
            }
            // The turn passes on. Credit is not saved up while an organisation is stuck.
            if (!stuck.has(organisation)) {
                line.deficitMs += this.#quantumMs;
            }
            this.#lines.delete(organisation);
            this.#lines.set(organisation, line);
        }
    }
}
