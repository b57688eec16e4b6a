/** The decisions of an instance in a simulation, by the components of the product. */
import { id } from "@sniperoad/core";
import type { RouteId, ServiceId } from "@sniperoad/core";
import { Admission } from "../admission/admission.js";
import type { AdmissionRequest } from "../admission/admission.js";
import { AnswerTimes } from "../admission/answer-times.js";
import { pressureIntervalMs } from "../admission/service-pressure.js";
import { ServicePressures } from "../admission/service-pressures.js";
import type { InstanceContext, SimulatedCall, SimulatedDecisions } from "./overload-simulation.js";

const service = id<ServiceId>("service");

/**
 * Decides as the product does.
 *
 * @example
 * const served = await playOverload(load, currentDecisions);
 */
export const currentDecisions = (context: InstanceContext): SimulatedDecisions => {
    const { clock, random, serviceLoad, completed, reportAgeMs, load } = context;
    const times = new AnswerTimes<RouteId>(clock);
    const pressures = new ServicePressures({
        clock,
        loadOf: serviceLoad,
        reportAgeMs,
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
    const admission = new Admission({
        clock,
        random,
        shareWithin: (route, limitMs) => times.shareWithin(route, limitMs),
        expected: (of, route) => pressures.expected(of, route),
    });
    const requestOf = ({ route, deadlineAtMs, name }: SimulatedCall): AdmissionRequest => {
        const { inFlight, slots } = serviceLoad();
        return {
            route: route.id,
            service,
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
