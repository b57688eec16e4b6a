/** Stops requests that crash the upstreams that run them, across the whole fleet. */
import type { InstanceContext } from "../context.js";
import type { UpstreamResult } from "../ports.js";
import type { CrashDecision, CrashGuard, RoutedRequest } from "../stages.js";
import type { InstanceId, Upstream } from "../types.js";
import { fingerprintOf } from "./fingerprint.js";
import type { Fingerprint } from "./fingerprint.js";
import { clearMethod, permitMethod, releasePermitMethod, suspectMethod, syncMethod } from "./messages.js";
import type { Suspicion } from "./messages.js";
import { permitCoordinatorKey, PermitIssuer } from "./permit-issuer.js";
import type { PermitRequest } from "./permit-issuer.js";
import { SuspicionTable } from "./suspicion-table.js";

/** Dependencies of {@link FleetCrashGuard}. */
export type CrashGuardContext = Pick<InstanceContext, "clock" | "sha256" | "peers" | "membership" | "log" | "metrics">;

const permitTimeoutMs = 200;
const syncTimeoutMs = 500;
/** Maximum number of peers that an instance synchronises from at its start. */
const maxSyncPeers = 3;
/** Time after the deadline of a request at which its permit expires if it was not released. */
const permitMarginMs = 200;

/**
 * Crash guard of one instance. Each suspicion is broadcast to all instances at once, so that it survives the loss of
 * the instance that observed the crash.
 *
 * @example
 * const guard = new FleetCrashGuard(context);
 * guard.check(request).kind; // "clear" until an upstream crashes while it runs the request
 */
export class FleetCrashGuard implements CrashGuard {
    readonly #context: CrashGuardContext;
    readonly #table: SuspicionTable;
    readonly #permitIssuer: PermitIssuer;
    /** Fingerprints of the requests that are being handled, so that each request is hashed only once. */
    readonly #fingerprintCache = new WeakMap<RoutedRequest, Fingerprint>();
    readonly #heldPermits = new WeakMap<RoutedRequest, PermitRequest>();

    constructor(context: CrashGuardContext) {
        this.#context = context;
        this.#table = new SuspicionTable(context.clock);
        this.#permitIssuer = new PermitIssuer(context.clock, context.membership);
        const { peers } = context;
        peers.handle(suspectMethod, (_from, { suspicions }) => this.#merge(suspicions));
        peers.handle(clearMethod, (_from, { fingerprint }) => {
            this.#table.clear(fingerprint);
        });
        peers.handle(permitMethod, (_from, request) => ({ isGranted: this.#permitIssuer.acquire(request) }));
        peers.handle(releasePermitMethod, (_from, request) => this.#permitIssuer.release(request));
        peers.handle(syncMethod, () => ({ suspicions: this.#table.all() }));
    }

    /** Merges the suspicions of a few peers; call it when the instance has joined. */
    async synchronise(): Promise<void> {
        const peers = this.#otherInstances().slice(0, maxSyncPeers);
        await Promise.all(peers.map(async peer => {
            try {
                this.#merge((await this.#context.peers.call(peer, syncMethod, {}, syncTimeoutMs)).suspicions);
            }
            catch {
                // Ignored: other peers may reply, and later suspicions are broadcast to this instance in any case.
            }
        }));
    }

    check(request: RoutedRequest): CrashDecision {
        const fingerprint = this.fingerprint(request);
        const state = this.#table.state(fingerprint);
        return state.kind === "quarantined" ? { kind: "quarantined", retryAfterMs: state.leftMs, fingerprint } : state;
    }

    async acquirePermit(request: RoutedRequest, upstream: Upstream): Promise<boolean> {
        const { clock, peers, membership } = this.#context;
        const permitRequest: PermitRequest = {
            service: request.route.service,
            upstream: upstream.id,
            fingerprint: this.fingerprint(request),
            holdMs: Math.max(0, request.deadlineMs - clock.monotonicMs()) + permitMarginMs,
        };
        const coordinator = membership.coordinatorOf(permitCoordinatorKey(permitRequest.service));
        if (coordinator === undefined) {
            return false;
        }
        const isGranted = coordinator === membership.self
            ? this.#permitIssuer.acquire(permitRequest)
            : await peers.call(coordinator, permitMethod, permitRequest, permitTimeoutMs).then(
                reply => reply.isGranted,
                () => false,
            );
        if (isGranted) {
            this.#heldPermits.set(request, permitRequest);
        }
        return isGranted;
    }

    recordResult(request: RoutedRequest, upstream: Upstream, result: UpstreamResult): void {
        const fingerprint = this.fingerprint(request);
        if ((result.kind === "reset" || result.kind === "truncated") && result.isCrash === true) {
            this.#recordCrash(request, fingerprint, upstream);
        }
        else if (result.kind === "answer" && this.#table.clear(fingerprint)) {
            this.#otherInstances().forEach(peer => this.#context.peers.notify(peer, clearMethod, { fingerprint }));
        }
        this.#releasePermit(request);
    }

    /** Lifts a quarantine for an operator. Returns false if no request with this fingerprint is quarantined. */
    lift(fingerprint: string): boolean {
        const known = fingerprint as Fingerprint;
        const isLifted = this.#table.lift(known);
        if (isLifted) {
            this.#context.log.event("quarantine-lifted", { fingerprint });
            this.#broadcast(known);
        }
        return isLifted;
    }

    #recordCrash(request: RoutedRequest, fingerprint: Fingerprint, upstream: Upstream): void {
        const { log, metrics } = this.#context;
        if (!this.#table.add(fingerprint, upstream.id)) {
            return;
        }
        const state = this.#table.state(fingerprint).kind;
        log.event("crash-suspect", { request: request.id, fingerprint, upstream: upstream.id, state });
        metrics.increment("sniperoad.crash.suspects", { state });
        this.#broadcast(fingerprint);
    }

    #broadcast(fingerprint: Fingerprint): void {
        const suspicion = this.#table.get(fingerprint);
        if (suspicion !== undefined) {
            this.#otherInstances().forEach(peer =>
                this.#context.peers.notify(peer, suspectMethod, { suspicions: [suspicion] })
            );
        }
    }

    #merge(suspicions: readonly Suspicion[]): void {
        suspicions.forEach(suspicion => this.#table.merge(suspicion));
    }

    #releasePermit(request: RoutedRequest): void {
        const permit = this.#heldPermits.get(request);
        if (permit === undefined) {
            return;
        }
        this.#heldPermits.delete(request);
        const { membership, peers } = this.#context;
        const coordinator = membership.coordinatorOf(permitCoordinatorKey(permit.service));
        if (coordinator === membership.self) {
            this.#permitIssuer.release(permit);
        }
        else if (coordinator !== undefined) {
            peers.notify(coordinator, releasePermitMethod, permit);
        }
    }

    #otherInstances(): InstanceId[] {
        const { membership } = this.#context;
        return membership.liveInstances().map(instance => instance.id).filter(other => other !== membership.self);
    }

    /** The fingerprint of a request, as used in log lines and by operators to lift a quarantine. */
    fingerprint(request: RoutedRequest): Fingerprint {
        const cached = this.#fingerprintCache.get(request);
        if (cached !== undefined) {
            return cached;
        }
        const fingerprint = fingerprintOf(request, this.#context.sha256);
        this.#fingerprintCache.set(request, fingerprint);
        return fingerprint;
    }
}
