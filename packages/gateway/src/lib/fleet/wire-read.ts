/** Reads values that other instances wrote, without the cost of a general schema. */
import { SniperoadError } from "@sniperoad/core";

/** A datagram that cannot be read. */
export const DatagramError = SniperoadError.subclass("DatagramError");

const schemaProblem = (): Error =>
    new DatagramError("a datagram breaks the schema; run the same release on all instances");

/** @throws DatagramError when the value is not an array of exactly `length` entries, or of at most `most`. */
export const readList = (value: unknown, { length, maxLength: most = length }: ListSize): readonly unknown[] => {
    if (!Array.isArray(value) || length !== undefined && value.length !== length || value.length > (most ?? 0)) {
        throw schemaProblem();
    }
    return value as unknown[];
};

/** Bounds of {@link readList}. */
export interface ListSize {
    readonly length?: number;
    readonly maxLength?: number;
}

/** @throws DatagramError when the value is not a text, or is longer than `most` characters. */
export const readText = <T extends string>(value: unknown, most: number): T => {
    if (typeof value !== "string" || value.length > most) {
        throw schemaProblem();
    }
    return value as T;
};

/** @throws DatagramError when the value is not a whole number from 0 to `most`. */
export const readCount = (value: unknown, most = Number.MAX_SAFE_INTEGER): number => {
    if (typeof value !== "number" || !Number.isInteger(value) || value < 0 || value > most) {
        throw schemaProblem();
    }
    return value;
};

/** @throws DatagramError when the value is not a boolean. */
export const readBoolean = (value: unknown): boolean => {
    if (typeof value !== "boolean") {
        throw schemaProblem();
    }
    return value;
};

/** @throws DatagramError when the value is not a byte string. */
export const readBytes = (value: unknown): Uint8Array => {
    if (!(value instanceof Uint8Array)) {
        throw schemaProblem();
    }
    return value;
};
