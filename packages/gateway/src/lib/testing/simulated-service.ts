/** Simulated upstreams of a service, and their loads as instances know them. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import type { RemoteLoad } from "../balance/load-estimate.js";
import { nameKey } from "../name-key.js";

/** Requests beyond its slots that an upstream accepts. */
const upstreamQueue = 12;

/** How a request ended at an upstream. */
export type UpstreamEnd = "answer" | "not-run" | "failed";

/** Faults of the upstreams over time. */
export interface SimulatedFaults {
    /** Factor of the work at an upstream. */
    readonly slowness?: (index: number, nowMs: number) => number;
    /** Whether an upstream has ended. */
    readonly isGone?: (index: number, nowMs: number) => boolean;
    /** Share of the arrivals that each upstream rejects, whatever its load. */
    readonly rejectShare?: (nowMs: number) => number;
}

interface Waiting {
    readonly start: () => void;
    readonly drop: () => void;
    readonly untilMs: number;
}

interface Upstream {
    readonly id: UpstreamId;
    readonly index: number;
    running: number;
    readonly waiting: Waiting[];
}

/** Upstreams that run requests in their slots, first come, first served, and refuse those that exceed their queue. */
export class SimulatedUpstreams {
    readonly #clock: Clock;
    readonly #random: () => number;
    readonly #slots: number;
    readonly #faults: SimulatedFaults;
    readonly #upstreams: ReadonlyMap<UpstreamId, Upstream>;
    /** Requests that ended with an answer, ever. */
    completed = 0;

    constructor(
        { clock, random, ids, slots, faults }: {
            readonly clock: Clock;
            readonly random: () => number;
            readonly ids: readonly UpstreamId[];
            readonly slots: number;
            readonly faults: SimulatedFaults;
        },
    ) {
        this.#clock = clock;
        this.#random = random;
        this.#slots = slots;
        this.#faults = faults;
        this.#upstreams = new Map(ids.map((id, index) => [id, { id, index, running: 0, waiting: [] }]));
    }

    isGone(upstream: UpstreamId): boolean {
        const { index } = this.#upstreams.get(upstream)!;
        return this.#faults.isGone?.(index, this.#clock.monotonicMs()) ?? false;
    }

    /** An upstream with a free slot, the fastest one first; undefined if there is none. */
    free(): UpstreamId | undefined {
        const nowMs = this.#clock.monotonicMs();
        const slowness = ({ index }: Upstream) => this.#faults.slowness?.(index, nowMs) ?? 1;
        let best: Upstream | undefined;
        for (const upstream of this.#upstreams.values()) {
            const isFree = upstream.running < this.#slots && !this.isGone(upstream.id);
            if (isFree && (best === undefined || slowness(upstream) < slowness(best))) {
                best = upstream;
            }
        }
        return best?.id;
    }

    /** Runs a request unless its caller's deadline passes while it waits. */
    run(id: UpstreamId, workMs: number, untilMs: number): Promise<UpstreamEnd> {
        const upstream = this.#upstreams.get(id)!;
        const nowMs = this.#clock.monotonicMs();
        const rejectShare = this.#faults.rejectShare?.(nowMs) ?? 0;
        const isFull = upstream.running >= this.#slots && upstream.waiting.length >= upstreamQueue;
        if (isFull || this.isGone(id) || rejectShare > 0 && this.#random() < rejectShare) {
            return Promise.resolve("not-run");
        }
        return new Promise(resolve => {
            const start = () => {
                upstream.running++;
                const tookMs = workMs * (this.#faults.slowness?.(upstream.index, nowMs) ?? 1);
                // The instance ends the request at the caller's deadline.
                const endMs = Math.min(tookMs, Math.max(0, untilMs - this.#clock.monotonicMs()));
                this.#clock.after(endMs, () => {
                    upstream.running--;
                    const isAnswer = endMs === tookMs && !this.isGone(id);
                    this.completed += isAnswer ? 1 : 0;
                    resolve(isAnswer ? "answer" : "failed");
                    this.#start(upstream);
                });
            };
            upstream.waiting.push({ start, drop: () => resolve("failed"), untilMs });
            this.#start(upstream);
        });
    }

    #start(upstream: Upstream): void {
        while (upstream.running < this.#slots) {
            const next = upstream.waiting.shift();
            if (next === undefined) {
                return;
            }
            if (next.untilMs <= this.#clock.monotonicMs() || this.isGone(upstream.id)) {
                next.drop();
            }
            else {
                next.start();
            }
        }
    }
}

/** When instances learn of each other's loads. */
export interface ReportDelays {
    /** Age of a report when it arrives. */
    readonly ageMs: number;
    readonly intervalMs: number;
}

/** Requests in flight and completed, as of the latest report. */
export class ReportedLoads {
    readonly #inFlight = new Map<number, number>();
    #latest: RemoteLoad = { atMs: 0, inFlight: new Map() };
    #completed = 0;

    constructor(clock: Clock, { ageMs, intervalMs }: ReportDelays, completed: () => number) {
        const publish = (): void => {
            const [load, count] = [{ atMs: clock.monotonicMs(), inFlight: new Map(this.#inFlight) }, completed()];
            clock.after(ageMs, () => {
                this.#latest = load;
                this.#completed = count;
            });
            clock.after(intervalMs, publish);
        };
        publish();
    }

    get latest(): RemoteLoad {
        return this.#latest;
    }

    /** Requests of the service that ended with an answer, ever. */
    get completed(): number {
        return this.#completed;
    }

    change(upstream: UpstreamId, change: number): void {
        const key = nameKey(upstream);
        this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + change);
    }
}
