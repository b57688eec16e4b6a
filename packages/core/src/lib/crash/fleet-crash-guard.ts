/** Stops requests that crash each upstream that runs them, over the whole fleet. */
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

/** What the guard needs of the instance. */
export type CrashGuardContext = Pick<InstanceContext, "clock" | "sha256" | "peers" | "membership" | "log" | "metrics">;

const permitTimeoutMs = 200;
const syncTimeoutMs = 500;
/** Peers that an instance asks at its start. */
const syncPeers = 3;
/** Time after a deadline at which a permit that was not given back ends. */
const permitSlackMs = 200;

/**
 * Crash guard of one instance. Suspicion is spread to all instances as soon as it arises, so it outlives the instance
 * that saw the crash.
 *
 * @example
 * const guard = new FleetCrashGuard(context);
 * guard.check(request).kind; // "clear" until an upstream crashes while it runs the request
 */
export class FleetCrashGuard implements CrashGuard {
    readonly #context: CrashGuardContext;
    readonly #table: SuspicionTable;
    readonly #home: PermitIssuer;
    /** Fingerprints are hashed once for each request. */
    readonly #fingerprints = new WeakMap<RoutedRequest, Fingerprint>();
    readonly #permits = new WeakMap<RoutedRequest, PermitRequest>();

    constructor(context: CrashGuardContext) {
        this.#context = context;
        this.#table = new SuspicionTable(context.clock);
        this.#home = new PermitIssuer(context.clock, context.membership);
        const { peers } = context;
        peers.handle(suspectMethod, (_from, { suspicions }) => this.#learn(suspicions));
        peers.handle(clearMethod, (_from, { fingerprint }) => {
            this.#table.clear(fingerprint);
        });
        peers.handle(permitMethod, (_from, request) => ({ isGranted: this.#home.acquire(request) }));
        peers.handle(releasePermitMethod, (_from, request) => this.#home.release(request));
        peers.handle(syncMethod, () => ({ suspicions: this.#table.all() }));
    }

    /** Takes over what a few peers know; call it when the instance has joined. */
    async synchronise(): Promise<void> {
        const peers = this.#others().slice(0, syncPeers);
        await Promise.all(peers.map(async peer => {
            try {
                this.#learn((await this.#context.peers.call(peer, syncMethod, {}, syncTimeoutMs)).suspicions);
            }
            catch {
                // Another of the peers may answer; suspicion that arises later is spread anyway.
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
        const wanted: PermitRequest = {
            service: request.route.service,
            upstream: upstream.id,
            fingerprint: this.fingerprint(request),
            holdMs: Math.max(0, request.deadlineMs - clock.monotonicMs()) + permitSlackMs,
        };
        const home = membership.coordinatorOf(permitCoordinatorKey(wanted.service));
        if (home === undefined) {
            return false;
        }
        const isGranted = home === membership.self
            ? this.#home.acquire(wanted)
            : await peers.call(home, permitMethod, wanted, permitTimeoutMs).then(reply => reply.isGranted, () => false);
        if (isGranted) {
            this.#permits.set(request, wanted);
        }
        return isGranted;
    }

    recordResult(request: RoutedRequest, upstream: Upstream, result: UpstreamResult): void {
        const fingerprint = this.fingerprint(request);
        if ((result.kind === "reset" || result.kind === "truncated") && result.isCrash === true) {
            this.#suspect(request, fingerprint, upstream);
        }
        else if (result.kind === "answer" && this.#table.clear(fingerprint)) {
            this.#others().forEach(peer => this.#context.peers.notify(peer, clearMethod, { fingerprint }));
        }
        this.#givePermitBack(request);
    }

    /** An operator's override; false if no such request is quarantined. */
    lift(fingerprint: string): boolean {
        const known = fingerprint as Fingerprint;
        const isLifted = this.#table.lift(known);
        if (isLifted) {
            this.#context.log.event("quarantine-lifted", { fingerprint });
            this.#spread(known);
        }
        return isLifted;
    }

    #suspect(request: RoutedRequest, fingerprint: Fingerprint, upstream: Upstream): void {
        const { log, metrics } = this.#context;
        if (!this.#table.add(fingerprint, upstream.id)) {
            return;
        }
        const state = this.#table.state(fingerprint).kind;
        log.event("crash-suspect", { request: request.id, fingerprint, upstream: upstream.id, state });
        metrics.increment("sniperoad.crash.suspects", { state });
        this.#spread(fingerprint);
    }

    #spread(fingerprint: Fingerprint): void {
        const suspicion = this.#table.get(fingerprint);
        if (suspicion !== undefined) {
            this.#others().forEach(peer =>
                this.#context.peers.notify(peer, suspectMethod, { suspicions: [suspicion] })
            );
        }
    }

    #learn(suspicions: readonly Suspicion[]): void {
        suspicions.forEach(suspicion => this.#table.merge(suspicion));
    }

    #givePermitBack(request: RoutedRequest): void {
        const permit = this.#permits.get(request);
        if (permit === undefined) {
            return;
        }
        this.#permits.delete(request);
        const { membership, peers } = this.#context;
        const home = membership.coordinatorOf(permitCoordinatorKey(permit.service));
        if (home === membership.self) {
            this.#home.release(permit);
        }
        else if (home !== undefined) {
            peers.notify(home, releasePermitMethod, permit);
        }
    }

    #others(): InstanceId[] {
        const { membership } = this.#context;
        return membership.liveInstances().map(instance => instance.id).filter(other => other !== membership.self);
    }

    /** The fingerprint of a request, as log lines and the operator's override name it. */
    fingerprint(request: RoutedRequest): Fingerprint {
        const known = this.#fingerprints.get(request);
        if (known !== undefined) {
            return known;
        }
        const fingerprint = fingerprintOf(request, this.#context.sha256);
        this.#fingerprints.set(request, fingerprint);
        return fingerprint;
    }
}
