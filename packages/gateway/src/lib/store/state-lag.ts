/** Records since when this instance has known of a newer state than its own. */
import type { Clock, LogPort } from "@sniperoad/core";
import type { SharedCollection } from "./state-messages.js";

interface Lag {
    /** Newest revision that was heard of. */
    readonly revision: number;
    readonly sinceMs: number;
}

/**
 * Tells how long a newer revision has been known that this instance does not hold, and logs the first news of each.
 *
 * @example
 * lag.recordHeard("config", 12, 9);
 * lag.behindMs("config", 9); // time since then; 0 once revision 12 is held
 */
export class StateLag {
    readonly #clock: Clock;
    readonly #log: LogPort;
    readonly #lags = new Map<SharedCollection, Lag>();

    constructor(clock: Clock, log: LogPort) {
        this.#clock = clock;
        this.#log = log;
    }

    /** Records that another instance holds a revision that is newer than the own one. */
    recordHeard(collection: SharedCollection, revision: number, heldRevision: number): void {
        const lag = this.#lags.get(collection);
        if (lag !== undefined && lag.revision >= revision) {
            return;
        }
        const sinceMs = lag !== undefined && lag.revision > heldRevision ? lag.sinceMs : this.#clock.monotonicMs();
        this.#lags.set(collection, { revision, sinceMs });
        this.#log.event("state-behind", { collection, held: heldRevision, newest: revision });
    }

    /** Time since the first news of a revision above the held one; 0 if there is none. */
    behindMs(collection: SharedCollection, heldRevision: number): number {
        const lag = this.#lags.get(collection);
        return lag === undefined || lag.revision <= heldRevision ? 0 : this.#clock.monotonicMs() - lag.sinceMs;
    }
}
