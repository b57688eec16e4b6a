/** Bounds what the parser of a connection holds between two points of progress. */
import type { HeapAccount } from "../request/heap-budget.js";
import { unfinishedHeapBytes } from "./header-memory.js";

/** Why no more bytes may be parsed: the header or the trailers are too long, or there is no memory for more of them. */
export type UnfinishedExcess = "too-long" | "no-memory";

/** Options of {@link UnfinishedMeter}. */
export interface UnfinishedMeterOptions {
    readonly account: HeapAccount;
    readonly maxBytes: () => number;
}

/**
 * Counts the bytes that the parser got since a header or a piece of a body was complete. They make up a header, trailers
 * or a chunk extension, whose objects the parser keeps until their end.
 *
 * @example
 * const excess = meter.add(piece.length);
 * meter.reset();
 */
export class UnfinishedMeter {
    readonly #options: UnfinishedMeterOptions;
    #sizeBytes = 0;

    constructor(options: UnfinishedMeterOptions) {
        this.#options = options;
    }

    /** Counts bytes before they are parsed; they must not be parsed if there is an excess, and are not counted then. */
    add(pieceBytes: number): UnfinishedExcess | undefined {
        const sizeBytes = this.#sizeBytes + pieceBytes;
        if (sizeBytes > this.#options.maxBytes()) {
            return "too-long";
        }
        if (!this.#options.account.tryResize(unfinishedHeapBytes(sizeBytes))) {
            return "no-memory";
        }
        this.#sizeBytes = sizeBytes;
        return undefined;
    }

    /** A header, a piece of a body or a request is complete. */
    reset(): void {
        if (this.#sizeBytes > 0) {
            this.#sizeBytes = 0;
            this.#options.account.resize(0);
        }
    }

    close(): void {
        this.#sizeBytes = 0;
        this.#options.account.close();
    }
}
