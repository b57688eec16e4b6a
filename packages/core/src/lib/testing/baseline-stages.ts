/** Stages without any protection, as in a plain proxy. Tests use them where a stage does not matter. */
import type { RouteConfig } from "../config.js";
import type { Clock } from "../ports.js";
import type { ClaimGate, CrashGuard, RateLimiter, RoutedRequest, UpstreamChooser } from "../stages.js";
import type { AttemptId, KeyId, OrganisationId, RequestId, RouteId, ServiceId, Upstream } from "../types.js";

/** Grants every token immediately. */
export const allowAllRateLimiter: RateLimiter = {
    acquire: async () => ({ kind: "granted", token: { consume: () => true, release: () => {} } }),
};

/** Lets every request run, including repeated ones. */
export const allowAllClaimGate: ClaimGate = {
    begin: async () => ({
        kind: "run",
        claim: { complete: async () => {}, release: async () => {}, markUnknown: async () => {} },
    }),
};

/** Treats no request as a suspect. */
export const allowAllCrashGuard: CrashGuard = {
    check: () => ({ kind: "clear" }),
    acquirePermit: async () => true,
    recordResult: () => {},
};

/** Chooses the upstreams of the service in turn, without slots. */
export const roundRobinChooser = (upstreams: () => readonly Upstream[]): UpstreamChooser => {
    let next = 0;
    return {
        acquire: async (request, tried) => {
            const usable = upstreams().filter(upstream => upstream.service === request.route.service);
            const fresh = usable.filter(upstream => !tried.includes(upstream));
            const list = fresh.length > 0 ? fresh : usable;
            const upstream = list[next++ % Math.max(1, list.length)];
            return upstream === undefined
                ? { kind: "refused", reason: "no-upstream", retryAfterMs: 1_000 }
                : { kind: "slot", lease: { upstream, release: () => {} } };
        },
        tryAcquireRetry: () => true,
        load: () => 0,
    };
};

/** Creates a route for tests. */
export const testRoute = (overrides: Partial<RouteConfig> = {}): RouteConfig => ({
    id: "lookup" as RouteId,
    method: "GET",
    path: "/lookup/*",
    service: "svc" as ServiceId,
    idempotent: true,
    timeoutMs: 1_000,
    ...overrides,
});

/** Creates a routed request for tests. */
export const testRequest = (clock: Clock, overrides: Partial<RoutedRequest> = {}): RoutedRequest => ({
    id: "r1" as RequestId,
    attempt: "a1" as AttemptId,
    organisation: "org-1" as OrganisationId,
    key: "k1" as KeyId,
    route: testRoute(),
    method: "GET",
    target: "/lookup/1",
    body: new Uint8Array(0),
    bodyHash: "0".repeat(64),
    deadlineMs: clock.monotonicMs() + 1_000,
    isFirstAttempt: false,
    signal: new AbortController().signal,
    ...overrides,
});

/** Creates an upstream for tests. */
export const testUpstream = (name: string, overrides: Partial<Upstream> = {}): Upstream => ({
    id: name as Upstream["id"],
    service: "svc" as ServiceId,
    zone: "z1" as Upstream["zone"],
    address: "127.0.0.1:9",
    state: "live",
    ...overrides,
});
