/** Ports: the interfaces through which decisions meet the outside. Adapters and fakes implement them. */
import type { ZodType } from "zod";
import type { HttpResponse, InstanceId, InstanceInfo, RequestId, Upstream } from "./types.js";

/** A pending call of {@link Clock.after}. */
export interface Timer {
    cancel(): void;
}

/** Time. Pass it to everything that measures or waits; tests pass a virtual one. */
export interface Clock {
    /** Wall time; use it only for what leaves the process or is compared between processes. */
    now(): Date;
    /** Milliseconds that never step back and go on while the process is stopped; use it for leases and timeouts. */
    monotonicMs(): number;
    /** Runs a task once after a delay. */
    after(delayMs: number, task: () => void): Timer;
}

/** Uniform number in [0, 1). */
export type Random = () => number;

/** SHA-256 of a text or of bytes, as lower-case hex. */
export type Sha256 = (data: string | Uint8Array) => string;

/** A message type between instances. Both ends check bodies against its schemas. */
export interface PeerMethod<Request, Reply> {
    readonly name: string;
    readonly request: ZodType<Request>;
    readonly reply: ZodType<Reply>;
}

/** Messages between instances. */
export interface PeerPort {
    /**
     * Sends a request and waits for the reply. The request may take effect although the reply is lost.
     *
     * @throws PeerUnavailableError when no valid reply arrives within `timeoutMs`.
     */
    call<Request, Reply>(
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply>;
    /** Sends a message and expects no reply; it may be lost. */
    notify<Request>(to: InstanceId, method: PeerMethod<Request, void>, body: Request): void;
    /** Registers the handler of a method. One handler for each method. */
    handle<Request, Reply>(
        method: PeerMethod<Request, Reply>,
        handler: (from: InstanceId, body: Request) => Reply | Promise<Reply>,
    ): void;
    /** Tells where an instance listens, so that messages can reach it. */
    setAddress(instance: InstanceId, peerAddress: string): void;
}

/** An object of the platform with its version; versions rise with each write, from 1. */
export interface PlatformObject {
    readonly version: number;
    readonly value: unknown;
}

/** Result of a conditional write. */
export type PutResult =
    | { readonly kind: "stored"; readonly version: number; }
    | { readonly kind: "conflict"; readonly version: number; };

/**
 * The platform's object API. Each call may fail with `PlatformUnavailableError`; a write that failed so may have taken
 * effect.
 */
export interface PlatformPort {
    get(name: string): Promise<PlatformObject | undefined>;
    /** Writes if the object's version is still `expectedVersion` (0: the object does not exist). */
    put(name: string, value: unknown, expectedVersion: number): Promise<PutResult>;
    /** Waits for a version above `afterVersion`; undefined when `timeoutMs` passes first. Events may be stale. */
    watch(name: string, afterVersion: number, timeoutMs: number): Promise<PlatformObject | undefined>;
}

/** What the platform's instance list holds. It lags. */
export interface InstanceListing {
    readonly instances: readonly InstanceInfo[];
    readonly upstreams: readonly Upstream[];
}

/** The platform's list of live and leaving instances and upstreams. */
export interface InstanceListPort {
    /** @throws PlatformUnavailableError */
    list(): Promise<InstanceListing>;
}

/** A request as it goes to an upstream: without the caller's key. */
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
 * What became of one dispatch.
 * `refused` and `shed` state that the request did not run; after every other kind it may have run.
 */
export type UpstreamResult =
    | { readonly kind: "answer"; readonly answer: HttpResponse; readonly draining: boolean; }
    | { readonly kind: "refused"; }
    | { readonly kind: "shed"; readonly retryAfterMs: number; readonly draining: boolean; }
    /** `isCrash`: the upstream refused connections right afterwards, so its process has ended. */
    | { readonly kind: "reset"; readonly isCrash?: boolean; }
    | { readonly kind: "truncated"; readonly isCrash?: boolean; }
    | { readonly kind: "crossed"; }
    | { readonly kind: "oversize"; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "cancelled"; };

/** Dispatches requests to upstreams. It never rejects: every failure is a kind of result. */
export interface UpstreamPort {
    send(upstream: Upstream, request: UpstreamRequest): Promise<UpstreamResult>;
}

/** A value that a log line can hold. */
export type LogValue = string | number | boolean | undefined;

/** Structured log: one event is one line of key=value pairs. */
export interface LogPort {
    event(name: string, fields: Readonly<Record<string, LogValue>>): void;
}

/** Metrics, by documented names. */
export interface MetricsPort {
    increment(name: string, tags?: Readonly<Record<string, string>>): void;
    timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
    gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
}
