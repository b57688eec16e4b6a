/** Selects the upstreams that take a request by their own statements and the state of their zones. */
import type { Clock, Random, ServiceId } from "@sniperoad/core";
import type { ListedUpstream } from "../model.js";
import type { FleetSize } from "../rates/fleet-rate-limiter.js";
import { SlidingWindowCounter } from "../rates/sliding-window-counter.js";
import type { KnownUpstream } from "../store/upstream-registry.js";
import { noEvacuations } from "../store/zone-evacuations.js";
import type { ZoneEvacuations } from "../store/zone-evacuations.js";
import type { ColdUpstreams } from "./cold-upstreams.js";
import { mayReceive } from "./limit-meters.js";
import type { LimitMeters } from "./limit-meters.js";
import type { UpstreamStatements } from "./upstream-statements.js";

/** Mean time until an instance counts what another one has sent: intervals of heartbeats with loads and of digests. */
const reportDelayMs = 400;
/** Window over which the attempts of this instance are counted. */
const askedWindowMs = 4_000;
/** Share of a service's upstreams up to which others take over from those that have just turned cold: one zone of two. */
const maxTurningShare = 0.5;

/** Options of {@link WillingUpstreams}. */
export interface WillingUpstreamsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly statements: UpstreamStatements;
    readonly meters: LimitMeters;
    readonly cold: Pick<ColdUpstreams, "of" | "limitOf" | "isCold" | "isTurningCold">;
    readonly reach: () => FleetSize;
    /** None if undefined. */
    readonly evacuations?: ZoneEvacuations | undefined;
}

/**
 * Every attempt, whether the first one, a retry or a hedge, selects its upstream among these.
 *
 * @example
 * const candidates = willing.among(registry.forService(service));
 */
export class WillingUpstreams {
    readonly #options: WillingUpstreamsOptions;
    /** Attempts of this instance by service; the other instances are taken to make as many. */
    readonly #asked = new Map<ServiceId, SlidingWindowCounter>();

    constructor(options: WillingUpstreamsOptions) {
        this.#options = options;
    }

    /** The upstreams of a service that neither leave, nor have asked for a pause, nor are in an evacuated zone. */
    accepting(upstreams: readonly KnownUpstream[]): readonly KnownUpstream[] {
        const { statements, evacuations = noEvacuations } = this.#options;
        return upstreams.filter(({ listed }) =>
            !evacuations.isEvacuated(listed.zone)
            && !statements.isLeaving(listed)
            && statements.pausedForMs(listed) === 0
        );
    }

    /**
     * Time until the first upstream of a service ends its pause; 0 if one accepts requests, or none will. Infinity if all
     * that may are in evacuated zones, since it is not known when an evacuation ends.
     */
    acceptingInMs(upstreams: readonly KnownUpstream[]): number {
        const { statements, evacuations = noEvacuations } = this.#options;
        const pausesMs = upstreams
            .filter(({ listed }) => !statements.isLeaving(listed))
            .map(({ listed }) => evacuations.isEvacuated(listed.zone) ? Infinity : statements.pausedForMs(listed));
        return pausesMs.length === 0 ? 0 : Math.min(...pausesMs);
    }

    /** The upstreams of a service that may get one more request now. */
    among(listed: readonly KnownUpstream[]): readonly KnownUpstream[] {
        const { statements, random, reach } = this.#options;
        const accepting = this.accepting(listed);
        const service = accepting[0]?.listed.service;
        if (service === undefined) {
            return accepting;
        }
        const asked = this.#askedOf(service);
        asked.add(1);
        const permitted = accepting.flatMap(upstream => this.#permitted(upstream) ?? []);
        const upstreams = this.#mayUseWarm(accepting)
            ? permitted
            : permitted.filter(({ listed: { id } }) => this.#options.cold.isCold(id));
        if (upstreams.every(({ listed }) => statements.limitOf(listed) === undefined)) {
            return upstreams;
        }
        const rooms = upstreams.map(upstream => this.#roomOf(upstream));
        const open = rooms.filter(room => room > 0);
        const perSecond = asked.total() * 1_000 / askedWindowMs * (reach().live - 1);
        const unreported = perSecond * reportDelayMs / 1_000;
        const total = open.reduce((sum, room) => sum + room, 0);
        if (!mayReceive(total, unreported, random)) {
            return [];
        }
        return upstreams.filter((_upstream, index) => mayReceive(rooms[index]!, unreported / open.length, random));
    }

    /** Requests per second that an upstream takes from all instances, the lower limit if it has two; undefined: no limit. */
    limitOf(listed: ListedUpstream): number | undefined {
        const { statements, cold } = this.#options;
        const [stated, tolerated] = [statements.limitOf(listed), cold.limitOf(listed)];
        return stated === undefined || tolerated === undefined ? stated ?? tolerated : Math.min(stated, tolerated);
    }

    /**
     * Whether a request may go to a warm upstream. If most of a service turns cold at once, the rest probably does too
     * before this instance hears of it, so it does not get the requests of the others.
     */
    #mayUseWarm(upstreams: readonly KnownUpstream[]): boolean {
        const { cold, random } = this.#options;
        const turning = upstreams.filter(({ listed }) => cold.isTurningCold(listed.id)).length;
        return turning <= upstreams.length * maxTurningShare || random() * upstreams.length >= turning;
    }

    /** The upstream as selection sees it; undefined if it is cold and this instance has no permit left. */
    #permitted(upstream: KnownUpstream): KnownUpstream | undefined {
        const { cold, meters, random } = this.#options;
        const state = cold.of(upstream);
        if (state === undefined) {
            return upstream;
        }
        return meters.permitRoom(upstream.listed.id, state, random) >= 1
            ? { listed: upstream.listed, warmupEndMs: state.warmupEndMs, selectionWeight: state.weight }
            : undefined;
    }

    #askedOf(service: ServiceId): SlidingWindowCounter {
        const asked = this.#asked.get(service) ?? new SlidingWindowCounter(this.#options.clock, askedWindowMs);
        this.#asked.set(service, asked);
        return asked;
    }

    /** Infinity for an upstream without a limit. */
    #roomOf({ listed }: KnownUpstream): number {
        const { statements, meters } = this.#options;
        const limitPerSecond = statements.limitOf(listed);
        return limitPerSecond === undefined ? Infinity : meters.room(listed.id, limitPerSecond);
    }
}
