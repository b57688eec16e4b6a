/** Test fixtures. */
import { id } from "@sniperoad/core";
import type { Clock, OrganisationId, RouteId, ServiceId, UpstreamId, ZoneId } from "@sniperoad/core";
import { RetryBudget } from "../balance/retry-budget.js";
import type { RetryBudgetOptions } from "../balance/retry-budget.js";
import type { HeartbeatPayload } from "../fleet/fleet-exchange.js";
import type { CollectionState } from "../fleet/heartbeat.js";
import type {
    GatewayConfig,
    GatewayOrganisation,
    GatewayRoute,
    KeyHash,
    ListedUpstream,
    UpstreamStatement,
} from "../model.js";
import type { KnownUpstream } from "../store/upstream-registry.js";

export const reportsService = id<ServiceId>("reports");
export const zoneA = id<ZoneId>("zone-a");

/** A route that is not idempotent, unless overridden. */
export const testRoute = (overrides: Partial<GatewayRoute> = {}): GatewayRoute => ({
    id: id<RouteId>("r-1"),
    host: "shelter.example",
    pathPrefix: "/reports/",
    isIdempotent: false,
    isOpen: false,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 2,
    destinations: [{ service: reportsService, weight: 1 }],
    ...overrides,
});

/** Stand-in for SHA-256: the key itself with a prefix. */
export const testHash = (data: string | Uint8Array): string => `#${String(data)}`;

export const testOrganisation = (overrides: Partial<GatewayOrganisation> = {}): GatewayOrganisation => ({
    id: id<OrganisationId>("org-1"),
    keys: [testHash("key-1") as KeyHash],
    priority: undefined,
    ratePerSecond: 0,
    burst: 0,
    ...overrides,
});

export const testConfig = (overrides: Partial<GatewayConfig> = {}): GatewayConfig => ({
    version: 1,
    routes: [testRoute()],
    organisations: [testOrganisation()],
    services: [],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 },
    ...overrides,
});

export const testUpstream = (name: string, overrides: Partial<ListedUpstream> = {}): ListedUpstream => ({
    id: id<UpstreamId>(name),
    service: reportsService,
    zone: zoneA,
    address: "127.0.0.1:1",
    state: "live",
    slots: 3,
    warmupLeftMs: 0,
    startedMs: 0,
    ...overrides,
});

/** An upstream whose warm-up has ended. */
export const knownUpstream = (name: string, overrides: Partial<ListedUpstream> = {}): KnownUpstream => ({
    listed: testUpstream(name, overrides),
    warmupEndMs: 0,
});

/** For tests without cold upstreams. */
export const noColdUpstreams = {
    of: () => undefined,
    limitOf: () => undefined,
    isCold: () => false,
    isTurningCold: () => false,
};

/** An answer in which the upstream states nothing about itself. */
export const noStatement: UpstreamStatement = {
    limitPerSecond: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
};

/** Retry budget of an instance that is the whole fleet, unless it knows of others that it does not hear. */
export const aloneBudget = (clock: Clock, limits: RetryBudgetOptions, known = 1): RetryBudget =>
    new RetryBudget({
        clock,
        random: () => 0.5,
        limits: () => limits,
        remote: {
            usage: () => ({ admitted: 0, offered: 0 }),
            reportDelayMs: () => 600,
            uncoveredShare: () => 0,
            onScarce: () => {},
        },
        reach: () => ({ live: 1, known }),
    });

const idleCollectionState: CollectionState = { revision: 0, confirmedAgeMs: undefined, reader: "idle" };

/** Payload of an instance that accepts requests but has neither state nor requests. */
export const idlePayload: HeartbeatPayload = {
    isReady: true,
    isLeaving: false,
    config: idleCollectionState,
    upstreams: idleCollectionState,
    usage: [],
    hasScarceUsage: false,
    inFlight: [],
    successes: [],
    outcomes: [],
    crashes: [],
};
