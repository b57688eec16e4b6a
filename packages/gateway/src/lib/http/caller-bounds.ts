/** Bounds on what all callers of a process together may take, from the limits of its machine. */

const megabyte = 1_048_576;
/** Memory of the program and its state; what is left holds buffers and garbage. */
const programMb = 120;
/** Share of the rest that buffers may take. Buffers that are not collected yet take up to as much as half of them. */
const bufferedShare = 0.75;
/** Share of the rest that responses which callers do not take may have before slow callers are reset early. */
const unreadShare = 0.25;
/** Least memory that is counted on, so that small machines serve ordinary requests. */
const minMemoryMb = 32;
/** A connection with its parser and a buffer takes up to 100 kB. */
const connectionsPerMb = 10;
/** Descriptors for the store, other instances, files and the event loop. */
const ownDescriptors = 64;
const minConnections = 8;
/** Share of the descriptors for pipelined requests that run before their turn. */
const earlyShare = 0.125;

/** Bounds on what callers may take. */
export interface CallerBounds {
    readonly maxConnections: number;
    /** Pipelined requests of all connections that run before their turn. */
    readonly maxEarlyRequests: number;
    /** Bytes of bodies and responses. */
    readonly maxBufferedBytes: number;
    /** Bytes of responses that wait for callers, above which slow callers are reset early. */
    readonly maxUnreadBytes: number;
}

/**
 * Returns the bounds for a machine.
 *
 * @example
 * callerBoundsOf(250, 4_100); // 1,300 connections, 97 MB
 */
export const callerBoundsOf = (memoryMb: number, maxDescriptors: number | undefined): CallerBounds => {
    const freeMb = Math.max(minMemoryMb, memoryMb - programMb);
    const descriptors = maxDescriptors === undefined ? Infinity : maxDescriptors - ownDescriptors;
    const maxEarlyRequests = Math.floor(Math.min(freeMb, descriptors * earlyShare));
    // Each connection has one request whose turn it is, which takes a descriptor for its upstream.
    const byDescriptors = (descriptors - maxEarlyRequests) / 2;
    const maxConnections = Math.max(minConnections, Math.floor(Math.min(freeMb * connectionsPerMb, byDescriptors)));
    return {
        maxConnections,
        maxEarlyRequests: Math.max(0, maxEarlyRequests),
        maxBufferedBytes: freeMb * bufferedShare * megabyte,
        maxUnreadBytes: freeMb * unreadShare * megabyte,
    };
};
