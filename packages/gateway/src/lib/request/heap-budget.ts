/** Bounds the objects in the JavaScript heap that callers make a process hold. */
import { OwnerBytes } from "./owner-bytes.js";

/** Size up to which an account may use all of the budget. Ordinary headers are below it. */
const smallAccountBytes = 49_152;
/** Share of the budget that only small accounts may use, so that large headers never keep ordinary ones out. */
const smallShare = 1 / 8;
/** Share of the budget for the large accounts of one owner, unless it has a single one. */
const ownerShare = 1 / 2;

/** Objects that are held for one request or connection. */
export interface HeapAccount {
    /** Changes the size. False, and no change, if it grows and there is no room. */
    tryResize(sizeBytes: number, owner?: string): boolean;
    /** Changes the size of what exists already, so it is never refused. */
    resize(sizeBytes: number): void;
    close(): void;
}

/** Options of {@link HeapBudget}. */
export interface HeapBudgetOptions {
    readonly maxBytes: number;
    /** Bytes that are left of the memory of which the heap is a part, and all that there are. */
    readonly memory: { readonly freeBytes: () => number; readonly maxBytes: number; };
    /** Called when an account has become smaller. */
    readonly onFreed: () => void;
}

/**
 * Counts objects in the heap. V8 ends the process when the heap is full, although its machine has memory left.
 *
 * @example
 * const account = budget.open();
 * if (!account.tryResize(9_000)) { reject(); }
 * account.close();
 */
export class HeapBudget {
    readonly #options: HeapBudgetOptions;
    readonly #largeByOwner = new OwnerBytes();
    #usedBytes = 0;

    constructor(options: HeapBudgetOptions) {
        this.#options = options;
    }

    /** Bytes of all accounts. */
    get usedBytes(): number {
        return this.#usedBytes;
    }

    open(): HeapAccount {
        const state: AccountState = { sizeBytes: 0, owner: undefined };
        return {
            tryResize: (sizeBytes, owner = state.owner) => {
                const mayResize = sizeBytes <= state.sizeBytes || this.#hasRoom(state, sizeBytes, owner);
                if (mayResize) {
                    this.#set(state, sizeBytes, owner);
                }
                return mayResize;
            },
            resize: sizeBytes => this.#set(state, sizeBytes, state.owner),
            close: () => this.#set(state, 0, undefined),
        };
    }

    #hasRoom(state: AccountState, sizeBytes: number, owner: string | undefined): boolean {
        const { maxBytes, memory } = this.#options;
        const isSmall = sizeBytes <= smallAccountBytes;
        const growthBytes = sizeBytes - state.sizeBytes;
        const reservedShare = isSmall ? 0 : smallShare;
        if (
            this.#usedBytes + growthBytes > maxBytes * (1 - reservedShare)
            || growthBytes > memory.freeBytes() - memory.maxBytes * reservedShare
        ) {
            return false;
        }
        const ownBytes = state.owner === owner ? largeBytes(state.sizeBytes) : 0;
        const otherBytes = this.#largeByOwner.get(owner) - ownBytes;
        return isSmall || otherBytes === 0 || otherBytes + sizeBytes <= maxBytes * ownerShare;
    }

    #set(state: AccountState, sizeBytes: number, owner: string | undefined): void {
        const changeBytes = sizeBytes - state.sizeBytes;
        this.#largeByOwner.add(state.owner, -largeBytes(state.sizeBytes));
        this.#largeByOwner.add(owner, largeBytes(sizeBytes));
        state.sizeBytes = sizeBytes;
        state.owner = owner;
        this.#usedBytes += changeBytes;
        if (changeBytes < 0) {
            this.#options.onFreed();
        }
    }
}

interface AccountState {
    sizeBytes: number;
    owner: string | undefined;
}

const largeBytes = (sizeBytes: number): number => sizeBytes > smallAccountBytes ? sizeBytes : 0;
