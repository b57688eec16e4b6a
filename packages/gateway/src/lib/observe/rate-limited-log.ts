/** Limits the rate of log lines under load. */
import type { Clock, LogPort } from "@sniperoad/core";

/** Log lines per second above which events of successful requests are omitted; a request usually logs two. */
const maxLinesPerSecond = 200;
/** Whether an event concerns a successful request. Only these events are omitted, and their number is logged. */
const isRoutine = (name: string, fields: Readonly<Record<string, unknown>>): boolean =>
    name === "attempt" && fields["result"] === "answer" && Number(fields["status"]) < 400
    || name === "request-done" && Number(fields["status"]) < 400;

/**
 * Forwards all events up to a maximum rate. Above it, events of successful requests are omitted; all others are
 * forwarded.
 *
 * @example
 * const log = rateLimitedLog(createEventLog(options), clock);
 */
export const rateLimitedLog = (log: LogPort, clock: Clock): LogPort => {
    let windowStartMs = clock.monotonicMs();
    let lines = 0;
    let omitted = 0;
    return {
        event: (name, fields) => {
            const nowMs = clock.monotonicMs();
            if (nowMs - windowStartMs >= 1_000) {
                if (omitted > 0) {
                    log.event("routine-lines-omitted", { count: omitted });
                }
                windowStartMs = nowMs;
                lines = 0;
                omitted = 0;
            }
            if (++lines > maxLinesPerSecond && isRoutine(name, fields)) {
                omitted++;
                return;
            }
            log.event(name, fields);
        },
    };
};
