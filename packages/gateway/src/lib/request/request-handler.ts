/** Handles a caller's request from its headers to its response. */
import { id, problemAnswer } from "@sniperoad/core";
import type { Clock, HttpResponse, LogPort, Random, Refusal, RequestId, ServiceId, Sha256 } from "@sniperoad/core";
import { match } from "ts-pattern";
import type { Admission, AdmissionRequest } from "../admission/admission.js";
import type { RetryBudget } from "../balance/retry-budget.js";
import type { DecodedRequest, GatewayOrganisation, GatewayRoute } from "../model.js";
import type { FleetRateLimiter, FleetSize } from "../rates/fleet-rate-limiter.js";
import type { CurrentConfig, IndexedConfig } from "../routing/current-config.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { DispatchedRequest, DispatchResult } from "./dispatch.js";
import type { HeaderCodec } from "./ports.js";
import type { UpstreamDispatcher } from "./upstream-dispatcher.js";

/** Deadline of requests that carry none. */
const defaultDeadlineMs = 30_000;
/** Time reserved before the caller's deadline for sending the response. */
const responseMarginMs = 10;
/** Maximum wait of a request for the initialization of a new process, as a fraction of the request's deadline. */
const startupWaitFraction = 0.3;
/** Interval at which a waiting request checks whether the process is initialized. */
const startupPollMs = 20;
/** Retry delay of requests that another instance can take at once. */
const elsewhereRetryMs = 20;
/** Retry delay while the instance has no current configuration; refusals for load have their own. */
const retryAfterMs = 250;

/** Options of {@link RequestHandler}. */
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
    readonly admission: Admission;
    /** Called before the decision on a request for a service. */
    readonly onAdmissible: (service: ServiceId, route: GatewayRoute) => void;
    /** See `utilizationOf`. */
    readonly utilization: (service: ServiceId) => number;
    /** Time until an upstream of a service accepts requests; 0 if one does. */
    readonly acceptingInMs: (service: ServiceId) => number;
    readonly codec: Pick<HeaderCodec, "refusalHeaders">;
    /** Whether a configuration and a list of upstreams are loaded. */
    readonly isInitialized: () => boolean;
    readonly fleetSize: () => FleetSize;
    /** Monotonic time at which this process ends, whatever is in flight then; undefined unless it is leaving. */
    readonly endsAtMs: () => number | undefined;
    /** Why keys cannot be checked against a confirmed configuration; undefined when they can. */
    readonly unconfirmedReason: () => string | undefined;
    readonly onDone: (route: GatewayRoute | undefined, status: number, tookMs: number) => void;
}

/** A request with its complete body. */
export interface ReceivedRequest {
    readonly request: DecodedRequest;
    /** Undefined if it exceeds the size limit. */
    readonly body: Uint8Array | undefined;
    /** Monotonic time at which the headers were read. */
    readonly receivedMs: number;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/**
 * Checks each request and sends it to an upstream. The order of the checks: a configuration is loaded, the route, the
 * key, whether the configuration is confirmed, the size, crash suspicions, whether the process runs until the deadline,
 * and the organisation's rate.
 *
 * @example
 * const response = await handler.handle(received);
 */
export class RequestHandler {
    readonly #options: RequestHandlerOptions;

    constructor(options: RequestHandlerOptions) {
        this.#options = options;
    }

    /** Returns the response; undefined if the caller has disconnected. */
    async handle(received: ReceivedRequest): Promise<HttpResponse | undefined> {
        const { config, clock, onDone } = this.#options;
        const { request } = received;
        await this.#waitUntilInitialized(received);
        const indexed = config.current;
        const route = indexed?.routes.find(request.host, request.target);
        const result = indexed === undefined
            ? this.#refusal({ type: "not-current", detail: "No configuration yet.", retryAfterMs })
            : await this.#admit(received, indexed, route);
        const response = this.#toResponse(result, request);
        const tookMs = clock.monotonicMs() - received.receivedMs;
        this.#logRequest(received, route, result, response, tookMs);
        onDone(route, response?.status ?? cancelledStatus, tookMs);
        return response;
    }

    /** Waits until a configuration and a list of upstreams are loaded, for at most part of the request's deadline. */
    async #waitUntilInitialized({ request, receivedMs, signal }: ReceivedRequest): Promise<void> {
        const { clock, isInitialized } = this.#options;
        const endMs = receivedMs + (request.deadlineMs ?? defaultDeadlineMs) * startupWaitFraction;
        while (!isInitialized() && !signal.aborted && clock.monotonicMs() < endMs) {
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
        // A configuration without organisations does not check keys.
        const organisation = route.isOpen || request.key === undefined ? undefined : indexed.keys.find(request.key);
        if (organisation === undefined && !route.isOpen && indexed.config.organisations.length > 0) {
            return this.#refusal({ type: request.key === undefined ? "key-missing" : "key-wrong" });
        }
        const unconfirmedReason = route.isOpen ? undefined : this.#options.unconfirmedReason();
        if (unconfirmedReason !== undefined) {
            return this.#refusal({ type: "not-current", detail: unconfirmedReason, retryAfterMs });
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
        const { rates, retryBudget, crashes, dispatcher, fleetSize, admission } = this.#options;
        const { request, receivedMs, signal } = received;
        const fingerprint = this.#fingerprint(request, body, organisation);
        if (crashes.isSuspect(fingerprint)) {
            return this.#refusal({ type: "crash-suspect", retryAfterMs: crashes.suspectMs });
        }
        const service = this.#pickService(route);
        // `request.deadlineMs` is a duration from the time at which the headers were read.
        const availableMs = (request.deadlineMs ?? defaultDeadlineMs) - responseMarginMs;
        const deadlineAtMs = receivedMs + Math.min(availableMs, route.timeoutMs);
        // At the end of the process it would be cut, which a caller cannot tell from a request that did not run.
        if (deadlineAtMs > (this.#options.endsAtMs() ?? Infinity)) {
            return this.#refusal({ type: "leaving", retryAfterMs: elsewhereRetryMs });
        }
        const loadOf = () => this.#loadOf({ route, service, organisation, deadlineAtMs, fingerprint });
        const load = loadOf();
        if (organisation !== undefined) {
            rates.recordOffered(organisation.id);
            const size = fleetSize();
            const { isAdmitted, counted, limit, coveredShare } = rates.tryAdmit(organisation, size);
            if (!isAdmitted) {
                const detail = `${organisation.id} has ${Math.round(counted)} of ${Math.round(limit)} in the window, `
                    + `${size.live} of ${size.known} instances heard, ${
                        Math.round(coveredShare * 100)
                    } % of it covered.`;
                return this.#refusal({ type: "over-rate", detail, retryAfterMs: admission.rateRetryAfterMs(load) });
            }
        }
        this.#options.onAdmissible(service, route);
        const decision = admission.decide(load);
        if (decision.kind === "reject") {
            return this.#refusal({
                type: "queue-full",
                detail: `${decision.reason}.`,
                retryAfterMs: decision.retryAfterMs,
            });
        }
        retryBudget.recordRequest(service);
        const dispatched: DispatchedRequest = {
            request,
            body,
            route,
            service,
            organisation: organisation?.id,
            fingerprint,
            rank: load.priority,
            deadlineAtMs,
            signal,
        };
        const result = await dispatcher.run(dispatched);
        return result.kind === "not-run"
            ? this.#refusal({
                type: "no-upstream",
                detail: `${result.reason}.`,
                retryAfterMs: admission.retryAfterMs(loadOf(), this.#options.acceptingInMs(service)),
            })
            : { kind: "dispatched", dispatched, result };
    }

    #loadOf({ route, service, organisation, deadlineAtMs, fingerprint }: {
        readonly route: GatewayRoute;
        readonly service: ServiceId;
        readonly organisation: GatewayOrganisation | undefined;
        readonly deadlineAtMs: number;
        readonly fingerprint: string;
    }): AdmissionRequest {
        return {
            route: route.id,
            service,
            organisation: organisation?.id,
            fingerprint,
            targetLatencyMs: route.targetLatencyMs,
            priority: organisation?.priority ?? route.priority,
            leftMs: deadlineAtMs - this.#options.clock.monotonicMs(),
            utilization: this.#options.utilization(service),
        };
    }

    /** Picks a service at random, in proportion to the weights. */
    #pickService(route: GatewayRoute): ServiceId {
        const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
        let remaining = this.#options.random() * total;
        const found = route.destinations.find(({ weight }) => (remaining -= weight) < 0);
        return (found ?? route.destinations[0]!).service;
    }

    /** Returns the same text for equal requests of an organisation; request id and headers do not matter. */
    #fingerprint(request: DecodedRequest, body: Uint8Array, organisation: GatewayOrganisation | undefined): string {
        const { sha256 } = this.#options;
        const parts = [organisation?.id ?? "", request.host, request.method, request.target, sha256(body)];
        return sha256(parts.join("\n")).slice(0, fingerprintDigits);
    }

    #refusal(refusal: Omit<Refusal, "outcome">): HandlingResult {
        return { kind: "refused", refusal: { ...refusal, outcome: "not-run" } };
    }

    /** Returns undefined for a cancelled request. */
    #toResponse(result: HandlingResult, request: DecodedRequest): HttpResponse | undefined {
        if (result.kind === "refused") {
            return this.#problemResponse(result.refusal, request);
        }
        return match(result.result)
            .with({ kind: "answer" }, ({ answer }): HttpResponse => answer)
            .with(
                { kind: "invalid" },
                ({ reason }) =>
                    this.#problemResponse(
                        { type: "request-malformed", outcome: "not-run", detail: `${reason}.` },
                        request,
                    ),
            )
            .with({ kind: "unknown" }, ({ reason, isTimeout }) =>
                this.#problemResponse({
                    type: isTimeout ? "upstream-timeout" : "upstream-failed",
                    outcome: "unknown",
                    detail: `${reason}.`,
                }, request))
            .with({ kind: "cancelled" }, () => undefined)
            .exhaustive();
    }

    #problemResponse(refusal: Refusal, request: DecodedRequest): HttpResponse {
        const response = problemAnswer(refusal, id<RequestId>(request.requestId ?? ""));
        // The deployment's own headers replace those of the same name.
        const addedHeaders = this.#options.codec.refusalHeaders(request.requestId, refusal.retryAfterMs);
        const replaced = new Set(addedHeaders.map(([name]) => name));
        return { ...response, headers: [...response.headers.filter(([name]) => !replaced.has(name)), ...addedHeaders] };
    }

    #logRequest(
        { request }: ReceivedRequest,
        route: GatewayRoute | undefined,
        result: HandlingResult,
        response: HttpResponse | undefined,
        tookMs: number,
    ): void {
        const { log, config } = this.#options;
        log.event("request-done", {
            request: request.requestId,
            route: route?.id,
            organisation: result.kind === "dispatched" ? result.dispatched.organisation : undefined,
            outcome: result.kind === "refused" ? result.refusal.type : result.result.kind,
            reason: result.kind === "dispatched" ? reasonOfResult(result.result) : result.refusal.detail,
            status: response?.status,
            tookMs: Math.round(tookMs),
            configVersion: config.version,
        });
    }
}

/** Status that is counted for requests whose caller disconnected. */
const cancelledStatus = 499;
/** Hex digits of a fingerprint; with 80 bits an accidental match is practically impossible. */
const fingerprintDigits = 20;

type HandlingResult =
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "dispatched"; readonly dispatched: DispatchedRequest; readonly result: FinalResult; };

/** Results that are no refusals. */
type FinalResult = Exclude<DispatchResult, { readonly kind: "not-run"; }>;

const reasonOfResult = (result: FinalResult): string | undefined => "reason" in result ? result.reason : undefined;
