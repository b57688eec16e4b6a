/** The decisions of an instance in a simulation, by the components of the product. */
import { id } from "@sniperoad/core";
import type { RouteId, ServiceId } from "@sniperoad/core";
import { Admission } from "../admission/admission.js";
import type { AdmissionRequest } from "../admission/admission.js";
import { AnswerTimes } from "../admission/answer-times.js";
import { FairShares } from "../admission/fair-shares.js";
import { pressureIntervalMs } from "../admission/service-pressure.js";
import { ServicePressures } from "../admission/service-pressures.js";
import type { InstanceContext, Policy, SimulatedCall, SimulatedDecisions } from "./overload-simulation.js";

const service = id<ServiceId>("service");
/** The `admissionWaitShare` of `deploy/settings.jsonc`. */
const waitShare = 0.15;

/**
 * Decides as the product does.
 *
 * @example
 * const served = await playOverload(load, currentDecisions);
 */
export const currentDecisions: Policy = context => decisionsWith(context, { isFair: true });

/**
 * The same without the shares of organisations, to show their effect.
 *
 * @example
 * const served = await playOverload(load, withoutFairShares);
 */
export const withoutFairShares: Policy = context => decisionsWith(context, { isFair: false });

const decisionsWith = (context: InstanceContext, { isFair }: { readonly isFair: boolean; }): SimulatedDecisions => {
    const { clock, random, serviceLoad, completed, reportAgeMs, load, offeredPerSecond } = context;
    const times = new AnswerTimes<RouteId>(clock);
    const pressures = new ServicePressures({
        clock,
        loadOf: serviceLoad,
        reportAgeMs,
        waitShare: () => waitShare,
        onReview: () => {},
        fleetSize: () => ({ live: load.instances, known: load.instances }),
    });
    let counted = 0;
    const review = (): void => {
        pressures.recordCompleted(service, completed() - counted);
        counted = completed();
        pressures.review();
        clock.after(pressureIntervalMs, review);
    };
    review();
    const fairShares = new FairShares({
        clock,
        demands: () =>
            load.organisations.map(({ id: organisation, declaredPerSecond }) => ({
                id: organisation,
                declaredPerSecond,
                offeredPerSecond: offeredPerSecond(organisation),
            })),
    });
    const admission = new Admission({
        clock,
        random,
        shareWithin: (route, limitMs) => times.shareWithin(route, limitMs),
        expected: (of, route) => pressures.expected(of, route),
        levelOf: (organisation, level) => isFair ? fairShares.levelOf(organisation, level) : level,
        onReject: () => {},
    });
    const requestOf = ({ route, organisation, deadlineAtMs, name }: SimulatedCall): AdmissionRequest => {
        const { inFlight, slots } = serviceLoad();
        return {
            route: route.id,
            service,
            organisation: organisation.id,
            fingerprint: name,
            targetLatencyMs: route.targetLatencyMs,
            priority: route.rank,
            leftMs: deadlineAtMs - clock.monotonicMs(),
            utilization: slots > 0 ? inFlight / slots : 0,
        };
    };
    return {
        decide: call => {
            const { route } = call;
            pressures.recordRequest(service, route.id, route.targetLatencyMs);
            const decision = admission.decide(requestOf(call));
            return decision.kind === "admit" ? "admit" : { retryAfterMs: decision.retryAfterMs };
        },
        retryAfterMs: call => admission.retryAfterMs(requestOf(call)),
        onAnswer: ({ route }, tookMs) => {
            times.record(route.id, tookMs);
            // The simulation counts the answers of all instances together.
            pressures.recordWork(service, route.id, tookMs);
        },
    };
};
