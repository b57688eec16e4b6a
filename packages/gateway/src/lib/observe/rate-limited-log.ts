/** Bounds the volume of the log under load. */
import type { Clock, LogPort } from "@sniperoad/core";

/** Lines a second that an instance writes; a request at its usual load makes two. */
const maxLinesPerSecond = 200;
/** Events of requests that went well. They are the first to be left out, and their number is stated. */
const isRoutine = (name: string, fields: Readonly<Record<string, unknown>>): boolean =>
    name === "attempt" && fields["result"] === "answer" && Number(fields["status"]) < 400
    || name === "request-done" && Number(fields["status"]) < 400;

/**
 * Passes on lines up to a rate. Above it, lines on requests that went well are left out; others always pass.
 *
 * @example
 * const log = boundedLog(createEventLog(options), clock);
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
