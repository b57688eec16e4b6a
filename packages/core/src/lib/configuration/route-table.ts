/** Matches requests to routes. */
import type { FleetConfig, RouteConfig } from "../config.js";
import type { OrganisationId } from "../types.js";
import { requestSegments, routePattern } from "./route-path.js";

/** Result of {@link RouteTable.match}. */
export type RouteMatch =
    | { readonly kind: "route"; readonly route: RouteConfig; }
    | { readonly kind: "not-found"; }
    /** The path has routes for other methods only. */
    | { readonly kind: "method-not-allowed"; readonly allowed: readonly string[]; }
    /** The target is ambiguous or not a path; respond with status 400. */
    | { readonly kind: "bad-target"; readonly remedy: string; };

interface PathNode {
    readonly children: Map<string, PathNode>;
    parameter: PathNode | undefined;
    /** Route whose path ends here. */
    route: RouteConfig | undefined;
    /** Route whose "*" follows this node. */
    wildcard: RouteConfig | undefined;
}

const newNode = (): PathNode => ({ children: new Map(), parameter: undefined, route: undefined, wildcard: undefined });

/**
 * Holds the routes as one tree of path segments for each method. At each segment a literal takes precedence over a
 * parameter, and a parameter over "*". The search backtracks if the preferred branch leads to no route.
 *
 * @example
 * const table = new RouteTable(config.routes);
 * const match = table.match("GET", "/pets/17?full=1");
 */
export class RouteTable {
    readonly #roots = new Map<string, PathNode>();
    readonly #allowed = new Map<RouteConfig, ReadonlySet<OrganisationId>>();

    constructor(routes: readonly RouteConfig[]) {
        for (const route of routes) {
            this.#add(route);
            if (route.organisations !== undefined) {
                this.#allowed.set(route, new Set(route.organisations));
            }
        }
    }

    /** Returns the most specific route of a method and target. */
    match(method: string, target: string): RouteMatch {
        const segments = requestSegments(target);
        if (segments === undefined) {
            return {
                kind: "bad-target",
                remedy: 'send a path that starts with "/" and has no empty, dot, or wrongly encoded segments',
            };
        }
        const root = this.#roots.get(method);
        const route = root === undefined ? undefined : findRoute(root, segments, 0);
        if (route !== undefined) {
            return { kind: "route", route };
        }
        const allowed = [...this.#roots].filter(([, other]) => findRoute(other, segments, 0) !== undefined);
        return allowed.length === 0
            ? { kind: "not-found" }
            : { kind: "method-not-allowed", allowed: allowed.map(([name]) => name) };
    }

    /** Whether an organisation may use a route of this table. */
    mayUse(route: RouteConfig, organisation: OrganisationId): boolean {
        return this.#allowed.get(route)?.has(organisation) ?? true;
    }

    #add(route: RouteConfig): void {
        let node = this.#roots.get(route.method);
        if (node === undefined) {
            node = newNode();
            this.#roots.set(route.method, node);
        }
        for (const segment of routePattern(route.path)) {
            if (segment === "*") {
                node.wildcard = route;
                return;
            }
            node = segment === ":" ? (node.parameter ??= newNode()) : getOrAddChild(node, segment);
        }
        node.route = route;
    }
}

const tables = new WeakMap<FleetConfig, RouteTable>();

/**
 * Returns the route table of a configuration, which is built once for each configuration.
 *
 * @example
 * const match = routeTableOf(view.current()!).match("GET", "/pets/17");
 */
export const routeTableOf = (config: FleetConfig): RouteTable => {
    const table = tables.get(config) ?? new RouteTable(config.routes);
    tables.set(config, table);
    return table;
};

const getOrAddChild = (node: PathNode, segment: string): PathNode => {
    const found = node.children.get(segment);
    if (found !== undefined) {
        return found;
    }
    const created = newNode();
    node.children.set(segment, created);
    return created;
};

const findRoute = (node: PathNode, segments: readonly string[], index: number): RouteConfig | undefined => {
    if (index === segments.length) {
        return node.route;
    }
    const segment = segments[index]!;
    const literal = node.children.get(segment);
    const byLiteral = literal === undefined ? undefined : findRoute(literal, segments, index + 1);
    if (byLiteral !== undefined) {
        return byLiteral;
    }
    const { parameter } = node;
    // A parameter does not match an empty segment, so "/pets/" does not match "/pets/:pet".
    const byParameter = parameter === undefined || segment === ""
        ? undefined
        : findRoute(parameter, segments, index + 1);
    return byParameter ?? node.wildcard;
};
