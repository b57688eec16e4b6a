/** Queue with a fair share of slot time for each organisation. */
import type { OrganisationId } from "../types.js";

/** An item that waits in a {@link FairQueue}. */
export interface QueuedItem<T> {
    readonly organisation: OrganisationId;
    /** Expected slot time. */
    readonly costMs: number;
    readonly item: T;
}

interface OrganisationQueue<T> {
    readonly entries: QueuedItem<T>[];
    /** Slot time of earlier turns that was not used. */
    deficitMs: number;
}

/**
 * Deficit round robin over organisations: in its turn, each gets the same slot time, regardless of the cost and the
 * number of its waiting requests.
 *
 * @example
 * queue.add({ organisation, costMs: 50, item });
 * queue.dispatch(item => tryToPlace(item));
 */
export class FairQueue<T> {
    readonly #quantumMs: number;
    readonly #maxItems: number;
    /** In the order of turns; the first queue is next. */
    readonly #queues = new Map<OrganisationId, OrganisationQueue<T>>();
    #size = 0;

    constructor(quantumMs: number, maxItems: number) {
        this.#quantumMs = quantumMs;
        this.#maxItems = maxItems;
    }

    get size(): number {
        return this.#size;
    }

    /**
     * Adds an item. If that exceeds the limit, removes the newest item of the organisation with the most items, so that
     * one organisation cannot fill the queue. Returns the removed item, which may be the added one, if any.
     */
    add(item: QueuedItem<T>): QueuedItem<T> | undefined {
        const queue = this.#queues.get(item.organisation) ?? { entries: [], deficitMs: 0 };
        this.#queues.set(item.organisation, queue);
        queue.entries.push(item);
        this.#size++;
        if (this.#size <= this.#maxItems) {
            return undefined;
        }
        let longest = queue;
        for (const other of this.#queues.values()) {
            longest = other.entries.length > longest.entries.length ? other : longest;
        }
        const dropped = longest.entries.at(-1)!;
        this.remove(dropped);
        return dropped;
    }

    /** Returns false if the item is not in the queue. */
    remove(item: QueuedItem<T>): boolean {
        const queue = this.#queues.get(item.organisation);
        const index = queue?.entries.indexOf(item) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.entries.splice(index, 1);
        this.#size--;
        if (queue.entries.length === 0) {
            this.#queues.delete(item.organisation);
        }
        return true;
    }

    /** Places items in fair order until the next item of every organisation is refused. */
    dispatch(tryPlace: (item: T) => boolean): void {
        // An organisation whose next request cannot be placed, because of its route, does not block the others.
        const blocked = new Set<OrganisationId>();
        while (blocked.size < this.#queues.size) {
            const [organisation, queue] = this.#queues.entries().next().value!;
            const next = queue.entries[0]!;
            if (!blocked.has(organisation) && queue.deficitMs >= next.costMs) {
                if (tryPlace(next.item)) {
                    queue.deficitMs -= next.costMs;
                    this.remove(next);
                    continue;
                }
                blocked.add(organisation);
            }
            // The turn passes to the next organisation. A blocked organisation accumulates no credit.
            if (!blocked.has(organisation)) {
                queue.deficitMs += this.#quantumMs;
            }
            this.#queues.delete(organisation);
            this.#queues.set(organisation, queue);
        }
    }
}
