/** Withdraws keys on the platform or through the administration interface of an instance. */
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
import { sendAdminRequest } from "./instance-admin.js";

/** Schema of the response to `POST /admin/withdrawals` with `{"key": "<keyId>"}`. */
export const withdrawalReportSchema = z.object({
    /** Number of instances that hold the withdrawal, including the one that responds. */
    heldBy: z.number().int().min(0),
    /** Number of live instances, including the one that responds. */
    of: z.number().int().min(0),
    /** Ids of the instances that have not confirmed it. */
    missing: z.array(z.string()),
    /** Whether the platform object holds it. */
    isOnPlatform: z.boolean(),
});

export type InstanceWithdrawalReport = z.output<typeof withdrawalReportSchema>;

/** Maximum number of attempts if other writers interfere or replies are lost. */
const maxAttempts = 5;
/**
 * Timeout of a request to an instance. It exceeds the time that the instance waits for its peers (1 s) plus the
 * instance's own timeout for the platform.
 */
const instanceTimeoutMs = 10_000;

/**
 * Parses a key id.
 *
 * @throws InvalidConfigurationError
 */
export const parseKeyId = (text: string): KeyId => {
    const parsed = keyIdSchema.safeParse(text);
    if (!parsed.success) {
        // The message does not contain the text, because it may be a complete key with its secret.
        throw new InvalidConfigurationError(`the value is not a key id; ${parsed.error.issues[0]?.message}`);
    }
    return parsed.data;
};

/**
 * Adds a key to the withdrawal set on the platform and returns the size of the set. Instances poll the set every
 * second. The call may be repeated, because the set only grows.
 *
 * @throws PlatformUnavailableError; in that case, withdraw the key at an instance.
 * @throws InvalidConfigurationError when the object is malformed or full.
 * @throws VersionConflictError when other writers conflict in every attempt; the key was not added.
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
            throw new VersionConflictError(
                `the key was not added to the platform object "${withdrawalsObject}": other writers changed it `
                    + `first in ${attempt} attempts; repeat the command`,
            );
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
 * Withdraws a key at one instance, which informs the others. This also works while the platform is unavailable. `token`
 * is the instance's `adminToken`.
 *
 * @throws Error with a short reason when the instance sends no valid response.
 * @example
 * await withdrawAtInstance("10.0.0.17:8080", parseKeyId("city-shelters-1"), token);
 */
export const withdrawAtInstance = (
    address: string,
    key: KeyId,
    token: string | undefined,
): Promise<InstanceWithdrawalReport> =>
    sendAdminRequest(address, "POST", "/admin/withdrawals", withdrawalReportSchema, {
        timeoutMs: instanceTimeoutMs,
        body: { key },
        token,
    });
