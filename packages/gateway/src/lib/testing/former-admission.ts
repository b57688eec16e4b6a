/** Admission as it was before expected times, as a base of comparison. */
import { AnswerTimes } from "../admission/answer-times.js";
import type { InstanceContext, SimulatedCall, SimulatedDecisions } from "./overload-simulation.js";

const maxRank = 3;
const maxRetryShare = 1 / 3;

/**
 * Rejects by constant numbers of requests for each slot.
 *
 * @example
 * const served = await playOverload(load, formerDecisions);
 */
export const formerDecisions = ({ clock, random, serviceLoad }: InstanceContext): SimulatedDecisions => {
    const times = new AnswerTimes<string>(clock);
    const utilization = (): number => {
        const { inFlight, slots } = serviceLoad();
        return slots > 0 ? inFlight / slots : 0;
    };
    const hasHope = ({ route }: SimulatedCall, leftMs: number): boolean => {
        const share = times.shareWithin(route.id, leftMs);
        return share === undefined ? leftMs > route.targetLatencyMs * 0.1 : share >= 0.02;
    };
    const retryAfterMs = (call: SimulatedCall): number | undefined => {
        const [leftMs, load] = [call.deadlineAtMs - clock.monotonicMs(), utilization()];
        const wantedMs = load < 0.9 ? 50 : (150 + Math.min(maxRank, call.route.rank) * 100) * Math.max(1, load);
        const delayMs = Math.min(wantedMs * (0.7 + 0.6 * random()), leftMs * maxRetryShare);
        return hasHope(call, leftMs - delayMs) ? delayMs : undefined;
    };
    return {
        decide: call => {
            if (!hasHope(call, call.deadlineAtMs - clock.monotonicMs())) {
                return { retryAfterMs: undefined };
            }
            const limit = 2.6 + (maxRank - Math.min(maxRank, call.route.rank)) * 0.5;
            return utilization() > limit ? { retryAfterMs: retryAfterMs(call) } : "admit";
        },
        retryAfterMs,
        onAnswer: ({ route }, tookMs) => times.record(route.id, tookMs),
    };
};
