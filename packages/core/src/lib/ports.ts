/** Ports: the interfaces between the decision logic and the outside world. Adapters and fakes implement them. */
import type { ZodType } from "zod";
import type { HttpResponse, InstanceId, InstanceInfo, RequestId, Upstream } from "./types.js";

/** A task scheduled with {@link Clock.after}. */
export interface Timer {
    cancel(): void;
}

/** Source of time. Everything that measures time or waits takes a clock, so that tests can pass a virtual one. */
export interface Clock {
    /** Wall-clock time. Use it only for values that leave the process or are compared between processes. */
    now(): Date;
    /**
     * Milliseconds that never decrease and that advance while the process is stopped. Use it for leases and timeouts.
     */
    monotonicMs(): number;
    /** Schedules a task to run once after a delay. */
    after(delayMs: number, task: () => void): Timer;
}

/** Returns a uniformly distributed number in [0, 1). */
export type Random = () => number;

/** Computes the SHA-256 of a string or of bytes, as lower-case hex. */
export type Sha256 = (data: string | Uint8Array) => string;

/** A message type between instances. Both ends validate bodies against its schemas. */
export interface PeerMethod<Request, Reply> {
    readonly name: string;
    readonly request: ZodType<Request>;
    readonly reply: ZodType<Reply>;
}

/** Messaging between instances. */
export interface PeerPort {
    /**
     * Sends a request and waits for the reply. The request may take effect even if the reply is lost.
     *
     * @throws PeerUnavailableError when no valid reply arrives within `timeoutMs`.
     */
    call<Request, Reply>(
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply>;
    /** Sends a message without a reply; it may be lost. */
    notify<Request>(to: InstanceId, method: PeerMethod<Request, void>, body: Request): void;
    /** Registers the handler of a method. Each method has one handler. */
    handle<Request, Reply>(
        method: PeerMethod<Request, Reply>,
        handler: (from: InstanceId, body: Request) => Reply | Promise<Reply>,
    ): void;
    /** Sets the address at which an instance listens for messages. */
    setAddress(instance: InstanceId, peerAddress: string): void;
}

/** A platform object with its version. Versions start at 1 and increase with each write. */
export interface PlatformObject {
    readonly version: number;
    readonly value: unknown;
}

/** Result of a conditional write. */
export type PutResult =
    | { readonly kind: "stored"; readonly version: number; }
    | { readonly kind: "conflict"; readonly version: number; };

/**
 * The platform's object API. Each call may fail with `PlatformUnavailableError`; a write may have taken effect
 * nevertheless.
 */
export interface PlatformPort {
    /** Reads the newest version of an object; undefined if the object does not exist. */
    get(name: string): Promise<PlatformObject | undefined>;
    /** Writes the object if its version is still `expectedVersion`; 0 means that the object does not exist. */
    put(name: string, value: unknown, expectedVersion: number): Promise<PutResult>;
    /** Waits for a version above `afterVersion`; undefined on timeout. The returned version may be stale. */
    watch(name: string, afterVersion: number, timeoutMs: number): Promise<PlatformObject | undefined>;
}

/** The content of the platform's instance list, which may be out of date. */
export interface InstanceListing {
    readonly instances: readonly InstanceInfo[];
    readonly upstreams: readonly Upstream[];
}

/** Access to the platform's list of live and leaving instances and upstreams. */
export interface InstanceListPort {
    /** @throws PlatformUnavailableError */
    list(): Promise<InstanceListing>;
}

/** A request to an upstream, without the caller's key. */
export interface UpstreamRequest {
    readonly id: RequestId;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

/**
 * Result of one dispatch. With `refused` and `shed` the request did not run; with every other kind it may have run.
 */
export type UpstreamResult =
    | { readonly kind: "answer"; readonly answer: HttpResponse; readonly draining: boolean; }
    | { readonly kind: "refused"; }
    | { readonly kind: "shed"; readonly retryAfterMs: number; readonly draining: boolean; }
    /** `isCrash`: the upstream refused connections immediately afterwards, so its process has ended. */
    | { readonly kind: "reset"; readonly isCrash?: boolean; }
    | { readonly kind: "truncated"; readonly isCrash?: boolean; }
    /** The response echoes the id of another request. */
    | { readonly kind: "crossed"; }
    /** The response exceeds the adapter's size limit. */
    | { readonly kind: "oversize"; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "cancelled"; };

/** Dispatches requests to upstreams. `send` never rejects: every failure is a kind of result. */
export interface UpstreamPort {
    send(upstream: Upstream, request: UpstreamRequest): Promise<UpstreamResult>;
}

/** A field value in a log line. */
export type LogValue = string | number | boolean | undefined;

/** Structured log. Each event is one line of key=value pairs. */
export interface LogPort {
    event(name: string, fields: Readonly<Record<string, LogValue>>): void;
}

/** Metrics. The names are listed in `docs/metrics.md`. */
export interface MetricsPort {
    increment(name: string, tags?: Readonly<Record<string, string>>): void;
    timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
    gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
}
