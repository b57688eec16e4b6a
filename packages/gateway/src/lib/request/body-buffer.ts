/** Collects the pieces of a body. */
import { BodyMemory } from "./body-memory.js";

/** Size of a piece below which it is copied; larger ones are kept as they are. */
const smallPieceBytes = 4_096;
const firstBlockBytes = 1_024;
const maxBlockBytes = 65_536;
/**
 * Size from which the pieces are put together as they arrive, since copying them at the end takes the body's size once
 * more. Below, copying once costs less time.
 */
const contiguousFromBytes = 1_048_576;
/** More than the memory for responses that are being read. */
const maxBytes = 67_108_864;

/**
 * Keeps a body in few buffers. A piece is a view of the buffer of its socket, and each piece has an overhead of its own,
 * so small ones are copied together.
 *
 * @example
 * const body = new BodyBuffer();
 * body.append(piece);
 * body.take();
 */
export class BodyBuffer {
    #buffers: Uint8Array[] = [];
    #block: Buffer | undefined;
    #blockLength = 0;
    #sizeBytes = 0;
    /** Has the whole body once it is large. */
    #contiguous: BodyMemory | undefined;

    get sizeBytes(): number {
        return this.#sizeBytes;
    }

    append(piece: Uint8Array): void {
        this.#sizeBytes += piece.length;
        if (this.#contiguous !== undefined) {
            this.#contiguous.append(piece);
            return;
        }
        this.#collect(piece);
        if (this.#sizeBytes > contiguousFromBytes) {
            this.#putTogether();
        }
    }

    /** Returns the body and forgets it. */
    take(): Uint8Array {
        if (this.#contiguous !== undefined) {
            const body = this.#contiguous.take();
            this.#contiguous = undefined;
            return body;
        }
        this.#endBlock();
        const buffers = this.#buffers;
        this.#buffers = [];
        return buffers.length === 1 ? buffers[0]! : Buffer.concat(buffers);
    }

    #putTogether(): void {
        this.#endBlock();
        const contiguous = new BodyMemory(maxBytes, false);
        this.#buffers.forEach(buffer => contiguous.append(buffer));
        this.#buffers = [];
        this.#contiguous = contiguous;
    }

    #collect(piece: Uint8Array): void {
        if (piece.length >= smallPieceBytes) {
            this.#endBlock();
            this.#buffers.push(piece);
            return;
        }
        if (this.#block === undefined || this.#blockLength + piece.length > this.#block.length) {
            const sizeBytes = Math.min(maxBlockBytes, Math.max(firstBlockBytes, piece.length, this.#sizeBytes));
            this.#endBlock();
            this.#block = Buffer.allocUnsafe(Math.max(sizeBytes, piece.length));
        }
        this.#block.set(piece, this.#blockLength);
        this.#blockLength += piece.length;
    }

    #endBlock(): void {
        if (this.#block !== undefined) {
            this.#buffers.push(this.#block.subarray(0, this.#blockLength));
            this.#block = undefined;
            this.#blockLength = 0;
        }
    }
}
