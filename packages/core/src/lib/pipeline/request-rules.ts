/** Access of the pipeline to the keys and routes of the current configuration. */
import type { ConfigView, FleetConfig, RouteConfig } from "../config.js";
import { Authenticator, RouteTable } from "../configuration/index.js";
import type { Authentication, RouteMatch } from "../configuration/index.js";
import type { Sha256 } from "../ports.js";
import type { Headers, KeyId, OrganisationId } from "../types.js";

/** Configuration queries of admission and of the check before dispatch. */
export interface RequestRules {
    authenticate(headers: Headers, target: string): Authentication;
    /** Checked again right before dispatch, because a key may be withdrawn while a request waits. */
    isKeyValid(key: KeyId, organisation: OrganisationId): boolean;
    matchRoute(method: string, target: string): RouteMatch;
    mayUse(route: RouteConfig, organisation: OrganisationId): boolean;
}

/**
 * Creates rules that always use the current configuration of one instance.
 *
 * @example
 * const rules = createRequestRules(configurationStore, sha256);
 */
export const createRequestRules = (config: ConfigView, sha256: Sha256): RequestRules => {
    const authenticator = new Authenticator(config, sha256);
    let cached: { readonly from: FleetConfig; readonly table: RouteTable; } | undefined;
    const table = (): RouteTable | undefined => {
        const current = config.current();
        if (current !== undefined && cached?.from !== current) {
            cached = { from: current, table: new RouteTable(current.routes) };
        }
        return cached?.table;
    };
    return {
        authenticate: (headers, target) => authenticator.authenticate(headers, target),
        isKeyValid: (key, organisation) => authenticator.isStillValid(key, organisation),
        matchRoute: (method, target) => table()?.match(method, target) ?? { kind: "not-found" },
        mayUse: (route, organisation) => table()?.mayUse(route, organisation) ?? false,
    };
};
