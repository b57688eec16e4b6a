/** Creates the components that bound the requests of cold upstreams. */
import type { FleetComponents, FleetSetup, GatewayOptions } from "./gateway-components.js";
import { ColdUpstreams } from "./statements/cold-upstreams.js";
import { WarmupPermits } from "./statements/warmup-permits.js";

/** Creates the components that bound the requests of cold upstreams. */
export const createSlowStart = (
    { clock, log, settings }: GatewayOptions,
    { self }: FleetSetup,
    { roster, config, upstreams, outages, evacuations }: Pick<
        FleetComponents,
        "roster" | "config" | "upstreams" | "outages" | "evacuations"
    >,
): Pick<FleetComponents, "permits" | "cold"> => {
    const permits = new WarmupPermits({
        self,
        clock,
        members: () => roster.known(),
        upstreamZones: () => upstreams.all().map(({ zone }) => zone),
        hasPeers: () => settings().seedPeers.some(address => address !== self.peerAddress),
    });
    const cold = new ColdUpstreams({
        clock,
        log,
        ownAddress: self.peerAddress,
        serviceOf: service => config.service(service),
        outages,
        permits,
        zoneEvacuationEndedMs: zone => evacuations?.endedMs(zone),
        bound: () => ({ overage: settings().warmupOverage, slack: settings().warmupSlack }),
    });
    return { permits, cold };
};
