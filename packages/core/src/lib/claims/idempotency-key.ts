/** Validates idempotency keys and reads their time. */
import type { IdempotencyKey } from "../types.js";
import type { ClaimOptions } from "./options.js";

const uuidV7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/**
 * The time in a UUIDv7, in milliseconds since 1970; undefined if the key is no UUIDv7 in lower case.
 *
 * @example
 * keyTimeMs(id<IdempotencyKey>("019b76da-a800-7000-8000-000000000001")); // 1767225600000
 */
export const keyTimeMs = (key: IdempotencyKey): number | undefined =>
    uuidV7.test(key) ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined;

/** Reason and remedy for a refused key; undefined if the key is accepted. */
export const invalidKeyRemedy = (key: IdempotencyKey, nowMs: number, options: ClaimOptions): string | undefined => {
    const timeMs = keyTimeMs(key);
    if (timeMs === undefined) {
        return "Idempotency-Key is not a UUIDv7; send a new lower-case UUIDv7 for each new request";
    }
    if (timeMs > nowMs + options.keyAheadMs) {
        return `Idempotency-Key is ${
            timeMs - nowMs
        } ms ahead of the fleet's time, at most ${options.keyAheadMs} ms are `
            + "allowed; correct the caller's clock and make a new key";
    }
    if (timeMs < nowMs - options.retentionMs) {
        return `Idempotency-Key is older than ${options.retentionMs / 60_000} min and its outcome is no longer kept; `
            + "check the outcome of the request before it is sent with a new key";
    }
    return undefined;
};
