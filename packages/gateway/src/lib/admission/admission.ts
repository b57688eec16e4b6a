/** Decides which requests are sent to upstreams, and when callers of the others may return. */
import { hash32 } from "@sniperoad/core";
import type { Clock, OrganisationId, Random, RouteId, ServiceId } from "@sniperoad/core";
import type { ExpectedTimes } from "./service-pressures.js";

/** Share of recent answers that must have been fast enough for the time that a request has left. */
const minAnswerShare = 0.02;
/**
 * How much of the pressure on a service each rank bears. The most urgent requests are shed last, and none of the others
 * altogether: a quarter of the most urgent ones that meet their objective is what the least urgent get in a burst.
 */
const rankWeights = [0.1, 1, 2, 2.5];
/** Share of each rank that is admitted whatever the pressure, so that no route is starved. */
const minShare = 0.03;
/** Part of its mean work that a request needs at least; about one in ten takes less. */
const leastWork = 0.5;
/**
 * Time for which the chance of a request stays the same. A caller that returns at once gets no further chance by it, and
 * one that returns when it is told to gets a new one.
 */
const chanceMs = 500;
/**
 * Requests in flight per slot from which requests of the lowest rank are rejected while the service time is not known.
 * More urgent ranks have more room, so they are served first.
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
    readonly service: ServiceId;
    readonly organisation: OrganisationId | undefined;
    /** Text that is equal for equal requests of an organisation. */
    readonly fingerprint: string;
    /** Latency up to which an answer has its full value. */
    readonly targetLatencyMs: number;
    /** Priority of the organisation, or of the route; 0 is the most urgent. */
    readonly priority: number;
    /** Time until the caller's deadline or the route's timeout. */
    readonly leftMs: number;
    /** See `utilizationOf`. */
    readonly utilization: number;
}

/**
 * Why a request is rejected: no answer is possible in the time left, the expected wait is too long, the share of its rank
 * and organisation is used up, or the service has too many requests while its service time is unknown.
 */
export type RejectionCause = "deadline" | "wait" | "share" | "utilization";

/** A decision on a request. */
export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | {
        readonly kind: "reject";
        readonly cause: RejectionCause;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
    };

/** What an {@link Admission} depends on. */
export interface AdmissionOptions {
    readonly random: Random;
    /** Share of the recent answers of a route that took no longer than a limit; undefined if it is not known. */
    readonly shareWithin: (route: RouteId, limitMs: number) => number | undefined;
    /** Expected wait and work, and the pressure on the service. */
    readonly expected: (service: ServiceId, route: RouteId) => ExpectedTimes;
    /** Pressure on an organisation; see `FairShares`. */
    readonly levelOf: (organisation: OrganisationId | undefined, level: number) => number;
    readonly clock: Clock;
    readonly onReject: (rank: number, cause: RejectionCause) => void;
}

/**
 * Rejects requests that cannot be answered before their deadline, whatever the load. It answers for a service whose
 * requests exceed its capacity by admitting a share of each rank that follows from the pressure on the service, the
 * least urgent ones first. Which of the requests of a rank are admitted is a matter of chance, as in DAGOR (Zhou et al.,
 * "Overload Control for Scaling WeChat Microservices", 2018), so all instances together admit the share.
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
        const decision = this.#decide(request);
        if (decision.kind === "reject") {
            this.#options.onReject(rankOf(request), decision.cause);
        }
        return decision;
    }

    #decide(request: AdmissionRequest): AdmissionDecision {
        if (!this.hasHope(request, request.leftMs)) {
            return {
                kind: "reject",
                cause: "deadline",
                reason: `no answer is possible within the ${Math.round(request.leftMs)} ms that are left`,
                retryAfterMs: undefined,
            };
        }
        const { level, waitMs, workMs } = this.#options.expected(request.service, request.route);
        if (workMs !== undefined && waitMs + leastWork * workMs > request.leftMs) {
            return this.#reject(request, "wait", `a wait of ${Math.round(waitMs)} ms is expected`);
        }
        const rank = rankOf(request);
        if (level === undefined) {
            return request.utilization > shedUtilization + (maxRank - rank) * rankUtilization
                ? this.#reject(
                    request,
                    "utilization",
                    `the service has ${request.utilization.toFixed(1)} requests for each slot`,
                )
                : { kind: "admit" };
        }
        const organisationLevel = this.#options.levelOf(request.organisation, level);
        const share = Math.max(minShare, Math.exp(-organisationLevel * rankWeights[rank]!));
        return this.#chance(request) < share
            ? { kind: "admit" }
            : {
                kind: "reject",
                cause: "share",
                reason: `${Math.round(share * 100)} % of the organisation's requests of rank ${rank} are admitted`,
                // The expected time until one of its chances is sufficient.
                retryAfterMs: this.#spreadRetry(request, chanceMs / share),
            };
    }

    #reject(request: AdmissionRequest, cause: RejectionCause, reason: string): AdmissionDecision {
        return { kind: "reject", cause, reason, retryAfterMs: this.retryAfterMs(request) };
    }

    /** From 0 to 1; equal for a request and its immediate repetitions, at all instances. */
    #chance({ fingerprint }: AdmissionRequest): number {
        const period = Math.floor(this.#options.clock.now().getTime() / chanceMs);
        return hash32(`${fingerprint} ${period}`) / 2 ** 32;
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
        const { utilization } = request;
        const rank = rankOf(request);
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

const rankOf = ({ priority }: Pick<AdmissionRequest, "priority">): number => Math.min(maxRank, Math.max(0, priority));
