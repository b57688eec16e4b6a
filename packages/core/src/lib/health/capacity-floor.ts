/** The capacity floor, which limits the ejections that may be in force together. */
import type { RouteId, UpstreamId } from "../types.js";
import { targetKey } from "./messages.js";

/** Target of an ejection: an upstream, on one route or on all. */
export interface EjectionTarget {
    readonly upstream: UpstreamId;
    readonly route?: RouteId | undefined;
}

/** Capacity that ejections must leave in service. */
export interface CapacityFloor {
    /** Live upstreams that have warmed up and are not draining. */
    readonly healthy: ReadonlySet<UpstreamId>;
    readonly slotsPerUpstream: number;
    readonly floorSlots: number;
}

/**
 * Slots left for a route, or for routes without ejections of their own if the route is undefined.
 *
 * @example
 * remainingSlots(floor, ejections, undefined) >= floor.floorSlots
 */
export const remainingSlots = (
    floor: CapacityFloor,
    ejections: readonly EjectionTarget[],
    route: RouteId | undefined,
): number => {
    const removed = new Set(
        ejections
            .filter(entry => entry.route === undefined || entry.route === route)
            .map(entry => entry.upstream)
            .filter(upstream => floor.healthy.has(upstream)),
    );
    return (floor.healthy.size - removed.size) * floor.slotsPerUpstream;
};

/** Whether every route keeps the floor with one more ejection. */
export const isWithinFloor = (
    floor: CapacityFloor,
    current: readonly EjectionTarget[],
    candidate: EjectionTarget,
): boolean => {
    if (!floor.healthy.has(candidate.upstream)) {
        return true;
    }
    const all = [...current, candidate];
    const routes = candidate.route === undefined
        ? [undefined, ...new Set(all.map(entry => entry.route))]
        : [candidate.route];
    return routes.every(route => remainingSlots(floor, all, route) >= floor.floorSlots);
};

/**
 * Selects ejections that the floor allows together. They are considered in the order of their keys, so that instances
 * with the same ejections select the same ones.
 */
export const selectWithinFloor = <T extends EjectionTarget>(
    floor: CapacityFloor,
    ejections: readonly T[],
): readonly T[] => {
    const kept: T[] = [];
    for (const entry of [...ejections].sort((left, right) => targetKey(left) < targetKey(right) ? -1 : 1)) {
        if (isWithinFloor(floor, kept, entry)) {
            kept.push(entry);
        }
    }
    return kept;
};
