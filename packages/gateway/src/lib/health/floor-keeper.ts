/** Keeps requests on enough upstreams of a service that has failures. */
import type { Clock, Random, ServiceId, UpstreamId } from "@sniperoad/core";
import type { OutcomeKind } from "../fleet/beat.js";
import { UsageWindow } from "../rates/usage-window.js";
import type { KnownUpstream } from "../store/held-upstreams.js";

/** Window over which failures are counted; the floor is judged over the same time. */
const failureWindowMs = 2_000;
/** Share of failures from which the floor is kept; it binds from a tenth. */
const failureShareMin = 0.07;
/** An upstream counts as used for this long. It is less than the window, since reports of other instances come late. */
const usedForMs = 1_400;
/** Added to the floor, since an upstream may leave between two requests. */
const floorMargin = 0.06;
/** Part of the requests that go to unused upstreams while the floor is not kept. All instances do the same. */
const floorRequestShare = 0.3;

interface Account {
    readonly all: UsageWindow;
    readonly failures: UsageWindow;
}

/** What {@link FloorKeeper} needs. */
export interface FloorKeeperOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Share of the upstreams of a service that must get requests while some of its requests fail. */
    readonly floorShare: () => number;
    readonly serviceOf: (upstream: UpstreamId) => ServiceId | undefined;
}

/**
 * Suspicion alone would leave few upstreams in use when many are suspects, some of them wrongly. While a service has
 * failures, part of its requests goes to the upstreams that have had none lately, the least suspect ones first.
 *
 * @example
 * const upstream = keeper.pick(candidates, gray);
 */
export class FloorKeeper {
    readonly #options: FloorKeeperOptions;
    readonly #accounts = new Map<ServiceId, Account>();
    readonly #usedMs = new Map<UpstreamId, number>();

    constructor(options: FloorKeeperOptions) {
        this.#options = options;
    }

    noteUse(upstream: UpstreamId): void {
        this.#usedMs.set(upstream, this.#options.clock.monotonicMs());
    }

    /** Takes an outcome of any instance. */
    noteOutcome(upstream: UpstreamId, kind: OutcomeKind): void {
        this.noteUse(upstream);
        const service = this.#options.serviceOf(upstream);
        if (service === undefined) {
            return;
        }
        const account = this.#accounts.get(service) ?? this.#newAccount();
        this.#accounts.set(service, account);
        account.all.add(1);
        account.failures.add(kind === "success" ? 0 : 1);
    }

    /** An upstream that must get this request for the floor; undefined if the choice is free. */
    pick(
        candidates: readonly KnownUpstream[],
        suspicion: (upstream: UpstreamId) => number,
    ): KnownUpstream | undefined {
        const account = this.#accounts.get(candidates[0]?.listed.service ?? "" as ServiceId);
        if (account === undefined || account.failures.total() < failureShareMin * account.all.total()) {
            return undefined;
        }
        const sinceMs = this.#options.clock.monotonicMs() - usedForMs;
        const unused = candidates.filter(({ listed }) => (this.#usedMs.get(listed.id) ?? -Infinity) < sinceMs);
        const wanted = Math.ceil(candidates.length * Math.min(1, this.#options.floorShare() + floorMargin));
        if (candidates.length - unused.length >= wanted || this.#options.random() > floorRequestShare) {
            return undefined;
        }
        return unused.reduce((best, next) => suspicion(next.listed.id) < suspicion(best.listed.id) ? next : best);
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#usedMs.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#usedMs.delete(upstream)
        );
    }

    #newAccount(): Account {
        const { clock } = this.#options;
        return {
            all: new UsageWindow(clock, failureWindowMs),
            failures: new UsageWindow(clock, failureWindowMs),
        };
    }
}
