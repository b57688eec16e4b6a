/** Idempotency keys that contain their creation time. */

/**
 * Creates a UUIDv7 (RFC 9562) for a time: 48 bits of milliseconds, then random bits.
 *
 * @example
 * uuidV7(new Date(), randomBytes(10)); // "0193…-7…"
 */
export const uuidV7 = (time: Date, random: Uint8Array): string => {
    if (random.length < 10) {
        throw new RangeError("uuidV7 needs 10 random bytes; pass crypto.randomBytes(10)");
    }
    const bytes = new Uint8Array(16);
    const timeMs = time.getTime();
    for (let index = 0; index < 6; index++) {
        bytes[index] = Math.floor(timeMs / 2 ** (8 * (5 - index))) % 256;
    }
    bytes.set(random.subarray(0, 10), 6);
    bytes[6] = 0x70 | (bytes[6]! & 0x0F);
    bytes[8] = 0x80 | (bytes[8]! & 0x3F);
    const hex = Array.from(bytes, byte => byte.toString(16).padStart(2, "0")).join("");
    return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join("-");
};
