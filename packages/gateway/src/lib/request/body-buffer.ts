/** Collects the pieces of a body. */

/** Size of a piece below which it is copied; larger ones are kept as they are. */
const smallPieceBytes = 4_096;
const firstBlockBytes = 1_024;
const maxBlockBytes = 65_536;

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

    get sizeBytes(): number {
        return this.#sizeBytes;
    }

    append(piece: Uint8Array): void {
        this.#sizeBytes += piece.length;
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

    /** Returns the body and forgets it. */
    take(): Uint8Array {
        this.#endBlock();
        const buffers = this.#buffers;
        this.#buffers = [];
        return buffers.length === 1 ? buffers[0]! : Buffer.concat(buffers);
    }

    /** Forgets a body that was not taken. */
    free(): void {
        this.#buffers = [];
        this.#block = undefined;
        this.#blockLength = 0;
    }

    #endBlock(): void {
        if (this.#block !== undefined) {
            this.#buffers.push(this.#block.subarray(0, this.#blockLength));
            this.#block = undefined;
            this.#blockLength = 0;
        }
    }
}
