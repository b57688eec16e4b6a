/** Log and metrics that keep what they get. */
import type { LogPort, LogValue, MetricsPort } from "../ports.js";

/** One kept event. */
export interface RecordedEvent {
    readonly name: string;
    readonly fields: Readonly<Record<string, LogValue>>;
}

/** Keeps log events for assertions. */
export class MemoryLog implements LogPort {
    readonly events: RecordedEvent[] = [];

    event(name: string, fields: Readonly<Record<string, LogValue>>): void {
        this.events.push({ name, fields });
    }
}

/** Drops log events; use it where a test makes no use of them. */
export const noopLog: LogPort = { event: () => {} };

/** Drops metrics. */
export const noopMetrics: MetricsPort = { increment: () => {}, timing: () => {}, gauge: () => {} };
