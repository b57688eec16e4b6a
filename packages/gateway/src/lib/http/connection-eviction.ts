/** Decides which connection makes room for a new one. */

/** Time for which a connection without a request in progress must have been idle to make room. */
const idleBeforeEvictionMs = 1_000;
/** Connections that may end with the requests in progress on them, as a share of all. */
const retiringShare = 1 / 16;

/** What is known of a connection. */
export interface EvictionCandidate {
    /** Whether a request was read from it. */
    readonly hasRequested: boolean;
    /** Whether it only waits for its caller to close it. */
    readonly isLingering: boolean;
    /** Whether it ends with the requests in progress on it. */
    readonly isRetired: boolean;
    /** Whether no request is in progress on it. */
    readonly isIdle: boolean;
    /** Monotonic time since when that is so. */
    readonly idleSinceMs: number;
    /** Work for its requests lately. */
    readonly workBytes: number;
}

/** Limits of a decision. */
export interface EvictionLimits {
    readonly nowMs: number;
    /** Work from which a connection may be retired. */
    readonly busyBytes: number;
    /** Whether there may be one more retired connection. */
    readonly mayRetire: boolean;
}

/**
 * Returns the number of connections that may end with the requests in progress on them, besides the regular ones.
 *
 * @example
 * maxRetiringOf(1_300); // 81
 */
export const maxRetiringOf = (maxConnections: number): number =>
    Math.max(1, Math.floor(maxConnections * retiringShare));

/**
 * Returns the connection that makes room when all are taken: the oldest one that sent no request yet or has its last
 * response, or else the one that has been idle longest, or else the one with the most requests lately, if they are many.
 * The load that it answers is a crowd of connections, idle or busy, beside which ordinary callers open new ones.
 *
 * @example
 * connectionToEvict(sessions, session => session, { nowMs, busyBytes: 65_536, mayRetire: true });
 */
export const connectionToEvict = <T>(
    connections: Iterable<T>,
    candidateOf: (connection: T) => EvictionCandidate,
    { nowMs, busyBytes, mayRetire }: EvictionLimits,
): T | undefined => {
    let longestIdle: T | undefined;
    let idleSinceMs = Infinity;
    let busiest: T | undefined;
    let mostBytes = busyBytes;
    for (const connection of connections) {
        const candidate = candidateOf(connection);
        if (!candidate.hasRequested || candidate.isLingering) {
            return connection;
        }
        const isIdleLong = candidate.isIdle && candidate.idleSinceMs <= nowMs - idleBeforeEvictionMs;
        if (isIdleLong && candidate.idleSinceMs < idleSinceMs) {
            longestIdle = connection;
            idleSinceMs = candidate.idleSinceMs;
        }
        if (mayRetire && !candidate.isRetired && candidate.workBytes > mostBytes) {
            busiest = connection;
            mostBytes = candidate.workBytes;
        }
    }
    return longestIdle ?? busiest;
};
