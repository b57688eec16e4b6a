/** A connection of a caller, between its socket and the HTTP parser. */
import type { Clock, Timer } from "@sniperoad/core";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { endsWithEmptyLine, partsOf } from "./byte-pieces.js";
import type { TurnBudget } from "./turn-budget.js";

/** Bytes that wait for the parser, above which the socket is not read. A read adds up to 64 kB to them. */
const maxPendingBytes = 16_384;
/** Bytes that the parser gets before other connections have their turn. */
const bytesPerTurn = 4_096;
/** Time after which a connection counts again as one that has used nothing. */
const usedIntervalMs = 1_000;
/**
 * Bytes and time for which what follows the last request is read and dropped: if some of it were unread, closing would
 * reset the connection, and the response on the way would be lost.
 */
const maxDiscardedBytes = 1_048_576;
const lingerMs = 1_000;

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
    readonly clock: Pick<Clock, "monotonicMs" | "after">;
    readonly turns: TurnBudget;
    /** Number of bytes that the parser may get now. */
    readonly allowedBytes: () => number;
    /** Counts bytes before the parser gets them; false if it must not get them. */
    readonly admit: (sizeBytes: number) => boolean;
    /** Counts bytes that wait here for the parser. */
    readonly countPending: (changeBytes: number) => void;
    /** Whether so many bytes wait on all connections that no more should be read while some do. */
    readonly isPendingHigh: () => boolean;
}

/**
 * Passes the bytes of a socket to the HTTP server of Node.js, but no more than is allowed at a time. The rest waits here,
 * or in the socket. `Server` accepts any stream as a connection.
 *
 * @example
 * const connection = new CallerConnection(socket, options);
 * httpServer.emit("connection", connection);
 */
export class CallerConnection extends Duplex {
    readonly #socket: Socket;
    readonly #options: CallerConnectionOptions;
    /** Monotonic time at which the connection was opened. */
    readonly openedMs: number;
    /** Monotonic time at which the first byte of a header that is not complete arrived. */
    headerStartedMs: number | undefined;
    #pending: Buffer[] = [];
    #pendingBytes = 0;
    #isPumping = false;
    #isQueued = false;
    #usedInIntervalBytes = 0;
    #chargedBytes = 0;
    #usedSinceMs: number;
    #isReadWanted = true;
    #isAtHeaderEnd = false;
    #hasSocketEnded = false;
    #isDiscarding = false;
    #discardedBytes = 0;
    /** Parts of a response that the socket has not taken. */
    #unwrittenParts = 0;
    #writeProgressMs = 0;
    #lingerTimer: Timer | undefined;

    constructor(socket: Socket, options: CallerConnectionOptions) {
        super({ allowHalfOpen: true, readableHighWaterMark: 1 });
        this.#socket = socket;
        this.#options = options;
        this.openedMs = options.clock.monotonicMs();
        this.headerStartedMs = this.openedMs;
        this.#usedSinceMs = this.openedMs;
        socket.on("data", chunk => this.#receive(chunk));
        socket.on("end", () => {
            if (this.isLingering) {
                this.destroy();
                return;
            }
            this.#hasSocketEnded = true;
            this.pump();
        });
        socket.on("error", error => this.destroy(error));
        socket.on("close", () => this.destroy());
        socket.on("timeout", () => this.emit("timeout"));
    }

    /** Whether the last response of the connection was written. */
    get isClosing(): boolean {
        return this.#isDiscarding;
    }

    /** Whether the socket has taken all responses, and the connection only waits for its caller to close it. */
    get isLingering(): boolean {
        return this.#lingerTimer !== undefined;
    }

    /** Whether nothing follows the header that the parser has just read; false if that is not certain. */
    get isAtHeaderEnd(): boolean {
        return this.#isAtHeaderEnd;
    }

    /** Time for which the caller has taken nothing of a response; 0 if no response waits. */
    unreadMs(nowMs: number): number {
        return this.#unwrittenParts === 0 ? 0 : nowMs - this.#writeProgressMs;
    }

    /** Begins the time of the next header: now if a part of it waits, otherwise with its first byte. */
    expectHeader(): void {
        this.headerStartedMs = this.#pendingBytes > 0 ? this.#options.clock.monotonicMs() : undefined;
    }

    /** Passes on what is allowed. Call it when more is allowed. */
    pump(): void {
        if (this.#isPumping || this.destroyed) {
            return;
        }
        if (this.#isQueued) {
            this.#controlSocket();
            return;
        }
        this.#isPumping = true;
        let passedBytes = 0;
        while (this.#pendingBytes > 0 && this.#isReadWanted && !this.destroyed) {
            const sizeBytes = Math.min(this.#options.allowedBytes(), this.#pending[0]!.length);
            if (sizeBytes <= 0) {
                break;
            }
            if (this.#mustYield(passedBytes)) {
                this.#continueLater();
                break;
            }
            if (!this.#options.admit(sizeBytes)) {
                break;
            }
            passedBytes += sizeBytes;
            this.#usedInIntervalBytes += sizeBytes;
            const piece = this.#take(sizeBytes);
            this.#isAtHeaderEnd = endsWithEmptyLine(piece);
            this.#isReadWanted = this.push(piece);
        }
        this.#isPumping = false;
        this.#controlSocket();
    }

    /** Charges work that a request takes besides the parsing of its bytes. */
    charge(workBytes: number): void {
        this.#usedInIntervalBytes = this.#usedBytes() + workBytes;
        this.#chargedBytes += workBytes;
    }

    /** Work that was charged in the current interval. */
    get chargedBytes(): number {
        return this.#chargedBytes;
    }

    /** Runs a task in this turn of the event loop or a later one, behind those of connections that have used less. */
    runInTurn(task: () => void): void {
        this.#options.turns.continueLater(task, this.#usedBytes());
    }

    /** Ends the connection with a reset, so that no response on it can pass for a whole one. */
    reset(): void {
        this.#socket.resetAndDestroy();
        this.destroy();
    }

    /** Ends the connection with a response to what was sent so far, of which the parser gets no more. */
    rejectWith(response: string): void {
        this.headerStartedMs = undefined;
        this.#isDiscarding = true;
        this.#dropPending();
        this.end(response, () => this.#linger());
    }

    /** Called by the HTTP server. */
    setTimeout(timeoutMs: number): this {
        this.#socket.setTimeout(timeoutMs);
        return this;
    }

    /** Ends the connection after what was written; called by the HTTP server after the last response. */
    destroySoon(): void {
        if (this.#isDiscarding) {
            return;
        }
        this.#isDiscarding = true;
        this.#dropPending();
        this.end(() => this.#linger());
    }

    override _read(): void {
        this.#isReadWanted = true;
        this.pump();
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error | null) => void): void {
        this.#writeAll([chunk], done);
    }

    override _writev(
        chunks: { readonly chunk: Buffer; }[],
        done: (error?: Error | null) => void,
    ): void {
        this.#writeAll(chunks.map(({ chunk }) => chunk), done);
    }

    override _final(done: (error?: Error | null) => void): void {
        this.#socket.end(() => done());
    }

    override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
        this.#dropPending();
        this.#lingerTimer?.cancel();
        this.#socket.destroy();
        done(error);
    }

    #receive(chunk: Buffer): void {
        if (this.#isDiscarding) {
            this.#discardedBytes += chunk.length;
            if (this.#discardedBytes > maxDiscardedBytes) {
                this.#socket.pause();
            }
            return;
        }
        this.headerStartedMs ??= this.#options.clock.monotonicMs();
        this.#pending.push(chunk);
        this.#countPending(chunk.length);
        this.pump();
    }

    /** Leaves the caller a time to take its responses and to close the connection. */
    #linger(): void {
        if (this.destroyed || this.#socket.readableEnded) {
            this.destroy();
            return;
        }
        this.#discardedBytes = 0;
        this.#socket.resume();
        this.#lingerTimer = this.#options.clock.after(lingerMs, () => this.destroy());
    }

    #countPending(changeBytes: number): void {
        this.#pendingBytes += changeBytes;
        this.#options.countPending(changeBytes);
    }

    #dropPending(): void {
        this.#pending = [];
        this.#countPending(-this.#pendingBytes);
    }

    #take(sizeBytes: number): Buffer {
        const first = this.#pending[0]!;
        this.#countPending(-sizeBytes);
        if (sizeBytes === first.length) {
            this.#pending.shift();
            return first;
        }
        this.#pending[0] = first.subarray(sizeBytes);
        return first.subarray(0, sizeBytes);
    }

    /** Whether others have their turn first; the clock is not read for what a first request takes. */
    #mustYield(passedBytes: number): boolean {
        const { turns } = this.#options;
        if (turns.isContended) {
            return passedBytes >= bytesPerTurn || !turns.hasTime();
        }
        return this.#usedInIntervalBytes >= bytesPerTurn && !turns.hasTime();
    }

    #continueLater(): void {
        this.#isQueued = true;
        this.runInTurn(() => {
            this.#isQueued = false;
            this.pump();
        });
    }

    /** Bytes that the parser got in the current interval, and the work that was charged. */
    #usedBytes(): number {
        const nowMs = this.#options.clock.monotonicMs();
        if (nowMs - this.#usedSinceMs >= usedIntervalMs) {
            this.#usedSinceMs = nowMs;
            this.#usedInIntervalBytes = 0;
            this.#chargedBytes = 0;
        }
        return this.#usedInIntervalBytes;
    }

    /** Stops or resumes the socket, and passes on its end. */
    #controlSocket(): void {
        if (this.destroyed) {
            return;
        }
        // An end of the caller ends the connection, so requests behind the one in progress are not run.
        const isStuck = this.#pendingBytes === 0 || this.#options.allowedBytes() <= 0;
        if (this.#hasSocketEnded && isStuck && !this.#isQueued) {
            this.#hasSocketEnded = false;
            this.push(null);
        }
        if (this.#isDiscarding) {
            return;
        }
        if (this.#pendingBytes >= (this.#options.isPendingHigh() ? 1 : maxPendingBytes)) {
            this.#socket.pause();
        }
        else if (this.#socket.isPaused()) {
            this.#socket.resume();
        }
    }

    #writeAll(chunks: readonly Buffer[], done: (error?: Error | null) => void): void {
        const parts = chunks.filter(({ length }) => length > 0).flatMap(partsOf);
        let next = 0;
        const onWritten = (error?: Error | null): void => {
            this.#unwrittenParts = error ? 0 : parts.length - next;
            this.#writeProgressMs = this.#options.clock.monotonicMs();
            if (error || next === parts.length) {
                done(error);
                return;
            }
            this.#socket.write(parts[next++]!, onWritten);
        };
        if (parts.length < 2) {
            onWritten();
            return;
        }
        // The header and the first part of the body go out together.
        this.#unwrittenParts = parts.length;
        this.#writeProgressMs = this.#options.clock.monotonicMs();
        this.#socket.cork();
        this.#socket.write(parts[next++]!);
        this.#socket.write(parts[next++]!, onWritten);
        this.#socket.uncork();
    }
}
