/** Decides which requests are sent to upstreams, and when callers of the others may return. */
import type { Random, RouteId } from "@sniperoad/core";

/** Share of recent answers that must have been fast enough for the time that a request has left. */
const minAnswerShare = 0.02;
/**
 * Requests in flight per slot from which requests of the lowest rank are rejected: those that already wait at the
 * upstreams would be answered after their objective. More urgent ranks have more room, so they are served first.
 */
const shedUtilization = 2.6;
/** Room that each more urgent rank has in addition, in requests per slot. */
const rankUtilization = 0.5;
/** Number of ranks that are told apart. */
const maxRank = 3;
/** Utilization below which a service has room: its upstreams refuse requests for other reasons than their load. */
const roomUtilization = 0.9;
/** Retry delay while the service has room. */
const soonRetryMs = 50;
/** Retry delay of the most urgent rank at a service without room. */
const baseRetryMs = 150;
/** Retry delay of an organisation that has used up its rate; the window must move on before it has room. */
const rateRetryMs = 600;
/** Added to the retry delay for each less urgent rank, so that callers return in the order of their urgency. */
const rankRetryMs = 100;
/** Range of the random factor of a retry delay, so that callers do not return all at once. */
const retrySpread = { min: 0.7, max: 1.3 };
/** Share of the time left that a retry delay may take; callers do not wait longer. */
const maxRetryShare = 1 / 3;
/** Least time that must be left if answer times are not known, as a share of the latency objective. */
const minLeftShare = 0.1;

/** A request for which a decision is due. */
export interface AdmissionRequest {
    readonly route: RouteId;
    /** Latency up to which an answer has its full value. */
    readonly targetLatencyMs: number;
    /** Priority of the organisation, or of the route; 0 is the most urgent. */
    readonly priority: number;
    /** Time until the caller's deadline or the route's timeout. */
    readonly leftMs: number;
    /** See `utilizationOf`. */
    readonly utilization: number;
}

/** A decision on a request. */
export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | { readonly kind: "reject"; readonly reason: string; readonly retryAfterMs: number | undefined; };

/** What an {@link Admission} depends on. */
export interface AdmissionOptions {
    readonly random: Random;
    /** Share of the recent answers of a route that took no longer than a limit; undefined if it is not known. */
    readonly shareWithin: (route: RouteId, limitMs: number) => number | undefined;
}

/**
 * Rejects requests that cannot be answered before their deadline, whatever the load. It answers for a service whose
 * requests exceed its slots by rejecting the least urgent ones first.
 *
 * @example
 * const decision = admission.decide(request);
 */
export class Admission {
    readonly #options: AdmissionOptions;

    constructor(options: AdmissionOptions) {
        this.#options = options;
    }

    decide(request: AdmissionRequest): AdmissionDecision {
        if (!this.hasHope(request, request.leftMs)) {
            return {
                kind: "reject",
                reason: `no answer is possible within the ${Math.round(request.leftMs)} ms that are left`,
                retryAfterMs: undefined,
            };
        }
        const rank = Math.min(maxRank, Math.max(0, request.priority));
        if (request.utilization > shedUtilization + (maxRank - rank) * rankUtilization) {
            return {
                kind: "reject",
                reason: `the service has ${request.utilization.toFixed(1)} requests for each slot`,
                retryAfterMs: this.retryAfterMs(request),
            };
        }
        return { kind: "admit" };
    }

    /** Whether an answer is possible within a time. */
    hasHope({ route, targetLatencyMs }: Pick<AdmissionRequest, "route" | "targetLatencyMs">, leftMs: number): boolean {
        const share = this.#options.shareWithin(route, leftMs);
        return share === undefined ? leftMs > targetLatencyMs * minLeftShare : share >= minAnswerShare;
    }

    /**
     * When the caller of a request that was refused may return; undefined if that would be in vain. `closedForMs` is the
     * time for which no upstream of the service accepts requests.
     */
    retryAfterMs(request: AdmissionRequest, closedForMs = 0): number | undefined {
        if (closedForMs > request.leftMs * maxRetryShare) {
            return undefined;
        }
        const { priority, utilization } = request;
        const rank = Math.min(maxRank, Math.max(0, priority));
        const wantedMs = utilization < roomUtilization
            ? soonRetryMs
            : (baseRetryMs + rank * rankRetryMs) * Math.max(1, utilization);
        return this.#spreadRetry(request, wantedMs, closedForMs);
    }

    /** When the caller of a request beyond its organisation's rate may return; undefined if that would be in vain. */
    rateRetryAfterMs(request: AdmissionRequest): number | undefined {
        return this.#spreadRetry(request, rateRetryMs);
    }

    #spreadRetry(request: AdmissionRequest, wantedMs: number, atLeastMs = 0): number | undefined {
        const { min, max } = retrySpread;
        const { leftMs } = request;
        const spread = min + (max - min) * this.#options.random();
        const delayMs = Math.min(Math.max(atLeastMs, wantedMs * spread), leftMs * maxRetryShare);
        return this.hasHope(request, leftMs - delayMs) ? delayMs : undefined;
    }
}
