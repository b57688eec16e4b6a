/** Limits what an instance sends of its state, so that its link stays free for requests and heartbeats. */
import type { Clock } from "@sniperoad/core";
import { LeakyBucket } from "../statements/leaky-bucket.js";

/** Bytes that may be sent at once after a pause, as a time at the rate. */
const burstMs = 100;

/** Options of {@link TransferPacer}. */
export interface TransferPacerOptions {
    readonly clock: Clock;
    readonly bytesPerSecond: () => number;
}

/**
 * Meters the bytes of transfers.
 *
 * @example
 * const delayMs = pacer.delayMs();
 * if (delayMs === 0) { pacer.record(reply.length); }
 */
export class TransferPacer {
    readonly #options: TransferPacerOptions;
    readonly #bucket: LeakyBucket;

    constructor(options: TransferPacerOptions) {
        this.#options = options;
        this.#bucket = new LeakyBucket(options.clock);
    }

    /** Time in milliseconds until the next bytes may be sent; 0 if they may be sent now. */
    delayMs(): number {
        const bytesPerSecond = this.#options.bytesPerSecond();
        const excessBytes = this.#bucket.level(bytesPerSecond) - bytesPerSecond * burstMs / 1_000;
        return excessBytes < 0 ? 0 : Math.ceil(excessBytes / bytesPerSecond * 1_000) + 1;
    }

    /** Counts bytes that are sent now. */
    record(sizeBytes: number): void {
        this.#bucket.add(sizeBytes);
    }
}
