/** State that this instance keeps about each of the other instances. */
import type { InstanceId, InstanceInfo } from "../types.js";
import type { Heartbeat } from "./messages.js";

/** State of one peer. Times are on this instance's monotonic clock; -Infinity before the first event. */
export interface PeerState {
    readonly id: InstanceId;
    /** When this state was created. */
    readonly knownMs: number;
    /** Undefined until received in a heartbeat or from the instance list. */
    info: InstanceInfo | undefined;
    /** Arrival of the last heartbeat from the peer. */
    receivedMs: number;
    /**
     * Send time of the last heartbeat to the peer that the peer echoed. The echo, and every heartbeat accepted after
     * it, was sent later than this.
     */
    contactMs: number;
    /** Sequence number of the last heartbeat from the peer; -1 before the first. */
    sequence: number;
    /** Highest roster version in the peer's heartbeats. */
    rosterVersion: number;
    load: number;
    isLeaving: boolean;
    isStale: boolean;
    /** A heartbeat at a roster version that this instance does not hold yet; its votes count once it is accepted. */
    ahead: { readonly heartbeat: Heartbeat; readonly sentMs: number; } | undefined;
    /** Whether a request for the peer's roster is pending. */
    isFetching: boolean;
}

/** Peers by instance id. */
export class PeerTable {
    readonly #peers = new Map<InstanceId, PeerState>();

    get(instance: InstanceId): PeerState | undefined {
        return this.#peers.get(instance);
    }

    all(): IterableIterator<PeerState> {
        return this.#peers.values();
    }

    /** Returns the state of a peer and creates it if the peer is new. */
    getOrCreate(instance: InstanceId, nowMs: number): PeerState {
        const known = this.#peers.get(instance);
        if (known !== undefined) {
            return known;
        }
        const peer: PeerState = {
            id: instance,
            knownMs: nowMs,
            info: undefined,
            receivedMs: -Infinity,
            contactMs: -Infinity,
            sequence: -1,
            rosterVersion: 0,
            load: 0,
            isLeaving: false,
            isStale: true,
            ahead: undefined,
            isFetching: false,
        };
        this.#peers.set(instance, peer);
        return peer;
    }

    /** Removes unprotected peers from which nothing has been received since `beforeMs`. */
    prune(beforeMs: number, isProtected: (instance: InstanceId) => boolean): void {
        for (const peer of this.#peers.values()) {
            if (Math.max(peer.receivedMs, peer.knownMs) < beforeMs && !isProtected(peer.id)) {
                this.#peers.delete(peer.id);
            }
        }
    }
}
