/** Bounds what undici parses of a connection to an upstream. */
import { observeEnd } from "@sniperoad/daemon";
import type { ConnectionEnd } from "@sniperoad/daemon";
import type { Socket } from "node:net";
import type { BufferAccount, BufferBudget } from "./buffer-budget.js";
import type { ParserTurns, TurnWaiter } from "./parser-turns.js";
import { ExcessError, maxHeadBytes } from "./response-reader.js";
import type { ResponseReader } from "./response-reader.js";

/**
 * Bytes of a response besides its body above which it is given up; its body may add as many as it has itself. A sound
 * response has a head and some bytes for each chunk.
 */
const maxOverheadBytes = 65_536;
/** Bytes that undici parses at once, unless they are known to be a body. */
const pieceBytes = 4_096;
/** The same after a piece that was nearly all body: in 4 kB, large chunks take about twice the time to parse. */
const bodyPieceBytes = 16_384;
/** Bytes of the body for each other byte from which a piece is nearly all body. */
const bodyBytesPerOther = 15;
/** Bytes of a head, trailers or a chunk extension above which a response is given up. */
const maxUnfinishedBytes = maxHeadBytes + pieceBytes;
/** Memory for each byte of an incomplete head or of trailers: two `Buffer` objects of undici for a line of six bytes. */
const parserBytesPerByte = 40;

/** Options of {@link UpstreamConnection}. */
export interface UpstreamConnectionOptions {
    readonly turns: ParserTurns;
    /** Budget for bytes that wait to be parsed and for the objects of the parser. */
    readonly buffers: BufferBudget;
}

/**
 * A connection on which one response after the other is read. undici takes all bytes that the socket has at once, and
 * keeps parsing them after an error; the connection hands them out in small pieces, and ends at the first excess without
 * the rest being parsed.
 *
 * @example
 * const connection = new UpstreamConnection(socket, { turns, buffers });
 * connection.begin(reader);
 * connection.overheadBytes;
 */
export class UpstreamConnection implements TurnWaiter {
    /** How the connection ends. */
    readonly end: Promise<ConnectionEnd>;
    readonly #socket: Socket;
    readonly #options: UpstreamConnectionOptions;
    /** Bytes that were received before the current response. */
    #formerBytes = 0;
    #current: ResponseReader | undefined;
    /** Bytes that had been parsed, bytes of the body and progress of the current response at the last check. */
    #checked = { parsedBytes: 0, bodyBytes: 0, progressCount: 0 };
    #nextPieceBytes = pieceBytes;
    /** Bytes since the last head or piece of a body was complete. */
    #unfinishedBytes = 0;
    #parserAccount: BufferAccount | undefined;
    #waitingAccount: BufferAccount | undefined;

    /** @param socket must not be observed by undici yet */
    constructor(socket: Socket, options: UpstreamConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        this.end = observeEnd(socket);
        const read = socket.read.bind(socket) as () => Buffer | null;
        // undici takes bytes only by calls of `read` without a size.
        socket.read = () => this.#readPiece(read);
        socket.once("close", () => {
            options.turns.leave(this);
            this.#release();
        });
    }

    /** Bytes that undici has parsed for the current response, besides its body. */
    get overheadBytes(): number {
        return this.#parsedBytes - this.#formerBytes - (this.#current?.bodyBytes ?? 0);
    }

    /** Counts what arrives from now on for another response. */
    begin(reader: ResponseReader): void {
        this.#current = reader;
        this.#formerBytes = this.#socket.bytesRead;
        this.#checked = { parsedBytes: this.#parsedBytes, bodyBytes: 0, progressCount: 0 };
        this.#unfinishedBytes = 0;
        this.#release();
    }

    /** Parses what has waited for a turn. */
    resume(): void {
        this.#waitingAccount?.close();
        this.#waitingAccount = undefined;
        if (!this.#socket.destroyed) {
            this.#socket.emit("readable");
        }
    }

    get #parsedBytes(): number {
        return this.#socket.bytesRead - this.#socket.readableLength;
    }

    #readPiece(read: (sizeBytes?: number) => Buffer | null): Buffer | null {
        this.#check();
        if (this.#socket.destroyed) {
            return null;
        }
        const { readableLength } = this.#socket;
        if (readableLength === 0) {
            return read();
        }
        const bodyBytes = this.#current?.knownBodyBytes ?? 0;
        if (bodyBytes >= readableLength) {
            return read();
        }
        if (bodyBytes > 0) {
            // A size above the socket's high-water mark would raise it.
            return read(Math.min(bodyBytes, this.#socket.readableHighWaterMark));
        }
        if (!this.#options.turns.tryTake(this)) {
            this.#waitingAccount?.close();
            this.#waitingAccount = this.#openAccount();
            this.#waitingAccount.add(readableLength);
            return null;
        }
        return read(Math.min(readableLength, this.#nextPieceBytes));
    }

    /** Counts the last piece, after it was parsed, and ends the connection if it has an excess. */
    #check(): void {
        const { bodyBytes = 0, progressCount = 0 } = this.#current ?? {};
        const parsedBytes = this.#parsedBytes;
        const newBodyBytes = bodyBytes - this.#checked.bodyBytes;
        const newBytes = parsedBytes - this.#checked.parsedBytes - newBodyBytes;
        const hasProgress = progressCount !== this.#checked.progressCount;
        this.#checked = { parsedBytes, bodyBytes, progressCount };
        if (newBytes > 0) {
            this.#options.turns.spend(newBytes);
        }
        const isBody = newBodyBytes > newBytes * bodyBytesPerOther;
        this.#nextPieceBytes = isBody ? bodyPieceBytes : pieceBytes;
        if (hasProgress) {
            this.#unfinishedBytes = 0;
            this.#release();
        }
        else if (newBytes > 0) {
            this.#unfinishedBytes += newBytes;
            this.#parserAccount ??= this.#openAccount();
            this.#parserAccount.add(newBytes * parserBytesPerByte);
        }
        const { overheadBytes } = this;
        if (overheadBytes > maxOverheadBytes + bodyBytes || this.#unfinishedBytes > maxUnfinishedBytes) {
            this.#fail(`a response has ${overheadBytes} bytes besides a body of ${bodyBytes}`);
        }
    }

    #openAccount(): BufferAccount {
        return this.#options.buffers.open(() => this.#fail("heads without end filled the buffers"));
    }

    #fail(message: string): void {
        const error = new ExcessError(message);
        this.#current?.fail(error);
        this.#socket.destroy(error);
    }

    #release(): void {
        this.#parserAccount?.close();
        this.#parserAccount = undefined;
        this.#waitingAccount?.close();
        this.#waitingAccount = undefined;
    }
}
