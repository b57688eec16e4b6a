/** Upstreams that have not warmed up, and how many requests they tolerate. */
import { hash32 } from "@sniperoad/core";
import type { Clock, LogPort, ServiceId, UpstreamId, ZoneId } from "@sniperoad/core";
import type { GatewayService, ListedUpstream } from "../model.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import type { UpstreamOutages } from "./upstream-outages.js";
import type { WarmupPermits } from "./warmup-permits.js";

/**
 * Time for which an instance sends nothing to an upstream that has just turned cold. Other instances may learn of it up to
 * 0.9 s later and send at the usual rate until then, and no second may contain these requests and those of permits.
 */
const holdMs = 1_900;
/** The same after the start of the process, which may not know the other instances of its zone yet. */
const startHoldMs = 2_000;
/** Added to the warm-up time after an outage, as the new process reports itself up to that much later. */
const outageMarginMs = 3_000;
/** Time after a warm-up in which the instances return to the usual selection one after the other. */
const rampMs = 2_000;

/** Why an upstream counts as cold. */
export type ColdReason = "warming up" | "zone evacuation ended" | "outage";

/** A cold upstream. */
export interface ColdUpstream {
    /** Monotonic time until which this instance sends it nothing. */
    readonly heldUntilMs: number;
    /** Monotonic time at which its warm-up ends; the ramp follows. */
    readonly warmupEndMs: number;
    /** Requests per second that it tolerates from all instances together. */
    readonly toleratedPerSecond: number;
    /** Permits of this instance; each allows one request in any second. */
    readonly permits: number;
    /** Permits of all instances. */
    readonly fleetPermits: number;
    /** See `PermitShare`. */
    readonly weight: number;
}

interface Cause {
    readonly reason: ColdReason;
    readonly endMs: number;
}

interface Phase {
    readonly kind: "warm" | "cold" | "ramp";
    /** Why it began, for a cold phase. */
    readonly reason: ColdReason | undefined;
    /** Monotonic time at which it began. */
    readonly sinceMs: number;
    readonly heldUntilMs: number;
    /** Monotonic time at which it ends. */
    readonly endMs: number;
}

/** Options of {@link ColdUpstreams}. */
export interface ColdUpstreamsOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    /** Distinguishes this instance from the others. */
    readonly ownAddress: string;
    readonly serviceOf: (service: ServiceId) => GatewayService | undefined;
    readonly outages: Pick<UpstreamOutages, "endMs">;
    readonly permits: Pick<WarmupPermits, "shareOf">;
    /** Monotonic time at which this instance saw the last evacuation of a zone end; undefined: there was none. */
    readonly zoneEvacuationEndedMs: (zone: ZoneId) => number | undefined;
    /** Bound of the requests of a second relative to the tolerated rate, and in addition to it. */
    readonly bound: () => { readonly overage: number; readonly slack: number; };
}

/**
 * An upstream is cold while its warm-up lasts according to its entry, for the warm-up time after an evacuation of its zone,
 * and from the first refused connection until the warm-up time and some margin after its return. Only services that
 * declare what their cold upstreams tolerate have cold upstreams.
 *
 * @example
 * cold.of(known)?.permits; // 0 at most instances
 */
export class ColdUpstreams {
    readonly #options: ColdUpstreamsOptions;
    readonly #startedMs: number;
    readonly #phases = new Map<UpstreamId, Phase>();

    constructor(options: ColdUpstreamsOptions) {
        this.#options = options;
        this.#startedMs = options.clock.monotonicMs();
    }

    /** Number of upstreams that this instance treats as cold. */
    get count(): number {
        return [...this.#phases.values()].filter(({ kind }) => kind !== "warm").length;
    }

    /** Considers upstreams that get no request at present; call it periodically. */
    review(upstreams: readonly KnownUpstream[]): void {
        upstreams.forEach(upstream => this.of(upstream));
    }

    /** Returns undefined if the upstream is warm, or if its service sets no limit for cold ones. */
    of({ listed, warmupEndMs }: KnownUpstream): ColdUpstream | undefined {
        const { permits, bound, serviceOf } = this.#options;
        const service = serviceOf(listed.service);
        const toleratedPerSecond = service?.warmupRequestsPerSecond;
        if (service === undefined || toleratedPerSecond === undefined) {
            this.#phases.delete(listed.id);
            return undefined;
        }
        const cause = this.#causeOf(listed, warmupEndMs, service.warmupMs);
        const phase = this.#advance(listed, cause);
        if (phase.kind === "warm") {
            return undefined;
        }
        const { overage, slack } = bound();
        // An upstream that got nothing at all would stay unused for its whole warm-up.
        const fleetPermits = Math.max(1, Math.floor(toleratedPerSecond * overage + slack));
        const { own, weight } = permits.shareOf(listed.id, fleetPermits);
        return {
            heldUntilMs: phase.heldUntilMs,
            warmupEndMs: phase.kind === "cold" ? phase.endMs : -Infinity,
            toleratedPerSecond,
            permits: own,
            fleetPermits,
            weight,
        };
    }

    /** Requests per second that an upstream tolerates while it is cold; undefined: it is warm, as far as is known. */
    limitOf({ id, service }: ListedUpstream): number | undefined {
        const kind = this.#phases.get(id)?.kind;
        return kind === "cold" ? this.#options.serviceOf(service)?.warmupRequestsPerSecond : undefined;
    }

    /** Whether an upstream turned cold a moment ago while it was in use; see {@link holdMs}. */
    isTurningCold(upstream: UpstreamId): boolean {
        const phase = this.#phases.get(upstream);
        const nowMs = this.#options.clock.monotonicMs();
        return phase?.kind === "cold" && phase.reason === "warming up" && nowMs < phase.heldUntilMs;
    }

    /** Whether an upstream counted as cold when it was last considered. */
    isCold(upstream: UpstreamId): boolean {
        return (this.#phases.get(upstream)?.kind ?? "warm") !== "warm";
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#phases.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#phases.delete(upstream)
        );
    }

    /** The cause that lasts longest; undefined for a warm upstream. */
    #causeOf(listed: ListedUpstream, warmupEndMs: number, warmupMs: number): Cause | undefined {
        const { clock, zoneEvacuationEndedMs, outages } = this.#options;
        const outageEndMs = outages.endMs(listed) ?? -Infinity;
        const causes: readonly Cause[] = [
            { reason: "zone evacuation ended", endMs: (zoneEvacuationEndedMs(listed.zone) ?? -Infinity) + warmupMs },
            { reason: "outage", endMs: outageEndMs + warmupMs + outageMarginMs },
            { reason: "warming up", endMs: warmupEndMs },
        ];
        const nowMs = clock.monotonicMs();
        const first = causes.find(({ endMs }) => endMs > nowMs);
        return first === undefined
            ? undefined
            : { reason: first.reason, endMs: Math.max(...causes.map(({ endMs }) => endMs)) };
    }

    #advance(listed: ListedUpstream, cause: Cause | undefined): Phase {
        const previous = this.#phases.get(listed.id);
        const phase = this.#next(listed.id, previous, cause);
        if (phase !== previous) {
            this.#phases.set(listed.id, phase);
            this.#logChange(listed.id, previous, phase, cause);
        }
        return phase;
    }

    #next(upstream: UpstreamId, previous: Phase | undefined, cause: Cause | undefined): Phase {
        const nowMs = this.#options.clock.monotonicMs();
        if (cause !== undefined && previous?.kind === "cold") {
            return previous.endMs === cause.endMs ? previous : { ...previous, endMs: cause.endMs };
        }
        if (cause !== undefined) {
            // In an evacuated zone, or before its entry, no instance has sent it anything.
            const wasUsed = previous !== undefined && cause.reason !== "zone evacuation ended";
            const heldUntilMs = Math.max(wasUsed ? nowMs + holdMs : nowMs, this.#startedMs + startHoldMs);
            return { kind: "cold", reason: cause.reason, sinceMs: nowMs, heldUntilMs, endMs: cause.endMs };
        }
        const next: Phase | undefined = previous?.kind === "cold"
            ? {
                ...previous,
                kind: "ramp",
                endMs: Math.min(nowMs, previous.endMs) + rampMs * this.#rampShare(upstream),
            }
            : previous;
        return next === undefined || next.endMs <= nowMs
            ? { kind: "warm", reason: undefined, sinceMs: nowMs, heldUntilMs: nowMs, endMs: Infinity }
            : next;
    }

    /** Part of the ramp after which this instance uses an upstream as a warm one, evenly spread over the instances. */
    #rampShare(upstream: UpstreamId): number {
        return hash32(`ramp|${upstream}|${this.#options.ownAddress}`) / 2 ** 32;
    }

    #logChange(upstream: UpstreamId, previous: Phase | undefined, phase: Phase, cause: Cause | undefined): void {
        const { log, clock } = this.#options;
        const nowMs = clock.monotonicMs();
        if (phase.kind === "cold" && previous?.kind !== "cold" && cause !== undefined) {
            log.event("upstream-cold", {
                upstream,
                reason: cause.reason,
                forMs: Number.isFinite(cause.endMs) ? Math.round(cause.endMs - nowMs) : undefined,
                heldForMs: Math.round(phase.heldUntilMs - nowMs),
            });
        }
        if (phase.kind === "warm" && previous !== undefined) {
            log.event("upstream-warm", { upstream, afterMs: Math.round(nowMs - previous.sinceMs) });
        }
    }
}
