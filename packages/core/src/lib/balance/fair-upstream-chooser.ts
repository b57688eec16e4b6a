/** The choice of an upstream for each dispatch. */
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

/** What {@link FairUpstreamChooser} is built from. */
export interface ChooserOptions {
    readonly context: InstanceContext;
    readonly health: UpstreamHealth;
    /** The upstreams of the instance list, of all services. */
    readonly upstreams: () => readonly Upstream[];
    readonly settings?: Partial<BalanceSettings>;
}

type RefusalReason = Extract<SlotDecision, { readonly kind: "refused"; }>["reason"];

// Before a route has been measured its requests count as this much slot time.
const unknownCostMs = 50;
// Weight of the newest answer in a route's usual latency.
const costShare = 0.1;
// A single slow route must not make the fair order search for many rounds.
const maxCostMs = 1_000;
const refusalRetryMs: Readonly<Record<RefusalReason, number>> = {
    "no-upstream": 1_000,
    "queue-full": 500,
    "deadline": 100,
    "cancelled": 0,
};

/**
 * Gets each request a slot, in an order that is fair to the organisations. Slots come from the service's home; while
 * the home does not answer, the instance chooses by itself.
 *
 * @example
 * const decision = await chooser.acquire(request, []);
 * if (decision.kind === "slot") { decision.lease.done(await send(decision.lease.upstream), latencyMs); }
 */
export class FairUpstreamChooser implements UpstreamChooser {
    readonly #options: ChooserOptions;
    readonly #context: InstanceContext;
    readonly #settings: BalanceSettings;
    readonly #pools = new Map<ServiceId, SlotPool>();
    readonly #locals = new Map<ServiceId, LocalSlots>();
    readonly #budgets = new Map<ServiceId, RetryBudget>();
    readonly #costsMs = new Map<RouteId, number>();
    readonly #asking = new Map<OrganisationId, number>();
    readonly #fallbackUntilMs = new Map<ServiceId, number>();
    #asksOut = 0;
    #askNumber = 0;
    #inFlight = 0;

    constructor(options: ChooserOptions) {
        this.#options = options;
        this.#context = options.context;
        this.#settings = { ...defaultBalanceSettings, ...options.settings };
        const { peers } = options.context;
        peers.handle(requestSlotMethod, (from, ask) => this.#receiveAsk(from, ask));
        peers.handle(releaseSlotMethod, (from, { service, ask }) => this.#pools.get(service)?.release(from, ask));
    }

    async acquire(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision> {
        const { service } = request.route;
        if (tried.length === 0) {
            this.#budget(service).recordRequest();
        }
        const blocked = this.#blocked(request);
        if (blocked !== undefined) {
            return this.#refuse(request, blocked);
        }
        if (this.#settings.mode === "permits" && !this.#isFallback(service)) {
            const decision = await this.#acquirePermit(request, tried);
            if (decision !== undefined) {
                return decision;
            }
        }
        const costMs = this.#costMs(request.route.id);
        const found = await this.#local(service).acquire(request, tried, costMs);
        return typeof found === "string"
            ? this.#refuse(request, found)
            : { kind: "slot", lease: this.#lease(request, found, () => {}) };
    }

    tryAcquireRetry(request: RoutedRequest): boolean {
        return this.#budget(request.route.service).tryRetry();
    }

    load(): number {
        const queued = [...this.#locals.values()].reduce((sum, local) => sum + local.queued, 0);
        return Math.min(1, (queued + this.#asksOut + this.#inFlight) / this.#settings.maxQueued);
    }

    /** Asks the home until there is a slot or a refusal; undefined: the home does not answer. */
    async #acquirePermit(request: RoutedRequest, tried: readonly Upstream[]): Promise<SlotDecision | undefined> {
        const { organisation } = request;
        const { maxQueued } = this.#settings;
        const own = this.#asking.get(organisation) ?? 0;
        // Half of the room is the most for one organisation, so a busy one leaves room at this instance.
        if (this.#asksOut >= maxQueued || own >= maxQueued / 2) {
            return this.#refuse(request, "queue-full");
        }
        this.#countAsk(organisation, 1);
        try {
            for (;;) {
                const blocked = this.#blocked(request);
                if (blocked !== undefined) {
                    return this.#refuse(request, blocked);
                }
                const reply = await this.#ask(request, tried);
                const decision = this.#decide(request, reply);
                if (decision !== "again") {
                    return decision;
                }
            }
        }
        finally {
            this.#countAsk(organisation, -1);
        }
    }

    #decide(request: RoutedRequest, reply: PlacedReply): SlotDecision | "again" | undefined {
        const { service } = request.route;
        if (reply.kind === "away" || reply.kind === "not-home") {
            this.#fallbackUntilMs.set(service, this.#nowMs() + this.#settings.fallbackMs);
            return undefined;
        }
        if (reply.kind === "refused") {
            return reply.reason === "waited" ? "again" : this.#refuse(request, reply.reason);
        }
        const upstream = this.#options.upstreams().find(({ id }) => id === reply.upstream);
        const blocked = this.#blocked(request);
        // The lists of the two instances may differ, and the home may not know yet of a drain seen here.
        if (upstream === undefined || blocked !== undefined) {
            reply.release();
            return blocked === undefined ? undefined : this.#refuse(request, blocked);
        }
        this.#local(service).started(upstream.id);
        return { kind: "slot", lease: this.#lease(request, upstream, reply.release) };
    }

    async #ask(request: RoutedRequest, tried: readonly Upstream[]): Promise<PlacedReply> {
        const { membership, peers } = this.#context;
        const { slotRequestWaitMs: askMs, slotRequestMarginMs: askMarginMs } = this.#settings;
        const { service } = request.route;
        const home = membership.coordinatorOf(serviceCoordinatorKey(service));
        if (home === undefined) {
            return { kind: "away" };
        }
        const ask = this.#askBody(request, tried, Math.min(askMs, request.deadlineMs - this.#nowMs()));
        const release = () => this.#release(home, service, ask.ask);
        // Withdraws the ask at the home; if it was granted meanwhile, the release frees the slot.
        request.signal.addEventListener("abort", release);
        try {
            const reply = home === membership.self
                ? await this.#receiveAsk(home, ask)
                : await peers.call(home, requestSlotMethod, ask, ask.waitMs + askMarginMs);
            return reply.kind === "granted" ? { ...reply, release } : reply;
        }
        catch {
            release();
            return { kind: "away" };
        }
        finally {
            request.signal.removeEventListener("abort", release);
        }
    }

    #askBody(request: RoutedRequest, tried: readonly Upstream[], waitMs: number): SlotRequest {
        const { service, id: route, timeoutMs } = request.route;
        const avoided = this.#upstreamsOf(service).filter(upstream => this.#options.health.isAvoided(upstream));
        return {
            service,
            ask: ++this.#askNumber,
            route,
            organisation: request.organisation,
            zone: this.#context.membership.zone,
            tried: [...tried, ...avoided].map(({ id }) => id).slice(-64),
            waitMs,
            holdMs: timeoutMs,
            costMs: this.#costMs(route),
        };
    }

    #receiveAsk(from: InstanceId, ask: SlotRequest): SlotReply | Promise<SlotReply> {
        const { service } = ask;
        const term = this.#context.membership.coordinatorTerm(serviceCoordinatorKey(service));
        if (term === undefined) {
            this.#pools.delete(service);
            return { kind: "not-home" };
        }
        let pool = this.#pools.get(service);
        if (pool === undefined || pool.termId !== term.id) {
            pool = new SlotPool(term.id, this.#surroundings(service));
            this.#pools.set(service, pool);
        }
        return pool.ask(from, ask);
    }

    #release(home: InstanceId, service: ServiceId, ask: number): void {
        const { membership, peers } = this.#context;
        if (home === membership.self) {
            this.#pools.get(service)?.release(home, ask);
        }
        else {
            peers.notify(home, releaseSlotMethod, { service, ask });
        }
    }

    #lease(request: RoutedRequest, upstream: Upstream, release: () => void): SlotLease {
        const { service, id: route } = request.route;
        const observation = this.#options.health.startObservation(upstream, route);
        const local = this.#local(service);
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
                this.#learn(route, local, upstream, result, latencyMs);
                release();
                local.ended(upstream.id);
            },
        };
    }

    #learn(
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
            this.#costsMs.set(route, this.#costMs(route) * (1 - costShare) + latencyMs * costShare);
        }
    }

    #blocked(request: RoutedRequest): "cancelled" | "deadline" | undefined {
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

    #countAsk(organisation: OrganisationId, change: number): void {
        this.#asksOut += change;
        const count = (this.#asking.get(organisation) ?? 0) + change;
        if (count === 0) {
            this.#asking.delete(organisation);
        }
        else {
            this.#asking.set(organisation, count);
        }
    }

    #isFallback(service: ServiceId): boolean {
        return (this.#fallbackUntilMs.get(service) ?? 0) > this.#nowMs();
    }

    #costMs(route: RouteId): number {
        return Math.min(maxCostMs, this.#costsMs.get(route) ?? unknownCostMs);
    }

    #budget(service: ServiceId): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget(this.#context.clock, this.#settings);
        this.#budgets.set(service, budget);
        return budget;
    }

    #local(service: ServiceId): LocalSlots {
        const local = this.#locals.get(service) ?? new LocalSlots(this.#surroundings(service));
        this.#locals.set(service, local);
        return local;
    }

    #surroundings(service: ServiceId) {
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

/** The home's reply, with the way to free a granted slot; `away`: there was none. */
type PlacedReply =
    | { readonly kind: "away"; }
    | Exclude<SlotReply, { readonly kind: "granted"; }>
    | (Extract<SlotReply, { readonly kind: "granted"; }> & { readonly release: () => void; });
