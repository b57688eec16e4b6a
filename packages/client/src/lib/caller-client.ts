/** A small client for callers of the fleet. */
import { SniperoadError } from "@sniperoad/core";
import type { Clock, Outcome } from "@sniperoad/core";
import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { Directory } from "./directory.js";
import { uuidV7 } from "./idempotency-key.js";

/** The request could not be finished; `outcome` in the message says whether it may have run. */
export const CallerError = SniperoadError.subclass("CallerError");

/** Settings of a {@link CallerClient}. */
export interface CallerClientOptions {
    /** `host:port` of a few instances to ask first. */
    readonly seeds: readonly string[];
    /** The organisation's key, `<keyId>.<secret>`. */
    readonly key: string;
    readonly zone?: string;
    /** How long one request may take with all its retries; 10 s by default. */
    readonly timeoutMs?: number;
    readonly clock?: Clock;
    readonly random?: () => number;
}

/** One request of a caller. */
export interface CallerRequest {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /** Required for requests that are not idempotent to be safe; made by {@link CallerClient.newIdempotencyKey}. */
    readonly idempotencyKey?: string;
}

/** An answer with what it says about running. */
export interface CallerResult {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly outcome: Outcome;
    readonly attempts: number;
    /** The instance that answered. */
    readonly instance: string;
}

interface Attempt {
    readonly address: string;
    readonly call: CallerRequest;
    readonly attempts: number;
    /** Whether the caller can declare that the request has never been sent before. */
    readonly isFirst: boolean;
    readonly endMs: number;
}

/** Why an attempt has no answer: no connection was made, or it was lost and the request may have run. */
type Unanswered = "not-sent" | "lost";

/** Errors that arise before any byte of the request was written. */
const notSentCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

const defaultTimeoutMs = 10_000;
/** Attempts that fit into the timeout even if each of them hangs. */
const attemptsInTime = 4;
const pauseMs = 50;
const maxPauseMs = 1_000;

const realClock: Clock = {
    now: () => new Date(),
    monotonicMs: () => performance.now(),
    after: (delayMs, task) => {
        const timer = setTimeout(task, delayMs);
        return { cancel: () => clearTimeout(timer) };
    },
};

/**
 * Calls the fleet: keeps the directory's answer, spreads requests over instances, retries where the outcome allows it,
 * and uses the same idempotency key for each retry.
 *
 * @example
 * const client = new CallerClient({ seeds: ["10.0.0.1:8080"], key: "k1.secret" });
 * await client.call({ method: "POST", path: "/reports", body: "{}", idempotencyKey: client.newKey() });
 */
export class CallerClient {
    readonly #options: CallerClientOptions;
    readonly #clock: Clock;
    readonly #random: () => number;
    readonly #directory: Directory;
    readonly #pools = new Map<string, Pool>();

    constructor(options: CallerClientOptions) {
        this.#options = options;
        this.#clock = options.clock ?? realClock;
        this.#random = options.random ?? Math.random;
        this.#directory = new Directory({
            clock: this.#clock,
            random: this.#random,
            seeds: options.seeds,
            ...(options.zone === undefined ? {} : { zone: options.zone }),
        });
    }

    /** A new idempotency key from the fleet's time. Keep it with the request until its outcome is known. */
    newIdempotencyKey(): string {
        return uuidV7(this.#directory.fleetTime(), randomBytes(10));
    }

    /**
     * Sends a request until it has an answer that a retry cannot better.
     *
     * @throws CallerError when no instance answered within the timeout.
     */
    async call(call: CallerRequest): Promise<CallerResult> {
        const endMs = this.#clock.monotonicMs() + (this.#options.timeoutMs ?? defaultTimeoutMs);
        const tried: string[] = [];
        let last: CallerResult | undefined;
        // False while every attempt so far was answered with "not run": none of them can run any more.
        let mayHaveRun = false;
        for (let attempts = 1;; attempts++) {
            const address = await this.#directory.pick(tried);
            const result: CallerResult | Unanswered = address === undefined
                ? "not-sent"
                : await this.#attempt({ address, call, attempts, isFirst: !mayHaveRun, endMs });
            if (result === "lost" && !isRepeatable(call)) {
                throw new CallerError(
                    "the connection was lost (outcome unknown); look up the effect, and send an idempotency key next time",
                );
            }
            mayHaveRun ||= result === "lost" || (typeof result === "object" && result.outcome !== "not-run");
            if (typeof result === "object" && !isWorthRetry(call, result)) {
                return overAll(result, mayHaveRun);
            }
            last = typeof result === "object" ? result : last;
            if (address !== undefined) {
                tried.push(address);
            }
            const waitMs = retryDelay(result, attempts, this.#random);
            if (this.#clock.monotonicMs() + waitMs >= endMs) {
                break;
            }
            await new Promise<void>(resolve => this.#clock.after(waitMs, resolve));
        }
        if (last !== undefined) {
            return overAll(last, mayHaveRun);
        }
        throw new CallerError(
            "no instance answered in time (outcome unknown); retry with the same idempotency key and check the seeds",
        );
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(pool => pool.destroy()));
    }

    async #attempt({ address, call, attempts, isFirst, endMs }: Attempt): Promise<CallerResult | Unanswered> {
        // One attempt gets a part of the time, so that an instance that hangs does not use up all of it.
        const partMs = (this.#options.timeoutMs ?? defaultTimeoutMs) / attemptsInTime;
        const leftMs = Math.max(1, Math.floor(Math.min(partMs, endMs - this.#clock.monotonicMs())));
        try {
            const response = await this.#pool(address).request({
                method: call.method as Dispatcher.HttpMethod,
                path: call.path,
                headers: {
                    ...call.headers,
                    "authorization": `Bearer ${this.#options.key}`,
                    "sniperoad-attempt": isFirst ? "1" : String(Math.max(2, attempts)),
                    "sniperoad-deadline-ms": String(leftMs),
                    ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
                },
                body: call.body ?? null,
                signal: AbortSignal.timeout(leftMs),
            });
            const body = Buffer.from(await response.body.arrayBuffer());
            if (response.headers["connection"] === "close") {
                this.#forget(address);
            }
            const outcome = String(response.headers["sniperoad-outcome"] ?? "unknown") as Outcome;
            return {
                status: response.statusCode,
                headers: response.headers,
                body,
                outcome,
                attempts,
                instance: address,
            };
        }
        catch (error) {
            this.#forget(address);
            return notSentCodes.has(String((error as { code?: unknown; }).code)) ? "not-sent" : "lost";
        }
    }

    #pool(address: string): Pool {
        const open = this.#pools.get(address) ?? new Pool(`http://${address}`, {
            connections: 64,
            connect: { timeout: 500 },
            keepAliveTimeout: 4_000,
        });
        this.#pools.set(address, open);
        return open;
    }

    /** The instance failed or is leaving: later requests go elsewhere, those under way finish. */
    #forget(address: string): void {
        this.#directory.avoid(address);
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        pool?.close().catch(() => {});
    }
}

const idempotentMethods = new Set(["GET", "HEAD", "PUT", "DELETE"]);
/** Refusals that a retry at another instance, or a little later, may turn into an answer. */
const retryStatuses = new Set([409, 429, 502, 503, 504]);

/** "Not run" speaks of one attempt; it holds for the request only if no other attempt may have run. */
const overAll = (result: CallerResult, mayHaveRun: boolean): CallerResult =>
    result.outcome === "not-run" && mayHaveRun ? { ...result, outcome: "unknown" } : result;

const isWorthRetry = (call: CallerRequest, result: CallerResult): boolean => {
    if (!retryStatuses.has(result.status) || result.outcome === "ran") {
        return false;
    }
    const isProblem = String(result.headers["content-type"] ?? "").startsWith("application/problem+json");
    // An unknown outcome stays unknown under the same key.
    if (!isProblem || problemOf(result.body).type?.endsWith("/outcome-unknown") === true) {
        return false;
    }
    // A retry under the same key is safe whatever the outcome; without one it must be idempotent or not have run.
    return isRepeatable(call) || result.outcome === "not-run";
};

/** Whether the request may be sent again although an earlier attempt may have run. */
const isRepeatable = (call: CallerRequest): boolean =>
    call.idempotencyKey !== undefined || idempotentMethods.has(call.method);

const retryDelay = (result: CallerResult | Unanswered, attempts: number, random: () => number): number => {
    const backoffMs = Math.min(maxPauseMs, pauseMs * 2 ** (attempts - 1));
    const askedMs = typeof result === "object" && result.status === 429 ? problemOf(result.body).retryAfterMs ?? 0 : 0;
    return Math.max(askedMs, backoffMs * (0.5 + random() / 2));
};

interface Problem {
    readonly type?: string;
    readonly retryAfterMs?: number;
}

const problemOf = (body: Buffer): Problem => {
    try {
        return JSON.parse(body.toString("utf8")) as Problem;
    }
    catch {
        return {};
    }
};
