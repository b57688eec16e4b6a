/** Creates the components that handle requests from callers. */
import { createAdmissionComponents } from "./admission-components.js";
import type { ServicePressures } from "./admission/service-pressures.js";
import { Hedging } from "./balance/hedging.js";
import type { HedgingOptions } from "./balance/hedging.js";
import { UpstreamSelector } from "./balance/upstream-selector.js";
import type { FleetComponents, GatewayOptions } from "./gateway-components.js";
import { PathBackoff } from "./health/path-backoff.js";
import type { GatewayRoute } from "./model.js";
import type { GatewayMetrics } from "./observe/metrics.js";
import { RequestHandler } from "./request/request-handler.js";
import type { UpstreamConnectionPool } from "./request/upstream-connection-pool.js";
import { UpstreamDispatcher } from "./request/upstream-dispatcher.js";
import type { GatewaySettings } from "./settings.js";
import { WillingUpstreams } from "./statements/willing-upstreams.js";
import type { FleetState } from "./store/fleet-state.js";

/** Components that handle requests from callers. */
export interface RequestComponents {
    readonly connections: UpstreamConnectionPool;
    readonly handler: RequestHandler;
    readonly metrics: GatewayMetrics;
    /** Reviews the pressure on services; to be called every `pressureIntervalMs`. */
    readonly review: () => void;
    readonly pressures: Pick<ServicePressures, "highestLevel">;
}

/** Creates the components that handle requests from callers. */
export const createRequestComponents = (
    options: GatewayOptions,
    fleet: FleetComponents,
    metrics: GatewayMetrics,
    connections: UpstreamConnectionPool,
): RequestComponents => {
    const { clock, random, log, sha256, headers, settings } = options;
    const { upstreams, gray, load, outcomes, crashes, state, config, rates, floor, statements, meters, retryBudget } =
        fleet;
    const { evacuations, outages, cold, fleetSize: reach } = fleet;
    const paths = new PathBackoff(clock);
    const willing = new WillingUpstreams({ clock, random, statements, meters, cold, reach, evacuations });
    const decisions = createAdmissionComponents(options, fleet, paths, willing, metrics);
    const { admission, pressures, utilization, answerTimes, serviceTimes } = decisions;
    const hasHope = ({ id, targetLatencyMs }: Pick<GatewayRoute, "id" | "targetLatencyMs">, leftMs: number): boolean =>
        admission.hasHope({ route: id, targetLatencyMs }, leftMs);
    const dispatcher = new UpstreamDispatcher({
        clock,
        log,
        client: connections,
        codec: headers,
        selector: new UpstreamSelector({ zone: settings().zone, clock, random, gray, paths, load, floor }),
        load,
        paths,
        outcomes,
        floor,
        retryBudget,
        meters,
        statements,
        outages,
        candidates: service => willing.among(upstreams.forService(service)),
        crashes,
        hasHope,
        hedging: createHedging(options, fleet, metrics, {
            hasHope,
            hasRoom: service => utilization(service) < 1,
        }),
        answerTimeMs: service => serviceTimes.quantile(service, 0.25),
        onAnswer: ({ route, service }, tookMs) => {
            answerTimes.record(route.id, tookMs);
            serviceTimes.record(service, tookMs);
            pressures.recordAnswer(service, route.id, tookMs);
        },
    });
    const handler = new RequestHandler({
        clock,
        random,
        sha256,
        log,
        config,
        rates,
        retryBudget,
        crashes,
        dispatcher,
        admission,
        onAdmissible: (service, { id, targetLatencyMs }) => pressures.recordRequest(service, id, targetLatencyMs),
        utilization,
        acceptingInMs: service => willing.acceptingInMs(upstreams.forService(service)),
        codec: headers,
        isInitialized: () => state.isComplete,
        endsAtMs: fleet.endsAtMs,
        fleetSize: fleet.fleetSize,
        unconfirmedReason: () => unconfirmedReason(settings(), state),
        onDone: (route, status, tookMs) => metrics.request(route?.id, status, tookMs),
    });
    return { connections, handler, metrics, review: () => pressures.review(), pressures };
};

const createHedging = (
    { clock, random, settings }: GatewayOptions,
    { retryBudget }: FleetComponents,
    metrics: GatewayMetrics,
    limits: Pick<HedgingOptions, "hasHope" | "hasRoom">,
): Hedging =>
    new Hedging({
        clock,
        random,
        share: () => settings().hedgeShare,
        retryBudget,
        ...limits,
        onHedge: result => metrics.recordHedge(result),
        onDenied: reason => metrics.recordHedgeDenied(reason),
    });

/**
 * Returns why the configuration counts as unconfirmed: a change that must be in force by now could have been missed.
 * Undefined if it is confirmed, or if the settings do not refuse unconfirmed configurations.
 */
const unconfirmedReason = (settings: GatewaySettings, state: FleetState): string | undefined => {
    if (!settings.refuseWhenUnconfirmed) {
        return undefined;
    }
    const ageMs = state.confirmedAgeMs("config");
    return ageMs !== undefined && ageMs <= settings.configApplyMs
        ? undefined
        : `The configuration was last confirmed ${ageMs === undefined ? "never" : `${Math.round(ageMs)} ms ago`}.`;
};
