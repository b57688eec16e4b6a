/** Packs numbers into byte strings. Digests have hundreds of entries, which CBOR would encode in twice the size. */
import { DatagramError } from "./wire-read.js";

/**
 * Appends numbers to a growing buffer.
 *
 * @example
 * new PackedWriter().uint(key, 3).varint(count).bytes();
 */
export class PackedWriter {
    #buffer = Buffer.allocUnsafe(256);
    #length = 0;

    /** Appends a big-endian unsigned integer of `size` bytes. */
    uint(value: number, size: 1 | 2 | 3 | 4): this {
        this.#reserve(size);
        this.#buffer.writeUIntBE(value, this.#length, size);
        this.#length += size;
        return this;
    }

    /** Appends an unsigned integer in groups of seven bits, lowest first. */
    varint(value: number): this {
        this.#reserve(8);
        let rest = value;
        for (; rest >= 0x80; rest = Math.floor(rest / 0x80)) {
            this.#buffer[this.#length++] = rest % 0x80 | 0x80;
        }
        this.#buffer[this.#length++] = rest;
        return this;
    }

    bytes(): Buffer {
        return Buffer.from(this.#buffer.subarray(0, this.#length));
    }

    #reserve(size: number): void {
        if (this.#length + size > this.#buffer.length) {
            this.#buffer = Buffer.concat([this.#buffer], this.#buffer.length * 2);
        }
    }
}

/**
 * Reads what a {@link PackedWriter} has written.
 *
 * @example
 * const entries = new PackedReader(bytes).all(reader => [reader.uint(3), reader.varint()]);
 */
export class PackedReader {
    readonly #bytes: Buffer;
    #offset = 0;

    constructor(bytes: Uint8Array) {
        this.#bytes = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    }

    /** @throws DatagramError if the bytes end within the integer */
    uint(size: 1 | 2 | 3 | 4): number {
        if (this.#offset + size > this.#bytes.length) {
            throw truncationError();
        }
        const value = this.#bytes.readUIntBE(this.#offset, size);
        this.#offset += size;
        return value;
    }

    /** @throws DatagramError if the bytes end within the integer, or if it exceeds 48 bits */
    varint(): number {
        let value = 0;
        for (let scale = 1; scale <= 2 ** 42; scale *= 0x80) {
            const byte = this.uint(1);
            value += (byte & 0x7F) * scale;
            if (byte < 0x80) {
                return value;
            }
        }
        throw truncationError();
    }

    /** Reads entries up to the end of the bytes. */
    all<T>(readEntry: (reader: PackedReader) => T): T[] {
        const entries: T[] = [];
        while (this.#offset < this.#bytes.length) {
            entries.push(readEntry(this));
        }
        return entries;
    }
}

const truncationError = (): Error =>
    new DatagramError("a packed list is truncated; run the same release on all instances");
