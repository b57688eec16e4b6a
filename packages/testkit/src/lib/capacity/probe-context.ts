/** Contexts of decision modules under measurement. */
import { id } from "@sniperoad/core";
import type {
    ConfigView,
    CoordinatorTerm,
    FleetConfig,
    InstanceContext,
    InstanceId,
    OrganisationId,
    RouteConfig,
    RouteId,
    ServiceId,
    Upstream,
    UpstreamId,
    ZoneId,
} from "@sniperoad/core";
import type { VirtualClock } from "@sniperoad/core/testing";
import { noopLog, noopMetrics, seededRandom, staticFleet, StaticMembership, testRoute } from "@sniperoad/core/testing";
import { createHash } from "node:crypto";
import type { LoopbackNetwork } from "./loopback-network.js";
import { todaySize } from "./sizes.js";

const seed = 20_261_204;

/** SHA-256 as the daemon computes it. */
export const sha256 = (data: string | Uint8Array): string => createHash("sha256").update(data).digest("hex");

/** Names of instances. The length is that of an address with an incarnation, so that messages have their real size. */
export const instanceNames = (count: number): InstanceId[] =>
    Array.from({ length: count }, (_, index) => id<InstanceId>(`10.20.${index >> 8}.${index & 255}:7400~k3x9q2`));

const zoneNames = Array.from({ length: 8 }, (_, index) => `eu-north-${index + 1}a`);

/** Zone of the instance at an index. */
export const zoneOf = (index: number): ZoneId => id<ZoneId>(zoneNames[index % zoneNames.length]!);

/** Upstreams of one service. */
export const upstreamsOf = (service: string, count: number): Upstream[] =>
    Array.from({ length: count }, (_, index) => ({
        id: id<UpstreamId>(`${service}-${index + 1}`),
        service: id<ServiceId>(service),
        zone: zoneOf(index),
        address: `10.30.${index >> 8}.${index & 255}:8080`,
        state: "live" as const,
    }));

/** Name of the organisation at an index. */
export const organisationName = (index: number): OrganisationId => id<OrganisationId>(`organisation-${index}`);

/** A configuration with one service; rates are high enough that nothing is refused. */
export const configOf = (organisations: number, routes: readonly RouteConfig[] = []): FleetConfig => ({
    revision: 1,
    operations: [],
    seats: 44,
    organisations: Array.from({ length: organisations }, (_, index) => ({
        id: organisationName(index),
        keys: [],
        ratePerSecond: 200_000,
        burst: 200,
    })),
    services: [{ id: id<ServiceId>("svc"), slotsPerUpstream: 3, floorSlots: 1 }],
    routes: [...routes],
});

/** Routes of the service. */
export const routesOf = (count: number): RouteConfig[] =>
    Array.from({ length: count }, (_, index) => testRoute({ id: id<RouteId>(`route-${index}`) }));

/** Home of every key, with a term that never ends. Ranking has its own row. */
class HomeMembership extends StaticMembership {
    readonly #home: InstanceId;
    readonly #term: CoordinatorTerm = { id: "1", startedAtMs: 0 };

    constructor(self: InstanceId, home: InstanceId, names: readonly InstanceId[]) {
        super(self, staticFleet(names, zoneNames));
        this.#home = home;
    }

    override coordinatorOf(): InstanceId {
        return this.#home;
    }

    override coordinatorTerm(): CoordinatorTerm | undefined {
        return this.#home === this.self ? this.#term : undefined;
    }
}

/** What {@link probeContext} is built from. */
export interface ProbeContextOptions {
    readonly hub: LoopbackNetwork;
    readonly clock: VirtualClock;
    readonly self: InstanceId;
    /** The home of every key. */
    readonly home: InstanceId;
    readonly config: FleetConfig;
    /** Instances of the fleet; by default those of today. */
    readonly names?: readonly InstanceId[];
}

/** A context whose messages pass the hub. */
export const probeContext = (options: ProbeContextOptions): InstanceContext => {
    const { hub, clock, self, home, config, names = instanceNames(todaySize.instances) } = options;
    const view: ConfigView = { current: () => config, isWithdrawn: () => false, onChange: () => {} };
    return {
        clock,
        random: seededRandom(seed),
        sha256,
        peers: hub.join(self),
        membership: new HomeMembership(self, home, names),
        config: view,
        log: noopLog,
        metrics: noopMetrics,
    };
};
