/** A queue for all instances that knows the present state of all upstreams; a bound for decisions by old reports. */
import type { Clock } from "@sniperoad/core";
import type { SimulatedCall } from "./overload-simulation.js";
import type { SimulatedUpstreams } from "./simulated-service.js";

type End = "answer" | "failed" | { readonly retryAfterMs: undefined; };

interface Waiting {
    readonly call: SimulatedCall;
    readonly resolve: (end: End) => void;
}

/**
 * Starts a request as soon as a slot is free: those that can meet their objective first, then by rank, those of
 * organisations within their declared rate, and deadline. Requests that would end after their deadline are rejected. It
 * knows how much work each request is.
 */
export class OracleQueue {
    readonly #clock: Clock;
    readonly #upstreams: SimulatedUpstreams;
    #waiting: Waiting[] = [];
    #isScheduled = false;

    constructor(clock: Clock, upstreams: SimulatedUpstreams) {
        this.#clock = clock;
        this.#upstreams = upstreams;
    }

    handle(call: SimulatedCall): Promise<End> {
        return new Promise(resolve => {
            this.#waiting.push({ call, resolve });
            this.#serve();
        });
    }

    #serve(): void {
        const nowMs = this.#clock.monotonicMs();
        const isHopeless = ({ call }: Waiting) => nowMs + call.workMs > call.deadlineAtMs;
        this.#waiting.filter(isHopeless).forEach(({ resolve }) => resolve({ retryAfterMs: undefined }));
        this.#waiting = this.#waiting.filter(waiting => !isHopeless(waiting));
        for (let upstream = this.#upstreams.free(); upstream !== undefined; upstream = this.#upstreams.free()) {
            const next = this.#takeFirst(nowMs);
            if (next === undefined) {
                return;
            }
            void this.#upstreams.run(upstream, next.call.workMs, next.call.deadlineAtMs).then(end => {
                if (end === "not-run") {
                    this.#waiting.push(next);
                }
                else {
                    next.resolve(end);
                }
                this.#serveSoon();
            });
        }
    }

    #serveSoon(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            this.#clock.after(0, () => {
                this.#isScheduled = false;
                this.#serve();
            });
        }
    }

    #takeFirst(nowMs: number): Waiting | undefined {
        const orderOf = ({ call }: Waiting): readonly number[] => [
            nowMs + call.workMs <= call.objectiveAtMs ? 0 : 1,
            call.route.rank,
            call.organisation.factor(nowMs),
            call.objectiveAtMs,
        ];
        let [best, bestOrder]: [Waiting | undefined, readonly number[]] = [undefined, []];
        for (const waiting of this.#waiting) {
            const order = orderOf(waiting);
            const difference = order.map((value, index) => value - (bestOrder[index] ?? Infinity)).find(d => d !== 0);
            if (best === undefined || (difference ?? 0) < 0) {
                [best, bestOrder] = [waiting, order];
            }
        }
        this.#waiting = this.#waiting.filter(waiting => waiting !== best);
        return best;
    }
}
