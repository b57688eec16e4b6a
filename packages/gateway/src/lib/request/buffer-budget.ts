/** Bounds the memory of responses that are read at the same time. */
import { smallBodyBytes } from "./memory-budget.js";

/** A buffer that is being filled. */
export interface BufferAccount {
    /** Counts received bytes. The account itself may be evicted by that. */
    add(sizeBytes: number): void;
    /** Ends the count of this buffer. */
    close(): void;
}

/** Why a buffer is given up: those of this budget are too large, or there is no memory besides them. */
export type EvictionReason = "budget" | "memory";

interface OpenAccount {
    sizeBytes: number;
    readonly onEvict: (reason: EvictionReason) => void;
}

/**
 * Counts the bytes of all responses that are being read. Beyond the limit the largest one is evicted, so that bodies
 * without end do not take the place of ordinary ones.
 *
 * @example
 * const account = budget.open(() => connection.destroy());
 * account.add(chunk.length);
 * account.close();
 */
export class BufferBudget {
    readonly #maxBytes: number;
    readonly #isMemoryExceeded: () => boolean;
    readonly #accounts = new Set<OpenAccount>();
    #totalBytes = 0;

    /** @param isMemoryExceeded whether more memory is in use in all than there is */
    constructor(maxBytes: number, isMemoryExceeded: () => boolean = () => false) {
        this.#maxBytes = maxBytes;
        this.#isMemoryExceeded = isMemoryExceeded;
    }

    /** Bytes of all open accounts. */
    get totalBytes(): number {
        return this.#totalBytes;
    }

    /** Opens an account; `onEvict` is called once if its buffer must be given up, which also closes it. */
    open(onEvict: (reason: EvictionReason) => void): BufferAccount {
        const account: OpenAccount = { sizeBytes: 0, onEvict };
        this.#accounts.add(account);
        return {
            add: sizeBytes => {
                if (this.#accounts.has(account)) {
                    account.sizeBytes += sizeBytes;
                    this.#totalBytes += sizeBytes;
                    this.#enforce();
                }
            },
            close: () => this.#close(account),
        };
    }

    #enforce(): void {
        for (let excess = this.#excess(); excess !== undefined; excess = this.#excess()) {
            this.#close(excess.account);
            excess.account.onEvict(excess.reason);
        }
    }

    /** The buffer to give up; small ones stay if only other memory is used up, as they would free little. */
    #excess(): { readonly account: OpenAccount; readonly reason: EvictionReason; } | undefined {
        const reason = this.#totalBytes > this.#maxBytes ? "budget" : "memory";
        if (this.#totalBytes === 0 || reason === "memory" && !this.#isMemoryExceeded()) {
            return undefined;
        }
        const account = [...this.#accounts].reduce((left, right) => right.sizeBytes > left.sizeBytes ? right : left);
        return reason === "memory" && account.sizeBytes <= smallBodyBytes ? undefined : { account, reason };
    }

    #close(account: OpenAccount): void {
        if (this.#accounts.delete(account)) {
            this.#totalBytes -= account.sizeBytes;
        }
    }
}
