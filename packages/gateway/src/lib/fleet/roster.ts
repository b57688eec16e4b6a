/** Tracks the other instances: their identities and when they were last heard. */
import type { Clock } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import { instanceKey } from "../name-key.js";
import type { SharedCollection } from "../store/state-messages.js";
import { memberAgeStepMs } from "./digest.js";
import type { ReaderState } from "./heartbeat.js";

/** Time since an instance was last heard after which it is considered down: five intervals and some delay. */
export const downAfterMs = 1_700;
/** Time without a sign of an instance after which it is removed; a fleet rejoins by itself after a shorter partition. */
const expireAfterMs = 60_000;

/** Maximum age of the list of live instances, which is built anew only after that or when an instance becomes live. */
const liveCacheMs = 50;

/** What an instance, or an aggregator on its behalf, reports about it. */
export interface MemberState {
    readonly isReady: boolean;
    readonly isLeaving: boolean;
}

/** Another instance. */
export interface Member extends MemberState {
    readonly info: GatewayInstance;
    /** See `instanceKey`. */
    readonly key: number;
    /** Monotonic time of its last heartbeat; an aggregator that reports the heartbeat states its age. */
    readonly heardMs: number;
    /** Newest revision of each collection that the instance is known to hold. */
    readonly revisions: Readonly<Record<SharedCollection, number>>;
    /** How the instance reads each collection from the store. */
    readonly readers: Readonly<Record<SharedCollection, ReaderState>>;
}

interface MutableMember extends MemberState {
    readonly info: GatewayInstance;
    readonly key: number;
    isReady: boolean;
    isLeaving: boolean;
    heardMs: number;
    revisions: Record<SharedCollection, number>;
    readers: Record<SharedCollection, ReaderState>;
    /** Monotonic time of the heartbeat that stated each entry of `readers`. */
    readonly readerStatedMs: Record<SharedCollection, number>;
}

interface KnownIdentity {
    readonly info: GatewayInstance;
    learnedMs: number;
}

/**
 * Knows each other instance by its identity, which is learned once, and by the key that digests list while it is
 * live.
 *
 * @example
 * roster.learn(info);
 * roster.recordHeard(instanceKey(info.id), { isReady: true, isLeaving: false }, 0);
 * roster.live().map(member => member.info.callerAddress);
 */
export class Roster {
    readonly #clock: Clock;
    readonly #identities = new Map<number, KnownIdentity>();
    /** By peer address, so that a restarted process replaces the previous one. */
    readonly #members = new Map<string, MutableMember>();
    readonly #newestRevisions: Record<SharedCollection, number> = { config: 0, upstreams: 0, evacuations: 0 };
    #live: { readonly atMs: number; readonly members: readonly Member[]; } | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Stores the identity of an instance; it is not live until it is heard. Returns whether it was unknown. */
    learn(info: GatewayInstance): boolean {
        const key = instanceKey(info.id);
        const known = this.#identities.get(key);
        if (known !== undefined) {
            known.learnedMs = this.#clock.monotonicMs();
            return false;
        }
        this.#identities.set(key, { info, learnedMs: this.#clock.monotonicMs() });
        return true;
    }

    /** Identity of the instance with a key; undefined if it is unknown. */
    identityOf(key: number): GatewayInstance | undefined {
        return this.#identities.get(key)?.info;
    }

    /**
     * Records that an instance was heard `ageMs` ago. Returns false if its identity is unknown.
     */
    recordHeard(key: number, { isReady, isLeaving }: MemberState, ageMs: number): boolean {
        const info = this.#identities.get(key)?.info;
        if (info === undefined) {
            return false;
        }
        const nowMs = this.#clock.monotonicMs();
        const heardMs = nowMs - ageMs;
        const member = this.#members.get(info.peerAddress);
        if (member?.info.id !== info.id || nowMs - member.heardMs > downAfterMs) {
            this.#live = undefined;
        }
        if (member === undefined || member.info.id !== info.id && member.heardMs < heardMs) {
            this.#members.set(info.peerAddress, {
                info,
                key,
                isReady,
                isLeaving,
                heardMs,
                revisions: { config: 0, upstreams: 0, evacuations: 0 },
                readers: { config: "idle", upstreams: "idle", evacuations: "idle" },
                readerStatedMs: { config: -Infinity, upstreams: -Infinity, evacuations: -Infinity },
            });
        }
        else if (member.info.id === info.id && heardMs >= member.heardMs) {
            member.heardMs = heardMs;
            member.isReady = isReady;
            // Leaving is final, but a report that was on its way may not contain it yet.
            member.isLeaving ||= isLeaving;
        }
        return true;
    }

    /** Records that an instance holds a revision of a collection. */
    recordRevision(key: number, collection: SharedCollection, revision: number): void {
        const member = this.#memberOf(key);
        if (member !== undefined) {
            member.revisions[collection] = Math.max(member.revisions[collection], revision);
            this.#newestRevisions[collection] = Math.max(this.#newestRevisions[collection], revision);
        }
    }

    /** Newest revision of a collection that any instance was known to hold. */
    newestRevision(collection: SharedCollection): number {
        return this.#newestRevisions[collection];
    }

    /**
     * Records how an instance read a collection `ageMs` ago. The digests of a zone's aggregators may contain heartbeats of
     * different age, so an older statement does not replace a newer one.
     */
    recordReader(key: number, collection: SharedCollection, state: ReaderState, ageMs: number): void {
        const member = this.#memberOf(key);
        const statedMs = this.#clock.monotonicMs() - ageMs;
        // Digests round ages down.
        if (member !== undefined && statedMs >= member.readerStatedMs[collection] - memberAgeStepMs) {
            member.readers[collection] = state;
            member.readerStatedMs[collection] = Math.max(statedMs, member.readerStatedMs[collection]);
        }
    }

    get(peerAddress: string): Member | undefined {
        return this.#members.get(peerAddress);
    }

    /** Instances that were heard recently, leaving ones included; the list may be {@link liveCacheMs} old. */
    live(): readonly Member[] {
        const nowMs = this.#clock.monotonicMs();
        if (this.#live === undefined || nowMs - this.#live.atMs >= liveCacheMs) {
            const members = [...this.#members.values()].filter(member => nowMs - member.heardMs <= downAfterMs);
            this.#live = { atMs: nowMs, members };
        }
        return this.#live.members;
    }

    /** All instances that have been heard and not been removed, live or not. */
    known(): readonly Member[] {
        return [...this.#members.values()];
    }

    isLive(peerAddress: string): boolean {
        const member = this.#members.get(peerAddress);
        return member !== undefined && this.#clock.monotonicMs() - member.heardMs <= downAfterMs;
    }

    /** Removes instances that were not heard for {@link expireAfterMs}, and leaving ones once they are down. */
    expire(): void {
        const nowMs = this.#clock.monotonicMs();
        for (const [address, { info, isLeaving, heardMs }] of this.#members) {
            const ageMs = nowMs - heardMs;
            if (ageMs > expireAfterMs || isLeaving && ageMs > downAfterMs) {
                this.#live = undefined;
                this.#members.delete(address);
                this.#identities.delete(instanceKey(info.id));
            }
        }
        for (const [key, { info, learnedMs }] of this.#identities) {
            if (nowMs - learnedMs > expireAfterMs && this.#members.get(info.peerAddress)?.info.id !== info.id) {
                this.#identities.delete(key);
            }
        }
    }

    #memberOf(key: number): MutableMember | undefined {
        const info = this.#identities.get(key)?.info;
        const member = info === undefined ? undefined : this.#members.get(info.peerAddress);
        return member?.info.id === info?.id ? member : undefined;
    }
}
