/** Lookup of organisations by id. */
import type { ConfigView, FleetConfig } from "../config.js";
import type { OrganisationId } from "../types.js";
import type { OrganisationLimit } from "./options.js";

/** One index for each configuration object, shared by the coordinator side and the requesting side of a process. */
const indexes = new WeakMap<FleetConfig, ReadonlyMap<OrganisationId, OrganisationLimit>>();

/** Organisations of a configuration by id. */
export const indexOrganisations = (config: FleetConfig): ReadonlyMap<OrganisationId, OrganisationLimit> => {
    const known = indexes.get(config);
    if (known !== undefined) {
        return known;
    }
    const index = new Map(config.organisations.map(organisation => [organisation.id, organisation]));
    indexes.set(config, index);
    return index;
};

/** Organisations of the current configuration. */
export class OrganisationIndex {
    readonly #config: ConfigView;

    constructor(config: ConfigView) {
        this.#config = config;
    }

    get(id: OrganisationId): OrganisationLimit | undefined {
        const current = this.#config.current();
        return current === undefined ? undefined : indexOrganisations(current).get(id);
    }
}
