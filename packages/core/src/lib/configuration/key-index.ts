/** Index of organisations by key id. */
import type { FleetConfig, OrganisationConfig } from "../config.js";
import type { KeyId } from "../types.js";

/** Organisations by key id. */
export type KeyIndex = ReadonlyMap<KeyId, OrganisationConfig>;

const indexes = new WeakMap<FleetConfig, KeyIndex>();

/**
 * Returns the index of a configuration, which is built once for each configuration. It refers to the objects of the
 * configuration itself, so it stays small with many organisations.
 */
export const keyIndexOf = (config: FleetConfig): KeyIndex => {
    const known = indexes.get(config);
    if (known !== undefined) {
        return known;
    }
    const index = new Map<KeyId, OrganisationConfig>();
    for (const organisation of config.organisations) {
        for (const key of organisation.keys) {
            index.set(key.id, organisation);
        }
    }
    indexes.set(config, index);
    return index;
};
