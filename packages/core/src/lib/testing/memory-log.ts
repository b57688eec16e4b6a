/** In-memory and no-op implementations of log and metrics. */
import type { LogPort, LogValue, MetricsPort } from "../ports.js";

/** One recorded event. */
export interface RecordedEvent {
    readonly name: string;
    readonly fields: Readonly<Record<string, LogValue>>;
}

/** Records log events for assertions. */
export class MemoryLog implements LogPort {
    readonly events: RecordedEvent[] = [];

    event(name: string, fields: Readonly<Record<string, LogValue>>): void {
        this.events.push({ name, fields });
    }
}

/** Discards log events, for tests that do not need them. */
export const noopLog: LogPort = { event: () => {} };

/** Discards metrics. */
export const noopMetrics: MetricsPort = { increment: () => {}, timing: () => {}, gauge: () => {} };
