/** Handles a caller's request from its header to its answer. */
import { id, problemAnswer } from "@sniperoad/core";
import type { Clock, HttpResponse, LogPort, Random, Refusal, RequestId, ServiceId, Sha256 } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { RetryBudget } from "../balance/retry-budget.js";
import type { DecodedRequest, GatewayOrganisation, GatewayRoute } from "../model.js";
import type { FleetRateLimiter, FleetSize } from "../rates/fleet-rate-limiter.js";
import type { CurrentConfig, IndexedConfig } from "../routing/current-config.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { CallerResponse, HeaderCodec } from "./ports.js";
import type { DispatchedRequest, DispatchResult, UpstreamDispatcher } from "./upstream-dispatcher.js";

/** Deadline of a caller that states none. */
const defaultDeadlineMs = 30_000;
/** Time that an answer needs on its way to the caller before the caller's deadline. */
const answerMarginMs = 10;
/** Part of a request's time for which it may wait at an instance that has just started and holds no state yet. */
const startupWaitShare = 0.3;
/** How often such a request looks for the state. */
const startupPollMs = 20;
/** When a caller should come back after a refusal that other instances share. */
const retryAfterMs = 250;

/** What {@link RequestHandler} needs. */
export interface RequestHandlerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly config: CurrentConfig;
    readonly rates: FleetRateLimiter;
    readonly retryBudget: RetryBudget;
    readonly crashes: CrashTracker;
    readonly dispatcher: UpstreamDispatcher;
    readonly codec: Pick<HeaderCodec, "refusalHeaders">;
    /** Whether there is what a request needs. */
    readonly isInitialized: () => boolean;
    readonly fleetSize: () => FleetSize;
    /** Why requests with a key cannot be vouched for now; undefined when they can. */
    readonly unconfirmedReason: () => string | undefined;
    readonly onDone: (route: GatewayRoute | undefined, status: number, tookMs: number) => void;
}

/** A request with its whole body. */
export interface ReceivedRequest {
    readonly request: DecodedRequest;
    /** Undefined when it is larger than the limit. */
    readonly body: Uint8Array | undefined;
    /** Monotonic time at which the header was read. */
    readonly receivedMs: number;
    /** Aborted when the caller goes away. */
    readonly signal: AbortSignal;
}

/**
 * Decides what becomes of each request, in the order: configuration, route, key, size, rate, upstream.
 *
 * @example
 * const answer = await handler.handle(received);
 */
export class RequestHandler {
    readonly #options: RequestHandlerOptions;

    constructor(options: RequestHandlerOptions) {
        this.#options = options;
    }

    /** The answer; undefined when the caller has gone. */
    async handle(received: ReceivedRequest): Promise<CallerResponse | undefined> {
        const { config, clock, onDone } = this.#options;
        const { request } = received;
        await this.#untilComplete(received);
        const indexed = config.current;
        const route = indexed?.routes.find(request.host, request.target);
        const result = indexed === undefined
            ? this.#refusal({ type: "not-current", detail: "No configuration yet.", retryAfterMs })
            : await this.#admit(received, indexed, route);
        const answer = this.#toAnswer(result, request);
        const tookMs = clock.monotonicMs() - received.receivedMs;
        this.#logDone(received, route, result, answer, tookMs);
        onDone(route, answer?.status ?? cancelledStatus, tookMs);
        return answer;
    }

    /** Waits, at a process that has just started, for a configuration and a list of upstreams. */
    async #untilComplete({ request, receivedMs, signal }: ReceivedRequest): Promise<void> {
        const { clock, isInitialized: isComplete } = this.#options;
        const endMs = receivedMs + (request.deadlineMs ?? defaultDeadlineMs) * startupWaitShare;
        while (!isComplete() && !signal.aborted && clock.monotonicMs() < endMs) {
            await new Promise<void>(resolve => clock.after(startupPollMs, resolve));
        }
    }

    async #admit(
        received: ReceivedRequest,
        indexed: IndexedConfig,
        route: GatewayRoute | undefined,
    ): Promise<HandlingResult> {
        const { request, body } = received;
        if (route === undefined) {
            return this.#refusal({ type: "route-unknown" });
        }
        const organisation = route.isOpen || request.key === undefined ? undefined : indexed.keys.find(request.key);
        if (organisation === undefined && !route.isOpen && indexed.config.organisations.length > 0) {
            return this.#refusal({ type: request.key === undefined ? "key-missing" : "key-wrong" });
        }
        const unconfirmed = route.isOpen ? undefined : this.#options.unconfirmedReason();
        if (unconfirmed !== undefined) {
            return this.#refusal({ type: "not-current", detail: unconfirmed, retryAfterMs });
        }
        if (body === undefined) {
            return this.#refusal({
                type: "request-too-large",
                detail: `The limit is ${indexed.config.limits.maxBodyBytes} bytes.`,
            });
        }
        return this.#dispatch(received, body, route, organisation);
    }

    async #dispatch(
        received: ReceivedRequest,
        body: Uint8Array,
        route: GatewayRoute,
        organisation: GatewayOrganisation | undefined,
    ): Promise<HandlingResult> {
        const { rates, retryBudget: allowance, crashes, dispatcher: attempts, fleetSize } = this.#options;
        const { request, receivedMs, signal } = received;
        const fingerprint = this.#fingerprint(request, body, organisation);
        if (crashes.isSuspect(fingerprint)) {
            return this.#refusal({ type: "crash-suspect", retryAfterMs: crashes.suspectMs });
        }
        if (organisation !== undefined) {
            rates.noteOffered(organisation.id);
            const size = fleetSize();
            const { isAdmitted, counted, limit } = rates.tryAdmit(organisation, size);
            if (!isAdmitted) {
                const detail = `${organisation.id} has ${Math.round(counted)} of ${Math.round(limit)} in the window, `
                    + `${size.heard} of ${size.known} instances heard.`;
                return this.#refusal({ type: "over-rate", detail, retryAfterMs });
            }
        }
        const service = this.#destination(route);
        allowance.recordRequest(service, fleetSize().known);
        const deadlineMs = (request.deadlineMs ?? defaultDeadlineMs) - answerMarginMs;
        const work: DispatchedRequest = {
            request,
            body,
            route,
            service,
            organisation: organisation?.id,
            fingerprint,
            deadlineAtMs: receivedMs + Math.min(deadlineMs, route.timeoutMs),
            signal,
        };
        return { kind: "done", work, result: await attempts.run(work) };
    }

    /** A service at random, in the proportions of the weights. */
    #destination(route: GatewayRoute): ServiceId {
        const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
        let left = this.#options.random() * total;
        const found = route.destinations.find(({ weight }) => (left -= weight) < 0);
        return (found ?? route.destinations[0]!).service;
    }

    #fingerprint(request: DecodedRequest, body: Uint8Array, organisation: GatewayOrganisation | undefined): string {
        const { sha256 } = this.#options;
        const parts = [organisation?.id ?? "", request.host, request.method, request.target, sha256(body)];
        return sha256(parts.join("\n")).slice(0, fingerprintDigits);
    }

    #refusal(refusal: Omit<Refusal, "outcome">): HandlingResult {
        return { kind: "refused", refusal: { ...refusal, outcome: "not-run" } };
    }

    #toAnswer(result: HandlingResult, request: DecodedRequest): CallerResponse | undefined {
        if (result.kind === "refused") {
            return this.#problem(result.refusal, request);
        }
        return match(result.result)
            .with({ kind: "answer" }, ({ answer }): CallerResponse => answer)
            .with(
                { kind: "not-run" },
                ({ reason }) =>
                    this.#problem(
                        { type: "no-upstream", outcome: "not-run", detail: `${reason}.`, retryAfterMs },
                        request,
                    ),
            )
            .with({ kind: "unknown" }, ({ reason, isTimeout }) =>
                this.#problem({
                    type: isTimeout ? "upstream-timeout" : "upstream-failed",
                    outcome: "unknown",
                    detail: `${reason}.`,
                }, request))
            .with({ kind: "cancelled" }, () => undefined)
            .exhaustive();
    }

    #problem(refusal: Refusal, request: DecodedRequest): HttpResponse {
        const answer = problemAnswer(refusal, id<RequestId>(request.requestId ?? ""));
        const extra = this.#options.codec.refusalHeaders(request.requestId, refusal.retryAfterMs);
        const replaced = new Set(extra.map(([name]) => name));
        return { ...answer, headers: [...answer.headers.filter(([name]) => !replaced.has(name)), ...extra] };
    }

    #logDone(
        { request }: ReceivedRequest,
        route: GatewayRoute | undefined,
        result: HandlingResult,
        answer: HttpResponse | undefined,
        tookMs: number,
    ): void {
        const { log, config } = this.#options;
        log.event("request-done", {
            request: request.requestId,
            route: route?.id,
            organisation: result.kind === "done" ? result.work.organisation : undefined,
            outcome: result.kind === "refused" ? result.refusal.type : result.result.kind,
            reason: result.kind === "done" ? reasonOfResult(result.result) : result.refusal.detail,
            status: answer?.status,
            tookMs: Math.round(tookMs),
            configVersion: config.version,
        });
    }
}

/** Status under which requests whose caller went away are counted. */
const cancelledStatus = 499;
/** Hex digits of a fingerprint; 80 bits make a chance match out of the question. */
const fingerprintDigits = 20;

type HandlingResult =
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "done"; readonly work: DispatchedRequest; readonly result: DispatchResult; };

const reasonOfResult = (result: DispatchResult): string | undefined => "reason" in result ? result.reason : undefined;
