/** Keeps requests on enough upstreams of a service that has failures. */
import type { Clock, Random, ServiceId, UpstreamId } from "@sniperoad/core";
import type { OutcomeKind } from "../fleet/heartbeat.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { KnownUpstream } from "../store/upstream-registry.js";

/** Window over which failures are counted. The floor is judged over any 2 s, and may bind by failures at their end. */
const failureWindowMs = 4_000;
/** Share of failures from which the floor is kept; it binds from a tenth. */
const failureShareMin = 0.05;
/** An upstream counts as used for this long. It is less than the window, since reports of other instances come late. */
const usedForMs = 1_400;
/** Added to the floor, since an upstream may leave between two requests. */
const floorMargin = 0.06;
/** Part of the requests that go to unused upstreams while the floor is not kept. All instances do the same. */
const floorRequestShare = 0.2;
/** The same for requests that cannot be repeated, where others of the service can and reach the unused upstreams. */
const unrepeatableShare = 0.05;
/** Time for which an upstream that has failed by itself does not count for the floor. */
const unsoundForMs = 2_000;

interface Account {
    readonly all: SlidingWindowCounter;
    readonly failures: SlidingWindowCounter;
    /** Requests of this instance that can be repeated. */
    readonly repeatable: SlidingWindowCounter;
}

/** What {@link UpstreamFloor.pick} decides on. */
export interface FloorPickRequest {
    readonly candidates: readonly KnownUpstream[];
    /** Whether the request may be sent to another upstream if this one fails it. */
    readonly isRepeatable: boolean;
    /** How likely an upstream is gray. */
    readonly grayProbability: (upstream: UpstreamId) => number;
}

/** What {@link UpstreamFloor} needs. */
export interface UpstreamFloorOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Share of the upstreams of a service that must get requests while some of its requests fail. */
    readonly floorShare: () => number;
    readonly serviceOf: (upstream: UpstreamId) => ServiceId | undefined;
}

/**
 * Suspicion alone would leave few upstreams in use when many are suspects, some of them wrongly. While a service has
 * failures, part of its requests goes to the upstreams that have had none lately, and that have not just failed.
 *
 * @example
 * const upstream = keeper.pick({ candidates, isRepeatable: true, suspicion });
 */
export class UpstreamFloor {
    readonly #options: UpstreamFloorOptions;
    readonly #accounts = new Map<ServiceId, Account>();
    readonly #usedMs = new Map<UpstreamId, number>();
    readonly #failedMs = new Map<UpstreamId, number>();

    constructor(options: UpstreamFloorOptions) {
        this.#options = options;
    }

    recordUse(upstream: UpstreamId): void {
        this.#usedMs.set(upstream, this.#options.clock.monotonicMs());
    }

    /** Takes an outcome of any instance. */
    recordOutcome(upstream: UpstreamId, kind: OutcomeKind): void {
        this.recordUse(upstream);
        if (kind === "failure") {
            this.#failedMs.set(upstream, this.#options.clock.monotonicMs());
        }
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
    pick({ candidates, isRepeatable, grayProbability: suspicion }: FloorPickRequest): KnownUpstream | undefined {
        const account = this.#accounts.get(candidates[0]?.listed.service ?? "" as ServiceId);
        if (account === undefined) {
            return undefined;
        }
        account.repeatable.add(isRepeatable ? 1 : 0);
        if (account.failures.total() < failureShareMin * account.all.total()) {
            return undefined;
        }
        const nowMs = this.#options.clock.monotonicMs();
        // An upstream that has failed lately needs no request, and would most likely fail it.
        const sound = candidates.filter(({ listed }) =>
            nowMs - (this.#failedMs.get(listed.id) ?? -Infinity) > unsoundForMs
        );
        const unused = sound.filter(({ listed }) => nowMs - (this.#usedMs.get(listed.id) ?? -Infinity) > usedForMs);
        const wanted = Math.ceil(sound.length * Math.min(1, this.#options.floorShare() + floorMargin));
        if (sound.length - unused.length >= wanted || this.#options.random() > this.#share(account, isRepeatable)) {
            return undefined;
        }
        // The least suspect of all would get the requests of many instances at once.
        const [first, second] = [this.#anyOf(unused), this.#anyOf(unused)];
        return suspicion(first.listed.id) < suspicion(second.listed.id) ? first : second;
    }

    #anyOf(upstreams: readonly KnownUpstream[]): KnownUpstream {
        return upstreams[Math.floor(this.#options.random() * upstreams.length)]!;
    }

    #share({ repeatable }: Account, isRepeatable: boolean): number {
        return isRepeatable || repeatable.total() === 0 ? floorRequestShare : unrepeatableShare;
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        for (const times of [this.#usedMs, this.#failedMs]) {
            [...times.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => times.delete(upstream));
        }
    }

    #newAccount(): Account {
        const { clock } = this.#options;
        return {
            all: new SlidingWindowCounter(clock, failureWindowMs),
            failures: new SlidingWindowCounter(clock, failureWindowMs),
            repeatable: new SlidingWindowCounter(clock, failureWindowMs),
        };
    }
}
