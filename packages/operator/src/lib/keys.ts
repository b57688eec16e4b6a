/** Keys of organisations. The configuration contains only the hashes of secrets, never the secrets. */
import { id, InvalidConfigurationError, type KeyConfig, type KeyId } from "@sniperoad/core";
import { createHash, randomBytes } from "node:crypto";

const secretBytes = 32;

/** A newly generated key. Its secret is not stored anywhere; give it to the organisation. */
export interface GeneratedKey {
    readonly config: KeyConfig;
    /** The value that callers send: `<keyId>.<secret>`. */
    readonly key: string;
}

/**
 * Computes the SHA-256 of a secret for the configuration.
 *
 * @throws InvalidConfigurationError when the secret is short enough to be guessed or contains characters that headers
 * may alter.
 */
export const hashSecret = (secret: string): string => {
    if (!/^[A-Za-z0-9_~+/=-]{16,200}$/.test(secret)) {
        throw new InvalidConfigurationError(
            "the secret is not usable; use 16 to 200 letters, digits or _ ~ + / = - (newKey creates one)",
        );
    }
    return createHash("sha256").update(secret).digest("hex");
};

/**
 * Declares a key with a given secret.
 *
 * @throws InvalidConfigurationError
 * @example
 * key("city-shelters-1", process.env.SHELTERS_SECRET);
 */
export const key = (keyId: string, secret: string): KeyConfig => ({
    id: id<KeyId>(keyId),
    secretSha256: hashSecret(secret),
});

/** Generates a key with a random secret of 256 bits. */
export const newKey = (keyId: string): GeneratedKey => {
    const secret = randomBytes(secretBytes).toString("base64url");
    return { config: key(keyId, secret), key: `${keyId}.${secret}` };
};
