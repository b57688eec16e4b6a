/** Status of one share at a requesting instance. */
import type { Random } from "../ports.js";
import type { TokenReply } from "./messages.js";
import type { RateOptions } from "./options.js";

/** Maximum pause, before jitter, between requests to a share whose coordinator does not answer. */
const maxUnreachablePauseMs = 500;

/**
 * Tracks the request in flight, the last known level, and when a share that granted too little may be requested again.
 */
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
    #requestedAtMs = Number.NEGATIVE_INFINITY;
    #reserved = 0;

    constructor(index: number, options: RateOptions, random: Random) {
        this.index = index;
        this.#options = options;
        this.#random = random;
    }

    get isRequesting(): boolean {
        return this.#need !== undefined;
    }

    /** Tokens that the request in flight needs for waiting requests of callers. */
    get need(): number {
        return this.#need ?? 0;
    }

    /** Whether the last completed request was answered by the coordinator. */
    get isReached(): boolean {
        return this.#state === "reached";
    }

    /** Time from which the next request may be sent. */
    get readyAtMs(): number {
        return this.#readyAtMs;
    }

    /** Time until the next token according to the last reply; 0 if the request was granted in full or got no reply. */
    get waitMs(): number {
        return this.#waitMs;
    }

    isReady(nowMs: number): boolean {
        return !this.isRequesting && nowMs >= this.#readyAtMs;
    }

    /** Tokens that the coordinator's queue reserves until they are due. */
    reserved(nowMs: number): number {
        return this.isRequesting || nowMs >= this.#readyAtMs ? 0 : this.#reserved;
    }

    /**
     * Time from which more tokens may be requested than are reserved. Infinite while a request is in flight, after a
     * request that did not reach the coordinator, and if the wait is so long that the coordinator's queue is full.
     */
    get extendableAtMs(): number {
        const isQueued = !this.isRequesting && this.isReached && this.#waitMs < this.#options.maxWaitMs;
        return isQueued ? this.#requestedAtMs + this.#options.retryPauseMs : Number.POSITIVE_INFINITY;
    }

    /** Estimated number of tokens at the coordinator. */
    level(nowMs: number, ratePerSecond: number): number {
        return this.#level + (nowMs - this.#levelAtMs) * ratePerSecond / 1_000;
    }

    startRequest(need: number, nowMs: number): void {
        this.#requestedAtMs = nowMs;
        this.#need = need;
    }

    finishRequest(reply: TokenReply | undefined, need: number, nowMs: number): void {
        this.#need = undefined;
        const isReached = reply?.isHome === true;
        const state = isReached ? "reached" : "unreachable";
        this.#failures = state === this.#state ? this.#failures : 0;
        this.#state = state;
        this.#level = reply?.level ?? 0;
        this.#levelAtMs = nowMs;
        this.#waitMs = reply?.waitMs ?? 0;
        this.#reserved = isReached ? Math.max(0, need - reply.granted) : 0;
        if (isReached && reply.granted >= need) {
            this.#failures = 0;
            return;
        }
        const { retryPauseMs, maxWaitMs } = this.#options;
        if (isReached) {
            // The queue entry expires shortly after its tokens are due, so the next request is sent at the time that
            // the reply states.
            this.#readyAtMs = nowMs + Math.min(maxWaitMs, Math.max(retryPauseMs, this.#waitMs));
            return;
        }
        const pauseMs = Math.min(maxUnreachablePauseMs, retryPauseMs * 2 ** Math.min(10, this.#failures++));
        // Jitter keeps instances from sending requests in step.
        this.#readyAtMs = nowMs + pauseMs * (0.75 + this.#random() / 2);
    }

    /** Resets the backoff, because another instance may be the coordinator now. */
    resetBackoff(): void {
        if (this.#state === "unreachable" && !this.isRequesting) {
            this.#failures = 0;
            this.#readyAtMs = 0;
        }
    }
}
