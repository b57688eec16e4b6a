/** Reads the body of one request into one buffer, within the memory that is granted for it. */
import type { IncomingMessage } from "node:http";
import { BodyMemory } from "../request/body-memory.js";
import { smallBodyBytes } from "../request/memory-budget.js";
import type { BodyRejection, BodyReservation, MemoryBudget } from "../request/memory-budget.js";
import type { CallerConnection } from "./caller-connection.js";
import type { UnfinishedExcess } from "./unfinished-meter.js";

/** Bytes that the parser gets at once if it is not known what they are; they hold few requests or chunks. */
export const pieceBytes = 1_024;
/** Factor by which the memory of a body of unknown length grows, and the size above which it grows by that size. */
const growthFactor = 4;
const growthBytes = 4 * 1_048_576;
const emptyBody = new Uint8Array(0);

/** Whether a request has a body, by its header. */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/**
 * Whether bytes behind a request may be lost: the parser drops what follows a request with an `Upgrade` in the same piece,
 * and the response of a later request would be taken for that of a dropped one.
 */
export const losesRest = (incoming: IncomingMessage, connection: CallerConnection): boolean =>
    incoming.headers.upgrade !== undefined && (hasBody(incoming) || !connection.isAtHeaderEnd);

/**
 * How the reading of a body ended; `overhead`: its trailers or a chunk extension are too long; `malformed`: it does not
 * keep to the protocol; `gone`: its connection ended before.
 */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Uint8Array; }
    | { readonly kind: "too-large" | "overhead" | "malformed" | "gone"; }
    | { readonly kind: "rejected"; readonly reason: BodyRejection; };

/** Options of {@link RequestBody}. */
export interface RequestBodyOptions {
    readonly budget: MemoryBudget;
    readonly maxBytes: number;
    readonly owner: string | undefined;
    /** Time for which the body may wait for memory. */
    readonly waitMs: number;
    /** Called when memory for more of the body was granted. */
    readonly onGranted: () => void;
    /** Called for each piece of the body. */
    readonly onProgress: () => void;
}

/**
 * A body that arrives. It takes what arrives at once, whatever its size, so that no list of pieces builds up; how much
 * may arrive is `allowedBytes`.
 *
 * @example
 * const body = new RequestBody(incoming, options);
 * const result = await body.result;
 * body.close();
 */
export class RequestBody {
    readonly result: Promise<BodyResult>;
    readonly #options: RequestBodyOptions;
    readonly #lengthBytes: number | undefined;
    #settle: (result: BodyResult) => void = () => {};
    #reservation: BodyReservation | undefined;
    readonly #memory: BodyMemory;
    #grantedBytes = 0;
    /** Size for which memory was asked. */
    #wantedBytes = 0;
    #isEnded = false;

    constructor(incoming: IncomingMessage, options: RequestBodyOptions) {
        this.#options = options;
        this.result = new Promise(resolve => this.#settle = resolve);
        const length = incoming.headers["content-length"];
        this.#lengthBytes = length === undefined ? undefined : Number(length);
        this.#memory = new BodyMemory(this.#lengthBytes ?? options.maxBytes, length !== undefined);
        if (!hasBody(incoming)) {
            incoming.resume();
            this.#end({ kind: "whole", body: emptyBody });
            return;
        }
        // Without a listener, an error of the connection would end the process.
        incoming.on("error", () => this.#end({ kind: "gone" }));
        incoming.on("close", () => this.#end({ kind: "gone" }));
        incoming.on("data", (piece: Buffer) => this.#append(piece));
        incoming.on("end", () => this.#complete());
        if ((this.#lengthBytes ?? 0) > options.maxBytes) {
            this.#end({ kind: "too-large" });
            return;
        }
        this.#open();
    }

    /** Whether all that the connection brings next is a part of the body. */
    get hasKnownLength(): boolean {
        return this.#lengthBytes !== undefined;
    }

    /** Bytes of the connection that may be read now: none while the body waits for memory. */
    get allowedBytes(): number {
        if (this.#isEnded || this.#wantedBytes > this.#grantedBytes) {
            return 0;
        }
        return this.#lengthBytes === undefined ? pieceBytes : this.#lengthBytes - this.#memory.sizeBytes;
    }

    /** Gives up what is besides the body: it is too long, or there is no memory for it. */
    rejectOverhead(excess: UnfinishedExcess): void {
        this.#end(excess === "too-long" ? { kind: "overhead" } : { kind: "rejected", reason: "memory" });
    }

    /** Gives up a body whose bytes the parser refuses. */
    rejectMalformed(): void {
        this.#end({ kind: "malformed" });
    }

    /** Gives the memory back, once the body is no longer needed. */
    close(): void {
        this.#end({ kind: "gone" });
        this.#reservation?.close();
    }

    #open(): void {
        const { budget, owner, waitMs, maxBytes, onGranted } = this.#options;
        this.#reservation = budget.open({
            owner,
            waitMs,
            onGranted: () => {
                this.#grantedBytes = this.#wantedBytes;
                onGranted();
            },
            onRejected: reason => this.#end({ kind: "rejected", reason }),
        });
        this.#request(this.#lengthBytes ?? Math.min(smallBodyBytes, maxBytes));
    }

    #request(sizeBytes: number): void {
        this.#wantedBytes = sizeBytes;
        if (this.#reservation?.request(sizeBytes) === true) {
            this.#grantedBytes = sizeBytes;
        }
    }

    #append(piece: Buffer): void {
        if (this.#isEnded) {
            return;
        }
        const { maxBytes, onProgress } = this.#options;
        onProgress();
        const sizeBytes = this.#memory.sizeBytes + piece.length;
        if (sizeBytes > maxBytes) {
            this.#end({ kind: "too-large" });
            return;
        }
        try {
            this.#memory.append(piece);
        }
        catch {
            // The system has no memory although the budget has.
            this.#end({ kind: "rejected", reason: "memory" });
            return;
        }
        this.#reservation?.receive(piece.length);
        const isUnknown = this.#lengthBytes === undefined;
        if (isUnknown && sizeBytes > this.#wantedBytes - pieceBytes && this.#wantedBytes < maxBytes) {
            const isLarge = this.#wantedBytes >= growthBytes;
            const nextBytes = isLarge ? this.#wantedBytes + growthBytes : this.#wantedBytes * growthFactor;
            this.#request(Math.min(maxBytes, nextBytes));
        }
    }

    #complete(): void {
        this.#options.onProgress();
        this.#reservation?.complete();
        this.#end({ kind: "whole", body: this.#memory.take() });
    }

    #end(result: BodyResult): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        if (result.kind !== "whole") {
            this.#memory.free();
            this.#reservation?.close();
        }
        this.#settle(result);
    }
}
