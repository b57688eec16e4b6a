/**
 * Divides what a cold upstream tolerates among the instances. It answers for instances that decide at the same time, from
 * reports that are up to 0.9 s old or missing, and for those that are cut off from each other.
 */
import { hash32 } from "@sniperoad/core";
import type { Clock, UpstreamId, ZoneId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";

/**
 * How long an instance keeps its part after it was last known. Parts of a zone that is cut off for longer than the
 * roster remembers it must not go to others; that of an instance that has ended is unused meanwhile.
 */
const mateKeptMs = 600_000;

/** Options of {@link WarmupPermits}. */
export interface WarmupPermitsOptions {
    readonly self: Pick<GatewayInstance, "zone" | "peerAddress">;
    readonly clock: Clock;
    /** Other instances, live or not. */
    readonly members: () => readonly PermitMember[];
    /** Zones of all listed upstreams. */
    readonly upstreamZones: () => Iterable<ZoneId>;
    /** Whether there are other instances according to the settings. */
    readonly hasPeers: () => boolean;
}

/** Another instance, as far as its permits depend on it. */
export interface PermitMember {
    readonly info: Pick<GatewayInstance, "zone" | "peerAddress">;
    readonly isLeaving: boolean;
}

/** The part of an instance in what a cold upstream tolerates. */
export interface PermitShare {
    /** Permits of this instance. */
    readonly own: number;
    /** Requests of this instance that go to the upstream relative to its usual part, as others send it none. */
    readonly weight: number;
}

/**
 * Each permit for an upstream allows one request in any second. A fixed number of them is divided evenly among the zones
 * and, within a zone, among its instances, by rendezvous hashing. What is left over after the division goes to those with
 * the highest hashes. So the sum over all instances is bounded whatever they know of each other's requests; it only takes
 * that they agree on the zones, and the instances of a zone on the members of that zone. The method is a form of
 * deterministic subsetting (Beyer et al., Site Reliability Engineering, chapter 20).
 *
 * @example
 * permits.shareOf(upstream, 15).own; // 1 at 15 of the instances
 */
export class WarmupPermits {
    readonly #options: WarmupPermitsOptions;
    /** Zones never leave the set, since a zone that is cut off keeps its permits. */
    readonly #zones = new Set<ZoneId>();
    /** Monotonic time at which each instance of the own zone was last known, by peer address. */
    readonly #mates = new Map<string, number>();
    #hasHeardOthers = false;
    readonly #cache = new Map<UpstreamId, { readonly count: number; readonly share: PermitShare; }>();

    constructor(options: WarmupPermitsOptions) {
        this.#options = options;
        this.#zones.add(options.self.zone);
        this.review();
    }

    /** Updates the known zones and instances; call it periodically. */
    review(): void {
        const { self, clock, members, upstreamZones } = this.#options;
        const nowMs = clock.monotonicMs();
        const before = this.#fingerprint();
        for (const zone of upstreamZones()) {
            this.#zones.add(zone);
        }
        this.#mates.set(self.peerAddress, nowMs);
        for (const { info, isLeaving } of members()) {
            this.#hasHeardOthers = true;
            this.#zones.add(info.zone);
            if (info.zone === self.zone && isLeaving) {
                this.#mates.delete(info.peerAddress);
            }
            else if (info.zone === self.zone) {
                this.#mates.set(info.peerAddress, nowMs);
            }
        }
        for (const [address, knownMs] of this.#mates) {
            if (nowMs - knownMs > mateKeptMs) {
                this.#mates.delete(address);
            }
        }
        if (this.#fingerprint() !== before) {
            this.#cache.clear();
        }
    }

    /** Changes with everything that shares depend on. */
    #fingerprint(): string {
        return [this.#hasHeardOthers, this.#zones.size, ...this.#mates.keys()].join();
    }

    /** The share of this instance in `count` permits for an upstream. */
    shareOf(upstream: UpstreamId, count: number): PermitShare {
        const cached = this.#cache.get(upstream);
        if (cached?.count === count) {
            return cached.share;
        }
        const share = this.#shareOf(upstream, count);
        this.#cache.set(upstream, { count, share });
        return share;
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#cache.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#cache.delete(upstream)
        );
    }

    #shareOf(upstream: UpstreamId, count: number): PermitShare {
        const { self, hasPeers } = this.#options;
        const mates = [...this.#mates.keys()];
        const ofZone = divide(count, [...this.#zones], self.zone, upstream);
        const own = divide(ofZone, mates, self.peerAddress, upstream);
        // An instance that has heard nobody may have been cut off since its start.
        const isCutOff = !this.#hasHeardOthers && hasPeers();
        return { own: isCutOff ? Math.min(1, own) : own, weight: ofZone === 0 ? 0 : own * mates.length / ofZone };
    }
}

/** Part of one of the members in a count that is divided among all of them. */
const divide = (count: number, members: readonly string[], member: string, key: string): number => {
    const hash = hash32(`${key}|${member}`);
    const rank = members.filter(other => {
        const otherHash = hash32(`${key}|${other}`);
        return otherHash > hash || otherHash === hash && other < member;
    }).length;
    return Math.floor(count / members.length) + (rank < count % members.length ? 1 : 0);
};
