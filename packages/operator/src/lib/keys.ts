/** Keys of organisations. The configuration holds the hash of a secret, never the secret. */
import { id, InvalidConfigurationError, type KeyConfig, type KeyId } from "@sniperoad/core";
import { createHash, randomBytes } from "node:crypto";

const newSecretBytes = 32;

/** A key that has just been made. The secret is not kept anywhere; hand it to the organisation. */
export interface GeneratedKey {
    readonly config: KeyConfig;
    /** What callers send: `<keyId>.<secret>`. */
    readonly key: string;
}

/**
 * SHA-256 of a secret, as the configuration holds it.
 *
 * @throws InvalidConfigurationError when the secret is short enough to guess or has characters that headers alter.
 */
export const hashSecret = (secret: string): string => {
    if (!/^[A-Za-z0-9_~+/=-]{16,200}$/.test(secret)) {
        throw new InvalidConfigurationError(
            "the secret is not usable; use 16 to 200 letters, digits or _ ~ + / = - (newKey makes one)",
        );
    }
    return createHash("sha256").update(secret).digest("hex");
};

/**
 * A key with a known secret.
 *
 * @throws InvalidConfigurationError
 * @example
 * key("city-shelters-1", process.env.SHELTERS_SECRET);
 */
export const key = (keyId: string, secret: string): KeyConfig => ({
    id: id<KeyId>(keyId),
    secretSha256: hashSecret(secret),
});

/** A key with a new random secret of 256 bits. */
export const generateKey = (keyId: string): GeneratedKey => {
    const secret = randomBytes(newSecretBytes).toString("base64url");
    return { config: key(keyId, secret), key: `${keyId}.${secret}` };
};
