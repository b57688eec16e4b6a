/** Directory of the instances that callers should use. */
import type { Clock, Random, ZoneId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import type { Member, Roster } from "./roster.js";

/** Maximum addresses in a response; callers use no more than this. */
export const maxDirectoryAddresses = 64;
/** Minimum instances that can carry the load of the caller's zone; below it, the response lists the whole fleet. */
const minZoneInstances = 4;

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
    readonly keepMs: number;
}

/**
 * Lists instances that are live, ready and not leaving, preferably those of the caller's zone.
 *
 * @example
 * const { addresses } = directory.answer(zone);
 */
export class Directory {
    readonly #options: DirectoryOptions;

    constructor(options: DirectoryOptions) {
        this.#options = options;
    }

    answer(zone: ZoneId | undefined): DirectoryResponse {
        const { self, keepMs } = this.#options;
        const usable = this.#usable();
        const sameZone = usable.filter(instance => instance.zone === zone);
        const candidates = sameZone.length >= minZoneInstances ? sameZone : usable;
        const addresses = this.#sample(candidates.map(instance => instance.callerAddress));
        return { addresses: addresses.length > 0 ? addresses : [self.callerAddress], keepMs };
    }

    #usable(): readonly Pick<GatewayInstance, "zone" | "callerAddress">[] {
        const { self, roster, isReady } = this.#options;
        const isServing = ({ heartbeat }: Member): boolean => heartbeat.isReady && !heartbeat.isLeaving;
        const known = roster.known().filter(isServing);
        const live = roster.live().filter(isServing);
        // An instance that sees less than half of the others is more likely partitioned than the last survivor.
        const members = live.length * 2 < known.length ? known : live;
        const others = members.map(member => member.heartbeat);
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
