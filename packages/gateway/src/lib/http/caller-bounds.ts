/** Bounds on what all callers of a process together may take, from the limits of its machine. */
import { maxRetiringOf } from "./connection-eviction.js";

const megabyte = 1_048_576;
/** Memory of the program and its state; what is left holds buffers and garbage. */
const programMb = 120;
/** Part of the heap that the program and its state take. */
const programHeapMb = 56;
/** Share of the rest that callers may take. What is not collected yet takes up to as much as half of it. */
const callerShare = 0.75;
/** Share of the rest that responses which callers do not take may have before slow callers are reset early. */
const unreadShare = 0.25;
/** Least memory that is counted on, so that small machines serve ordinary requests. */
const minMemoryMb = 32;
const minHeapMb = 16;
const connectionsPerMb = 10;
/** Descriptors for the store, files and the event loop. */
const ownDescriptors = 48;
const minConnections = 8;
/** Share of the descriptors for pipelined requests that run before their turn. */
const earlyShare = 0.125;
/** Connections of the other ports, as a share of the descriptors with a least and a largest number. */
const portConnections = {
    directory: { share: 1 / 32, min: 8, max: 256 },
    peers: { share: 1 / 16, min: 8, max: 512 },
    ready: { share: 1 / 64, min: 4, max: 16 },
    metrics: { share: 1 / 64, min: 4, max: 16 },
};

/** A port other than that of callers. */
export type OtherPort = keyof typeof portConnections;

/** Bounds on what callers may take. */
export interface CallerBounds {
    readonly maxConnections: number;
    /** Pipelined requests of all connections that run before their turn. */
    readonly maxEarlyRequests: number;
    /** Bytes of bodies, responses, headers and connections. */
    readonly maxBufferedBytes: number;
    /** Part of them that may lie in the JavaScript heap. */
    readonly maxHeapBytes: number;
    /** Bytes of responses that wait for callers, above which slow callers are reset early. */
    readonly maxUnreadBytes: number;
    /** Connections of the other ports. */
    readonly maxOtherConnections: Readonly<Record<OtherPort, number>>;
}

/** Limits of a process. */
export interface ProcessLimits {
    readonly memoryMb: number;
    /** Limit of the old generation of the JavaScript heap; undefined: as much as the memory. */
    readonly heapMb?: number | undefined;
    readonly maxDescriptors?: number | undefined;
}

/**
 * Returns the bounds for a process.
 *
 * @example
 * callerBoundsOf({ memoryMb: 250, heapMb: 160, maxDescriptors: 4_100 }); // 1,219 connections, 97 MB, 78 MB of the heap
 */
export const callerBoundsOf = ({ memoryMb, heapMb = memoryMb, maxDescriptors }: ProcessLimits): CallerBounds => {
    const freeMb = Math.max(minMemoryMb, memoryMb - programMb);
    const freeHeapMb = Math.max(minHeapMb, heapMb - programHeapMb);
    const maxOtherConnections = otherConnectionsOf(maxDescriptors);
    const otherDescriptors = Object.values(maxOtherConnections).reduce(
        (sum, count) => sum + count + maxRetiringOf(count),
        0,
    );
    const reserved = ownDescriptors + otherDescriptors;
    const descriptors = maxDescriptors === undefined ? Infinity : maxDescriptors - reserved;
    const maxEarlyRequests = Math.floor(Math.min(freeMb, descriptors * earlyShare));
    // Each connection has one request whose turn it is, which takes a descriptor for its upstream.
    const byDescriptors = (descriptors - maxEarlyRequests) / 2;
    const mostConnections = Math.max(minConnections, Math.floor(Math.min(freeMb * connectionsPerMb, byDescriptors)));
    const maxConnections = mostConnections - maxRetiringOf(mostConnections);
    return {
        maxConnections,
        maxEarlyRequests: Math.max(0, maxEarlyRequests),
        maxBufferedBytes: freeMb * callerShare * megabyte,
        maxHeapBytes: Math.min(freeHeapMb, freeMb) * callerShare * megabyte,
        maxUnreadBytes: freeMb * unreadShare * megabyte,
        maxOtherConnections,
    };
};

const otherConnectionsOf = (maxDescriptors = Infinity): Readonly<Record<OtherPort, number>> => {
    const countOf = (port: OtherPort): number => {
        const { share, min, max } = portConnections[port];
        return Math.floor(Math.min(max, Math.max(min, maxDescriptors * share)));
    };
    return {
        directory: countOf("directory"),
        peers: countOf("peers"),
        ready: countOf("ready"),
        metrics: countOf("metrics"),
    };
};
