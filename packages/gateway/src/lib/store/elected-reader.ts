/** A reader that runs while its instance is elected. */
import type { Clock, Random } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { Roster } from "../fleet/roster.js";
import type { CollectionReader } from "./collection-reader.js";
import { probeIntervalMs, roleOf } from "./reader-election.js";
import type { ReaderCandidate } from "./reader-election.js";
import type { SharedCollection } from "./state-messages.js";

/**
 * Time without a heartbeat after which an instance no longer counts as a reader, in addition to the interval between
 * digests: an interval of heartbeats and some delay. It is shorter than the time after which an instance is considered
 * down, since a change must be in force within its bound even if readers fail.
 */
const readerTimeoutMs = 500;

/** Options of {@link ElectedReader}. */
export interface ElectedReaderOptions<Name extends SharedCollection> {
    readonly collection: Name;
    readonly reader: CollectionReader<Name>;
    /** See `instanceKey`. */
    readonly ownKey: number;
    readonly clock: Clock;
    readonly random: Random;
    readonly roster: Roster;
    /** Interval between the digests in which this instance hears of the others. */
    readonly digestIntervalMs: () => number;
    /** Interval between two calls of {@link ElectedReader.review}. */
    readonly reviewIntervalMs: number;
}

/**
 * Starts and stops the reader of a collection as the instances elect it.
 *
 * @example
 * const elected = new ElectedReader(options);
 * elected.review();
 */
export class ElectedReader<Name extends SharedCollection> {
    readonly #options: ElectedReaderOptions<Name>;

    constructor(options: ElectedReaderOptions<Name>) {
        this.#options = options;
    }

    /** Reconsiders whether to read; call it periodically. */
    review(): void {
        const { collection, reader, ownKey } = this.#options;
        match(roleOf({ key: ownKey, state: reader.state }, collection, this.#candidates()))
            .with("read", () => reader.start())
            .with("probe", () => this.#isProbeDue() && reader.start())
            .with("rest", () => reader.stop())
            .exhaustive();
    }

    /** Spreads the probes of all instances at random, so that they need no agreement. */
    #isProbeDue(): boolean {
        const { random, roster, reviewIntervalMs } = this.#options;
        return random() * (roster.live().length + 1) < reviewIntervalMs / probeIntervalMs;
    }

    *#candidates(): Iterable<ReaderCandidate> {
        const { collection, roster, clock, digestIntervalMs } = this.#options;
        const heardSinceMs = clock.monotonicMs() - readerTimeoutMs - digestIntervalMs();
        for (const { key, isLeaving, heardMs, readers } of roster.live()) {
            if (!isLeaving && heardMs >= heardSinceMs) {
                yield { key, state: readers[collection] };
            }
        }
    }
}
