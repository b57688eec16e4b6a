/** Checks values from other instances without the cost of a general schema. */
import { SniperoadError } from "@sniperoad/core";

/** A datagram that cannot be decoded. */
export const DatagramError = SniperoadError.subclass("DatagramError");

const schemaError = (): Error =>
    new DatagramError("a datagram does not match the schema; run the same release on all instances");

/** @throws DatagramError if the value is not an array of exactly `length` entries, or of at most `maxLength`. */
export const readList = (value: unknown, { length, maxLength = length }: ListSize): readonly unknown[] => {
    if (!Array.isArray(value) || length !== undefined && value.length !== length || value.length > (maxLength ?? 0)) {
        throw schemaError();
    }
    return value as unknown[];
};

/** Bounds of {@link readList}. */
export interface ListSize {
    readonly length?: number;
    readonly maxLength?: number;
}

/** @throws DatagramError if the value is not a string, or is longer than `maxLength` characters. */
export const readText = <T extends string>(value: unknown, maxLength: number): T => {
    if (typeof value !== "string" || value.length > maxLength) {
        throw schemaError();
    }
    return value as T;
};

/** @throws DatagramError if the value is not an integer from 0 to `max`. */
export const readCount = (value: unknown, max = Number.MAX_SAFE_INTEGER): number => {
    if (typeof value !== "number" || !Number.isInteger(value) || value < 0 || value > max) {
        throw schemaError();
    }
    return value;
};

/** @throws DatagramError if the value is not a boolean. */
export const readBoolean = (value: unknown): boolean => {
    if (typeof value !== "boolean") {
        throw schemaError();
    }
    return value;
};

/** @throws DatagramError if the value is not a byte string. */
export const readBytes = (value: unknown): Uint8Array => {
    if (!(value instanceof Uint8Array)) {
        throw schemaError();
    }
    return value;
};
