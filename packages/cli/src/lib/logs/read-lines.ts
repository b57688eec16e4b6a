/** Reads log lines from a stream. */
import { createInterface } from "node:readline";
import type { LogLine } from "./log-line.js";
import { parseLogLine } from "./log-line.js";

/** Returns all logged events of a stream; other text is skipped. */
export const readLogLines = async (stream: NodeJS.ReadableStream): Promise<readonly LogLine[]> => {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: stream, crlfDelay: Infinity })) {
        const line = parseLogLine(text);
        if (line !== undefined) {
            lines.push(line);
        }
    }
    return lines;
};
