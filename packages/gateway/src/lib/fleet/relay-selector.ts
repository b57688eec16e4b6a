/** Selects the instances that relay heartbeats within a zone. */
import type { Clock, InstanceId } from "@sniperoad/core";
import { hash32 } from "@sniperoad/core";
import type { Heartbeat } from "./heartbeat.js";

/** Number of relays to which each heartbeat is sent; if one of them fails, the other still forwards it. */
export const relayCount = 2;
/**
 * Time without a datagram from a relay after which it is considered failed. A relay sends at least its own heartbeat,
 * every 300 ms and batched for 100 ms, so it is replaced after one missed heartbeat.
 */
const relayTimeoutMs = 600;
/** Time after a relay's failure for which it is not selected. */
const relayRetryMs = 3_000;

/** A relay that this instance uses, or used until it failed. */
interface UsedRelay {
    readonly selectedMs: number;
    lastSelectedMs: number;
    /** Time of the last datagram that the relay sent directly. */
    lastReceivedMs: number;
    /** Time at which its failure was detected, since when it is not selected; undefined if it is usable. */
    failedMs: number | undefined;
}

/** Heartbeat fields that the selection depends on. */
export type RelayCandidate = Pick<Heartbeat, "id" | "peerAddress" | "isLeaving">;

/**
 * Ranks instances by a hash, so that all instances of a zone select the same relays and each datagram of a relay
 * carries many heartbeats. A relay that does not reach this instance directly is skipped, even if it reaches others.
 *
 * @example
 * const relays = selector.select(candidates, self.peerAddress);
 */
export class RelaySelector {
    readonly #clock: Clock;
    readonly #relays = new Map<string, UsedRelay>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Records a datagram that an instance sent directly. */
    recordDirectDatagram(peerAddress: string): void {
        const relay = this.#relays.get(peerAddress);
        if (relay !== undefined) {
            relay.lastReceivedMs = this.#clock.monotonicMs();
        }
    }

    /** Selects relays from the instances of one zone, this instance included. */
    select<T extends RelayCandidate>(candidates: readonly T[], selfAddress: string): readonly T[] {
        const selected = rankRelays(candidates, candidate => candidate)
            .filter(candidate => candidate.peerAddress === selfAddress || this.#isUsable(candidate.peerAddress))
            .slice(0, relayCount);
        selected.forEach(({ peerAddress }) => this.#recordSelection(peerAddress));
        return selected;
    }

    /** Whether a relay in use has failed since the last check. */
    hasLostRelay(): boolean {
        const inUse = [...this.#relays].filter(([, { failedMs }]) => failedMs === undefined);
        return inUse.some(([peerAddress]) => !this.#isUsable(peerAddress));
    }

    /** Removes the state of instances that are no longer known. */
    retain(isKnown: (peerAddress: string) => boolean): void {
        [...this.#relays.keys()].filter(address => !isKnown(address)).forEach(address => this.#relays.delete(address));
    }

    #isUsable(peerAddress: string): boolean {
        const relay = this.#relays.get(peerAddress);
        if (relay === undefined) {
            return true;
        }
        const nowMs = this.#clock.monotonicMs();
        // The state of a relay ends when it has not been selected for a while, or after the pause due to its failure.
        const isExpired = relay.failedMs === undefined
            ? nowMs - relay.lastSelectedMs > relayTimeoutMs
            : nowMs - relay.failedMs > relayRetryMs;
        if (isExpired) {
            this.#relays.delete(peerAddress);
            return true;
        }
        // A relay sends nothing to instances that do not use it, so the timeout starts with the selection.
        if (nowMs - Math.max(relay.selectedMs, relay.lastReceivedMs) > relayTimeoutMs) {
            relay.failedMs ??= nowMs;
        }
        return relay.failedMs === undefined;
    }

    #recordSelection(peerAddress: string): void {
        const nowMs = this.#clock.monotonicMs();
        const relay = this.#relays.get(peerAddress);
        if (relay === undefined) {
            this.#relays.set(peerAddress, {
                selectedMs: nowMs,
                lastSelectedMs: nowMs,
                lastReceivedMs: nowMs,
                failedMs: undefined,
            });
        }
        else {
            relay.lastSelectedMs = nowMs;
        }
    }
}

/** Items of instances that are not leaving, in the order in which a zone selects them as relays. */
export const rankRelays = <T>(items: readonly T[], candidateOf: (item: T) => RelayCandidate): readonly T[] =>
    items
        .filter(item => !candidateOf(item).isLeaving)
        .map(item => ({ item, rank: rankOf(candidateOf(item).id) }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ item }) => item);

const rankOf = (id: InstanceId): number => hash32(`relay|${id}`);
