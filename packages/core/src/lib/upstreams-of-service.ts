/** Looks up the upstreams of a service in a list of all upstreams. */
import type { ServiceId, Upstream } from "./types.js";

type UpstreamsByService = ReadonlyMap<ServiceId, readonly Upstream[]>;

/** Cached index of each list. A list remains the same array until it changes. */
const indexes = new WeakMap<readonly Upstream[], UpstreamsByService>();

const noUpstreams: readonly Upstream[] = [];

/**
 * Returns the upstreams of one service. Each request needs them several times, so each list is indexed only once.
 *
 * @example
 * upstreamsOfService(listing.upstreams, id<ServiceId>("alerts-svc"));
 */
export const upstreamsOfService = (listing: readonly Upstream[], service: ServiceId): readonly Upstream[] => {
    const known = indexes.get(listing);
    if (known !== undefined) {
        return known.get(service) ?? noUpstreams;
    }
    const index = new Map<ServiceId, Upstream[]>();
    for (const upstream of listing) {
        const list = index.get(upstream.service);
        if (list === undefined) {
            index.set(upstream.service, [upstream]);
        }
        else {
            list.push(upstream);
        }
    }
    indexes.set(listing, index);
    return index.get(service) ?? noUpstreams;
};
