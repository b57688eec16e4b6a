/** Which instances callers should use. */
import type { Clock, Random, ZoneId } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import type { Member, Roster } from "./roster.js";

/** Most addresses in an answer; callers take up to this many. */
export const maxDirectoryAddresses = 64;
/** Fewer instances than this in the caller's zone are too few to share its load; the whole fleet is named then. */
const minZoneInstances = 4;

/** An answer of the directory. */
export interface DirectoryResponse {
    /** `host:port` of instances for callers. */
    readonly addresses: readonly string[];
    /** How long the answer may be kept. */
    readonly keepMs: number;
}

/** What {@link Directory} needs. */
export interface DirectoryOptions {
    readonly self: GatewayInstance;
    readonly roster: Roster;
    readonly clock: Clock;
    readonly random: Random;
    /** Whether this instance takes requests of callers. */
    readonly isReady: () => boolean;
    readonly keepMs: number;
}

/**
 * Names instances that are heard, ready and not leaving, those of the caller's zone first.
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
        const near = usable.filter(instance => instance.zone === zone);
        const chosen = near.length >= minZoneInstances ? near : usable;
        const addresses = this.#sample(chosen.map(instance => instance.callerAddress));
        return { addresses: addresses.length > 0 ? addresses : [self.callerAddress], keepMs };
    }

    #usable(): readonly Pick<GatewayInstance, "zone" | "callerAddress">[] {
        const { self, roster, isReady } = this.#options;
        const serves = ({ heartbeat: beat }: Member): boolean => beat.isReady && !beat.isLeaving;
        const known = roster.known().filter(serves);
        const heard = roster.live().filter(serves);
        // An instance that hears less than half of the others is more likely cut off than the last one alive.
        const members = heard.length * 2 < known.length ? known : heard;
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
