/** Reads one response of an upstream, within bounds. */
import type { Headers } from "@sniperoad/core";
import { flattenHeaders, isValidStatus } from "@sniperoad/daemon";
import type { Client, Dispatcher } from "undici";
import { BodyBuffer } from "./body-buffer.js";
import { BodyMemory } from "./body-memory.js";
import type { BufferBudget } from "./buffer-budget.js";
import { smallBodyBytes } from "./memory-budget.js";
import type { BodyReservation, MemoryBudget } from "./memory-budget.js";

/** Maximum size of the head of a response, the default of Node.js. */
export const maxHeadBytes = 16_384;
/** Maximum number of informational responses before the final one. */
const maxInformational = 10;

/** A response that exceeds a bound which no ordinary one comes near. */
export class ExcessError extends Error {}

/** Status and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: Headers;
}

/**
 * How a response ended: whole, rejected by its head, no HTTP response by its status, given up because it has no end or
 * because callers have taken the memory, or by an error of the connection.
 */
export type ReadResult =
    | { readonly kind: "whole"; readonly head: ResponseHead; readonly body: Uint8Array; }
    | { readonly kind: "rejected"; readonly reason: string; }
    | { readonly kind: "invalid-status"; readonly head: ResponseHead; }
    | { readonly kind: "evicted"; }
    | { readonly kind: "no-memory"; }
    | { readonly kind: "failed"; readonly error: Error; readonly hadHeaders: boolean; };

/** Options of {@link ResponseReader}. */
export interface ResponseReaderOptions {
    readonly buffers: BufferBudget;
    /** Memory for large responses with a length, which are read only once they have it. Default: `buffers`. */
    readonly memory?: {
        readonly budget: Pick<MemoryBudget, "open">;
        readonly owner: string | undefined;
        /** Time for which a response may wait for memory. */
        readonly waitMs: number;
        /** Largest response that is read. */
        readonly maxBytes: number;
    };
    /** Why a response is rejected by its head; undefined if its body is to be read. */
    readonly rejectionOf: (head: ResponseHead) => string | undefined;
}

/**
 * Receives a response from undici and keeps its body. Small pieces are gathered, so that the memory of a body is about
 * its size however it was sent.
 *
 * @example
 * const reader = new ResponseReader(options);
 * reader.start(client, { method: "GET", path: "/" });
 * const result = await reader.result;
 */
export class ResponseReader implements Dispatcher.DispatchHandler {
    readonly result: Promise<ReadResult>;
    readonly #options: ResponseReaderOptions;
    #body: BodyBuffer | BodyMemory = new BodyBuffer();
    #reservation: BodyReservation | undefined;
    #hasBody = true;
    readonly #account: ReturnType<BufferBudget["open"]>;
    #settle: (result: ReadResult) => void = () => {};
    #controller: Dispatcher.DispatchController | undefined;
    #head: ResponseHead | undefined;
    /** Size of the body according to the head; infinite if it ends with the connection, undefined if it is chunked. */
    #lengthBytes: number | undefined;
    #informationalCount = 0;
    #pieceCount = 0;
    #isEnded = false;

    constructor(options: ResponseReaderOptions) {
        this.#options = options;
        this.result = new Promise(resolve => this.#settle = resolve);
        this.#account = options.buffers.open(reason =>
            this.#end(reason === "memory" ? { kind: "no-memory" } : { kind: "evicted" })
        );
    }

    /** Bytes of the body that have arrived. */
    get bodyBytes(): number {
        return this.#body.sizeBytes;
    }

    /** How often a head or a piece of the body was complete. */
    get progressCount(): number {
        return this.#informationalCount + (this.#head === undefined ? 0 : 1) + this.#pieceCount
            + (this.#isEnded ? 1 : 0);
    }

    /** Number of the next bytes that are certainly part of the body. */
    get knownBodyBytes(): number {
        return this.#isEnded || this.#lengthBytes === undefined ? 0 : this.#lengthBytes - this.bodyBytes;
    }

    /** Sends a request; its result is {@link result}. */
    start(client: Client, request: Dispatcher.DispatchOptions): void {
        this.#hasBody = request.method !== "HEAD";
        try {
            client.dispatch(request, this);
        }
        catch (error) {
            this.fail(error as Error);
        }
    }

    /** Ends the request with an error, unless it has ended. */
    fail(error: Error): void {
        this.#end({ kind: "failed", error, hadHeaders: this.#head !== undefined });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#isEnded) {
            controller.abort(new Error("the request ended before it was sent"));
        }
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        this.#controller = controller;
        if (!isValidStatus(status)) {
            this.#end({ kind: "invalid-status", head: { status, headers: flattenHeaders(headers) } });
            return;
        }
        if (status < 200) {
            this.#informationalCount++;
            if (this.#informationalCount > maxInformational) {
                this.fail(new ExcessError(`more than ${maxInformational} informational responses`));
            }
            return;
        }
        const head = { status, headers: flattenHeaders(headers) };
        if (headBytes(head) > maxHeadBytes) {
            this.fail(new ExcessError(`the head exceeds ${maxHeadBytes} bytes`));
            return;
        }
        this.#head = head;
        this.#lengthBytes = lengthOf(head);
        const reason = this.#options.rejectionOf(head);
        if (reason !== undefined) {
            this.#end({ kind: "rejected", reason });
            return;
        }
        this.#reserve(controller);
    }

    /** Asks for the memory of a large response, which stays at the upstream until there is some. */
    #reserve(controller: Dispatcher.DispatchController): void {
        const { memory } = this.#options;
        const lengthBytes = this.#lengthBytes ?? Infinity;
        if (memory === undefined || !this.#hasBody || lengthBytes <= smallBodyBytes || lengthBytes > memory.maxBytes) {
            return;
        }
        this.#body = new BodyMemory(lengthBytes, true);
        this.#reservation = memory.budget.open({
            owner: memory.owner,
            waitMs: memory.waitMs,
            mayStall: true,
            onGranted: () => controller.resume(),
            onRejected: () => this.#end({ kind: "no-memory" }),
        });
        if (!this.#reservation.request(lengthBytes)) {
            controller.pause();
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, piece: Buffer): void {
        if (this.#isEnded) {
            return;
        }
        this.#pieceCount++;
        this.#body.append(piece);
        if (this.#reservation === undefined) {
            this.#account.add(piece.length);
        }
    }

    onResponseEnd(): void {
        if (this.#head !== undefined && !this.#isEnded) {
            this.#end({ kind: "whole", head: this.#head, body: this.#body.take() });
        }
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail(error);
    }

    #end(result: ReadResult): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        this.#account.close();
        this.#reservation?.close();
        this.#settle(result);
        if (result.kind !== "whole") {
            this.#body.free();
            this.#controller?.abort(new Error("the response is not needed"));
        }
    }
}

/** Undici rejects a length that is no whole number. */
const lengthOf = ({ headers }: ResponseHead): number | undefined => {
    if (headers.some(([name]) => name === "transfer-encoding")) {
        return undefined;
    }
    const length = headers.find(([name]) => name === "content-length");
    return length === undefined ? Infinity : Number(length[1]) || 0;
};

/** Size of the headers on the wire: each adds ": " and a line break. */
const headBytes = ({ headers }: ResponseHead): number =>
    headers.reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
