/** The slots of one service at its home, during one term. */
import type { UpstreamHealth } from "../health/index.js";
import type { Clock, Random } from "../ports.js";
import type { InstanceId, Upstream, UpstreamId } from "../types.js";
import { FairQueue, type QueuedItem } from "./fair-queue.js";
import type { SlotReply, SlotRequest } from "./messages.js";
import type { BalanceSettings } from "./settings.js";

/** What a pool needs from its instance. */
export interface SlotPoolContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: BalanceSettings;
    readonly health: UpstreamHealth;
    readonly upstreams: () => readonly Upstream[];
    readonly slotsPerUpstream: () => number;
}

interface PendingAsk {
    readonly key: string;
    readonly ask: SlotRequest;
    readonly answer: (reply: SlotReply) => void;
}

interface Permit {
    readonly upstream: UpstreamId;
    readonly untilMs: number;
}

// With a preference in every choice, nearly all work at half load came from the upstream's own zone, and health took up
// to 2.7 s to get evidence from a second zone.
const zonePreference = 0.5;

const askKey = (from: InstanceId, ask: number): string => `${from}/${ask}`;

/**
 * Hands out slots to all instances, with a fair share for each organisation over the fleet. A pool of a new term starts
 * without permits: for as long as the former home's permits are used the upstreams may get too much, and shed it.
 */
export class SlotPool {
    readonly termId: string;
    readonly #surroundings: SlotPoolContext;
    readonly #queue: FairQueue<PendingAsk>;
    readonly #waiting = new Map<string, QueuedItem<PendingAsk>>();
    readonly #permits = new Map<string, Permit>();
    readonly #used = new Map<UpstreamId, number>();
    #sweptMs = 0;

    constructor(termId: string, surroundings: SlotPoolContext) {
        this.termId = termId;
        this.#surroundings = surroundings;
        const { quantumMs, maxQueued } = surroundings.settings;
        this.#queue = new FairQueue(quantumMs, maxQueued);
    }

    ask(from: InstanceId, ask: SlotRequest): Promise<SlotReply> {
        this.#sweep();
        const { health, upstreams } = this.#surroundings;
        if (!upstreams().some(upstream => health.weight(upstream, ask.route) > 0)) {
            return Promise.resolve({ kind: "refused", reason: "no-upstream" });
        }
        return new Promise(resolve => {
            const key = askKey(from, ask.ask);
            const pending: PendingAsk = {
                key,
                ask,
                answer: reply => {
                    timer.cancel();
                    this.#waiting.delete(key);
                    resolve(reply);
                },
            };
            const waiting = { organisation: ask.organisation, costMs: ask.costMs, item: pending };
            const timer = this.#surroundings.clock.after(ask.waitMs, () => {
                if (this.#queue.remove(waiting)) {
                    pending.answer({ kind: "refused", reason: "waited" });
                }
            });
            this.#waiting.set(key, waiting);
            const dropped = this.#queue.add(waiting);
            dropped?.item.answer({ kind: "refused", reason: "queue-full" });
            this.#drain();
        });
    }

    release(from: InstanceId, ask: number): void {
        const key = askKey(from, ask);
        const waiting = this.#waiting.get(key);
        if (waiting !== undefined && this.#queue.remove(waiting)) {
            waiting.item.answer({ kind: "refused", reason: "waited" });
        }
        this.#free(key);
        this.#drain();
    }

    #drain(): void {
        this.#queue.dispatch(pending => {
            const upstream = this.#choose(pending.ask);
            if (upstream === undefined) {
                return false;
            }
            const untilMs = this.#nowMs() + pending.ask.holdMs + this.#surroundings.settings.permitMarginMs;
            this.#permits.set(pending.key, { upstream, untilMs });
            this.#used.set(upstream, (this.#used.get(upstream) ?? 0) + 1);
            pending.answer({ kind: "granted", upstream });
            return true;
        });
    }

    /** The least used upstream with a free slot; at equal use mostly one of the asker's zone. */
    #choose({ route, tried, zone }: SlotRequest): UpstreamId | undefined {
        const { health, random, upstreams, slotsPerUpstream } = this.#surroundings;
        const usable = upstreams().map(upstream => ({ upstream, weight: health.weight(upstream, route) }))
            .filter(({ weight }) => weight > 0);
        const untried = usable.filter(({ upstream }) => !tried.includes(upstream.id));
        const slots = slotsPerUpstream();
        const open = (untried.length > 0 ? untried : usable)
            .filter(({ upstream }) => (this.#used.get(upstream.id) ?? 0) < slots)
            // An upstream on return or still cold takes part in its share of the choices. While no permit is out, no
            // release would bring the next choice, so none is passed over.
            .filter(({ weight }) => weight >= 1 || this.#permits.size === 0 || random() < weight)
            .map(({ upstream }) => upstream);
        const isZonePreferred = random() < zonePreference;
        const rank = ({ id, zone: own }: Upstream) =>
            (this.#used.get(id) ?? 0) + (isZonePreferred && own !== zone ? 0.5 : 0);
        const start = Math.floor(random() * open.length);
        let best: Upstream | undefined;
        // A random start keeps equals from being chosen in the order of the list.
        for (let index = 0; index < open.length; index++) {
            const next = open[(start + index) % open.length]!;
            best = best === undefined || rank(next) < rank(best) ? next : best;
        }
        return best?.id;
    }

    #free(key: string): void {
        const permit = this.#permits.get(key);
        if (permit !== undefined) {
            this.#permits.delete(key);
            this.#used.set(permit.upstream, this.#used.get(permit.upstream)! - 1);
        }
    }

    /** Frees permits whose release was lost. */
    #sweep(): void {
        const nowMs = this.#nowMs();
        if (nowMs - this.#sweptMs < this.#surroundings.settings.permitMarginMs) {
            return;
        }
        this.#sweptMs = nowMs;
        for (const [key, { untilMs }] of this.#permits) {
            if (untilMs <= nowMs) {
                this.#free(key);
            }
        }
    }

    #nowMs(): number {
        return this.#surroundings.clock.monotonicMs();
    }
}
