/** Structured log: one line of key=value pairs for each event, written by tslog. */
import type { LogPort, LogValue } from "@sniperoad/core";
import { Logger } from "tslog";

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
    readonly instance: string;
    /** Receives each line; writes to standard output by default. */
    readonly write?: (line: string) => void;
}

const quoted = (value: LogValue): string => {
    const text = String(value);
    return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
};

/**
 * Formats an event as one line: time, event name, then the fields in order; undefined fields are omitted.
 *
 * @example
 * formatEvent(new Date(0), "route", { upstream: "u1" }); // "time=1970-01-01T00:00:00.000Z event=route upstream=u1"
 */
export const formatEvent = (time: Date, name: string, fields: Readonly<Record<string, LogValue>>): string => {
    const pairs = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${quoted(value)}`);
    return [`time=${time.toISOString()}`, `event=${name}`, ...pairs].join(" ");
};

/**
 * Creates the log of an instance.
 *
 * @example
 * createEventLog({ instance: "a-1" }).event("start", { port: 8080 });
 */
export const createEventLog = (options: EventLogOptions): LogPort => {
    const write = options.write ?? (line => process.stdout.write(`${line}\n`));
    const logger = new Logger<{ readonly line: string; }>({
        type: "hidden",
        minLevel: 0,
        // Determining the call site costs a stack trace per line, and it would always be the same.
        hideLogPositionForProduction: true,
        attachedTransports: [record => write(String((record as unknown as Record<string, unknown>)["line"]))],
    });
    return {
        event: (name, fields) => {
            logger.info({ line: formatEvent(new Date(), name, { instance: options.instance, ...fields }) });
        },
    };
};
