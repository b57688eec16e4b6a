/** Looks up the route of a request by host and longest path prefix. */
import type { GatewayConfig, GatewayRoute } from "../model.js";

/**
 * Indexes routes by host and path prefix.
 *
 * @example
 * const index = new RouteIndex(config);
 * const route = index.find("shelter.example", "/reports/17?full=1");
 */
export class RouteIndex {
    readonly #byHost = new Map<string, Map<string, GatewayRoute>>();

    constructor(config: GatewayConfig) {
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            const prefixes = this.#byHost.get(host) ?? new Map<string, GatewayRoute>();
            prefixes.set(route.pathPrefix, route);
            this.#byHost.set(host, prefixes);
        }
    }

    /** Returns the route with the longest prefix of the path; undefined if none matches. */
    find(host: string, target: string): GatewayRoute | undefined {
        const prefixes = this.#byHost.get(withoutPort(host).toLowerCase());
        if (prefixes === undefined) {
            return undefined;
        }
        const path = target.split(/[?#]/, 1)[0] ?? "";
        // Route prefixes end with a slash, so only parts of the path that end with one can match.
        for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
            if (end === 0) {
                return undefined;
            }
        }
        return undefined;
    }
}

const withoutPort = (host: string): string => host.replace(/:\d+$/, "");
