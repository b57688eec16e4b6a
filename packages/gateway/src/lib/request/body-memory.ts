/** The memory of one body while it arrives. */

/**
 * Size from which a body has pages of its own. They are freed at once if the body is given up, while an ordinary buffer
 * stays until the next garbage collection: rejected bodies took a process 100 MB over its budget.
 */
const ownPagesFromBytes = 262_144;
const firstBlockBytes = 4_096;

/** `ArrayBuffer` with a size that can change, as in ECMAScript 2024; Node.js 20 has it, the types of ES2023 do not. */
interface ResizableArrayBuffer extends ArrayBuffer {
    readonly resizable: boolean;
    resize(sizeBytes: number): void;
}
const ResizableBuffer = ArrayBuffer as unknown as new(
    sizeBytes: number,
    options: { readonly maxByteLength: number; },
) => ResizableArrayBuffer;

/**
 * One contiguous buffer that grows, without a copy of large bodies. Pages that nothing was written to take no memory.
 *
 * @example
 * const memory = new BodyMemory(67_108_864, false);
 * memory.append(piece);
 * const body = memory.take();
 */
export class BodyMemory {
    readonly #maxBytes: number;
    readonly #isSizeKnown: boolean;
    #block = new Uint8Array(0);
    #pages: ResizableArrayBuffer | undefined;
    #sizeBytes = 0;

    /** @param maxBytes the size of the body if it is known, otherwise the largest size that it may have */
    constructor(maxBytes: number, isSizeKnown: boolean) {
        this.#maxBytes = maxBytes;
        this.#isSizeKnown = isSizeKnown;
    }

    get sizeBytes(): number {
        return this.#sizeBytes;
    }

    /** Appends a piece, which is copied. The size must not exceed the maximum. */
    append(piece: Uint8Array): void {
        const sizeBytes = this.#sizeBytes + piece.length;
        if (sizeBytes > this.#block.length) {
            const doubledBytes = Math.max(sizeBytes, firstBlockBytes, this.#block.length * 2);
            this.#grow(this.#isSizeKnown ? this.#maxBytes : Math.min(this.#maxBytes, doubledBytes));
        }
        this.#block.set(piece, this.#sizeBytes);
        this.#sizeBytes = sizeBytes;
    }

    /** Returns the body. */
    take(): Uint8Array {
        return Buffer.from(this.#block.buffer, this.#block.byteOffset, this.#sizeBytes);
    }

    /** Frees the memory of a body that was not taken. */
    free(): void {
        this.#block = new Uint8Array(0);
        this.#pages?.resize(0);
        this.#pages = undefined;
        this.#sizeBytes = 0;
    }

    #grow(sizeBytes: number): void {
        if (this.#pages !== undefined) {
            this.#pages.resize(sizeBytes);
            this.#block = new Uint8Array(this.#pages);
            return;
        }
        const former = this.#block.subarray(0, this.#sizeBytes);
        if (sizeBytes < ownPagesFromBytes) {
            this.#block = Buffer.allocUnsafeSlow(sizeBytes);
        }
        else {
            this.#pages = new ResizableBuffer(sizeBytes, { maxByteLength: this.#maxBytes });
            this.#block = new Uint8Array(this.#pages);
        }
        this.#block.set(former);
    }
}

/**
 * Frees a body that {@link BodyMemory.take} returned, if it has pages of its own. Nothing may use it any more.
 *
 * @example
 * response.on("finish", () => freeBody(body));
 */
export const freeBody = ({ buffer }: Uint8Array): void => {
    const pages = buffer as ResizableArrayBuffer;
    if (pages.resizable) {
        pages.resize(0);
    }
};
