/** Gathers the beats that this instance passes on. */
import type { Clock, InstanceId, Timer } from "@sniperoad/core";
import type { HeartbeatsDatagram, RelayScope } from "./datagrams.js";
import type { EncodedHeartbeat } from "./heartbeat-codec.js";

/** How long beats without news gather into one datagram. */
const gatherMs = 100;
/** Least time between datagrams with news, so that a burst of news costs one datagram. */
const newsGapMs = 25;
/** Most bytes of beats in one datagram; the loss of one is made up for by the other relay. */
const maxBundleBytes = 8_192;

interface Waiting {
    readonly beat: EncodedHeartbeat;
    readonly scope: Exclude<RelayScope, "none">;
}

/** Sends beats in one datagram. */
export type SendBatch = (beats: readonly EncodedHeartbeat[], isUrgent: boolean) => void;

/** What {@link RelayBatcher} needs. */
export interface RelayBatcherOptions {
    readonly clock: Clock;
    /** Sends to the instances of the own zone. */
    readonly sendToZone: SendBatch;
    /** Sends to one instance of each other zone. */
    readonly sendToOtherZones: SendBatch;
}

/**
 * Collects beats for a short time and sends them together. A newer beat of an instance does not replace an older one,
 * since each carries news of its own.
 *
 * @example
 * outbox.add(datagram.beats, datagram);
 */
export class RelayBatcher {
    readonly #options: RelayBatcherOptions;
    #waiting: Waiting[] = [];
    readonly #seen = new Map<InstanceId, number>();
    #isUrgent = false;
    #timer: Timer | undefined;
    #dueMs = Infinity;
    #lastSentMs = -Infinity;

    constructor(options: RelayBatcherOptions) {
        this.#options = options;
    }

    add(
        beats: readonly EncodedHeartbeat[],
        { scope, isUrgent }: Pick<HeartbeatsDatagram, "isUrgent"> & { readonly scope: Waiting["scope"]; },
    ): void {
        // A beat may come by two relays of another zone.
        const fresh = beats.filter(({ id, sequence }) => sequence > (this.#seen.get(id) ?? 0));
        if (fresh.length === 0) {
            return;
        }
        fresh.forEach(({ id, sequence }) => this.#seen.set(id, sequence));
        this.#waiting.push(...fresh.map(beat => ({ beat, scope })));
        this.#isUrgent ||= isUrgent;
        this.#schedule(isUrgent);
    }

    stop(): void {
        this.#timer?.cancel();
    }

    /** Forgets instances that are gone. */
    retain(isKnown: (instance: InstanceId) => boolean): void {
        [...this.#seen.keys()].filter(instance => !isKnown(instance)).forEach(instance => this.#seen.delete(instance));
    }

    #schedule(isUrgent: boolean): void {
        const { clock } = this.#options;
        const nowMs = clock.monotonicMs();
        const dueMs = isUrgent ? Math.max(nowMs, this.#lastSentMs + newsGapMs) : nowMs + gatherMs;
        if (dueMs < this.#dueMs) {
            this.#timer?.cancel();
            this.#dueMs = dueMs;
            this.#timer = clock.after(dueMs - nowMs, () => this.#flush());
        }
    }

    #flush(): void {
        const { clock, sendToZone: sendNear, sendToOtherZones: sendFar } = this.#options;
        const waiting = this.#waiting;
        const isUrgent = this.#isUrgent;
        this.#waiting = [];
        this.#isUrgent = false;
        this.#dueMs = Infinity;
        this.#lastSentMs = clock.monotonicMs();
        const far = waiting.filter(({ scope }) => scope === "fleet");
        bundles(waiting.map(({ beat }) => beat)).forEach(bundle => sendNear(bundle, isUrgent));
        bundles(far.map(({ beat }) => beat)).forEach(bundle => sendFar(bundle, isUrgent));
    }
}

/** Splits beats so that each datagram stays within its size. */
const bundles = (beats: readonly EncodedHeartbeat[]): readonly (readonly EncodedHeartbeat[])[] => {
    const result: EncodedHeartbeat[][] = [];
    let bytes = Infinity;
    for (const beat of beats) {
        if (bytes + beat.bytes.length > maxBundleBytes) {
            result.push([]);
            bytes = 0;
        }
        result.at(-1)!.push(beat);
        bytes += beat.bytes.length;
    }
    return result;
};
