/** Writes log lines without blocking on their reader. */
import { write, writeSync } from "node:fs";

/** Size of the queue for a slow reader above which further lines are dropped and counted. */
const maxQueuedBytes = 262_144;

/** Writes bytes asynchronously, with the callback arguments of `fs.write`. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void;

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
    /** Time for which lines are collected before they are written together, as each write costs processor time. */
    readonly collectMs?: number;
    /** Writes lines that are still being collected when the process exits. */
    readonly writeBytesSync?: (bytes: Buffer) => void;
}

/**
 * A bounded queue in front of a file descriptor. Node.js writes to a pipe synchronously, so a stalled reader would
 * block the process; this writer lets a thread of the thread pool wait instead.
 *
 * @example
 * const writer = new LineWriter(writeTo(1));
 * writer.write("event=start");
 */
export class LineWriter {
    readonly #writeBytes: WriteBytes;
    readonly #options: LineWriterOptions;
    #timer: NodeJS.Timeout | undefined;
    #queue: string[] = [];
    #queuedBytes = 0;
    #isWriting = false;
    /** Number of lines dropped since the start. */
    droppedCount = 0;
    /** Number of dropped lines that the log does not mention yet. */
    #unreportedDrops = 0;

    constructor(writeBytes: WriteBytes, options: LineWriterOptions = {}) {
        this.#writeBytes = writeBytes;
        this.#options = options;
    }

    write(line: string): void {
        if (this.#queuedBytes > maxQueuedBytes) {
            this.droppedCount++;
            this.#unreportedDrops++;
            return;
        }
        if (this.#unreportedDrops > 0) {
            this.#enqueue(`event=log-lines-dropped count=${this.#unreportedDrops}`);
            this.#unreportedDrops = 0;
        }
        this.#enqueue(line);
        this.#schedule();
    }

    /** Writes lines that are still being collected, before the process exits. A write in progress is not awaited. */
    flushSync(): void {
        if (!this.#isWriting && this.#queue.length > 0) {
            this.#options.writeBytesSync?.(this.#takeQueue());
        }
    }

    #schedule(): void {
        const { collectMs = 0 } = this.#options;
        if (collectMs === 0) {
            this.#flush();
            return;
        }
        this.#timer ??= setTimeout(() => {
            this.#timer = undefined;
            this.#flush();
        }, collectMs);
    }

    #enqueue(line: string): void {
        this.#queue.push(line);
        this.#queuedBytes += line.length + 1;
    }

    #flush(): void {
        if (this.#isWriting || this.#queue.length === 0) {
            return;
        }
        this.#isWriting = true;
        this.#send(this.#takeQueue());
    }

    #takeQueue(): Buffer {
        const bytes = Buffer.from(`${this.#queue.join("\n")}\n`);
        this.#queue = [];
        this.#queuedBytes = 0;
        return bytes;
    }

    #send(bytes: Buffer): void {
        this.#writeBytes(bytes, (error, written) => {
            const rest = bytes.subarray(written);
            // A full non-blocking pipe reports EAGAIN. After another error, as of a closed pipe, the bytes are dropped.
            if (error === null && rest.length > 0 || (error as NodeJS.ErrnoException | null)?.code === "EAGAIN") {
                setTimeout(() => this.#send(rest), retryMs);
                return;
            }
            this.#isWriting = false;
            this.#flush();
        });
    }
}

/** Delay before the next write to a full pipe. */
const retryMs = 20;

/** Writes to a file descriptor. */
export const writeTo = (descriptor: number): WriteBytes => (bytes, done) =>
    write(descriptor, bytes, 0, bytes.length, null, (error, written) => done(error, written ?? 0));

/** Writes bytes to a file descriptor at once; those that a full or closed pipe does not take are lost. */
export const writeSyncTo = (descriptor: number) => (bytes: Buffer): void => {
    try {
        writeSync(descriptor, bytes);
    }
    catch {
        // The process is about to exit, so there is no later time to write them.
    }
};
