/** Contexts for the decision modules under measurement. */
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

/** Names of instances, with the length of an address and an incarnation, so that messages have a realistic size. */
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

/** A configuration with one service and rates that are high enough to refuse nothing. */
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

/**
 * Membership with one coordinator for every key and a term that never ends. It omits the ranking of seats, whose cost
 * has a separate row.
 */
class FixedCoordinatorMembership extends StaticMembership {
    readonly #coordinator: InstanceId;
    readonly #term: CoordinatorTerm = { id: "1", startedAtMs: 0 };

    constructor(self: InstanceId, coordinator: InstanceId, names: readonly InstanceId[]) {
        super(self, staticFleet(names, zoneNames));
        this.#coordinator = coordinator;
    }

    override coordinatorOf(): InstanceId {
        return this.#coordinator;
    }

    override coordinatorTerm(): CoordinatorTerm | undefined {
        return this.#coordinator === this.self ? this.#term : undefined;
    }
}

/** Options of {@link probeContext}. */
export interface ProbeContextOptions {
    readonly network: LoopbackNetwork;
    readonly clock: VirtualClock;
    readonly self: InstanceId;
    /** Coordinator of every key. */
    readonly coordinator: InstanceId;
    readonly config: FleetConfig;
    /** Instances of the fleet; by default as many as today. */
    readonly names?: readonly InstanceId[];
}

/** Creates a context whose messages pass through the loopback network. */
export const probeContext = (options: ProbeContextOptions): InstanceContext => {
    const { network, clock, self, coordinator, config, names = instanceNames(todaySize.instances) } = options;
    const view: ConfigView = { current: () => config, isWithdrawn: () => false, onChange: () => {} };
    return {
        clock,
        random: seededRandom(seed),
        sha256,
        peers: network.join(self),
        membership: new FixedCoordinatorMembership(self, coordinator, names),
        config: view,
        log: noopLog,
        metrics: noopMetrics,
    };
};
