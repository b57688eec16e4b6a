/** Limits the work that faulty upstreams cause by bytes that are no part of an answer. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import { LeakyBucket } from "../statements/leaky-bucket.js";

/** A rate with a burst, in bytes. */
interface WasteLimit {
    readonly bytesPerSecond: number;
    readonly burstBytes: number;
}

/** To parse a megabyte of header lines or tiny chunks takes the event loop about 150 ms. */
const limitOfUpstream: WasteLimit = { bytesPerSecond: 131_072, burstBytes: 262_144 };
const limitOfAll: WasteLimit = { bytesPerSecond: 524_288, burstBytes: 1_048_576 };
/** Waste up to which an upstream is spared when the limit of all is used up; it is forgotten slowly. */
const spared: WasteLimit = { bytesPerSecond: 8_192, burstBytes: 32_768 };
/** Bytes of a body that cost as much as one byte to parse. */
const bodyBytesPerWastedByte = 64;

interface UpstreamWaste {
    readonly recent: LeakyBucket;
    /** Sinks slowly, to tell faulty upstreams from sound ones. */
    readonly longTerm: LeakyBucket;
}

/** What was received for a request that got no answer. */
export interface Waste {
    readonly overheadBytes: number;
    readonly bodyBytes: number;
}

/**
 * Meters what is received for nothing, from each upstream and from all together. The rates bound the share of the event
 * loop that a faulty upstream takes from the requests of other callers.
 *
 * @example
 * meter.record(upstream, { overheadBytes: 100_000, bodyBytes: 0 });
 * meter.isExhausted(upstream); // whether requests to it are to be rejected for now
 */
export class WasteMeter {
    readonly #clock: Clock;
    readonly #byUpstream = new Map<UpstreamId, UpstreamWaste>();
    readonly #all: LeakyBucket;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#all = new LeakyBucket(clock);
    }

    record(upstream: UpstreamId, { overheadBytes, bodyBytes }: Waste): void {
        const wastedBytes = overheadBytes + bodyBytes / bodyBytesPerWastedByte;
        if (wastedBytes <= 0) {
            return;
        }
        const own = this.#byUpstream.get(upstream)
            ?? { recent: new LeakyBucket(this.#clock), longTerm: new LeakyBucket(this.#clock) };
        this.#byUpstream.set(upstream, own);
        for (
            const [bucket, limit] of [
                [own.recent, limitOfUpstream],
                [own.longTerm, spared],
                [this.#all, limitOfAll],
            ] as const
        ) {
            bucket.level(limit.bytesPerSecond);
            bucket.add(wastedBytes);
        }
    }

    /** Whether an upstream has used up its part, or one of those that used up the part of all. */
    isExhausted(upstream: UpstreamId): boolean {
        const own = this.#byUpstream.get(upstream);
        if (own === undefined) {
            return false;
        }
        const longTermBytes = own.longTerm.level(spared.bytesPerSecond);
        if (longTermBytes === 0) {
            this.#byUpstream.delete(upstream);
        }
        return own.recent.level(limitOfUpstream.bytesPerSecond) >= limitOfUpstream.burstBytes
            || longTermBytes >= spared.burstBytes
                && this.#all.level(limitOfAll.bytesPerSecond) >= limitOfAll.burstBytes;
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#byUpstream.keys()].filter(upstream => !isListed(upstream)).forEach(upstream => {
            this.#byUpstream.delete(upstream);
        });
    }
}
