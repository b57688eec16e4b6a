/** The directory's answer: which instances a caller is to use. */
import type { Random } from "../ports.js";
import type { ZoneId } from "../types.js";

/** An instance as the directory sees it. */
export interface DirectoryMember {
    /** `host:port` for callers. */
    readonly address: string;
    readonly zone: ZoneId;
    /** Share of its capacity in use, 0 to 1. */
    readonly load: number;
    readonly isLeaving: boolean;
    readonly isCurrent: boolean;
}

/** What a caller gets. */
export interface DirectoryResponse {
    readonly addresses: readonly string[];
    /** How long the caller may use the addresses without asking again. */
    readonly keepMs: number;
}

/** How the directory answers one caller. */
export interface DirectoryOptions {
    /** Preferred zone; absent: all zones alike. */
    readonly zone?: ZoneId | undefined;
    /** Number of addresses, 4 by default, so that a caller can go on at once after one of them fails. */
    readonly count?: number | undefined;
    readonly keepMs?: number | undefined;
    readonly random: Random;
}

/** Instances above this load are named only when all are. */
const overloadedShare = 0.9;
const defaultCount = 4;
const defaultKeepMs = 10_000;
/** With nothing to name, callers ask again soon. */
const emptyKeepMs = 500;

/**
 * Chooses addresses at random, weighted by spare capacity, in the caller's zone first. One of the answer's addresses is
 * from another zone if there is one, so that a zone failure leaves the caller an address. Leaving and non-current
 * instances are never named. `keepMs` varies by a quarter, so that callers do not ask in step.
 *
 * @example
 * directoryAnswer(members, { zone, random }).addresses[0];
 */
export const directoryResponse = (
    members: readonly DirectoryMember[],
    options: DirectoryOptions,
): DirectoryResponse => {
    const { zone, random, count = defaultCount, keepMs = defaultKeepMs } = options;
    const usable = members.filter(member => member.isCurrent && !member.isLeaving);
    if (usable.length === 0) {
        return { addresses: [], keepMs: emptyKeepMs };
    }
    const spare = usable.filter(member => member.load < overloadedShare);
    const candidates = spare.length > 0 ? spare : usable;
    const ordered = shuffled(candidates, random);
    const near = ordered.filter(member => zone === undefined || member.zone === zone);
    const far = ordered.filter(member => !near.includes(member));
    const nearCount = far.length > 0 && count > 1 ? count - 1 : count;
    const chosen = [...near.slice(0, nearCount), ...far, ...near.slice(nearCount)].slice(0, count);
    return {
        addresses: chosen.map(member => member.address),
        keepMs: Math.round(keepMs * (0.75 + 0.5 * random())),
    };
};

/** Weighted random order (Efraimidis and Spirakis): each draw favours members by their spare capacity. */
const shuffled = (members: readonly DirectoryMember[], random: Random): readonly DirectoryMember[] =>
    members
        .map(member => ({ member, rank: Math.log(1 - random()) / Math.max(0.01, 1 - member.load) }))
        .sort((left, right) => right.rank - left.rank)
        .map(entry => entry.member);
