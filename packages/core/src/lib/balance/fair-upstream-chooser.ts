/** Chooses an upstream for each dispatch. */
import type { InstanceContext } from "../context.js";
import type { UpstreamHealth } from "../health/index.js";
import { serviceCoordinatorKey } from "../health/index.js";
import type { UpstreamResult } from "../ports.js";
import type { RoutedRequest, SlotDecision, SlotLease, UpstreamChooser } from "../stages.js";
import type { InstanceId, OrganisationId, RouteId, ServiceId, Upstream } from "../types.js";
import { upstreamsOfService } from "../upstreams-of-service.js";
import { LocalSlots } from "./local-slots.js";
import { releaseSlotMethod, requestSlotMethod, type SlotReply, type SlotRequest } from "./messages.js";
import { RetryBudget } from "./retry-budget.js";
import { type BalanceSettings, defaultBalanceSettings } from "./settings.js";
import { SlotPool } from "./slot-pool.js";

/** Dependencies of {@link FairUpstreamChooser}. */
export interface ChooserOptions {
    readonly context: InstanceContext;
    readonly health: UpstreamHealth;
    /** All upstreams in the platform's list. */
    readonly upstreams: () => readonly Upstream[];
    readonly settings?: Partial<BalanceSettings>;
}

type RefusalReason = Extract<SlotDecision, { readonly kind: "refused"; }>["reason"];

// Assumed slot time of a request until its route has been measured.
const defaultCostMs = 50;
// Weight of the newest response in a route's average latency.
const costSmoothing = 0.1;
// Maximum expected slot time, which limits the rounds until a request of a slow route has enough credit in the queue.
const maxCostMs = 1_000;
// Retry delay by reason of the refusal.
const refusalRetryMs: Readonly<Record<RefusalReason, number>> = {
    "no-upstream": 1_000,
    "queue-full": 500,
    "deadline": 100,
    "cancelled": 0,
};

/**
 * Acquires a slot for each request, in an order that is fair to the organisations. The coordinator of the service
 * grants the slots; while it does not reply, the instance chooses an upstream by itself.
 *
 * @example
 * const decision = await chooser.acquire(request, []);
 * if (decision.kind === "slot") { decision.lease.release(await send(decision.lease.upstream), latencyMs); }
 */
export class FairUpstreamChooser implements UpstreamChooser {
    readonly #options: ChooserOptions;
    readonly #context: InstanceContext;
    readonly #settings: BalanceSettings;
    readonly #pools = new Map<ServiceId, SlotPool>();
    readonly #localSlots = new Map<ServiceId, LocalSlots>();
    readonly #retryBudgets = new Map<ServiceId, RetryBudget>();
    readonly #averageCostsMs = new Map<RouteId, number>();
    readonly #pendingByOrganisation = new Map<OrganisationId, number>();
    readonly #fallbackUntilMs = new Map<ServiceId, number>();
    #pendingRequests = 0;
    #lastRequestNumber = 0;
    #inFlight = 0;

    constructor(options: ChooserOptions) {
        this.#options = options;
        this.#context = options.context;
        this.#settings = { ...defaultBalanceSettings, ...options.settings };
        const { peers } = options.context;
        peers.handle(requestSlotMethod, (from, slotRequest) => this.#handleSlotRequest(from, slotRequest));
        peers.handle(releaseSlotMethod, (from, { service, ask }) => this.#pools.get(service)?.release(from, ask));
    }

    async acquire(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision> {
        const { service } = request.route;
        if (tried.length === 0) {
            this.#retryBudgetOf(service).recordRequest();
        }
        const refusal = this.#refusalBeforeDispatch(request);
        if (refusal !== undefined) {
            return this.#refuse(request, refusal);
        }
        if (this.#settings.mode === "permits" && !this.#isFallback(service)) {
            const decision = await this.#acquirePermit(request, tried);
            if (decision !== undefined) {
                return decision;
            }
        }
        const costMs = this.#expectedCostMs(request.route.id);
        const result = await this.#localSlotsOf(service).acquire(request, tried, costMs);
        return typeof result === "string"
            ? this.#refuse(request, result)
            : { kind: "slot", lease: this.#createLease(request, result, () => {}) };
    }

    tryAcquireRetry(request: RoutedRequest): boolean {
        return this.#retryBudgetOf(request.route.service).tryAcquire();
    }

    load(): number {
        const queued = [...this.#localSlots.values()].reduce((sum, local) => sum + local.queued, 0);
        return Math.min(1, (queued + this.#pendingRequests + this.#inFlight) / this.#settings.maxQueued);
    }

    /**
     * Requests a slot from the coordinator until it is granted or refused. Returns undefined if this instance has to
     * choose by itself: the coordinator does not reply or does not act as such, or the granted upstream is not in this
     * instance's list.
     */
    async #acquirePermit(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision | undefined> {
        const { organisation } = request;
        const { maxQueued } = this.#settings;
        const pendingOfOrganisation = this.#pendingByOrganisation.get(organisation) ?? 0;
        // One organisation may use half of the limit, so that a busy one leaves room for others at this instance.
        if (this.#pendingRequests >= maxQueued || pendingOfOrganisation >= maxQueued / 2) {
            return this.#refuse(request, "queue-full");
        }
        this.#countPending(organisation, 1);
        try {
            for (;;) {
                const refusal = this.#refusalBeforeDispatch(request);
                if (refusal !== undefined) {
                    return this.#refuse(request, refusal);
                }
                const reply = await this.#requestSlot(request, tried);
                const decision = this.#handleReply(request, reply);
                if (decision !== "retry") {
                    return decision;
                }
            }
        }
        finally {
            this.#countPending(organisation, -1);
        }
    }

    #handleReply(request: RoutedRequest, reply: CoordinatorReply): SlotDecision | "retry" | undefined {
        const { service } = request.route;
        if (reply.kind === "unavailable" || reply.kind === "not-home") {
            this.#fallbackUntilMs.set(service, this.#nowMs() + this.#settings.fallbackMs);
            return undefined;
        }
        if (reply.kind === "refused") {
            return reply.reason === "waited" ? "retry" : this.#refuse(request, reply.reason);
        }
        const upstream = this.#options.upstreams().find(({ id }) => id === reply.upstream);
        const refusal = this.#refusalBeforeDispatch(request);
        // The coordinator may have another version of the platform's list, or the request may have ended while it
        // waited.
        if (upstream === undefined || refusal !== undefined) {
            reply.release();
            return refusal === undefined ? undefined : this.#refuse(request, refusal);
        }
        this.#localSlotsOf(service).started(upstream.id);
        return { kind: "slot", lease: this.#createLease(request, upstream, reply.release) };
    }

    async #requestSlot(request: RoutedRequest, tried: readonly Upstream[]): Promise<CoordinatorReply> {
        const { membership, peers } = this.#context;
        const { slotRequestWaitMs, slotRequestMarginMs } = this.#settings;
        const { service } = request.route;
        const coordinator = membership.coordinatorOf(serviceCoordinatorKey(service));
        if (coordinator === undefined) {
            return { kind: "unavailable" };
        }
        const slotRequest = this.#createSlotRequest(
            request,
            tried,
            Math.min(slotRequestWaitMs, request.deadlineMs - this.#nowMs()),
        );
        const release = () => this.#releaseSlot(coordinator, service, slotRequest.ask);
        // Withdraws the request at the coordinator; if the slot was granted meanwhile, the release frees it.
        request.signal.addEventListener("abort", release);
        try {
            const reply = coordinator === membership.self
                ? await this.#handleSlotRequest(coordinator, slotRequest)
                : await peers.call(
                    coordinator,
                    requestSlotMethod,
                    slotRequest,
                    slotRequest.waitMs + slotRequestMarginMs,
                );
            return reply.kind === "granted" ? { ...reply, release } : reply;
        }
        catch {
            release();
            return { kind: "unavailable" };
        }
        finally {
            request.signal.removeEventListener("abort", release);
        }
    }

    #createSlotRequest(request: RoutedRequest, tried: readonly Upstream[], waitMs: number): SlotRequest {
        const { service, id: route, timeoutMs } = request.route;
        const avoided = this.#upstreamsOf(service).filter(upstream => this.#options.health.isAvoided(upstream));
        return {
            service,
            ask: ++this.#lastRequestNumber,
            route,
            organisation: request.organisation,
            zone: this.#context.membership.zone,
            tried: [...tried, ...avoided].map(({ id }) => id).slice(-64),
            waitMs,
            holdMs: timeoutMs,
            costMs: this.#expectedCostMs(route),
        };
    }

    #handleSlotRequest(from: InstanceId, slotRequest: SlotRequest): SlotReply | Promise<SlotReply> {
        const { service } = slotRequest;
        const term = this.#context.membership.coordinatorTerm(serviceCoordinatorKey(service));
        if (term === undefined) {
            this.#pools.delete(service);
            return { kind: "not-home" };
        }
        let pool = this.#pools.get(service);
        if (pool === undefined || pool.termId !== term.id) {
            pool = new SlotPool(term.id, this.#slotContext(service));
            this.#pools.set(service, pool);
        }
        return pool.acquire(from, slotRequest);
    }

    #releaseSlot(coordinator: InstanceId, service: ServiceId, ask: number): void {
        const { membership, peers } = this.#context;
        if (coordinator === membership.self) {
            this.#pools.get(service)?.release(coordinator, ask);
        }
        else {
            peers.notify(coordinator, releaseSlotMethod, { service, ask });
        }
    }

    #createLease(request: RoutedRequest, upstream: Upstream, release: () => void): SlotLease {
        const { service, id: route } = request.route;
        const observation = this.#options.health.startObservation(upstream, route);
        const local = this.#localSlotsOf(service);
        let isOpen = true;
        this.#inFlight++;
        this.#context.log.event("slot-granted", { request: request.id, upstream: upstream.id });
        return {
            upstream,
            release: (result, latencyMs) => {
                if (!isOpen) {
                    return;
                }
                isOpen = false;
                this.#inFlight--;
                observation.end(result, latencyMs);
                this.#recordResult(route, local, upstream, result, latencyMs);
                release();
                local.ended(upstream.id);
            },
        };
    }

    #recordResult(
        route: RouteId,
        local: LocalSlots,
        upstream: Upstream,
        result: UpstreamResult | undefined,
        latencyMs: number,
    ): void {
        if (result?.kind === "shed") {
            local.pause(upstream.id, result.retryAfterMs);
        }
        if (result?.kind === "answer") {
            this.#averageCostsMs.set(
                route,
                this.#expectedCostMs(route) * (1 - costSmoothing) + latencyMs * costSmoothing,
            );
        }
    }

    #refusalBeforeDispatch(request: RoutedRequest): "cancelled" | "deadline" | undefined {
        if (request.signal.aborted) {
            return "cancelled";
        }
        return request.deadlineMs <= this.#nowMs() ? "deadline" : undefined;
    }

    #refuse(request: RoutedRequest, reason: RefusalReason): SlotDecision {
        this.#context.log.event("slot-refused", {
            request: request.id,
            organisation: request.organisation,
            service: request.route.service,
            reason,
        });
        return { kind: "refused", reason, retryAfterMs: refusalRetryMs[reason] };
    }

    #countPending(organisation: OrganisationId, change: number): void {
        this.#pendingRequests += change;
        const count = (this.#pendingByOrganisation.get(organisation) ?? 0) + change;
        if (count === 0) {
            this.#pendingByOrganisation.delete(organisation);
        }
        else {
            this.#pendingByOrganisation.set(organisation, count);
        }
    }

    #isFallback(service: ServiceId): boolean {
        return (this.#fallbackUntilMs.get(service) ?? 0) > this.#nowMs();
    }

    #expectedCostMs(route: RouteId): number {
        return Math.min(maxCostMs, this.#averageCostsMs.get(route) ?? defaultCostMs);
    }

    #retryBudgetOf(service: ServiceId): RetryBudget {
        const budget = this.#retryBudgets.get(service) ?? new RetryBudget(this.#context.clock, this.#settings);
        this.#retryBudgets.set(service, budget);
        return budget;
    }

    #localSlotsOf(service: ServiceId): LocalSlots {
        const local = this.#localSlots.get(service) ?? new LocalSlots(this.#slotContext(service));
        this.#localSlots.set(service, local);
        return local;
    }

    #slotContext(service: ServiceId) {
        const { clock, config, membership, random } = this.#context;
        return {
            clock,
            random,
            settings: this.#settings,
            health: this.#options.health,
            zone: () => membership.zone,
            upstreams: () => this.#upstreamsOf(service),
            slotsPerUpstream: () => config.current()?.services.find(({ id }) => id === service)?.slotsPerUpstream ?? 1,
        };
    }

    #upstreamsOf(service: ServiceId): readonly Upstream[] {
        return upstreamsOfService(this.#options.upstreams(), service);
    }

    #nowMs(): number {
        return this.#context.clock.monotonicMs();
    }
}

/** Reply of the coordinator, with a function that releases a granted slot; `unavailable` if there was no reply. */
type CoordinatorReply =
    | { readonly kind: "unavailable"; }
    | Exclude<SlotReply, { readonly kind: "granted"; }>
    | (Extract<SlotReply, { readonly kind: "granted"; }> & { readonly release: () => void; });
