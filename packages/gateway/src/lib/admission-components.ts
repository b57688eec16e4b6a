/** Creates the components that decide on the admission of requests. */
import type { RouteId, ServiceId } from "@sniperoad/core";
import { Admission } from "./admission/admission.js";
import { AnswerTimes } from "./admission/answer-times.js";
import { FairShares } from "./admission/fair-shares.js";
import { OverloadLog } from "./admission/overload-log.js";
import { loadOf, utilizationOf } from "./admission/service-load.js";
import type { UpstreamState } from "./admission/service-load.js";
import { ServicePressures } from "./admission/service-pressures.js";
import type { RemoteLoad } from "./balance/load-estimate.js";
import type { FleetComponents, GatewayOptions } from "./gateway-components.js";
import type { PathBackoff } from "./health/path-backoff.js";
import type { GatewayMetrics } from "./observe/metrics.js";
import type { WillingUpstreams } from "./statements/willing-upstreams.js";

/** Components that decide on the admission of requests. */
export interface AdmissionComponents {
    readonly admission: Admission;
    readonly pressures: ServicePressures;
    /** See `utilizationOf`. */
    readonly utilization: (service: ServiceId) => number;
    readonly answerTimes: AnswerTimes<RouteId>;
    readonly serviceTimes: AnswerTimes<ServiceId>;
}

/** Creates the components that decide on the admission of requests. */
export const createAdmissionComponents = (
    { clock, random, log, settings }: GatewayOptions,
    fleet: FleetComponents,
    paths: PathBackoff,
    willing: WillingUpstreams,
    metrics: Pick<GatewayMetrics, "recordRejection">,
): AdmissionComponents => {
    const { upstreams, load, gray, exchange, config, rates } = fleet;
    const answerTimes = new AnswerTimes<RouteId>(clock);
    const serviceTimes = new AnswerTimes<ServiceId>(clock);
    const accepting = (service: ServiceId) => willing.accepting(upstreams.forService(service));
    const stateOf = (service: ServiceId): UpstreamState => ({
        inFlight: upstream => load.inFlight(upstream),
        grayProbability: upstream => gray.probability(upstream),
        isBackingOff: upstream => paths.isBackingOff(upstream),
        limitPerSecond: listed => willing.limitOf(listed),
        answerTimeMs: serviceTimes.quantile(service, 0.5),
    });
    const utilization = (service: ServiceId): number => utilizationOf(accepting(service), stateOf(service), clock);
    const fairShares = new FairShares({
        clock,
        demands: () =>
            (config.current?.config.organisations ?? []).map(({ id, ratePerSecond }) => ({
                id,
                declaredPerSecond: ratePerSecond,
                offeredPerSecond: rates.offeredPerSecond(id),
            })),
    });
    const overloads = new OverloadLog(clock, log);
    const pressures = new ServicePressures({
        clock,
        loadOf: service => loadOf(accepting(service), stateOf(service), clock),
        reportAgeMs: () => meanAgeMs(exchange.view.loads(), clock.monotonicMs()),
        fleetSize: fleet.fleetSize,
        waitShare: () => settings().admissionWaitShare,
        onReview: (service, { level, waitMs }) =>
            overloads.review(service, { level, waitMs, shares: () => fairShares.shares(level) }),
    });
    fleet.onCompleted((upstream, count) => {
        const service = upstreams.get(upstream)?.listed.service;
        if (service !== undefined) {
            pressures.recordCompleted(service, count);
        }
    });
    const admission = new Admission({
        clock,
        random,
        shareWithin: (route, limitMs) => answerTimes.shareWithin(route, limitMs),
        expected: (service, route) => pressures.expected(service, route),
        levelOf: (organisation, level) => fairShares.levelOf(organisation, level),
        onReject: (rank, cause) => metrics.recordRejection(rank, cause),
    });
    return { admission, pressures, utilization, answerTimes, serviceTimes };
};

/** Mean age of reports; 0 if there are none. */
const meanAgeMs = (reports: readonly RemoteLoad[], nowMs: number): number =>
    reports.reduce((sum, { atMs }) => sum + Math.max(0, nowMs - atMs), 0) / Math.max(1, reports.length);
