/** The memory of a request's header: what it takes, and a form that takes little. */
import type { Headers } from "@sniperoad/core";
import type { DecodedRequest } from "../model.js";

/** A request with its objects in the HTTP server. */
const requestBytes = 8_192;
/** What a request takes in addition while it runs: its objects in the dispatcher and the connection to the upstream. */
export const runningRequestBytes = 16_384;
/** A header field: its strings, their places in the lists of this process and undici, and the line that is sent. */
const fieldBytes = 160;
/** Memory for each byte of a header that is not complete, if all of its fields are short. */
const unfinishedBytesPerByte = 12;

/**
 * Memory of a request with a header until its response, besides {@link runningRequestBytes}.
 *
 * @param rawHeaders names and values in turn, as in `IncomingMessage.rawHeaders`
 * @example
 * requestHeapBytes("/small/", ["host", "a"]); // 8,364
 */
export const requestHeapBytes = (target: string, rawHeaders: readonly string[]): number =>
    rawHeaders.reduce((sum, text) => sum + text.length, target.length)
    + rawHeaders.length / 2 * fieldBytes
    + requestBytes;

/**
 * Memory of a header, or of trailers, that the parser has not read to their end.
 *
 * @example
 * unfinishedHeapBytes(1_024); // 12,288
 */
export const unfinishedHeapBytes = (sizeBytes: number): number => sizeBytes * unfinishedBytesPerByte;

/** A line break, which no name or value contains. */
const separator = "\n";

/** Keeps the header fields of a request in one string, which is a fraction of the size of their list. */
class CompactRequest implements DecodedRequest {
    readonly requestId: string | undefined;
    readonly host: string;
    readonly method: string;
    readonly target: string;
    readonly key: string | undefined;
    readonly deadlineMs: number | undefined;
    readonly #fields: string;

    constructor(request: DecodedRequest) {
        ({
            requestId: this.requestId,
            host: this.host,
            method: this.method,
            target: this.target,
            key: this.key,
            deadlineMs: this.deadlineMs,
        } = request);
        this.#fields = request.headers.flat().join(separator);
    }

    get headers(): Headers {
        const texts = this.#fields === "" ? [] : this.#fields.split(separator);
        const list: [string, string][] = [];
        for (let index = 0; index + 1 < texts.length; index += 2) {
            list.push([texts[index]!, texts[index + 1]!]);
        }
        return list;
    }
}

/**
 * Returns an equal request that takes little memory. Its list of header fields is built each time that it is read.
 *
 * @example
 * const held = compactRequest(codec.decodeRequest(method, target, headers));
 */
export const compactRequest = (request: DecodedRequest): DecodedRequest => new CompactRequest(request);
