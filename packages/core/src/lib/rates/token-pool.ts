/** The tokens of one organisation that one instance holds. */
import type { Clock } from "../ports.js";
import type { RateToken } from "../stages.js";
import type { TokenUsageReport } from "./messages.js";
import type { RateOptions, UnsafeRateOptions } from "./options.js";

/** Tokens that came with one draw. */
interface Batch {
    readonly share: number;
    readonly draw: number;
    readonly sentAtMs: number;
    readonly expiresAtMs: number;
    /** Whether the home was short of tokens, so that early reports let its bucket refill sooner. */
    readonly isScarce: boolean;
    available: number;
    /** Tokens that a request holds and has not spent. */
    held: number;
    used: number;
    returned: number;
    reportedUsed: number;
    reportedReturned: number;
}

/** A granted draw. */
export type TokenGrant = Pick<Batch, "share" | "draw" | "sentAtMs" | "isScarce"> & { readonly granted: number; };

/**
 * Holds batches until they are used, returned or expired, and knows what to report about them.
 *
 * A token expires `batchTtlMs` after the draw was sent. The home counts from its later debit, so it never refills a
 * token before it can no longer be dispatched.
 */
export class TokenPool {
    readonly #clock: Clock;
    readonly #options: RateOptions & UnsafeRateOptions;
    readonly #onGiveBack: () => void;
    #batches: Batch[] = [];

    constructor(clock: Clock, options: RateOptions & UnsafeRateOptions, onGiveBack: () => void) {
        this.#clock = clock;
        this.#options = options;
        this.#onGiveBack = onGiveBack;
    }

    get isEmpty(): boolean {
        return this.#batches.length === 0;
    }

    /** Tokens that can be taken now. */
    available(nowMs: number): number {
        return this.#batches.reduce((sum, batch) => sum + (batch.expiresAtMs > nowMs ? batch.available : 0), 0);
    }

    add(draw: TokenGrant): void {
        const { granted, ...rest } = draw;
        this.#batches.push({
            ...rest,
            expiresAtMs: draw.sentAtMs + this.#options.batchTtlMs,
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

    /** What has changed in the batches of a share since the last report; counts as reported from now on. */
    takeReports(share: number): TokenUsageReport[] {
        const changed = this.#batches.filter(batch => batch.share === share && isChanged(batch));
        changed.forEach(batch => {
            batch.reportedUsed = batch.used;
            batch.reportedReturned = batch.returned;
        });
        return changed.map(({ draw, used, returned }) => ({ draw, used, returned }));
    }

    /**
     * Gives up tokens that were drawn ahead and not needed, and forgets batches that are done.
     *
     * @returns the shares that are worth a report now.
     */
    sweep(nowMs: number): ReadonlySet<number> {
        const shares = new Set<number>();
        this.#batches = this.#batches.filter(batch => batch.expiresAtMs > nowMs && !isDone(batch));
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
        let isOver = false;
        const end = (): boolean => {
            const wasOver = isOver;
            isOver = true;
            batch.held -= wasOver ? 0 : 1;
            return !wasOver;
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
                    this.#onGiveBack();
                }
            },
        };
    }
}

const isChanged = (batch: Batch): boolean =>
    batch.used !== batch.reportedUsed || batch.returned !== batch.reportedReturned;

const isDone = (batch: Batch): boolean => batch.available === 0 && batch.held === 0 && !isChanged(batch);
