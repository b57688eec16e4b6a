/** Batches the heartbeats that this instance relays. */
import type { Clock, InstanceId, Timer } from "@sniperoad/core";
import type { HeartbeatsDatagram, RelayScope } from "./datagrams.js";
import type { EncodedHeartbeat } from "./heartbeat-codec.js";

/** How long heartbeats that are not urgent are batched into one datagram. */
const batchDelayMs = 100;
/** Minimum time from a batch to an urgent one, so that a burst of changes causes only one urgent batch. */
const minUrgentGapMs = 25;
/** Maximum total size of the heartbeats in a datagram. If it is lost, the other relay still delivers them. */
const maxBatchBytes = 8_192;

interface QueuedHeartbeat {
    readonly encoded: EncodedHeartbeat;
    readonly scope: Exclude<RelayScope, "none">;
}

/** Sends heartbeats in one datagram. */
export type SendBatch = (heartbeats: readonly EncodedHeartbeat[], isUrgent: boolean) => void;

/** Options of {@link RelayBatcher}. */
export interface RelayBatcherOptions {
    readonly clock: Clock;
    /** Sends to the instances in the own zone. */
    readonly sendToZone: SendBatch;
    /** Sends to one instance of each other zone. */
    readonly sendToOtherZones: SendBatch;
}

/**
 * Collects heartbeats for a short time and sends them together. A newer heartbeat of an instance does not replace an
 * older one, since each reports different events.
 *
 * @example
 * batcher.add(datagram.beats, datagram);
 */
export class RelayBatcher {
    readonly #options: RelayBatcherOptions;
    #queue: QueuedHeartbeat[] = [];
    readonly #lastSequences = new Map<InstanceId, number>();
    #isUrgent = false;
    #timer: Timer | undefined;
    #dueMs = Infinity;
    #lastSentMs = -Infinity;

    constructor(options: RelayBatcherOptions) {
        this.#options = options;
    }

    /** Adds heartbeats to the next batch, without those that were added before. */
    add(
        heartbeats: readonly EncodedHeartbeat[],
        { scope, isUrgent }: Pick<HeartbeatsDatagram, "isUrgent"> & { readonly scope: QueuedHeartbeat["scope"]; },
    ): void {
        // A heartbeat may arrive through two relays of another zone.
        const fresh = heartbeats.filter(({ id, sequence }) => sequence > (this.#lastSequences.get(id) ?? 0));
        if (fresh.length === 0) {
            return;
        }
        fresh.forEach(({ id, sequence }) => this.#lastSequences.set(id, sequence));
        this.#queue.push(...fresh.map(encoded => ({ encoded, scope })));
        this.#isUrgent ||= isUrgent;
        this.#schedule(isUrgent);
    }

    stop(): void {
        this.#timer?.cancel();
    }

    /** Removes the state of instances that are no longer known. */
    retain(isKnown: (instance: InstanceId) => boolean): void {
        [...this.#lastSequences.keys()].filter(instance => !isKnown(instance)).forEach(instance =>
            this.#lastSequences.delete(instance)
        );
    }

    #schedule(isUrgent: boolean): void {
        const { clock } = this.#options;
        const nowMs = clock.monotonicMs();
        const dueMs = isUrgent ? Math.max(nowMs, this.#lastSentMs + minUrgentGapMs) : nowMs + batchDelayMs;
        if (dueMs < this.#dueMs) {
            this.#timer?.cancel();
            this.#dueMs = dueMs;
            this.#timer = clock.after(dueMs - nowMs, () => this.#flush());
        }
    }

    #flush(): void {
        const { clock, sendToZone, sendToOtherZones } = this.#options;
        const queued = this.#queue;
        const isUrgent = this.#isUrgent;
        this.#queue = [];
        this.#isUrgent = false;
        this.#dueMs = Infinity;
        this.#lastSentMs = clock.monotonicMs();
        const remote = queued.filter(({ scope }) => scope === "fleet");
        splitIntoBatches(queued.map(({ encoded }) => encoded)).forEach(batch => sendToZone(batch, isUrgent));
        splitIntoBatches(remote.map(({ encoded }) => encoded)).forEach(batch => sendToOtherZones(batch, isUrgent));
    }
}

/** Splits heartbeats into batches of at most {@link maxBatchBytes}; a larger heartbeat has a batch of its own. */
const splitIntoBatches = (heartbeats: readonly EncodedHeartbeat[]): readonly (readonly EncodedHeartbeat[])[] => {
    const result: EncodedHeartbeat[][] = [];
    let bytes = Infinity;
    for (const heartbeat of heartbeats) {
        if (bytes + heartbeat.bytes.length > maxBatchBytes) {
            result.push([]);
            bytes = 0;
        }
        result.at(-1)!.push(heartbeat);
        bytes += heartbeat.bytes.length;
    }
    return result;
};
