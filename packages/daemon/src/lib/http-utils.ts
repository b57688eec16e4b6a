/** HTTP utilities for servers and clients. */
import type { Headers } from "@sniperoad/core";
import { validateHeaderName, validateHeaderValue } from "node:http";
import type { IncomingMessage } from "node:http";
import { createConnection } from "node:net";
import type { Dispatcher } from "undici";
import { splitAddress } from "./settings.js";

const emptyBody = new Uint8Array(0);

/**
 * Reads the body of a request; undefined if it is larger than the limit.
 *
 * @example
 * const body = await readBody(incoming, 1_048_576);
 */
export const readBody = async (incoming: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> => {
    if (incoming.headers["content-length"] === undefined && incoming.headers["transfer-encoding"] === undefined) {
        return emptyBody;
    }
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return undefined;
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > maxBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/**
 * Whether each name is a token and each value has only characters that HTTP allows. The parser of some Node.js releases
 * accepts other names, such as one with a space, and such a header cannot be forwarded.
 *
 * @param rawHeaders names and values in turn, as in `IncomingMessage.rawHeaders`
 * @example
 * hasValidHeaders(["x-a", "1"]); // true
 * hasValidHeaders(["x a", "1"]); // false
 */
export const hasValidHeaders = (rawHeaders: readonly string[]): boolean => {
    try {
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            validateHeaderName(rawHeaders[index]!);
            validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
        return true;
    }
    catch {
        return false;
    }
};

/** Converts the header fields of a response to a list with lower-case names. */
export const flattenHeaders = (headers: Record<string, string | string[] | undefined>): Headers =>
    Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value]).map(item => [name.toLowerCase(), item ?? ""] as const)
    );

/**
 * Whether a status code is one of HTTP (RFC 9110, section 15). Parsers accept any three digits.
 *
 * @example
 * isValidStatus(600); // false
 */
export const isValidStatus = (status: number): boolean => status >= 100 && status < 600;

/** What marks the end of a response's body: a length or a last chunk, nothing but the end of the connection, or neither. */
export type ResponseFraming = "marked" | "until-close" | "encoded";

/** Status codes of responses that have no body. */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns what marks the end of a response's body, by RFC 9112, section 6.3. A body with a transfer coding other than
 * `chunked` is "encoded": undici does not decode it.
 *
 * @param headers names in lower case
 * @example
 * framingOf(200, [["content-length", "5"]], "GET"); // "marked"
 * framingOf(200, [], "GET"); // "until-close"
 */
export const framingOf = (status: number, headers: Headers, method: string): ResponseFraming => {
    if (method === "HEAD" || bodilessStatuses.has(status)) {
        return "marked";
    }
    const codings = headers.filter(([name]) => name === "transfer-encoding").map(([, value]) => value);
    if (codings.length > 0) {
        return codings.join(",").trim().toLowerCase() === "chunked" ? "marked" : "encoded";
    }
    return headers.some(([name]) => name === "content-length") ? "marked" : "until-close";
};

/** Destroys an unread body. This emits an error event, which would end the process without a listener. */
export const discardBody = (body: Dispatcher.ResponseData["body"]): void => {
    body.on("error", () => {});
    body.destroy();
};

/** Codes of errors that occur before any byte of the request was written. */
const notSentCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Whether an undici error proves that no byte of the request was written. */
export const isNotSent = (error: unknown): boolean => notSentCodes.has(String((error as { code?: unknown; }).code));

/**
 * Whether an address refuses connections, which means that its process has exited.
 *
 * @example
 * if (await refusesConnections("10.0.0.9:8080", 500)) { the process has exited }
 */
export const refusesConnections = (address: string, timeoutMs: number): Promise<boolean> =>
    new Promise(resolve => {
        const { host, port } = splitAddress(address);
        const socket = createConnection({ host, port, timeout: timeoutMs });
        const settle = (isRefused: boolean): void => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.on("connect", () => settle(false));
        socket.on("timeout", () => settle(false));
        socket.on("error", error => settle((error as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
