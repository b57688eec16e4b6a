/** Choice of upstreams by one instance without the coordinator, from its own requests in flight and health reports. */
import type { UpstreamHealth } from "../health/index.js";
import type { Clock, Random } from "../ports.js";
import type { RoutedRequest } from "../stages.js";
import type { Upstream, UpstreamId, ZoneId } from "../types.js";
import { FairQueue, type QueuedItem } from "./fair-queue.js";
import type { BalanceSettings } from "./settings.js";

/** Dependencies of {@link LocalSlots}. */
export interface LocalSlotsContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: BalanceSettings;
    readonly health: UpstreamHealth;
    readonly zone: () => ZoneId;
    readonly upstreams: () => readonly Upstream[];
    readonly slotsPerUpstream: () => number;
}

/** Reason why no slot was acquired. */
export type LocalRefusal = "no-upstream" | "queue-full" | "deadline" | "cancelled";

interface WaitingRequest {
    readonly request: RoutedRequest;
    readonly tried: readonly Upstream[];
    readonly settle: (result: Upstream | LocalRefusal) => void;
}

/**
 * Power of two choices over the requests in flight of this and the other instances, with a fair queue. A single
 * instance never sends an upstream more requests than it has slots.
 */
export class LocalSlots {
    readonly #context: LocalSlotsContext;
    readonly #queue: FairQueue<WaitingRequest>;
    readonly #inFlight = new Map<UpstreamId, number>();
    readonly #pausedUntilMs = new Map<UpstreamId, number>();

    constructor(context: LocalSlotsContext) {
        this.#context = context;
        const { quantumMs, maxQueued } = context.settings;
        this.#queue = new FairQueue(quantumMs, maxQueued);
    }

    get queued(): number {
        return this.#queue.size;
    }

    /** Waits for a slot until the request's deadline or until its caller cancels it. */
    acquire(request: RoutedRequest, tried: readonly Upstream[], costMs: number): Promise<Upstream | LocalRefusal> {
        const { clock, health, upstreams } = this.#context;
        if (!upstreams().some(upstream => health.weight(upstream, request.route.id) > 0)) {
            return Promise.resolve("no-upstream");
        }
        return new Promise(resolve => {
            const abandon = (reason: LocalRefusal) => {
                if (this.#queue.remove(queuedItem)) {
                    waitingRequest.settle(reason);
                }
            };
            const abort = () => abandon("cancelled");
            const timer = clock.after(request.deadlineMs - clock.monotonicMs(), () => abandon("deadline"));
            const waitingRequest: WaitingRequest = {
                request,
                tried,
                settle: result => {
                    timer.cancel();
                    request.signal.removeEventListener("abort", abort);
                    resolve(result);
                },
            };
            const queuedItem: QueuedItem<WaitingRequest> = {
                organisation: request.organisation,
                costMs,
                item: waitingRequest,
            };
            request.signal.addEventListener("abort", abort);
            this.#queue.add(queuedItem)?.item.settle("queue-full");
            this.grantWaiting();
        });
    }

    /** Counts a dispatch whose slot was granted by the coordinator, so that local choice takes it into account. */
    started(upstream: UpstreamId): void {
        this.#inFlight.set(upstream, (this.#inFlight.get(upstream) ?? 0) + 1);
    }

    ended(upstream: UpstreamId): void {
        this.#inFlight.set(upstream, Math.max(0, (this.#inFlight.get(upstream) ?? 0) - 1));
        this.grantWaiting();
    }

    /** Stops sending requests to an upstream that has shed one. The duration is limited by the settings. */
    pause(upstream: UpstreamId, durationMs: number): void {
        const { clock, settings } = this.#context;
        const pauseMs = Math.min(Math.max(durationMs, settings.shedPauseMs), settings.maxShedPauseMs);
        this.#pausedUntilMs.set(upstream, clock.monotonicMs() + pauseMs);
        clock.after(pauseMs, () => this.grantWaiting());
    }

    grantWaiting(): void {
        this.#queue.dispatch(waitingRequest => {
            const upstream = this.#chooseUpstream(waitingRequest);
            if (upstream === undefined) {
                return false;
            }
            this.started(upstream.id);
            waitingRequest.settle(upstream);
            return true;
        });
    }

    #chooseUpstream({ request, tried }: WaitingRequest): Upstream | undefined {
        const { clock, health, random, slotsPerUpstream, upstreams } = this.#context;
        const nowMs = clock.monotonicMs();
        const usable = upstreams().map(upstream => ({ upstream, weight: health.weight(upstream, request.route.id) }))
            .filter(({ weight }) => weight > 0);
        const untried = usable.filter(({ upstream }) => !tried.some(({ id }) => id === upstream.id));
        const withFreeSlot = (untried.length > 0 ? untried : usable).filter(({ upstream: { id } }) =>
            (this.#inFlight.get(id) ?? 0) < slotsPerUpstream() && (this.#pausedUntilMs.get(id) ?? 0) <= nowMs
        );
        const notAvoided = withFreeSlot.filter(({ upstream }) => !health.isAvoided(upstream));
        const candidates = notAvoided.length > 0 ? notAvoided : withFreeSlot;
        // An upstream that is recovering or warming up takes part in a share of the choices equal to its weight.
        const sampled = candidates.filter(({ weight }) => weight >= 1 || random() < weight);
        const pool = (sampled.length > 0 ? sampled : candidates).map(({ upstream }) => upstream);
        const first = pool[Math.floor(random() * pool.length)];
        const others = pool.filter(upstream => upstream !== first);
        const second = others[Math.floor(random() * others.length)];
        return first === undefined || second === undefined ? first : this.#lessLoaded(first, second);
    }

    #lessLoaded(first: Upstream, second: Upstream): Upstream {
        const { health, zone } = this.#context;
        const load = (upstream: Upstream) => (this.#inFlight.get(upstream.id) ?? 0) + health.remoteInFlight(upstream);
        const difference = load(first) - load(second);
        if (difference !== 0) {
            return difference < 0 ? first : second;
        }
        return second.zone === zone() ? second : first;
    }
}
