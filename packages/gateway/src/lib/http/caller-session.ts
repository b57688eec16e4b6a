/** A connection of a caller with its requests. */
import type { CallerConnection } from "./caller-connection.js";
import type { EvictionCandidate } from "./connection-eviction.js";
import type { ConnectionRejection } from "./connection-rejections.js";
import type { Exchange, RequestSequence } from "./request-sequence.js";
import type { UnfinishedMeter } from "./unfinished-meter.js";

/** What is kept for a connection. */
export interface CallerSession<E extends Exchange> {
    readonly connection: CallerConnection;
    readonly sequence: RequestSequence<E>;
    /** Counts the header or the trailers that are being read. */
    readonly meter: UnfinishedMeter;
    /** Why nothing behind the requests that were read is parsed; the rejection follows their responses. */
    rejection: ConnectionRejection | undefined;
    /** Whether no further request of it runs, to make room for other connections. */
    isRetired: boolean;
    /** Whether a request was read from it. */
    hasRequested: boolean;
    /** Monotonic time since when no request is in progress. */
    idleSinceMs: number;
}

/** Whether no further request of a connection is read; a body that has begun is. */
export const isReadingEnded = <E extends Exchange>({ rejection, isRetired, sequence }: CallerSession<E>): boolean =>
    rejection !== undefined || isRetired && sequence.arrivingBody === undefined;

/** What decides whether a connection makes room for a new one. */
export const evictionCandidateOf = <E extends Exchange>(session: CallerSession<E>): EvictionCandidate => ({
    hasRequested: session.hasRequested,
    isLingering: session.connection.isLingering,
    isRetired: session.isRetired,
    isIdle: session.sequence.isIdle,
    idleSinceMs: session.idleSinceMs,
    workBytes: session.connection.chargedBytes,
});
