/** Authenticates callers' requests by their keys. */
import type { ConfigView } from "../config.js";
import type { Sha256 } from "../ports.js";
import type { Headers, KeyId, OrganisationId } from "../types.js";
import { keyIndexOf } from "./key-index.js";

/** Reason why a request was not authenticated. It is for logs; callers get the status and the remedy. */
export type AuthenticationRefusal =
    | "key-in-target"
    | "no-key"
    | "several-keys"
    | "malformed-key"
    | "unknown-key"
    | "wrong-secret"
    | "withdrawn-key"
    | "no-configuration";

/** Result of {@link Authenticator.authenticate}. */
export type Authentication =
    | {
        readonly kind: "authenticated";
        readonly organisation: OrganisationId;
        readonly key: KeyId;
        /** The request's header fields without the key. */
        readonly headers: Headers;
    }
    | {
        readonly kind: "refused";
        readonly reason: AuthenticationRefusal;
        readonly status: 400 | 401 | 503;
        readonly remedy: string;
    };

/** Compares two strings in a time that does not depend on where they differ. */
export type ConstantTimeEqual = (left: string, right: string) => boolean;

/** Maximum length of a key: a key id of at most 64 characters, a dot and a secret. */
const maxKeyLength = 320;
/**
 * Minimum length of a text in the request target that counts as a secret: the text after a known key id in a query
 * value, or a key that a header field of the same request contains.
 */
const minSecretLength = 16;
/** Compared with for unknown key ids, so that the response time does not reveal whether a key id exists. */
const noSecretSha256 = "0".repeat(64);
/** Query parameters that other services use for keys. A caller that uses them exposes a secret in logs. */
const keyParameters = new Set([
    "api_key",
    "api-key",
    "apikey",
    "x-api-key",
    "x_api_key",
    "access_token",
    "authorization",
]);
const invalidKeyRemedy = 'send a valid key as "Authorization: Bearer <keyId>.<secret>" or "X-Api-Key"';

/** Constant-time comparison of strings of the same length, such as hashes. */
export const constantTimeEqual: ConstantTimeEqual = (left, right) => {
    let difference = left.length ^ right.length;
    for (let index = 0; index < left.length; index++) {
        difference |= left.charCodeAt(index) ^ right.charCodeAt(index % right.length);
    }
    return difference === 0;
};

/**
 * Finds the organisation of a request and removes the key from it. Call {@link isStillValid} again right before each
 * dispatch, because the key may be withdrawn while the request waits.
 *
 * @example
 * const authenticator = new Authenticator(configuration, sha256);
 * const result = authenticator.authenticate(request.headers, request.target);
 */
export class Authenticator {
    readonly #config: ConfigView;
    readonly #sha256: Sha256;
    readonly #constantTimeEqual: ConstantTimeEqual;

    constructor(config: ConfigView, sha256: Sha256, isEqual: ConstantTimeEqual = constantTimeEqual) {
        this.#config = config;
        this.#sha256 = sha256;
        this.#constantTimeEqual = isEqual;
    }

    /** Authenticates a request by its header fields, whose names are lower case, and its target (path and query). */
    authenticate(headers: Headers, target: string): Authentication {
        const config = this.#config.current();
        if (config === undefined) {
            return refuse("no-configuration", 503, "retry at another instance; this one has no configuration yet");
        }
        const index = keyIndexOf(config);
        const presented = presentedKeys(headers);
        if (hasKeyInTarget(target, presented, key => index.has(key))) {
            return refuse(
                "key-in-target",
                400,
                "send the key as X-Api-Key, not in the address, and ask the operator for a new one",
            );
        }
        if (presented.length !== 1) {
            return presented.length === 0
                ? refuse("no-key", 401, invalidKeyRemedy)
                : refuse("several-keys", 400, "send one key, in one header field");
        }
        const text = presented[0]!;
        const dot = text.lastIndexOf(".");
        if (dot < 1 || dot === text.length - 1 || text.length > maxKeyLength) {
            return refuse("malformed-key", 401, invalidKeyRemedy);
        }
        const key = text.slice(0, dot) as KeyId;
        const organisation = index.get(key);
        const stored = organisation?.keys.find(candidate => candidate.id === key)?.secretSha256;
        const isRight = this.#constantTimeEqual(this.#sha256(text.slice(dot + 1)), stored ?? noSecretSha256);
        if (organisation === undefined) {
            return refuse("unknown-key", 401, invalidKeyRemedy);
        }
        if (!isRight) {
            return refuse("wrong-secret", 401, invalidKeyRemedy);
        }
        if (this.#config.isWithdrawn(key)) {
            return refuse("withdrawn-key", 401, "the key was withdrawn; ask the operator for a new one");
        }
        return { kind: "authenticated", organisation: organisation.id, key, headers: removeKey(headers, text) };
    }

    /**
     * Whether a request that was authenticated with the key may still run. If `organisation` is given, the key must
     * also still belong to it.
     */
    isStillValid(key: KeyId, organisation?: OrganisationId): boolean {
        const config = this.#config.current();
        if (config === undefined || this.#config.isWithdrawn(key)) {
            return false;
        }
        const owner = keyIndexOf(config).get(key);
        return owner !== undefined && (organisation === undefined || owner.id === organisation);
    }
}

const refuse = (reason: AuthenticationRefusal, status: 400 | 401 | 503, remedy: string): Authentication => ({
    kind: "refused",
    reason,
    status,
    remedy,
});

/** Returns the distinct keys in the two header fields. */
const presentedKeys = (headers: Headers): readonly string[] => {
    const found: string[] = [];
    for (const [name, value] of headers) {
        let text: string | undefined;
        if (name === "x-api-key") {
            text = value.trim();
        }
        else if (name === "authorization") {
            text = /^bearer +(\S+) *$/i.exec(value)?.[1];
        }
        if (text !== undefined && text !== "" && !found.includes(text)) {
            found.push(text);
        }
    }
    return found;
};

/** Removes the header fields for keys, and any other field that contains the key, so that no upstream receives it. */
const removeKey = (headers: Headers, key: string): Headers =>
    headers.filter(([name, value]) => name !== "authorization" && name !== "x-api-key" && !value.includes(key));

const hasKeyInTarget = (
    target: string,
    presented: readonly string[],
    isKeyId: (key: KeyId) => boolean,
): boolean => {
    const decoded = target.includes("%") ? decode(target) : target;
    if (presented.some(key => key.length >= minSecretLength && (target.includes(key) || decoded.includes(key)))) {
        return true;
    }
    const start = target.indexOf("?");
    if (start < 0) {
        return false;
    }
    return target.slice(start + 1).split("&").some(part => {
        const equals = part.indexOf("=");
        const name = decode(equals < 0 ? part : part.slice(0, equals)).toLowerCase();
        const value = equals < 0 ? "" : decode(part.slice(equals + 1));
        const dot = value.lastIndexOf(".");
        const isKey = dot > 0 && value.length - dot > minSecretLength && isKeyId(value.slice(0, dot) as KeyId);
        return isKey || keyParameters.has(name);
    });
};

/** Decodes a part of a query. Text with invalid encoding is returned unchanged. */
const decode = (text: string): string => {
    try {
        return decodeURIComponent(text.replaceAll("+", " "));
    }
    catch {
        return text;
    }
};
