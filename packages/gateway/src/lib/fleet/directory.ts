/** Directory of the instances that callers should use. */
import type { Clock, Random, ZoneId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import type { Member, Roster } from "./roster.js";

/** Maximum number of addresses in a response; callers use no more than this. */
export const maxDirectoryAddresses = 64;
/**
 * Minimum number of usable instances in the caller's zone; if there are fewer, the response covers all zones, so that
 * these few do not carry the load of the whole zone.
 */
const minZoneInstances = 4;

/**
 * Time since an instance was last heard after which it is not named, whatever else is unreachable. An instance that ended
 * must not be named for more than 6 s; a second of it is for heartbeats that were on their way.
 */
const maxUnheardMs = 5_000;

/** Instances that a caller should use. */
export interface DirectoryResponse {
    /** `host:port` of the caller endpoint of each instance. */
    readonly addresses: readonly string[];
    /** How long callers may cache the response. */
    readonly keepMs: number;
}

/** Options of {@link Directory}. */
export interface DirectoryOptions {
    readonly self: GatewayInstance;
    readonly roster: Roster;
    readonly clock: Clock;
    readonly random: Random;
    /** Whether this instance accepts requests from callers. */
    readonly isReady: () => boolean;
    /** How long callers may cache each response. */
    readonly keepMs: number;
}

/**
 * Lists instances that are live, ready and not leaving, preferably those of the caller's zone. Callers need at least
 * one address, so if there is no such instance, the response contains the address of this one.
 *
 * @example
 * const { addresses } = directory.answer(zone);
 */
export class Directory {
    readonly #options: DirectoryOptions;

    constructor(options: DirectoryOptions) {
        this.#options = options;
    }

    /** Returns the instances for a caller in `zone`; instances of all zones if `zone` is undefined. */
    answer(zone: ZoneId | undefined): DirectoryResponse {
        const { self, keepMs } = this.#options;
        const usable = this.#usable();
        const sameZone = usable.filter(instance => instance.zone === zone);
        const candidates = sameZone.length >= minZoneInstances ? sameZone : usable;
        const addresses = this.#sample(candidates.map(instance => instance.callerAddress));
        return { addresses: addresses.length > 0 ? addresses : [self.callerAddress], keepMs };
    }

    #usable(): readonly Pick<GatewayInstance, "zone" | "callerAddress">[] {
        const { self, roster, clock, isReady } = this.#options;
        const isServing = ({ isReady, isLeaving }: Member): boolean => isReady && !isLeaving;
        const heardSinceMs = clock.monotonicMs() - maxUnheardMs;
        const known = roster.known().filter(isServing);
        const live = roster.live().filter(isServing);
        // An instance that hears of fewer than half of the others is probably partitioned; the others are probably
        // running, so they stay listed for a while.
        const members = live.length * 2 < known.length
            ? known.filter(({ heardMs }) => heardMs >= heardSinceMs)
            : live;
        const others = members.map(({ info }) => info);
        return isReady() ? [self, ...others] : others;
    }

    #sample(addresses: readonly string[]): readonly string[] {
        if (addresses.length <= maxDirectoryAddresses) {
            return addresses;
        }
        const { random } = this.#options;
        return addresses
            .map(address => ({ address, order: random() }))
            .sort((left, right) => left.order - right.order)
            .slice(0, maxDirectoryAddresses)
            .map(entry => entry.address);
    }
}
