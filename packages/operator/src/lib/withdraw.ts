/** Withdraws keys from outside the fleet. */
import {
    InvalidConfigurationError,
    type KeyId,
    keyIdSchema,
    maxWithdrawals,
    type PlatformPort,
    PlatformUnavailableError,
    VersionConflictError,
    withdrawalsObject,
    withdrawalsValueSchema,
} from "@sniperoad/core";
import * as z from "zod";
import { instanceRequest } from "./instance-admin.js";

/** Answer of an instance to `POST /admin/withdrawals` with `{"key": "<keyId>"}`. */
export const withdrawalReportSchema = z.object({
    heldBy: z.number().int().min(0),
    of: z.number().int().min(0),
    missing: z.array(z.string()),
    isOnPlatform: z.boolean(),
});

export type InstanceWithdrawalReport = z.output<typeof withdrawalReportSchema>;

/** Attempts against other writers, and against a platform that loses replies. */
const maxAttempts = 5;
/** The instance itself waits a second for its peers and for the platform's timeout. */
const instanceTimeoutMs = 10_000;

/**
 * Checks the form of a key id.
 *
 * @throws InvalidConfigurationError
 */
export const parseKeyId = (text: string): KeyId => {
    const parsed = keyIdSchema.safeParse(text);
    if (!parsed.success) {
        // The text is not repeated: it may be a whole key with its secret.
        throw new InvalidConfigurationError(`this is not a key id; ${parsed.error.issues[0]?.message}`);
    }
    return parsed.data;
};

/**
 * Adds a key to the withdrawal set of the platform and returns the size of the set. Instances poll it every second.
 * It may be repeated: the set only grows.
 *
 * @throws PlatformUnavailableError; withdraw at an instance then.
 * @throws InvalidConfigurationError when the object is malformed or full.
 */
export const withdrawOnPlatform = async (platform: PlatformPort, key: KeyId): Promise<number> => {
    for (let attempt = 1;; attempt++) {
        try {
            const size = await tryWithdraw(platform, key);
            if (size !== undefined) {
                return size;
            }
        }
        catch (error) {
            if (!(error instanceof PlatformUnavailableError) || attempt >= maxAttempts) {
                throw error;
            }
        }
        if (attempt >= maxAttempts) {
            throw new VersionConflictError(`other writers came first ${attempt} times; repeat the command`);
        }
    }
};

const tryWithdraw = async (platform: PlatformPort, key: KeyId): Promise<number | undefined> => {
    const object = await platform.get(withdrawalsObject);
    const parsed = withdrawalsValueSchema.safeParse(object?.value ?? { keys: [] });
    if (!parsed.success) {
        throw new InvalidConfigurationError(
            `the platform object "${withdrawalsObject}" is malformed; write {"keys": [...]} with the withdrawn key ids`,
        );
    }
    const keys = new Set(parsed.data.keys);
    if (keys.has(key)) {
        return keys.size;
    }
    if (keys.size >= maxWithdrawals) {
        throw new InvalidConfigurationError(
            `${maxWithdrawals} keys are withdrawn already; remove the key from the configuration instead`,
        );
    }
    const value = { keys: [...keys, key].sort() };
    const result = await platform.put(withdrawalsObject, value, object?.version ?? 0);
    return result.kind === "stored" ? value.keys.length : undefined;
};

/**
 * Withdraws a key at one instance, which tells the others; it works while the platform is unavailable. `token` is the
 * instance's `adminToken`.
 *
 * @throws Error with a short reason when the instance gives no valid answer.
 * @example
 * await withdrawAtInstance("10.0.0.17:8080", parseKeyId("city-shelters-1"), token);
 */
export const withdrawAtInstance = (
    address: string,
    key: KeyId,
    token: string | undefined,
): Promise<InstanceWithdrawalReport> =>
    instanceRequest(address, "POST", "/admin/withdrawals", withdrawalReportSchema, {
        timeoutMs: instanceTimeoutMs,
        body: { key },
        token,
    });
