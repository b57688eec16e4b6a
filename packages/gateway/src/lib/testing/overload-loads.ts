/** Loads that exceed what a service can serve, for the decisions of admission. */
import { id } from "@sniperoad/core";
import type { OrganisationId, RouteId } from "@sniperoad/core";
import type { SimulatedLoad, SimulatedOrganisation, SimulatedRoute } from "./overload-simulation.js";

/** Start and end of what is unusual in a load. */
const disturbance = { fromMs: 2_000, untilMs: 8_000 };
const isDisturbed = (nowMs: number): boolean => nowMs >= disturbance.fromMs && nowMs < disturbance.untilMs;
const durationMs = 10_000;
const slots = 3;
const workMs = 200;
const usualShare = 0.6;

const organisationsOf = (count: number, factorOfFirst: (nowMs: number) => number, perSecond: number) =>
    Array.from({ length: count }, (_, index): SimulatedOrganisation => ({
        id: id<OrganisationId>(`org-${index + 1}`),
        // Rates leave room for the largest multiple of the usual load, so that the rate limit does not hide its effect.
        declaredPerSecond: 8 * perSecond / count,
        factor: index === 0 ? factorOfFirst : () => 1,
    }));

/** Requests of three ranks, of the same work, objective and deadline; together `shareOf` of the capacity. */
const evenLoad = (
    name: string,
    { instances, upstreams, shareOf, factorOfFirst = () => 1, ...more }:
        & Pick<SimulatedLoad, "instances" | "upstreams">
        & Partial<SimulatedLoad>
        & {
            readonly shareOf: (nowMs: number) => number;
            readonly factorOfFirst?: (nowMs: number) => number;
        },
): SimulatedLoad => {
    const capacity = upstreams * slots * 1_000 / workMs;
    return {
        name,
        instances,
        upstreams,
        slots,
        durationMs,
        maxAttempts: 3,
        routes: [0, 1, 2].map((rank): SimulatedRoute => ({
            id: id<RouteId>(`rank-${rank}`),
            rank,
            workMs,
            targetLatencyMs: 600,
            deadlineMs: 4_000,
            requestsPerSecond: nowMs => capacity * shareOf(nowMs) / 3,
        })),
        organisations: organisationsOf(6, factorOfFirst, capacity * usualShare),
        ...more,
    };
};

/** Long requests with a far deadline beside short urgent ones, and a burst of the long ones. */
const mixedLoad = (instances: number, upstreams: number): SimulatedLoad => {
    const busy = upstreams * slots * 1_000;
    const [longMs, shortMs] = [585, 93];
    return {
        name: "burst of long requests",
        instances,
        upstreams,
        slots,
        durationMs,
        maxAttempts: 3,
        routes: [
            {
                id: id<RouteId>("long"),
                rank: 2,
                workMs: longMs,
                targetLatencyMs: 3_004,
                deadlineMs: 4_005,
                requestsPerSecond: nowMs => 0.5 * busy / longMs * (isDisturbed(nowMs) ? 2.4 : 1),
            },
            {
                id: id<RouteId>("short"),
                rank: 0,
                workMs: shortMs,
                targetLatencyMs: 404,
                deadlineMs: 1_010,
                requestsPerSecond: () => 0.2 * busy / shortMs,
            },
        ],
        organisations: organisationsOf(6, () => 1, busy * 0.6 / shortMs),
    };
};

/**
 * The loads for a number of instances.
 *
 * @example
 * const loads = overloads(96, 24);
 */
export const overloads = (instances: number, upstreams: number): readonly SimulatedLoad[] => {
    const size = { instances, upstreams };
    const usual = () => usualShare;
    const burst = (nowMs: number) => isDisturbed(nowMs) ? 1.7 : usualShare;
    const faulty = { ...size, shareOf: () => 0.8 };
    return [
        mixedLoad(instances, upstreams),
        evenLoad("burst of 1.7", { ...size, shareOf: burst }),
        evenLoad("burst, callers that retry at once", { ...size, shareOf: burst, impatientShare: 0.3 }),
        evenLoad("an organisation at 7.5 times its rate", {
            ...size,
            shareOf: usual,
            factorOfFirst: nowMs => isDisturbed(nowMs) ? 7.5 : 1,
        }),
        evenLoad("0.55 of arrivals rejected", {
            ...size,
            shareOf: () => 0.4,
            faults: { rejectShare: nowMs => isDisturbed(nowMs) ? 0.55 : 0 },
        }),
        evenLoad("a third of the upstreams gone", {
            ...faulty,
            faults: { isGone: (index, nowMs) => index % 3 === 0 && isDisturbed(nowMs) },
        }),
        evenLoad("half of the upstreams slow", {
            ...faulty,
            faults: { slowness: (index, nowMs) => index % 2 === 0 && isDisturbed(nowMs) ? 2.5 : 1 },
        }),
    ];
};
