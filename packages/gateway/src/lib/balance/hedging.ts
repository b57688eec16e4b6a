/** Decides when a slow idempotent request is also sent to a second upstream. */
import type { Clock, Random, RouteId, ServiceId } from "@sniperoad/core";
import { AnswerTimes } from "../admission/answer-times.js";
import type { GatewayRoute } from "../model.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { RetryBudget } from "./retry-budget.js";

/** Share of the attempts of a route that end before the hedge delay. */
const delayQuantile = 0.95;
/** Bounds of the hedge delay as fractions of the target latency. The upper one leaves enough time for a second response. */
const delayFractions = { min: 0.1, max: 0.55 };
/** Window over which requests and hedged requests are counted. */
const windowMs = 10_000;

/** Why a request is not hedged. */
export type HedgeDenial = "deadline" | "attempts" | "no-upstream" | "no-room" | "share" | "budget";

/** A request that may be hedged. */
export interface HedgeRequest {
    readonly route: Pick<GatewayRoute, "id" | "targetLatencyMs" | "maxAttempts">;
    readonly service: ServiceId;
    readonly rank: number;
    /** Time until the caller's deadline. */
    readonly leftMs: number;
    /** Attempts that were started. */
    readonly sent: number;
    /** Whether a second upstream was found. */
    readonly hasUpstream: boolean;
}

/** Options of {@link Hedging}. */
export interface HedgingOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Hedged requests as a share of the requests of the last 10 s; undefined: only the retry budget limits them. */
    readonly share: () => number | undefined;
    readonly retryBudget: Pick<RetryBudget, "tryAcquire">;
    /** Whether an answer is possible within a time. */
    readonly hasHope: (route: HedgeRequest["route"], leftMs: number) => boolean;
    /** Whether the service has free slots, so that a hedged request takes none from others. */
    readonly hasRoom: (service: ServiceId) => boolean;
    readonly onHedge?: (result: "sent" | "won") => void;
    readonly onDenied?: (reason: HedgeDenial) => void;
}

interface Account {
    readonly requests: SlidingWindowCounter;
    readonly hedges: SlidingWindowCounter;
    /** Decides whether the share of a window is rounded up, until the window has passed. */
    rounding: { readonly value: number; readonly untilMs: number; };
}

/**
 * Hedges requests that take longer than most of their route, up to a share of the requests. It answers for upstreams that
 * hang or are slow while their health check passes, and for load only as long as the service has free slots.
 *
 * @example
 * const delayMs = hedging.delayMs(route);
 * if (hedging.tryHedge(request)) { send }
 */
export class Hedging {
    readonly #options: HedgingOptions;
    readonly #times: AnswerTimes<RouteId>;
    readonly #accounts = new Map<ServiceId, Account>();

    constructor(options: HedgingOptions) {
        this.#options = options;
        this.#times = new AnswerTimes(options.clock);
    }

    /** Counts a request of a caller to a service. */
    recordRequest(service: ServiceId): void {
        this.#account(service).requests.add(1);
    }

    /**
     * Records the time of an attempt that was successful, or cancelled because another one was: without the slow ones the
     * delay would fall further and further.
     */
    recordAttempt(route: RouteId, tookMs: number): void {
        this.#times.record(route, tookMs);
    }

    /** Records that the response to a hedged request was the first one. */
    recordWon(): void {
        this.#options.onHedge?.("won");
    }

    /** Time from the start of an attempt after which the request is hedged. */
    delayMs({ id, targetLatencyMs }: Pick<GatewayRoute, "id" | "targetLatencyMs">): number {
        const maxMs = targetLatencyMs * delayFractions.max;
        const usualMs = this.#times.quantile(id, delayQuantile) ?? maxMs;
        return Math.min(maxMs, Math.max(targetLatencyMs * delayFractions.min, usualMs));
    }

    /** Decides whether to hedge a request, and counts it if so. */
    tryHedge(request: HedgeRequest): boolean {
        const { onHedge, onDenied } = this.#options;
        const denial = this.#denialOf(request);
        if (denial !== undefined) {
            onDenied?.(denial);
            return false;
        }
        this.#account(request.service).hedges.add(1);
        onHedge?.("sent");
        return true;
    }

    #denialOf({ route, service, rank, leftMs, sent, hasUpstream }: HedgeRequest): HedgeDenial | undefined {
        const { hasHope, hasRoom, retryBudget } = this.#options;
        if (sent >= route.maxAttempts) {
            return "attempts";
        }
        if (!hasHope(route, leftMs)) {
            return "deadline";
        }
        if (!hasRoom(service)) {
            return "no-room";
        }
        if (!hasUpstream) {
            return "no-upstream";
        }
        if (!this.#isWithinShare(service)) {
            return "share";
        }
        return retryBudget.tryAcquire(service, rank) ? undefined : "budget";
    }

    #isWithinShare(service: ServiceId): boolean {
        const { clock, random, share } = this.#options;
        const limit = share();
        if (limit === undefined) {
            return true;
        }
        const account = this.#account(service);
        const nowMs = clock.monotonicMs();
        if (nowMs >= account.rounding.untilMs) {
            account.rounding = { value: random(), untilMs: nowMs + windowMs };
        }
        return account.hedges.total() + 1 <= Math.floor(limit * account.requests.total() + account.rounding.value);
    }

    #account(service: ServiceId): Account {
        const { clock } = this.#options;
        const account = this.#accounts.get(service) ?? {
            requests: new SlidingWindowCounter(clock, windowMs),
            hedges: new SlidingWindowCounter(clock, windowMs),
            rounding: { value: 0, untilMs: -Infinity },
        };
        this.#accounts.set(service, account);
        return account;
    }
}
