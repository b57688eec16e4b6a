/** Slots as one instance counts them by itself, without the home. */
import type { UpstreamHealth } from "../health/index.js";
import type { Clock, Random } from "../ports.js";
import type { RoutedRequest } from "../stages.js";
import type { Upstream, UpstreamId, ZoneId } from "../types.js";
import { FairQueue, type QueuedItem } from "./fair-queue.js";
import type { BalanceSettings } from "./settings.js";

/** What local choice needs from its instance. */
export interface LocalSlotsContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: BalanceSettings;
    readonly health: UpstreamHealth;
    readonly zone: () => ZoneId;
    readonly upstreams: () => readonly Upstream[];
    readonly slotsPerUpstream: () => number;
}

/** Why there is no slot. */
export type LocalRefusal = "no-upstream" | "queue-full" | "deadline" | "cancelled";

interface Seeker {
    readonly request: RoutedRequest;
    readonly tried: readonly Upstream[];
    readonly settle: (result: Upstream | LocalRefusal) => void;
}

/**
 * Power of two choices over this instance's requests in flight plus those of the others, with a fair queue. One
 * instance alone never has more at an upstream than it has slots.
 */
export class LocalSlots {
    readonly #surroundings: LocalSlotsContext;
    readonly #queue: FairQueue<Seeker>;
    readonly #inFlight = new Map<UpstreamId, number>();
    readonly #pausedUntilMs = new Map<UpstreamId, number>();

    constructor(surroundings: LocalSlotsContext) {
        this.#surroundings = surroundings;
        const { quantumMs, maxQueued } = surroundings.settings;
        this.#queue = new FairQueue(quantumMs, maxQueued);
    }

    get queued(): number {
        return this.#queue.size;
    }

    /** Waits for a slot until the request's deadline or the caller's leaving. */
    acquire(request: RoutedRequest, tried: readonly Upstream[], costMs: number): Promise<Upstream | LocalRefusal> {
        const { clock, health, upstreams } = this.#surroundings;
        if (!upstreams().some(upstream => health.weight(upstream, request.route.id) > 0)) {
            return Promise.resolve("no-upstream");
        }
        return new Promise(resolve => {
            const leave = (reason: LocalRefusal) => {
                if (this.#queue.remove(waiting)) {
                    seeker.settle(reason);
                }
            };
            const abort = () => leave("cancelled");
            const timer = clock.after(request.deadlineMs - clock.monotonicMs(), () => leave("deadline"));
            const seeker: Seeker = {
                request,
                tried,
                settle: result => {
                    timer.cancel();
                    request.signal.removeEventListener("abort", abort);
                    resolve(result);
                },
            };
            const waiting: QueuedItem<Seeker> = { organisation: request.organisation, costMs, item: seeker };
            request.signal.addEventListener("abort", abort);
            this.#queue.add(waiting)?.item.settle("queue-full");
            this.drain();
        });
    }

    /** Counts a dispatch that was granted elsewhere, so that local choice knows of it. */
    started(upstream: UpstreamId): void {
        this.#inFlight.set(upstream, (this.#inFlight.get(upstream) ?? 0) + 1);
    }

    ended(upstream: UpstreamId): void {
        this.#inFlight.set(upstream, Math.max(0, (this.#inFlight.get(upstream) ?? 0) - 1));
        this.drain();
    }

    /** The upstream shed a request: it gets nothing from this instance for a moment. */
    pause(upstream: UpstreamId, durationMs: number): void {
        const { clock, settings } = this.#surroundings;
        const pauseMs = Math.min(Math.max(durationMs, settings.shedPauseMs), settings.maxShedPauseMs);
        this.#pausedUntilMs.set(upstream, clock.monotonicMs() + pauseMs);
        clock.after(pauseMs, () => this.drain());
    }

    drain(): void {
        this.#queue.dispatch(seeker => {
            const upstream = this.#choose(seeker);
            if (upstream === undefined) {
                return false;
            }
            this.started(upstream.id);
            seeker.settle(upstream);
            return true;
        });
    }

    #choose({ request, tried }: Seeker): Upstream | undefined {
        const { clock, health, random, slotsPerUpstream, upstreams } = this.#surroundings;
        const nowMs = clock.monotonicMs();
        const usable = upstreams().map(upstream => ({ upstream, weight: health.weight(upstream, request.route.id) }))
            .filter(({ weight }) => weight > 0);
        const untried = usable.filter(({ upstream }) => !tried.some(({ id }) => id === upstream.id));
        const open = (untried.length > 0 ? untried : usable).filter(({ upstream: { id } }) =>
            (this.#inFlight.get(id) ?? 0) < slotsPerUpstream() && (this.#pausedUntilMs.get(id) ?? 0) <= nowMs
        );
        const sound = open.filter(({ upstream }) => !health.isAvoided(upstream));
        const candidates = sound.length > 0 ? sound : open;
        // An upstream on return or still cold takes part in its share of the choices.
        const drawn = candidates.filter(({ weight }) => weight >= 1 || random() < weight);
        const pool = (drawn.length > 0 ? drawn : candidates).map(({ upstream }) => upstream);
        const first = pool[Math.floor(random() * pool.length)];
        const others = pool.filter(upstream => upstream !== first);
        const second = others[Math.floor(random() * others.length)];
        return first === undefined || second === undefined ? first : this.#better(first, second);
    }

    #better(first: Upstream, second: Upstream): Upstream {
        const { health, zone } = this.#surroundings;
        const load = (upstream: Upstream) => (this.#inFlight.get(upstream.id) ?? 0) + health.remoteInFlight(upstream);
        const difference = load(first) - load(second);
        if (difference !== 0) {
            return difference < 0 ? first : second;
        }
        return second.zone === zone() ? second : first;
    }
}
