/** A virtual clock that tests advance explicitly. */
import type { Clock, Timer } from "../ports.js";

interface Task {
    readonly dueMs: number;
    /** Order of scheduling, which decides between tasks with the same due time. */
    readonly order: number;
    readonly run: () => void;
    cancelled: boolean;
}

/** Runs all pending promise reactions. */
export const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Virtual time for tests. Timers run in order of their due time. Promise reactions run after all timers of one due
 * time.
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

    /**
     * Advances time and runs the tasks that become due. Tasks with the same due time run one after another, without
     * promise reactions in between.
     */
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
            this.#siftDown(last);
        }
        return top;
    }

    #siftDown(task: Task): void {
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
 * The clock of a process that can be paused. While it is paused, time continues to advance, but timers that become due
 * fire only when it resumes.
 */
export class PausableClock implements Clock {
    readonly #clock: Clock;
    #deferredTasks: (() => void)[] | undefined;
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

    /** Runs a task now, or on resume if paused. Messages to a paused process are deferred in the same way. */
    run(task: () => void): void {
        if (this.#stopped) {
            return;
        }
        if (this.#deferredTasks !== undefined) {
            this.#deferredTasks.push(task);
            return;
        }
        task();
    }

    pause(): void {
        this.#deferredTasks ??= [];
    }

    resume(): void {
        const deferred = this.#deferredTasks ?? [];
        this.#deferredTasks = undefined;
        deferred.forEach(task => task());
    }

    /** Ends the process: no further tasks run. */
    stop(): void {
        this.#stopped = true;
    }
}
