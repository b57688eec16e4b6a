/** Responses to bytes of a connection of which no request is read. */
import type { CallerRejection } from "./caller-rejections.js";
import type { UnfinishedExcess } from "./unfinished-meter.js";

/**
 * Why a connection ends without a further request; `malformed`: the bytes do not keep to the protocol; `tunnel`: a
 * `CONNECT`, which is not supported; `failed`: an unexpected error.
 */
export type ConnectionRejection = UnfinishedExcess | "malformed" | "tunnel" | "failed";

const statusLines: Readonly<Record<ConnectionRejection, string>> = {
    "too-long": "431 Request Header Fields Too Large",
    "no-memory": "503 Service Unavailable",
    malformed: "400 Bad Request",
    tunnel: "501 Not Implemented",
    failed: "500 Internal Server Error",
};
const callerRejections: Readonly<Record<ConnectionRejection, CallerRejection | undefined>> = {
    "too-long": "header",
    "no-memory": "memory",
    malformed: "malformed",
    tunnel: "malformed",
    failed: undefined,
};

/** What a rejection is counted as; undefined if it is not the caller's fault. */
export const callerRejectionOf = (rejection: ConnectionRejection): CallerRejection | undefined =>
    callerRejections[rejection];

/**
 * Returns the response with which a connection is closed.
 *
 * @example
 * rejectionResponse("no-memory", [["retry-after", "0.5"]]);
 */
export const rejectionResponse = (
    rejection: ConnectionRejection,
    headers: readonly (readonly [string, string])[] = [],
): string => {
    const lines = [...headers, ["content-length", "0"], ["connection", "close"]].map(([name, value]) =>
        `${name}: ${value}\r\n`
    );
    return `HTTP/1.1 ${statusLines[rejection]}\r\n${lines.join("")}\r\n`;
};
