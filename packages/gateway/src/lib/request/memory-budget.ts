/** Divides the memory for callers between bodies that arrive, responses that are read and responses that wait. */
import type { Clock } from "@sniperoad/core";
import { HeapBudget } from "./heap-budget.js";
import { OwnerBytes } from "./owner-bytes.js";

/** Size up to which a body needs no place among the large ones. The requests of the users' sites are below it. */
export const smallBodyBytes = 65_536;
/** Share of the budget that only small bodies may use, so that large ones never keep them out. */
const smallShare = 1 / 8;
/** Share of the budget for the large bodies and the untaken responses of one owner, unless it has a single one. */
const ownerShare = 1 / 2;
/** Bytes that must arrive within a time, for a body to count as making progress. */
const progressBytes = 16_384;
/** Time without progress after which a body is given up while memory is scarce, and while it is not. */
const stallMs = { scarce: 2_000, ample: 10_000 };
/** Memory of a connection whose body waits: a part of the body here, and a part in the socket. */
const waitingBytes = 3 * 65_536;
/** Share of the budget for the connections of bodies that wait. */
const waitingShare = 1 / 4;
/** Share of the budget for bytes that were read and wait for the parser. */
const pendingShare = 1 / 8;
/** Share in use from which memory counts as scarce. */
const scarceShare = 1 / 2;

/** Why a body is not read further. */
export type BodyRejection = "memory" | "stalled";

/** Options of {@link MemoryBudget.open}. */
export interface ReservationOptions {
    /** Whose share the body counts towards; undefined for callers without an organisation, who have one together. */
    readonly owner: string | undefined;
    /** Time for which the body may wait for memory. */
    readonly waitMs: number;
    /** Whether the body has a time limit of its own, so that it is not given up because it makes no progress. */
    readonly mayStall?: boolean;
    readonly onGranted: () => void;
    /** Called once; the reservation is closed then. */
    readonly onRejected: (reason: BodyRejection) => void;
}

/** Memory of one body. */
export interface BodyReservation {
    /**
     * Asks for memory for a body of this size. True if it is granted at once; otherwise `onGranted` or `onRejected`
     * follows, the latter possibly before this call returns.
     */
    request(sizeBytes: number): boolean;
    /** Counts received bytes as progress. */
    receive(sizeBytes: number): void;
    /** The body is whole; it is never given up from now on. */
    complete(): void;
    /** Gives the memory back. */
    close(): void;
}

interface Entry {
    readonly options: ReservationOptions;
    grantedBytes: number;
    /** Size that it waits for; 0 if it does not wait. */
    wantedBytes: number;
    waitEndMs: number;
    /** Bytes received since `progressMs`. */
    receivedBytes: number;
    progressMs: number;
    isComplete: boolean;
}

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly maxBytes: number;
    /** Part of it that may lie in the JavaScript heap; default: all. */
    readonly maxHeapBytes?: number;
    /** Bytes of responses without a length that are read from upstreams; they have a limit of their own too. */
    readonly upstreamBytes: () => number;
}

/**
 * Grants memory to bodies in the order in which they ask. A body that was granted its size never waits again, so those
 * that are being read always get to their end, or are given up because they stall.
 *
 * @example
 * const reservation = budget.open({ owner, waitMs: 500, onGranted, onRejected });
 * if (reservation.request(length)) { read(); }
 */
export class MemoryBudget {
    readonly #options: MemoryBudgetOptions;
    readonly #entries = new Set<Entry>();
    /** Entries that wait, in the order in which they are served. */
    #waiting: Entry[] = [];
    readonly #largeByOwner = new OwnerBytes();
    readonly #heldByOwner = new OwnerBytes();
    #grantedBytes = 0;
    #heldBytes = 0;
    #pendingBytes = 0;
    #connectionBytes = 0;
    /** Memory of headers, requests and connections in the JavaScript heap. */
    readonly heap: HeapBudget;

    constructor(options: MemoryBudgetOptions) {
        this.#options = options;
        const { maxBytes, maxHeapBytes = maxBytes } = options;
        this.heap = new HeapBudget({
            maxBytes: maxHeapBytes,
            memory: { maxBytes, freeBytes: () => maxBytes - this.usedBytes },
            onFreed: () => this.#grantWaiting(),
        });
    }

    /** Bytes in use. */
    get usedBytes(): number {
        return this.#grantedBytes + this.#heldBytes + this.#pendingBytes + this.#connectionBytes
            + this.heap.usedBytes + this.#options.upstreamBytes();
    }

    /** Whether so much is in use that memory should soon be free again. */
    get isScarce(): boolean {
        return this.#waiting.length > 0 || this.usedBytes > this.#options.maxBytes * scarceShare;
    }

    /** Whether more is in use than there is. */
    get isExceeded(): boolean {
        return this.usedBytes > this.#options.maxBytes;
    }

    /** Bytes of responses that wait for callers. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** Whether there is memory for the response of a further request, and its owner has not used its share. */
    hasRoomFor(owner: string | undefined): boolean {
        const { maxBytes } = this.#options;
        return this.usedBytes < maxBytes && this.#heldByOwner.get(owner) < maxBytes * ownerShare;
    }

    /** Whether bytes that wait for the parser take more than their share. */
    get isPendingHigh(): boolean {
        return this.#pendingBytes > this.#options.maxBytes * pendingShare;
    }

    /** Counts bytes that were read from connections and wait for the parser. */
    countPending(changeBytes: number): void {
        this.#pendingBytes += changeBytes;
    }

    /** Counts what connections take outside the heap. */
    countConnections(changeBytes: number): void {
        this.#connectionBytes += changeBytes;
    }

    /** Counts a response until the returned function is called. It was produced already, so it is never refused. */
    hold(sizeBytes: number, owner: string | undefined): () => void {
        this.#heldBytes += sizeBytes;
        this.#heldByOwner.add(owner, sizeBytes);
        let isHeld = true;
        return () => {
            if (isHeld) {
                isHeld = false;
                this.#heldBytes -= sizeBytes;
                this.#heldByOwner.add(owner, -sizeBytes);
                this.#grantWaiting();
            }
        };
    }

    open(options: ReservationOptions): BodyReservation {
        const entry: Entry = {
            options,
            grantedBytes: 0,
            wantedBytes: 0,
            waitEndMs: 0,
            receivedBytes: 0,
            progressMs: this.#options.clock.monotonicMs(),
            isComplete: false,
        };
        this.#entries.add(entry);
        return {
            request: sizeBytes => this.#request(entry, sizeBytes),
            receive: sizeBytes => this.#receive(entry, sizeBytes),
            complete: () => {
                entry.isComplete = true;
            },
            close: () => this.#close(entry),
        };
    }

    /**
     * Rejects bodies that have waited or stalled too long, and serves those that wait. Call it a few times a second.
     *
     * @param isCrowded whether something else than memory is scarce, so that stalled bodies should end soon
     */
    review(isCrowded: boolean): void {
        const nowMs = this.#options.clock.monotonicMs();
        const maxStallMs = isCrowded || this.isScarce ? stallMs.scarce : stallMs.ample;
        for (const entry of this.#entries) {
            if (entry.wantedBytes > 0) {
                if (nowMs >= entry.waitEndMs) {
                    this.#reject(entry, "memory");
                }
            }
            else if (!entry.isComplete && entry.options.mayStall !== true && nowMs - entry.progressMs >= maxStallMs) {
                this.#reject(entry, "stalled");
            }
        }
        this.#grantWaiting();
    }

    #request(entry: Entry, sizeBytes: number): boolean {
        if (!this.#entries.has(entry)) {
            return false;
        }
        const holds = ({ grantedBytes }: Entry): boolean => grantedBytes > 0;
        // Bodies that wait only for the share of their owner do not hold up others.
        const isFirstInLine = sizeBytes <= smallBodyBytes || holds(entry)
            || this.#waiting.every(waiting => this.#obstacle(waiting, waiting.wantedBytes) === "share");
        if (isFirstInLine && this.#obstacle(entry, sizeBytes) === undefined) {
            this.#grant(entry, sizeBytes);
            return true;
        }
        // Two that hold memory and wait for more could wait for each other.
        const mayWait = !holds(entry) || !this.#waiting.some(holds);
        if (!mayWait || this.#waiting.length * waitingBytes >= this.#options.maxBytes * waitingShare) {
            this.#reject(entry, "memory");
            return false;
        }
        entry.wantedBytes = sizeBytes;
        entry.waitEndMs = this.#options.clock.monotonicMs() + entry.options.waitMs;
        this.#waiting = holds(entry) ? [entry, ...this.#waiting] : [...this.#waiting, entry];
        return false;
    }

    /** What keeps a body from getting memory now: the budget, the share of its owner, or nothing. */
    #obstacle({ options: { owner }, grantedBytes }: Entry, sizeBytes: number): "budget" | "share" | undefined {
        const { maxBytes } = this.#options;
        const isSmall = sizeBytes <= smallBodyBytes;
        const limitBytes = isSmall ? maxBytes : maxBytes * (1 - smallShare);
        if (this.usedBytes - grantedBytes + sizeBytes > limitBytes) {
            return "budget";
        }
        const ownLargeBytes = grantedBytes > smallBodyBytes ? grantedBytes : 0;
        const heldBytes = this.#heldByOwner.get(owner);
        const otherBytes = this.#largeByOwner.get(owner) - ownLargeBytes + heldBytes;
        // Beside untaken responses, large ones leave the owner room for further requests, see `hasRoomFor`.
        const share = heldBytes > 0 ? ownerShare - smallShare : ownerShare;
        return !isSmall && otherBytes > 0 && otherBytes + sizeBytes > maxBytes * share ? "share" : undefined;
    }

    #grant(entry: Entry, sizeBytes: number): void {
        this.#setGranted(entry, sizeBytes);
        entry.wantedBytes = 0;
        entry.receivedBytes = 0;
        entry.progressMs = this.#options.clock.monotonicMs();
    }

    #setGranted(entry: Entry, sizeBytes: number): void {
        const largeBytes = (bytes: number): number => bytes > smallBodyBytes ? bytes : 0;
        this.#largeByOwner.add(entry.options.owner, largeBytes(sizeBytes) - largeBytes(entry.grantedBytes));
        this.#grantedBytes += sizeBytes - entry.grantedBytes;
        entry.grantedBytes = sizeBytes;
    }

    #receive(entry: Entry, sizeBytes: number): void {
        entry.receivedBytes += sizeBytes;
        if (entry.receivedBytes >= progressBytes) {
            entry.receivedBytes = 0;
            entry.progressMs = this.#options.clock.monotonicMs();
        }
    }

    #grantWaiting(): void {
        if (this.#waiting.length === 0) {
            return;
        }
        let isBudgetUsed = false;
        for (const entry of this.#waiting) {
            // A callback may have ended or served it.
            if (!this.#waiting.includes(entry)) {
                continue;
            }
            const obstacle: "budget" | "share" | undefined = isBudgetUsed
                ? "budget"
                : this.#obstacle(entry, entry.wantedBytes);
            if (obstacle === undefined) {
                this.#waiting = this.#waiting.filter(waiting => waiting !== entry);
                this.#grant(entry, entry.wantedBytes);
                entry.options.onGranted();
            }
            // A smaller body behind does not pass, as a large one would never get its memory then.
            isBudgetUsed ||= obstacle === "budget";
        }
    }

    #reject(entry: Entry, reason: BodyRejection): void {
        this.#close(entry);
        entry.options.onRejected(reason);
    }

    #close(entry: Entry): void {
        if (this.#entries.delete(entry)) {
            this.#waiting = this.#waiting.filter(waiting => waiting !== entry);
            this.#setGranted(entry, 0);
            this.#grantWaiting();
        }
    }
}
