/** Simulates an upstream in virtual time: slots, a short queue, gray failures, and a record of its runs. */
import type { Clock, Random, Upstream, UpstreamRequest, UpstreamResult } from "@sniperoad/core";

/** Faults of one upstream, initially none. */
export interface SimulatedUpstreamFaults {
    /** Factor by which runs take longer; 1 without the fault. */
    slowFactor: number;
    /** Requests whose target has this prefix are answered with status 500. */
    failingPrefix: string | undefined;
    /** Result of all runs instead of a response. */
    wrong: "truncated" | "crossed" | undefined;
    /** Refuses connections. */
    isDown: boolean;
    isDraining: boolean;
}

/** One run at an upstream. */
export interface SimulatedRun {
    readonly upstream: string;
    /** When the request reached the upstream; used to check rates. */
    readonly arrivedMs: number;
    /** When the run began. */
    readonly atMs: number;
    readonly target: string;
    readonly idempotencyKey: string | undefined;
    /** Whether the upstream received the caller's key. */
    readonly hasKey: boolean;
}

/** A request whose target contains this text crashes the upstream that runs it. */
export const simulatedCrashMarker = "crash";

const restartDurationMs = 3_000;

/**
 * Runs requests in virtual time.
 *
 * @example
 * const upstream = new SimulatedUpstream(listed, { clock, random, slots: 3, serviceMs: 40, onRun });
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
    /** Number of crashes since the start. */
    crashes = 0;
    readonly #options: SimulatedUpstreamOptions;
    readonly #waiting: (() => void)[] = [];
    readonly #pendingResults = new Set<(result: UpstreamResult) => void>();
    #running = 0;

    constructor(listed: Upstream, options: SimulatedUpstreamOptions) {
        this.listed = listed;
        this.#options = options;
    }

    /** Runs a request and returns its result, without the effects of the network. */
    run(request: UpstreamRequest): Promise<UpstreamResult> {
        if (this.faults.isDown) {
            return Promise.resolve({ kind: "refused" });
        }
        if (this.#running >= this.#options.slots && this.#waiting.length >= this.#options.slots) {
            return Promise.resolve({ kind: "shed", retryAfterMs: 20, draining: this.faults.isDraining });
        }
        const arrivedMs = this.#options.clock.monotonicMs();
        return new Promise(resolve => {
            this.#pendingResults.add(resolve);
            void this.#runWhenFree(request, arrivedMs).then(result => {
                if (this.#pendingResults.delete(resolve)) {
                    resolve(result);
                }
            });
        });
    }

    /** Crashes the process: resets every request in flight and restarts after a few seconds. */
    crash(): void {
        this.crashes++;
        this.faults.isDown = true;
        const pendingResults = [...this.#pendingResults];
        this.#pendingResults.clear();
        pendingResults.forEach(resolve => resolve({ kind: "reset", isCrash: true }));
        this.#options.clock.after(restartDurationMs, () => {
            this.faults.isDown = false;
            this.#running = 0;
        });
    }

    async #runWhenFree(request: UpstreamRequest, arrivedMs: number): Promise<UpstreamResult> {
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
        // A wrong response is fast, so that latency alone would favour the upstream.
        const durationMs = isFailing || this.faults.wrong !== undefined
            ? 2
            : serviceMs * this.faults.slowFactor * (0.7 + 0.6 * random());
        await new Promise<void>(resolve => clock.after(Math.round(durationMs), resolve));
        this.#running = Math.max(0, this.#running - 1);
        this.#waiting.shift()?.();
        if (this.faults.wrong !== undefined) {
            return { kind: this.faults.wrong };
        }
        const answer = { status: isFailing ? 500 : 200, headers: [], body: new Uint8Array(0) };
        return { kind: "answer", draining: this.faults.isDraining, answer };
    }
}

/** Options of a {@link SimulatedUpstream}. */
export interface SimulatedUpstreamOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Number of requests that run at the same time; as many others may wait, and further ones are shed. */
    readonly slots: number;
    /** Mean duration of a run without faults. */
    readonly serviceMs: number;
    readonly onRun: (run: SimulatedRun) => void;
}
