/** Tracks other instances by their heartbeats. */
import type { Clock, InstanceId } from "@sniperoad/core";
import type { Heartbeat } from "./heartbeat.js";

/** Time without a heartbeat after which an instance is considered down: five intervals and some delay. */
export const downAfterMs = 1_700;
/** Time without a heartbeat after which an instance is forgotten; a shorter partition heals by itself. */
const expireAfterMs = 60_000;

/** Another instance with its latest heartbeat. */
export interface Member {
    readonly heartbeat: Heartbeat;
    /** Monotonic time at which the heartbeat was received. */
    readonly lastHeardMs: number;
}

/**
 * Keeps the latest heartbeat of each other instance.
 *
 * @example
 * roster.record(heartbeat);
 * roster.live().map(member => member.heartbeat.callerAddress);
 */
export class Roster {
    readonly #clock: Clock;
    /** By peer address, so that a restarted process replaces the previous one. */
    readonly #members = new Map<string, Member>();

    readonly #sequences = new Map<InstanceId, number>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    record(heartbeat: Heartbeat): void {
        const replacedId = this.#members.get(heartbeat.peerAddress)?.heartbeat.id;
        if (replacedId !== undefined && replacedId !== heartbeat.id) {
            this.#sequences.delete(replacedId);
        }
        this.#sequences.set(heartbeat.id, heartbeat.sequence);
        this.#members.set(heartbeat.peerAddress, { heartbeat, lastHeardMs: this.#clock.monotonicMs() });
    }

    /** Sequence number of the latest heartbeat of a process; 0 if there was none. */
    sequenceOf(instance: InstanceId): number {
        return this.#sequences.get(instance) ?? 0;
    }

    get(peerAddress: string): Member | undefined {
        return this.#members.get(peerAddress);
    }

    /** Instances with a recent heartbeat, leaving ones included. */
    live(): readonly Member[] {
        const nowMs = this.#clock.monotonicMs();
        return [...this.#members.values()].filter(member => nowMs - member.lastHeardMs <= downAfterMs);
    }

    /** All instances that are not forgotten, live or not. */
    known(): readonly Member[] {
        return [...this.#members.values()];
    }

    isLive(peerAddress: string): boolean {
        const member = this.#members.get(peerAddress);
        return member !== undefined && this.#clock.monotonicMs() - member.lastHeardMs <= downAfterMs;
    }

    /** Removes instances without a heartbeat for {@link expireAfterMs}, and those that left. */
    expire(): void {
        const nowMs = this.#clock.monotonicMs();
        for (const [address, { heartbeat, lastHeardMs }] of this.#members) {
            const ageMs = nowMs - lastHeardMs;
            if (ageMs > expireAfterMs || heartbeat.isLeaving && ageMs > downAfterMs) {
                this.#members.delete(address);
                this.#sequences.delete(heartbeat.id);
            }
        }
    }
}
