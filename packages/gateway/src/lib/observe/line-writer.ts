/** Writes log lines without ever waiting for their reader. */
import { write } from "node:fs";

/** Bytes that may wait for a slow reader; further lines are dropped and counted. */
const maxWaitingBytes = 262_144;

/** Writes bytes and calls back, as `fs.write` does. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void;

/**
 * A bounded queue before a file descriptor. Node.js writes to a pipe synchronously, so a reader that stops would stop
 * the process; this writer leaves the wait to a thread of the pool.
 *
 * @example
 * const writer = new LineWriter(writeTo(1));
 * writer.write("event=start");
 */
export class LineWriter {
    readonly #writeBytes: WriteBytes;
    #waiting: string[] = [];
    #waitingBytes = 0;
    #isWriting = false;
    /** Lines dropped since the start. */
    droppedCount = 0;
    #droppedToTell = 0;

    constructor(writeBytes: WriteBytes) {
        this.#writeBytes = writeBytes;
    }

    write(line: string): void {
        if (this.#waitingBytes > maxWaitingBytes) {
            this.droppedCount++;
            this.#droppedToTell++;
            return;
        }
        if (this.#droppedToTell > 0) {
            this.#add(`event=log-lines-dropped count=${this.#droppedToTell}`);
            this.#droppedToTell = 0;
        }
        this.#add(line);
        this.#flush();
    }

    #add(line: string): void {
        this.#waiting.push(line);
        this.#waitingBytes += line.length + 1;
    }

    #flush(): void {
        if (this.#isWriting || this.#waiting.length === 0) {
            return;
        }
        const bytes = Buffer.from(`${this.#waiting.join("\n")}\n`);
        this.#waiting = [];
        this.#waitingBytes = 0;
        this.#isWriting = true;
        this.#send(bytes);
    }

    #send(bytes: Buffer): void {
        this.#writeBytes(bytes, (error, written) => {
            const rest = bytes.subarray(written);
            // A pipe that is set not to block reports that it is full; a closed one takes nothing any more.
            if (error === null && rest.length > 0 || (error as NodeJS.ErrnoException | null)?.code === "EAGAIN") {
                setTimeout(() => this.#send(rest), retryMs);
                return;
            }
            this.#isWriting = false;
            this.#flush();
        });
    }
}

/** Pause before a full pipe is tried again. */
const retryMs = 20;

/** Writes to a file descriptor. */
export const writeTo = (descriptor: number): WriteBytes => (bytes, done) =>
    write(descriptor, bytes, 0, bytes.length, null, (error, written) => done(error, written ?? 0));
