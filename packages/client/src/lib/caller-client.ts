/** A small client for callers of the fleet. */
import { SniperoadError } from "@sniperoad/core";
import type { Clock, Outcome } from "@sniperoad/core";
import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { Directory } from "./directory.js";
import { uuidV7 } from "./idempotency-key.js";

/** The request could not be completed; the message states whether it may have run. */
export const CallerError = SniperoadError.subclass("CallerError");

/** Options of a {@link CallerClient}. */
export interface CallerClientOptions {
    /** `host:port` of a few instances to contact first. */
    readonly seeds: readonly string[];
    /** The organisation's key, `<keyId>.<secret>`. */
    readonly key: string;
    readonly zone?: string;
    /** Maximum time of a request with all its retries; 10 s by default. */
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
    /** Makes retries of a non-idempotent request safe; created by {@link CallerClient.newKey}. */
    readonly idempotencyKey?: string;
}

/** A response, with its outcome. */
export interface CallerResult {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly outcome: Outcome;
    readonly attempts: number;
    /** Address of the instance that responded. */
    readonly instance: string;
}

interface Attempt {
    readonly address: string;
    readonly call: CallerRequest;
    readonly attempts: number;
    /** Whether no earlier attempt of the request may have run. */
    readonly isFirst: boolean;
    readonly endMs: number;
}

/** Why an attempt has no response: not connected, or the connection was lost and the request may have run. */
type NoResponse = "not-sent" | "lost";

/** Errors that occur before any byte of the request is written. */
const notSentCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

const defaultTimeoutMs = 10_000;
/** Attempts that fit into the timeout even if none of them gets a response. */
const attemptsPerTimeout = 4;
const initialBackoffMs = 50;
const maxBackoffMs = 1_000;

const systemClock: Clock = {
    now: () => new Date(),
    monotonicMs: () => performance.now(),
    after: (delayMs, task) => {
        const timer = setTimeout(task, delayMs);
        return { cancel: () => clearTimeout(timer) };
    },
};

/**
 * Sends requests to the fleet: caches the directory, distributes requests over instances, retries where the outcome
 * allows it, and uses the same idempotency key for each retry.
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
        this.#clock = options.clock ?? systemClock;
        this.#random = options.random ?? Math.random;
        this.#directory = new Directory({
            clock: this.#clock,
            random: this.#random,
            seeds: options.seeds,
            ...(options.zone === undefined ? {} : { zone: options.zone }),
        });
    }

    /** Creates an idempotency key from the fleet's time. Keep it with the request until its outcome is known. */
    newKey(): string {
        return uuidV7(this.#directory.fleetTime(), randomBytes(10));
    }

    /**
     * Sends a request until it has a response that a retry cannot improve.
     *
     * @throws CallerError when no instance responded within the timeout, or when the connection of a request that must
     * not be repeated was lost
     */
    async call(call: CallerRequest): Promise<CallerResult> {
        const endMs = this.#clock.monotonicMs() + (this.#options.timeoutMs ?? defaultTimeoutMs);
        const tried: string[] = [];
        let last: CallerResult | undefined;
        // False while each attempt so far was not sent, or has the outcome "not run" and cannot run any more.
        let mayHaveRun = false;
        for (let attempts = 1;; attempts++) {
            const address = await this.#directory.pick(tried);
            const result: CallerResult | NoResponse = address === undefined
                ? "not-sent"
                : await this.#attempt({ address, call, attempts, isFirst: !mayHaveRun, endMs });
            if (result === "lost" && !isRepeatable(call)) {
                throw new CallerError(
                    "connection lost (outcome unknown); check the effect, and send an idempotency key next time",
                );
            }
            mayHaveRun ||= result === "lost" || (typeof result === "object" && result.outcome !== "not-run");
            if (typeof result === "object" && !shouldRetry(call, result)) {
                return overallResult(result, mayHaveRun);
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
            return overallResult(last, mayHaveRun);
        }
        throw new CallerError(
            "no instance responded in time (outcome unknown); retry with the same idempotency key and check the seeds",
        );
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(pool => pool.destroy()));
    }

    async #attempt({ address, call, attempts, isFirst, endMs }: Attempt): Promise<CallerResult | NoResponse> {
        // Each attempt gets a part of the timeout, so that an unresponsive instance does not use up all of it.
        const attemptTimeoutMs = (this.#options.timeoutMs ?? defaultTimeoutMs) / attemptsPerTimeout;
        const remainingMs = Math.max(1, Math.floor(Math.min(attemptTimeoutMs, endMs - this.#clock.monotonicMs())));
        try {
            const response = await this.#pool(address).request({
                method: call.method as Dispatcher.HttpMethod,
                path: call.path,
                headers: {
                    ...call.headers,
                    "authorization": `Bearer ${this.#options.key}`,
                    "sniperoad-attempt": isFirst ? "1" : String(Math.max(2, attempts)),
                    "sniperoad-deadline-ms": String(remainingMs),
                    ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
                },
                body: call.body ?? null,
                signal: AbortSignal.timeout(remainingMs),
            });
            const body = Buffer.from(await response.body.arrayBuffer());
            if (response.headers["connection"] === "close") {
                this.#stopUsing(address);
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
            this.#stopUsing(address);
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

    /** Stops using an instance that failed or is leaving; requests in flight finish. */
    #stopUsing(address: string): void {
        this.#directory.avoid(address);
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        pool?.close().catch(() => {});
    }
}

const idempotentMethods = new Set(["GET", "HEAD", "PUT", "DELETE"]);
/** Status codes for which a retry at another instance, or a little later, may succeed. */
const retryStatuses = new Set([409, 429, 502, 503, 504]);

/** "Not run" applies to one attempt; it applies to the request only if no other attempt may have run. */
const overallResult = (result: CallerResult, mayHaveRun: boolean): CallerResult =>
    result.outcome === "not-run" && mayHaveRun ? { ...result, outcome: "unknown" } : result;

const shouldRetry = (call: CallerRequest, result: CallerResult): boolean => {
    if (!retryStatuses.has(result.status) || result.outcome === "ran") {
        return false;
    }
    const isProblem = String(result.headers["content-type"] ?? "").startsWith("application/problem+json");
    // An unknown outcome remains unknown with the same key.
    if (!isProblem || problemOf(result.body).type?.endsWith("/outcome-unknown") === true) {
        return false;
    }
    // With an idempotency key a retry is always safe; without one the request must be idempotent or not have run.
    return isRepeatable(call) || result.outcome === "not-run";
};

/** Whether the request may be sent again although an earlier attempt may have run. */
const isRepeatable = (call: CallerRequest): boolean =>
    call.idempotencyKey !== undefined || idempotentMethods.has(call.method);

const retryDelay = (result: CallerResult | NoResponse, attempts: number, random: () => number): number => {
    const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (attempts - 1));
    const requestedMs = typeof result === "object" && result.status === 429
        ? problemOf(result.body).retryAfterMs ?? 0
        : 0;
    return Math.max(requestedMs, backoffMs * (0.5 + random() / 2));
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
