/** The directory: selects the instances that a caller should use. */
import type { Random } from "../ports.js";
import type { ZoneId } from "../types.js";

/** An instance that the directory may return. */
export interface DirectoryMember {
    /** `host:port` for callers. */
    readonly address: string;
    readonly zone: ZoneId;
    /** Share of its capacity in use, 0 to 1. */
    readonly load: number;
    readonly isLeaving: boolean;
    readonly isCurrent: boolean;
}

/** The directory's response to a caller. */
export interface DirectoryResponse {
    readonly addresses: readonly string[];
    /** How long the caller may cache the addresses. */
    readonly keepMs: number;
}

/** Options of one directory request. */
export interface DirectoryOptions {
    /** Zone of the caller, whose instances come first; default: no preference. */
    readonly zone?: ZoneId | undefined;
    /** Number of addresses; default 4, so that a caller can switch to another one immediately after a failure. */
    readonly count?: number | undefined;
    /** Mean time for which the caller may cache the addresses; default 10 s. */
    readonly keepMs?: number | undefined;
    readonly random: Random;
}

/** Instances with at least this load are returned only if all usable instances have it. */
const overloadThreshold = 0.9;
const defaultCount = 4;
const defaultKeepMs = 10_000;
/** Short, so that callers soon retry after an empty response. */
const emptyResponseKeepMs = 500;

/**
 * Selects addresses at random, weighted by spare capacity, with the caller's zone first. If possible, one address is in
 * another zone, so that the caller still has an address after a zone failure. Leaving and non-current instances are
 * never returned. `keepMs` varies by up to 25%, so that callers do not refresh at the same time.
 *
 * @example
 * directoryResponse(members, { zone, random }).addresses[0];
 */
export const directoryResponse = (
    members: readonly DirectoryMember[],
    options: DirectoryOptions,
): DirectoryResponse => {
    const { zone, random, count = defaultCount, keepMs = defaultKeepMs } = options;
    const usable = members.filter(member => member.isCurrent && !member.isLeaving);
    if (usable.length === 0) {
        return { addresses: [], keepMs: emptyResponseKeepMs };
    }
    const underloaded = usable.filter(member => member.load < overloadThreshold);
    const candidates = underloaded.length > 0 ? underloaded : usable;
    const ordered = weightedShuffle(candidates, random);
    const sameZone = ordered.filter(member => zone === undefined || member.zone === zone);
    const otherZones = ordered.filter(member => !sameZone.includes(member));
    const sameZoneCount = otherZones.length > 0 && count > 1 ? count - 1 : count;
    const chosen = [...sameZone.slice(0, sameZoneCount), ...otherZones, ...sameZone.slice(sameZoneCount)].slice(
        0,
        count,
    );
    return {
        addresses: chosen.map(member => member.address),
        keepMs: Math.round(keepMs * (0.75 + 0.5 * random())),
    };
};

/** Weighted random order (Efraimidis and Spirakis), with spare capacity as the weight. */
const weightedShuffle = (members: readonly DirectoryMember[], random: Random): readonly DirectoryMember[] =>
    members
        .map(member => ({ member, rank: Math.log(1 - random()) / Math.max(0.01, 1 - member.load) }))
        .sort((left, right) => right.rank - left.rank)
        .map(entry => entry.member);
