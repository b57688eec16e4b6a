/** The decisions of an instance in a simulation, by the components of the product. */
import type { RouteId } from "@sniperoad/core";
import { Admission } from "../admission/admission.js";
import type { AdmissionRequest } from "../admission/admission.js";
import { AnswerTimes } from "../admission/answer-times.js";
import type { InstanceContext, SimulatedCall, SimulatedDecisions } from "./overload-simulation.js";

/**
 * Decides as the product does.
 *
 * @example
 * const served = await playOverload(load, currentDecisions);
 */
export const currentDecisions = ({ clock, random, serviceLoad }: InstanceContext): SimulatedDecisions => {
    const times = new AnswerTimes<RouteId>(clock);
    const admission = new Admission({ random, shareWithin: (route, limitMs) => times.shareWithin(route, limitMs) });
    const requestOf = ({ route, deadlineAtMs }: SimulatedCall): AdmissionRequest => {
        const { inFlight, slots } = serviceLoad();
        return {
            route: route.id,
            targetLatencyMs: route.targetLatencyMs,
            priority: route.rank,
            leftMs: deadlineAtMs - clock.monotonicMs(),
            utilization: slots > 0 ? inFlight / slots : 0,
        };
    };
    return {
        decide: call => {
            const decision = admission.decide(requestOf(call));
            return decision.kind === "admit" ? "admit" : { retryAfterMs: decision.retryAfterMs };
        },
        retryAfterMs: call => admission.retryAfterMs(requestOf(call)),
        onAnswer: ({ route }, tookMs) => times.record(route.id, tookMs),
    };
};
