/** Which instances of the own zone pass beats on. */
import type { Clock, InstanceId } from "@sniperoad/core";
import { hash32 } from "@sniperoad/core";
import type { Heartbeat } from "./heartbeat.js";

/** Relays of each beat; one may be lost without a gap. */
export const relayCount = 2;
/** A relay sends at least its own beat, every 300 ms and gathered for 100 ms; after a missed one another is chosen. */
const relayDownAfterMs = 600;
/** Time after which a relay that was silent is tried again. */
const relayRetryMs = 3_000;

/** A relay that this instance uses, or used until it was silent. */
interface UsedRelay {
    readonly chosenMs: number;
    lastChosenMs: number;
    heardMs: number;
    /** When it was found silent; it is passed over since then. */
    failedMs: number | undefined;
}

/** The part of a beat that a choice depends on. */
export type RelayCandidate = Pick<Heartbeat, "id" | "peerAddress" | "isLeaving">;

/**
 * Ranks instances by a hash, so that all of a zone choose the same relays and a datagram of a relay carries the beats
 * of many. A relay that this instance does not hear directly is passed over, whatever others hear.
 *
 * @example
 * const relays = choice.choose(nearMembers);
 */
export class RelaySelector {
    readonly #clock: Clock;
    readonly #used = new Map<string, UsedRelay>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Takes a datagram that came from an instance itself. */
    noteDirect(peerAddress: string): void {
        const relay = this.#used.get(peerAddress);
        if (relay !== undefined) {
            relay.heardMs = this.#clock.monotonicMs();
        }
    }

    /** Relays among instances of one zone, the own instance included. */
    select<T extends RelayCandidate>(candidates: readonly T[], selfAddress: string): readonly T[] {
        const chosen = rankRelays(candidates, candidate => candidate)
            .filter(candidate => candidate.peerAddress === selfAddress || this.#isUsable(candidate.peerAddress))
            .slice(0, relayCount);
        chosen.forEach(({ peerAddress }) => this.#noteChosen(peerAddress));
        return chosen;
    }

    /** Whether a relay in use has just become silent. */
    hasLostRelay(): boolean {
        const inUse = [...this.#used].filter(([, { failedMs }]) => failedMs === undefined);
        return inUse.some(([peerAddress]) => !this.#isUsable(peerAddress));
    }

    /** Forgets instances that are gone. */
    retain(isKnown: (peerAddress: string) => boolean): void {
        [...this.#used.keys()].filter(address => !isKnown(address)).forEach(address => this.#used.delete(address));
    }

    #isUsable(peerAddress: string): boolean {
        const relay = this.#used.get(peerAddress);
        if (relay === undefined) {
            return true;
        }
        const nowMs = this.#clock.monotonicMs();
        const isForgotten = relay.failedMs === undefined
            ? nowMs - relay.lastChosenMs > relayDownAfterMs
            : nowMs - relay.failedMs > relayRetryMs;
        if (isForgotten) {
            this.#used.delete(peerAddress);
            return true;
        }
        // A relay owes nothing to instances that do not use it, so its silence counts from the choice on.
        if (nowMs - Math.max(relay.chosenMs, relay.heardMs) > relayDownAfterMs) {
            relay.failedMs ??= nowMs;
        }
        return relay.failedMs === undefined;
    }

    #noteChosen(peerAddress: string): void {
        const nowMs = this.#clock.monotonicMs();
        const relay = this.#used.get(peerAddress);
        if (relay === undefined) {
            this.#used.set(peerAddress, {
                chosenMs: nowMs,
                lastChosenMs: nowMs,
                heardMs: nowMs,
                failedMs: undefined,
            });
        }
        else {
            relay.lastChosenMs = nowMs;
        }
    }
}

/** What stays of `items`, in the order in which a zone uses the instances as relays. */
export const rankRelays = <T>(items: readonly T[], candidateOf: (item: T) => RelayCandidate): readonly T[] =>
    items
        .filter(item => !candidateOf(item).isLeaving)
        .map(item => ({ item, rank: rankOf(candidateOf(item).id) }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ item }) => item);

const rankOf = (id: InstanceId): number => hash32(`relay|${id}`);
