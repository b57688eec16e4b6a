/** Looks up the organisation of a caller's key. */
import type { Sha256 } from "@sniperoad/core";
import type { GatewayConfig, GatewayOrganisation, KeyHash } from "../model.js";

/**
 * Indexes organisations by the hashes of their keys. The duration of a lookup by hash reveals nothing about the key.
 *
 * @example
 * const organisation = new KeyIndex(config, sha256).find(key);
 */
export class KeyIndex {
    readonly #byHash = new Map<KeyHash, GatewayOrganisation>();
    readonly #sha256: Sha256;

    constructor(config: GatewayConfig, sha256: Sha256) {
        this.#sha256 = sha256;
        for (const organisation of config.organisations) {
            organisation.keys.forEach(hash => this.#byHash.set(hash, organisation));
        }
    }

    /** Returns undefined if no organisation has the key. */
    find(key: string): GatewayOrganisation | undefined {
        return this.#byHash.get(this.#sha256(key) as KeyHash);
    }
}
