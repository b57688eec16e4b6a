/** Writes log lines without blocking on their reader. */
import { write } from "node:fs";

/** Size of the queue for a slow reader above which further lines are dropped and counted. */
const maxQueuedBytes = 262_144;

/** Writes bytes asynchronously, with the callback arguments of `fs.write`. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void;

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
    #queue: string[] = [];
    #queuedBytes = 0;
    #isWriting = false;
    /** Number of lines dropped since the start. */
    droppedCount = 0;
    /** Number of dropped lines that the log does not mention yet. */
    #unreportedDrops = 0;

    constructor(writeBytes: WriteBytes) {
        this.#writeBytes = writeBytes;
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
        this.#flush();
    }

    #enqueue(line: string): void {
        this.#queue.push(line);
        this.#queuedBytes += line.length + 1;
    }

    #flush(): void {
        if (this.#isWriting || this.#queue.length === 0) {
            return;
        }
        const bytes = Buffer.from(`${this.#queue.join("\n")}\n`);
        this.#queue = [];
        this.#queuedBytes = 0;
        this.#isWriting = true;
        this.#send(bytes);
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
