/** The capacity floor: which ejections may stand together. */
import type { RouteId, UpstreamId } from "../types.js";
import { targetKey } from "./messages.js";

/** What an ejection applies to: an upstream, on one route or on all. */
export interface EjectionTarget {
    readonly upstream: UpstreamId;
    readonly route?: RouteId | undefined;
}

/** Capacity that ejection must leave. */
export interface CapacityFloor {
    /** Warm upstreams that are not draining. */
    readonly healthy: ReadonlySet<UpstreamId>;
    readonly slotsPerUpstream: number;
    readonly floorSlots: number;
}

/**
 * Slots left for a route, or for routes without ejections of their own if the route is undefined.
 *
 * @example
 * remainingSlots(rule, ejections, undefined) >= rule.floorSlots
 */
export const remainingSlots = (
    rule: CapacityFloor,
    ejections: readonly EjectionTarget[],
    route: RouteId | undefined,
): number => {
    const removed = new Set(
        ejections
            .filter(entry => entry.route === undefined || entry.route === route)
            .map(entry => entry.upstream)
            .filter(upstream => rule.healthy.has(upstream)),
    );
    return (rule.healthy.size - removed.size) * rule.slotsPerUpstream;
};

/** Whether one more ejection leaves the floor standing for every route. */
export const isWithinFloor = (
    rule: CapacityFloor,
    standing: readonly EjectionTarget[],
    candidate: EjectionTarget,
): boolean => {
    if (!rule.healthy.has(candidate.upstream)) {
        return true;
    }
    const all = [...standing, candidate];
    const routes = candidate.route === undefined
        ? [undefined, ...new Set(all.map(entry => entry.route))]
        : [candidate.route];
    return routes.every(route => remainingSlots(rule, all, route) >= rule.floorSlots);
};

/**
 * The ejections that may stand together. The order is that of the targets' names, so that instances that know the same
 * ejections keep the same ones.
 */
export const selectWithinFloor = <T extends EjectionTarget>(
    rule: CapacityFloor,
    ejections: readonly T[],
): readonly T[] => {
    const kept: T[] = [];
    for (const entry of [...ejections].sort((left, right) => targetKey(left) < targetKey(right) ? -1 : 1)) {
        if (isWithinFloor(rule, kept, entry)) {
            kept.push(entry);
        }
    }
    return kept;
};
