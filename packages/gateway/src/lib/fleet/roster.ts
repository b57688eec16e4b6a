/** The instances that this one hears. */
import type { Clock, InstanceId } from "@sniperoad/core";
import type { Heartbeat } from "./heartbeat.js";

/** Silence after which an instance counts as down: five beats and some delay. */
export const downAfterMs = 1_700;
/** Silence after which an instance is forgotten; a partition shorter than this heals without help. */
const forgetAfterMs = 60_000;

/** Another instance, by its last beat. */
export interface Member {
    readonly heartbeat: Heartbeat;
    /** Monotonic time of the last beat. */
    readonly lastHeardMs: number;
}

/**
 * Keeps the last beat of each other instance.
 *
 * @example
 * roster.note(beat);
 * roster.live().map(member => member.beat.callerAddress);
 */
export class Roster {
    readonly #clock: Clock;
    /** By peer address: a restarted process takes the place of the former one. */
    readonly #members = new Map<string, Member>();

    readonly #sequences = new Map<InstanceId, number>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    note(heartbeat: Heartbeat): void {
        const replaced = this.#members.get(heartbeat.peerAddress)?.heartbeat.id;
        if (replaced !== undefined && replaced !== heartbeat.id) {
            this.#sequences.delete(replaced);
        }
        this.#sequences.set(heartbeat.id, heartbeat.sequence);
        this.#members.set(heartbeat.peerAddress, { heartbeat, lastHeardMs: this.#clock.monotonicMs() });
    }

    /** Sequence of the last beat of a process; 0 for one that was not heard. */
    sequenceOf(instance: InstanceId): number {
        return this.#sequences.get(instance) ?? 0;
    }

    get(peerAddress: string): Member | undefined {
        return this.#members.get(peerAddress);
    }

    /** Instances that are heard, leaving ones included. */
    live(): readonly Member[] {
        const nowMs = this.#clock.monotonicMs();
        return [...this.#members.values()].filter(member => nowMs - member.lastHeardMs <= downAfterMs);
    }

    /** All instances that are not forgotten, heard or not. */
    known(): readonly Member[] {
        return [...this.#members.values()];
    }

    isHeard(peerAddress: string): boolean {
        const member = this.#members.get(peerAddress);
        return member !== undefined && this.#clock.monotonicMs() - member.lastHeardMs <= downAfterMs;
    }

    /** Forgets instances that have been silent for a minute, and those that left. */
    expire(): void {
        const nowMs = this.#clock.monotonicMs();
        for (const [address, { heartbeat: beat, lastHeardMs: heardMs }] of this.#members) {
            const silenceMs = nowMs - heardMs;
            if (silenceMs > forgetAfterMs || beat.isLeaving && silenceMs > downAfterMs) {
                this.#members.delete(address);
                this.#sequences.delete(beat.id);
            }
        }
    }
}
