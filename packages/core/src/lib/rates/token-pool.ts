/** Tokens of one organisation at one instance. */
import type { Clock } from "../ports.js";
import type { RateToken } from "../stages.js";
import type { TokenUsageReport } from "./messages.js";
import type { RateOptions, UnsafeRateOptions } from "./options.js";

/** Tokens granted by one request. */
interface Batch {
    readonly share: number;
    readonly draw: number;
    readonly sentAtMs: number;
    readonly expiresAtMs: number;
    /** Whether the coordinator was short of tokens, in which case early reports let its bucket refill sooner. */
    readonly isScarce: boolean;
    available: number;
    /** Tokens that requests hold but have not used. */
    held: number;
    used: number;
    returned: number;
    reportedUsed: number;
    reportedReturned: number;
}

/** The tokens granted by one request. */
export type TokenGrant = Pick<Batch, "share" | "draw" | "sentAtMs" | "isScarce"> & { readonly granted: number; };

/**
 * Holds batches until they are used, returned or expired, and tracks what to report about them.
 *
 * A token expires `batchTtlMs` after its request was sent. The coordinator counts the same time from its debit, which
 * is later, so it never refills a token that can still be dispatched.
 */
export class TokenPool {
    readonly #clock: Clock;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #onRelease: () => void;
    #batches: Batch[] = [];

    /** @param onRelease Called when a token becomes available again. */
    constructor(clock: Clock, options: RateOptions & UnsafeRateOptions, onRelease: () => void) {
        this.#clock = clock;
        this.#options = options;
        this.#onRelease = onRelease;
    }

    get isEmpty(): boolean {
        return this.#batches.length === 0;
    }

    /** Tokens that can be taken now. */
    available(nowMs: number): number {
        return this.#batches.reduce((sum, batch) => sum + (batch.expiresAtMs > nowMs ? batch.available : 0), 0);
    }

    add(grant: TokenGrant): void {
        const { granted, ...rest } = grant;
        this.#batches.push({
            ...rest,
            expiresAtMs: grant.sentAtMs + this.#options.batchTtlMs,
            available: granted,
            held: 0,
            used: 0,
            returned: 0,
            reportedUsed: 0,
            reportedReturned: 0,
        });
    }

    /** Takes a token from the batch that expires first. */
    take(nowMs: number): RateToken | undefined {
        const batch = this.#batches.find(candidate => candidate.available > 0 && candidate.expiresAtMs > nowMs);
        if (batch === undefined) {
            return undefined;
        }
        batch.available--;
        batch.held++;
        return this.#token(batch);
    }

    /** Reports the changes in the batches of a share since the last report, and marks them as reported. */
    takeReports(share: number): TokenUsageReport[] {
        const changed = this.#batches.filter(batch => batch.share === share && isChanged(batch));
        changed.forEach(batch => {
            batch.reportedUsed = batch.used;
            batch.reportedReturned = batch.returned;
        });
        return changed.map(({ draw, used, returned }) => ({ draw, used, returned }));
    }

    /**
     * Returns tokens that were requested in advance and not needed, and removes finished batches.
     *
     * @returns The shares that need a report now.
     */
    sweep(nowMs: number): ReadonlySet<number> {
        const shares = new Set<number>();
        this.#batches = this.#batches.filter(batch => batch.expiresAtMs > nowMs && !isFinished(batch));
        for (const batch of this.#batches) {
            if (batch.available > 0 && nowMs - batch.sentAtMs >= this.#options.returnAfterMs) {
                batch.returned += batch.available;
                batch.available = 0;
            }
            if (batch.returned > batch.reportedReturned || (batch.isScarce && isChanged(batch))) {
                shares.add(batch.share);
            }
        }
        return shares;
    }

    #token(batch: Batch): RateToken {
        let isEnded = false;
        const end = (): boolean => {
            const wasEnded = isEnded;
            isEnded = true;
            batch.held -= wasEnded ? 0 : 1;
            return !wasEnded;
        };
        return {
            consume: () => {
                if (!end() || (this.#clock.monotonicMs() >= batch.expiresAtMs && this.#options.ignoreExpiry !== true)) {
                    return false;
                }
                batch.used++;
                return true;
            },
            release: () => {
                if (end()) {
                    batch.available++;
                    this.#onRelease();
                }
            },
        };
    }
}

const isChanged = (batch: Batch): boolean =>
    batch.used !== batch.reportedUsed || batch.returned !== batch.reportedReturned;

const isFinished = (batch: Batch): boolean => batch.available === 0 && batch.held === 0 && !isChanged(batch);
