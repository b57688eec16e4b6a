/** Fleet sizes from docs/design.md, section "Deployment environment", and the budget of an instance. */

/** Size of a fleet for which the roles are computed. */
export interface FleetSize {
    readonly name: string;
    readonly instances: number;
    readonly seats: number;
    readonly zones: number;
    readonly services: number;
    readonly upstreams: number;
    readonly routes: number;
    readonly organisations: number;
    readonly requestsPerSecond: number;
    /**
     * Share of requests on routes that are not idempotent. This is an assumption, since the design page gives no value.
     */
    readonly claimShare: number;
    readonly changesPerDay: number;
    readonly restartsPerDay: number;
    readonly failuresPerDay: number;
}

/**
 * PawTrace Alliance at the sum of its declared rates. Changes, restarts and failures are those of the full size, scaled
 * by the number of instances.
 */
export const todaySize: FleetSize = {
    name: "44 instances",
    instances: 44,
    seats: 44,
    zones: 3,
    services: 2,
    upstreams: 36,
    routes: 10,
    organisations: 8,
    requestsPerSecond: 2_420,
    claimShare: 0.05,
    changesPerDay: 40,
    restartsPerDay: 95,
    failuresPerDay: 1.3,
};

/** The projected size. The roster schema allows at most 64 seats. */
export const fullSize: FleetSize = {
    name: "3,700 instances",
    instances: 3_700,
    seats: 64,
    zones: 8,
    services: 1_100,
    upstreams: 55_000,
    routes: 17_000,
    organisations: 360_000,
    requestsPerSecond: 440_000,
    claimShare: 0.05,
    changesPerDay: 3_300,
    restartsPerDay: 8_000,
    failuresPerDay: 110,
};

/**
 * One of 58 cells of 64 instances, if each organisation and each service belonged to three cells, as proposed in
 * docs/CAPACITY.md. It is not built.
 */
export const cellSize: FleetSize = {
    name: "one cell of 64 instances (not built)",
    instances: 64,
    seats: 64,
    zones: 8,
    services: 57,
    upstreams: 2_845,
    routes: 879,
    organisations: 18_621,
    requestsPerSecond: 7_611,
    claimShare: 0.05,
    changesPerDay: 171,
    restartsPerDay: 138,
    failuresPerDay: 1.9,
};

/** Budget of one instance for control traffic. */
export const budget = { coreShare: 0.026, memoryBytes: 32e6, bytesPerSecond: 14e3 };
