/** Removes state that is no longer needed. */
import type { UpstreamId } from "@sniperoad/core";
import type { FleetComponents } from "./gateway-components.js";
import type { UpstreamConnectionPool } from "./request/upstream-connection-pool.js";

/** Removes the state of upstreams that are no longer listed, and idle connections to those that must get no requests. */
export const pruneState = (
    { upstreams, evacuations, gray, floor, statements, meters, outages, permits, cold }: FleetComponents,
    connections: UpstreamConnectionPool,
): void => {
    const isListed = (upstream: UpstreamId): boolean => upstreams.get(upstream) !== undefined;
    gray.retain(isListed);
    floor.retain(isListed);
    statements.retain(isListed);
    outages.retain(isListed);
    permits.retain(isListed);
    permits.review();
    cold.retain(upstream => upstreams.get(upstream)?.listed.state === "live");
    cold.review(upstreams.live());
    meters.retainPermits(upstream => cold.isCold(upstream));
    meters.retain(upstream => {
        const known = upstreams.get(upstream);
        return known !== undefined && statements.limitOf(known.listed) !== undefined;
    });
    connections.retain(upstream => {
        const known = upstreams.get(upstream);
        return known !== undefined
            && !statements.isLeaving(known.listed)
            && evacuations?.isEvacuated(known.listed.zone) !== true;
    });
    statements.renew();
};
