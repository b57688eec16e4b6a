/** Requests and extra attempts of a service over the windows of the retry budget. */
import type { Clock } from "@sniperoad/core";

/** Duration of a bucket, the step by which windows slide. */
const bucketMs = 100;

/** Limits on extra attempts in a window. */
export interface AttemptLimits {
    /** Number of extra attempts allowed for each request; usually a fraction. */
    readonly share: number;
    /** Extra attempts allowed beyond the share. */
    readonly burst: number;
}

/**
 * Counts requests and extra attempts in buckets over two windows, and calculates how many further attempts keep every
 * window within its limits. A window is compared to the requests in it, in the window before it or in the one half a
 * window before it, whichever has most.
 *
 * @example
 * const window = new AttemptWindow(clock, 10_000);
 * window.addRequests(20);
 * window.room({ share: 0.2, burst: 0 }); // 4
 */
export class AttemptWindow {
    readonly #clock: Clock;
    /** Buckets in a window. */
    readonly #length: number;
    readonly #requests: Float64Array;
    readonly #attempts: Float64Array;
    #newest: number;

    constructor(clock: Clock, windowMs: number) {
        this.#clock = clock;
        this.#length = Math.ceil(windowMs / bucketMs);
        this.#requests = new Float64Array(2 * this.#length + 1);
        this.#attempts = new Float64Array(2 * this.#length + 1);
        this.#newest = Math.floor(clock.monotonicMs() / bucketMs);
    }

    /** Counts requests of the last `durationMs`, evenly spread. */
    addRequests(count: number, durationMs = 0): void {
        this.#advance();
        const buckets = Math.min(this.#length, 1 + Math.floor(durationMs / bucketMs));
        for (let age = 0; age < buckets; age++) {
            this.#requests[this.#indexOf(age)]! += count / buckets;
        }
    }

    addAttempts(count: number): void {
        this.#advance();
        this.#attempts[this.#indexOf(0)]! += count;
    }

    /** Requests in the window that ends now. */
    requests(): number {
        this.#advance();
        return this.#sum(this.#requests);
    }

    /** Extra attempts in the window that ends now. */
    attempts(): number {
        this.#advance();
        return this.#sum(this.#attempts);
    }

    /** Extra attempts that may still be made now; negative if the limits are exceeded already. */
    room({ share, burst }: AttemptLimits): number {
        this.#advance();
        // requestsUntil[i]: requests in the i oldest buckets; the newest one has the index 2 * length.
        const requestsUntil = new Float64Array(this.#requests.length + 1);
        for (let position = 0; position < this.#requests.length; position++) {
            const index = this.#indexOf(this.#requests.length - 1 - position);
            requestsUntil[position + 1] = requestsUntil[position]! + this.#requests[index]!;
        }
        const end = this.#requests.length;
        const half = Math.floor(this.#length / 2);
        const within = (from: number, to: number): number =>
            requestsUntil[Math.min(end, to)]! - requestsUntil[Math.max(0, from)]!;
        let [attempts, room] = [0, Infinity];
        for (let first = end - 1; first >= end - 1 - this.#length; first--) {
            attempts += this.#attempts[this.#indexOf(end - 1 - first)]!;
            const requests = Math.max(
                within(first, end),
                within(first - this.#length, first),
                within(first - half, first + half),
            );
            room = Math.min(room, share * requests + burst - attempts);
        }
        return room;
    }

    #sum(counts: Float64Array): number {
        let sum = 0;
        for (let age = 0; age <= this.#length; age++) {
            sum += counts[this.#indexOf(age)]!;
        }
        return sum;
    }

    #indexOf(age: number): number {
        const size = this.#requests.length;
        return ((this.#newest - age) % size + size) % size;
    }

    #advance(): void {
        const now = Math.floor(this.#clock.monotonicMs() / bucketMs);
        const steps = Math.min(now - this.#newest, this.#requests.length);
        for (let step = 0; step < steps; step++) {
            const index = (now - step) % this.#requests.length;
            this.#requests[index] = 0;
            this.#attempts[index] = 0;
        }
        this.#newest = Math.max(now, this.#newest);
    }
}
