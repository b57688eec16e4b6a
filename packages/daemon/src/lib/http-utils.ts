/** Parts of HTTP that servers and clients of instances share. */
import type { Headers } from "@sniperoad/core";
import type { IncomingMessage } from "node:http";
import { createConnection } from "node:net";
import type { Dispatcher } from "undici";
import { splitAddress } from "./settings.js";

const emptyBody = new Uint8Array(0);

/**
 * The whole body of a request; undefined when it is larger than the limit.
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
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    for await (const part of incoming as AsyncIterable<Buffer>) {
        sizeBytes += part.length;
        if (sizeBytes > maxBytes) {
            return undefined;
        }
        parts.push(part);
    }
    return Buffer.concat(parts);
};

/** Header fields of an answer as a list; names are lower case. */
export const flattenHeaders = (headers: Record<string, string | string[] | undefined>): Headers =>
    Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value]).map(one => [name.toLowerCase(), one ?? ""] as const)
    );

/** Destroying an unread body emits an error event, which ends the process when nothing listens for it. */
export const discardBody = (body: Dispatcher.ResponseData["body"]): void => {
    body.on("error", () => {});
    body.destroy();
};

/** Errors of undici that arise before any byte of the request was written. */
const notSentCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Whether an error of undici proves that no byte of the request was written. */
export const isNotSent = (error: unknown): boolean => notSentCodes.has(String((error as { code?: unknown; }).code));

/**
 * Whether an address refuses a connection, as one does whose process has ended.
 *
 * @example
 * if (await refusesConnections("10.0.0.9:8080", 500)) { the process has ended }
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
