/** A model of an upstream in virtual time: slots, a short queue, gray failures, and a record of what it ran. */
import type { Clock, Random, Upstream, UpstreamRequest, UpstreamResult } from "@sniperoad/core";

/** Switches of one upstream; all are off at first. */
export interface SimulatedUpstreamFaults {
    slowFactor: number;
    /** Requests whose target starts so answer 500. */
    failingPrefix: string | undefined;
    wrong: "truncated" | "crossed" | undefined;
    isDown: boolean;
    isDraining: boolean;
}

/** One run at an upstream. */
export interface SimulatedRun {
    readonly upstream: string;
    /** When the request reached the upstream; rates are counted by it. */
    readonly arrivedMs: number;
    /** When it began to run. */
    readonly atMs: number;
    readonly target: string;
    readonly idempotencyKey: string | undefined;
    readonly hasKey: boolean;
}

/** Targets that contain this text end the upstream that runs them. */
export const simulatedCrashMarker = "crash";

const restartMs = 3_000;

/**
 * Runs requests in virtual time.
 *
 * @example
 * const upstream = new ModelUpstream(listed, { clock, random, slots: 3, serviceMs: 40, onRun });
 */
export class SimulatedUpstream {
    readonly listed: Upstream;
    readonly faults: SimulatedUpstreamFaults = {
        slowFactor: 1,
        failingPrefix: undefined,
        wrong: undefined,
        isDown: false,
        isDraining: false,
    };
    crashes = 0;
    readonly #options: SimulatedUpstreamOptions;
    readonly #waiting: (() => void)[] = [];
    readonly #open = new Set<(result: UpstreamResult) => void>();
    #running = 0;

    constructor(listed: Upstream, options: SimulatedUpstreamOptions) {
        this.listed = listed;
        this.#options = options;
    }

    /** Runs a request; the result is what the instance sees, without the network. */
    run(request: UpstreamRequest): Promise<UpstreamResult> {
        if (this.faults.isDown) {
            return Promise.resolve({ kind: "refused" });
        }
        if (this.#running >= this.#options.slots && this.#waiting.length >= this.#options.slots) {
            return Promise.resolve({ kind: "shed", retryAfterMs: 20, draining: this.faults.isDraining });
        }
        const arrivedMs = this.#options.clock.monotonicMs();
        return new Promise(resolve => {
            this.#open.add(resolve);
            void this.#serve(request, arrivedMs).then(result => {
                if (this.#open.delete(resolve)) {
                    resolve(result);
                }
            });
        });
    }

    /** Ends the process: every request in flight is cut, and it comes back after a while. */
    crash(): void {
        this.crashes++;
        this.faults.isDown = true;
        const open = [...this.#open];
        this.#open.clear();
        open.forEach(resolve => resolve({ kind: "reset", isCrash: true }));
        this.#options.clock.after(restartMs, () => {
            this.faults.isDown = false;
            this.#running = 0;
        });
    }

    async #serve(request: UpstreamRequest, arrivedMs: number): Promise<UpstreamResult> {
        const { slots, clock, random, serviceMs, onRun } = this.#options;
        if (this.#running >= slots) {
            await new Promise<void>(resolve => this.#waiting.push(resolve));
        }
        this.#running++;
        onRun({
            upstream: this.listed.id,
            arrivedMs,
            atMs: clock.monotonicMs(),
            target: request.target,
            idempotencyKey: request.headers.find(([name]) => name === "idempotency-key")?.[1],
            hasKey: request.headers.some(([name]) => name === "authorization" || name === "x-api-key"),
        });
        if (request.target.includes(simulatedCrashMarker)) {
            this.crash();
        }
        const isFailing = this.faults.failingPrefix !== undefined
            && request.target.startsWith(this.faults.failingPrefix);
        // A wrong answer comes fast, so that latency alone would favour the upstream.
        const takesMs = isFailing || this.faults.wrong !== undefined
            ? 2
            : serviceMs * this.faults.slowFactor * (0.7 + 0.6 * random());
        await new Promise<void>(resolve => clock.after(Math.round(takesMs), resolve));
        this.#running = Math.max(0, this.#running - 1);
        this.#waiting.shift()?.();
        if (this.faults.wrong !== undefined) {
            return { kind: this.faults.wrong };
        }
        const answer = { status: isFailing ? 500 : 200, headers: [], body: new Uint8Array(0) };
        return { kind: "answer", draining: this.faults.isDraining, answer };
    }
}

/** What a {@link SimulatedUpstream} is built from. */
export interface SimulatedUpstreamOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly slots: number;
    readonly serviceMs: number;
    readonly onRun: (run: SimulatedRun) => void;
}
