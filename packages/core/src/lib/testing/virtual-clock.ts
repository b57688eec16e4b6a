/** A clock that only moves when told to. */
import type { Clock, Timer } from "../ports.js";

interface Task {
    readonly dueMs: number;
    readonly order: number;
    readonly run: () => void;
    cancelled: boolean;
}

/** Lets all pending promise reactions run. */
export const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Virtual time for tests: timers run in order of their due time, and promise reactions run between them.
 *
 * @example
 * const clock = new VirtualClock();
 * clock.after(100, () => fired++);
 * await clock.advance(100);
 */
export class VirtualClock implements Clock {
    #nowMs = 0;
    #order = 0;
    readonly #heap: Task[] = [];
    readonly #epochMs: number;

    constructor(epoch: Date = new Date("2026-01-01T00:00:00Z")) {
        this.#epochMs = epoch.getTime();
    }

    now(): Date {
        return new Date(this.#epochMs + this.#nowMs);
    }

    monotonicMs(): number {
        return this.#nowMs;
    }

    after(delayMs: number, run: () => void): Timer {
        const task = { dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, run, cancelled: false };
        this.#push(task);
        return {
            cancel: () => {
                task.cancelled = true;
            },
        };
    }

    /** Moves time forward and runs what falls due, tasks of one millisecond instant together. */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.#nowMs + durationMs;
        await flushPromises();
        while (this.#heap[0] !== undefined && this.#heap[0].dueMs <= endMs) {
            const dueMs = this.#heap[0].dueMs;
            this.#nowMs = Math.max(this.#nowMs, dueMs);
            while (this.#heap[0] !== undefined && this.#heap[0].dueMs <= dueMs) {
                const task = this.#pop();
                if (!task.cancelled) {
                    task.run();
                }
            }
            await flushPromises();
        }
        this.#nowMs = endMs;
    }

    #push(task: Task): void {
        const heap = this.#heap;
        let index = heap.length;
        heap.push(task);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (isBefore(heap[parent]!, task)) {
                break;
            }
            heap[index] = heap[parent]!;
            index = parent;
        }
        heap[index] = task;
    }

    #pop(): Task {
        const heap = this.#heap;
        const top = heap[0]!;
        const last = heap.pop()!;
        if (heap.length > 0) {
            this.#sink(last);
        }
        return top;
    }

    #sink(task: Task): void {
        const heap = this.#heap;
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= heap.length) {
                break;
            }
            if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
                child++;
            }
            if (isBefore(task, heap[child]!)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        heap[index] = task;
    }
}

const isBefore = (left: Task, right: Task): boolean =>
    left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);

/**
 * A view of a clock that can be stopped, as a paused process sees it: its timers fall due only after it resumes, while
 * time goes on.
 */
export class PausableClock implements Clock {
    readonly #clock: Clock;
    #held: (() => void)[] | undefined;
    #stopped = false;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    now(): Date {
        return this.#clock.now();
    }

    monotonicMs(): number {
        return this.#clock.monotonicMs();
    }

    after(delayMs: number, task: () => void): Timer {
        return this.#clock.after(delayMs, () => this.run(task));
    }

    /** Runs a task now, or at resume; messages to a paused process go through here too. */
    run(task: () => void): void {
        if (this.#stopped) {
            return;
        }
        if (this.#held !== undefined) {
            this.#held.push(task);
            return;
        }
        task();
    }

    pause(): void {
        this.#held ??= [];
    }

    resume(): void {
        const held = this.#held ?? [];
        this.#held = undefined;
        held.forEach(task => task());
    }

    /** Ends the process: nothing of it runs any more. */
    stop(): void {
        this.#stopped = true;
    }
}
