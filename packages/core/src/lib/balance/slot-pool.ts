/** The slots of one service at its coordinator, during one term. */
import type { UpstreamHealth } from "../health/index.js";
import type { Clock, Random } from "../ports.js";
import type { InstanceId, Upstream, UpstreamId } from "../types.js";
import { FairQueue, type QueuedItem } from "./fair-queue.js";
import type { SlotReply, SlotRequest } from "./messages.js";
import type { BalanceSettings } from "./settings.js";

/** Dependencies of {@link SlotPool}. */
export interface SlotPoolContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: BalanceSettings;
    readonly health: UpstreamHealth;
    readonly upstreams: () => readonly Upstream[];
    readonly slotsPerUpstream: () => number;
}

interface PendingSlotRequest {
    readonly key: string;
    readonly request: SlotRequest;
    readonly answer: (reply: SlotReply) => void;
}

interface Permit {
    readonly upstream: UpstreamId;
    readonly untilMs: number;
}

// If every choice prefers the zone of the sender, an upstream at half load receives nearly all requests from one zone,
// and health checking needs up to 2.7 s to get evidence from a second zone.
const zonePreferenceProbability = 0.5;

const requestKey = (from: InstanceId, requestNumber: number): string => `${from}/${requestNumber}`;

/**
 * Grants slots to all instances, with a fair share for each organisation across the fleet. The pool of a new term
 * starts without permits: while permits of the former coordinator are still in use, upstreams may get too many requests
 * and shed them.
 */
export class SlotPool {
    readonly termId: string;
    readonly #context: SlotPoolContext;
    readonly #queue: FairQueue<PendingSlotRequest>;
    readonly #queuedItems = new Map<string, QueuedItem<PendingSlotRequest>>();
    readonly #permits = new Map<string, Permit>();
    readonly #usedSlots = new Map<UpstreamId, number>();
    #lastExpiryMs = 0;

    constructor(termId: string, context: SlotPoolContext) {
        this.termId = termId;
        this.#context = context;
        const { quantumMs, maxQueued } = context.settings;
        this.#queue = new FairQueue(quantumMs, maxQueued);
    }

    acquire(from: InstanceId, request: SlotRequest): Promise<SlotReply> {
        this.#expirePermits();
        const { health, upstreams } = this.#context;
        if (!upstreams().some(upstream => health.weight(upstream, request.route) > 0)) {
            return Promise.resolve({ kind: "refused", reason: "no-upstream" });
        }
        return new Promise(resolve => {
            const key = requestKey(from, request.ask);
            const pending: PendingSlotRequest = {
                key,
                request,
                answer: reply => {
                    timer.cancel();
                    this.#queuedItems.delete(key);
                    resolve(reply);
                },
            };
            const queuedItem = { organisation: request.organisation, costMs: request.costMs, item: pending };
            const timer = this.#context.clock.after(request.waitMs, () => {
                if (this.#queue.remove(queuedItem)) {
                    pending.answer({ kind: "refused", reason: "waited" });
                }
            });
            this.#queuedItems.set(key, queuedItem);
            const dropped = this.#queue.add(queuedItem);
            dropped?.item.answer({ kind: "refused", reason: "queue-full" });
            this.#grantWaiting();
        });
    }

    release(from: InstanceId, requestNumber: number): void {
        const key = requestKey(from, requestNumber);
        const queuedItem = this.#queuedItems.get(key);
        if (queuedItem !== undefined && this.#queue.remove(queuedItem)) {
            queuedItem.item.answer({ kind: "refused", reason: "waited" });
        }
        this.#freePermit(key);
        this.#grantWaiting();
    }

    #grantWaiting(): void {
        this.#queue.dispatch(pending => {
            const upstream = this.#chooseUpstream(pending.request);
            if (upstream === undefined) {
                return false;
            }
            const untilMs = this.#nowMs() + pending.request.holdMs + this.#context.settings.permitMarginMs;
            this.#permits.set(pending.key, { upstream, untilMs });
            this.#usedSlots.set(upstream, (this.#usedSlots.get(upstream) ?? 0) + 1);
            pending.answer({ kind: "granted", upstream });
            return true;
        });
    }

    /** The least used upstream with a free slot; among equally used ones, preferably one in the zone of the sender. */
    #chooseUpstream({ route, tried, zone }: SlotRequest): UpstreamId | undefined {
        const { health, random, upstreams, slotsPerUpstream } = this.#context;
        const usable = upstreams().map(upstream => ({ upstream, weight: health.weight(upstream, route) }))
            .filter(({ weight }) => weight > 0);
        const untried = usable.filter(({ upstream }) => !tried.includes(upstream.id));
        const slots = slotsPerUpstream();
        const withFreeSlot = (untried.length > 0 ? untried : usable)
            .filter(({ upstream }) => (this.#usedSlots.get(upstream.id) ?? 0) < slots)
            // An upstream that is recovering or warming up takes part in a share of the choices equal to its weight.
            // Without permits in use, no release would trigger the next choice, so none is skipped.
            .filter(({ weight }) => weight >= 1 || this.#permits.size === 0 || random() < weight)
            .map(({ upstream }) => upstream);
        const isZonePreferred = random() < zonePreferenceProbability;
        const rank = ({ id, zone: upstreamZone }: Upstream) =>
            (this.#usedSlots.get(id) ?? 0) + (isZonePreferred && upstreamZone !== zone ? 0.5 : 0);
        const start = Math.floor(random() * withFreeSlot.length);
        let best: Upstream | undefined;
        // A random start avoids choosing equally ranked upstreams in list order.
        for (let index = 0; index < withFreeSlot.length; index++) {
            const next = withFreeSlot[(start + index) % withFreeSlot.length]!;
            best = best === undefined || rank(next) < rank(best) ? next : best;
        }
        return best?.id;
    }

    #freePermit(key: string): void {
        const permit = this.#permits.get(key);
        if (permit !== undefined) {
            this.#permits.delete(key);
            this.#usedSlots.set(permit.upstream, this.#usedSlots.get(permit.upstream)! - 1);
        }
    }

    /** Frees permits whose release was lost. */
    #expirePermits(): void {
        const nowMs = this.#nowMs();
        if (nowMs - this.#lastExpiryMs < this.#context.settings.permitMarginMs) {
            return;
        }
        this.#lastExpiryMs = nowMs;
        for (const [key, { untilMs }] of this.#permits) {
            if (untilMs <= nowMs) {
                this.#freePermit(key);
            }
        }
    }

    #nowMs(): number {
        return this.#context.clock.monotonicMs();
    }
}
