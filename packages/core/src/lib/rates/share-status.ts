/** What a drawing instance knows of one share. */
import type { Random } from "../ports.js";
import type { TokenReply } from "./messages.js";
import type { RateOptions } from "./options.js";

/** Pauses between probes of a share whose home does not answer stay below this. */
const maxUnreachablePauseMs = 500;

/** Tracks the draw in flight, the last known level, and when a share that gave too little may be asked again. */
export class ShareStatus {
    readonly index: number;
    readonly #options: RateOptions;
    readonly #random: Random;
    #need: number | undefined;
    #level = Number.POSITIVE_INFINITY;
    #levelAtMs = 0;
    #failures = 0;
    #state: "unknown" | "reached" | "unreachable" = "unknown";
    #readyAtMs = 0;
    #waitMs = 0;
    #askedAtMs = Number.NEGATIVE_INFINITY;
    #unmet = 0;

    constructor(index: number, options: RateOptions, random: Random) {
        this.index = index;
        this.#options = options;
        this.#random = random;
    }

    get isDrawing(): boolean {
        return this.#need !== undefined;
    }

    /** Tokens asked for waiting requests by the draw in flight. */
    get need(): number {
        return this.#need ?? 0;
    }

    /** Whether a home answered the last draw. */
    get isReached(): boolean {
        return this.#state === "reached";
    }

    get readyAtMs(): number {
        return this.#readyAtMs;
    }

    /** Time until the next token as the home told it last; 0 if it was not short of tokens. */
    get waitMs(): number {
        return this.#waitMs;
    }

    isReady(nowMs: number): boolean {
        return !this.isDrawing && nowMs >= this.#readyAtMs;
    }

    /** Tokens for which the home keeps a place until they are due. */
    reserved(nowMs: number): number {
        return this.isDrawing || nowMs >= this.#readyAtMs ? 0 : this.#unmet;
    }

    /** When the home may be asked for more than it keeps a place for; infinite while its queue is full. */
    get extensibleAtMs(): number {
        const isQueued = !this.isDrawing && this.isReached && this.#waitMs < this.#options.maxWaitMs;
        return isQueued ? this.#askedAtMs + this.#options.retryPauseMs : Number.POSITIVE_INFINITY;
    }

    /** Estimate of the tokens at the home. */
    level(nowMs: number, ratePerSecond: number): number {
        return this.#level + (nowMs - this.#levelAtMs) * ratePerSecond / 1_000;
    }

    begin(need: number, nowMs: number): void {
        this.#askedAtMs = nowMs;
        this.#need = need;
    }

    end(reply: TokenReply | undefined, need: number, nowMs: number): void {
        this.#need = undefined;
        const isReached = reply?.isHome === true;
        const state = isReached ? "reached" : "unreachable";
        this.#failures = state === this.#state ? this.#failures : 0;
        this.#state = state;
        this.#level = reply?.level ?? 0;
        this.#levelAtMs = nowMs;
        this.#waitMs = reply?.waitMs ?? 0;
        this.#unmet = isReached ? Math.max(0, need - reply.granted) : 0;
        if (isReached && reply.granted >= need) {
            this.#failures = 0;
            return;
        }
        const { retryPauseMs, maxWaitMs } = this.#options;
        if (isReached) {
            // The home keeps this instance's place for a short time only, so it asks when the home said.
            this.#readyAtMs = nowMs + Math.min(maxWaitMs, Math.max(retryPauseMs, this.#waitMs));
            return;
        }
        const pauseMs = Math.min(maxUnreachablePauseMs, retryPauseMs * 2 ** Math.min(10, this.#failures++));
        // Jitter keeps the instances of the fleet from asking in step.
        this.#readyAtMs = nowMs + pauseMs * (0.75 + this.#random() / 2);
    }

    /** The home may be another one now. */
    forgetUnreachable(): void {
        if (this.#state === "unreachable" && !this.isDrawing) {
            this.#failures = 0;
            this.#readyAtMs = 0;
        }
    }
}
