/** Lifts quarantines through the administration interface of an instance. */
import { InvalidConfigurationError } from "@sniperoad/core";
import * as z from "zod";
import { sendAdminRequest } from "./instance-admin.js";

const liftReplySchema = z.object({ isLifted: z.boolean() });
const fingerprintPattern = /^[0-9a-f]{32}$/;
/** Timeout of the request to the instance. */
const timeoutMs = 10_000;

/**
 * Lifts the quarantine of a request at one instance, which informs the others. Returns false if the instance has no
 * quarantine with this fingerprint.
 *
 * @throws InvalidConfigurationError when the fingerprint is malformed.
 * @throws Error with a short reason when the instance sends no valid response.
 * @example
 * await liftQuarantineAtInstance("10.0.0.17:8080", "0f3a5d1c9b7e2468ace013579bdf2468", token);
 */
export const liftQuarantineAtInstance = async (
    address: string,
    fingerprint: string,
    token: string | undefined,
): Promise<boolean> => {
    if (!fingerprintPattern.test(fingerprint)) {
        throw new InvalidConfigurationError(
            "the value is not a fingerprint; use the 32 hexadecimal digits from the log line crash-suspect",
        );
    }
    const { isLifted } = await sendAdminRequest(
        address,
        "POST",
        `/admin/quarantine/${fingerprint}/lift`,
        liftReplySchema,
        { timeoutMs, token, statuses: [200, 404] },
    );
    return isLifted;
};
