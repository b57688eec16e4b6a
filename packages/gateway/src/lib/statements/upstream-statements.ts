/** What upstreams state about themselves in their answers, as all instances have heard it. */
import type { Clock, LogPort, UpstreamId } from "@sniperoad/core";
import type { ListedUpstream, UpstreamStatement } from "../model.js";
import { nameKey } from "../name-key.js";

/** A statement of an upstream as instances send it to each other. */
export interface SharedStatement extends UpstreamStatement {
    /** See `nameKey`. */
    readonly key: number;
    /** See {@link incarnationOf}. */
    readonly incarnation: number;
    /** Time since the answer that contained it. */
    readonly ageMs: number;
}

/** Relative change of a limit from which it is sent to the other instances at once. */
const limitChange = 0.05;
/**
 * Time after which a statement that continues is sent again, for instances that have started or lost it. Whoever receives
 * an answer first sends it, and the others see that.
 */
const repeatMs = 2_000;
/** Delay after which a changed statement is sent once more, as a datagram may be lost. */
const resendDelayMs = 250;

interface Entry extends UpstreamStatement {
    readonly incarnation: number;
    /** Monotonic time of the answer. */
    readonly statedMs: number;
    /** Monotonic time at which any instance sent it to the others, as far as this one knows. */
    readonly sharedMs: number;
}

/** Options of {@link UpstreamStatements}. */
export interface UpstreamStatementsOptions {
    readonly clock: Clock;
    readonly log: LogPort;
    /** Listed upstreams with a key; see `nameKey`. */
    readonly listedOf: (key: number) => readonly ListedUpstream[];
    /** Sends statements to all other instances. */
    readonly share: (statements: readonly SharedStatement[]) => void;
}

/** Distinguishes the processes that run under the id of an upstream one after the other. */
export const incarnationOf = ({ startedMs }: ListedUpstream): number => startedMs % 2 ** 32;

/**
 * Keeps the newest statement of each upstream until it states something else, its process is replaced, or it is no
 * longer listed. The statement is not limited in time, since an upstream that gets no request cannot repeat it.
 *
 * @example
 * statements.recordAnswer(listed, { limitPerSecond: 5 });
 * statements.limitOf(listed); // 5
 */
export class UpstreamStatements {
    readonly #options: UpstreamStatementsOptions;
    readonly #entries = new Map<UpstreamId, Entry>();

    constructor(options: UpstreamStatementsOptions) {
        this.#options = options;
    }

    /** Requests per second that an upstream takes from all instances together; undefined: it has named no limit. */
    limitOf(listed: ListedUpstream): number | undefined {
        return this.#entryOf(listed)?.limitPerSecond;
    }

    /** Records what an upstream stated in an answer to this instance. */
    recordAnswer(listed: ListedUpstream, statement: UpstreamStatement): void {
        const { clock } = this.#options;
        const nowMs = clock.monotonicMs();
        const previous = this.#entryOf(listed);
        const hasChanged = isChanged(previous, statement);
        const isRepeatDue = statement.limitPerSecond !== undefined
            && previous !== undefined
            && nowMs - previous.sharedMs >= repeatMs;
        if (!hasChanged && previous === undefined) {
            return;
        }
        const isShared = hasChanged || isRepeatDue;
        this.#set(listed, statement, nowMs, isShared ? nowMs : previous?.sharedMs ?? nowMs);
        if (isShared) {
            this.#share(listed);
        }
        if (hasChanged) {
            clock.after(resendDelayMs, () => this.#share(listed));
        }
    }

    /** Records statements that other instances have heard; older ones than the held one change nothing. */
    recordShared(statements: readonly SharedStatement[]): void {
        const nowMs = this.#options.clock.monotonicMs();
        for (const { key, incarnation, ageMs, ...statement } of statements) {
            for (const listed of this.#options.listedOf(key)) {
                const previous = this.#entryOf(listed);
                const statedMs = nowMs - ageMs;
                if (incarnationOf(listed) === incarnation && statedMs > (previous?.statedMs ?? -Infinity)) {
                    this.#set(listed, statement, statedMs, nowMs);
                }
            }
        }
    }

    /** Removes the statements of upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#entries.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#entries.delete(upstream)
        );
    }

    #entryOf(listed: ListedUpstream): Entry | undefined {
        const entry = this.#entries.get(listed.id);
        return entry?.incarnation === incarnationOf(listed) ? entry : undefined;
    }

    #set(listed: ListedUpstream, statement: UpstreamStatement, statedMs: number, sharedMs: number): void {
        if (isChanged(this.#entryOf(listed), statement)) {
            this.#options.log.event("upstream-limit", { upstream: listed.id, perSecond: statement.limitPerSecond });
        }
        this.#entries.set(listed.id, { ...statement, incarnation: incarnationOf(listed), statedMs, sharedMs });
    }

    #share(listed: ListedUpstream): void {
        const entry = this.#entryOf(listed);
        if (entry !== undefined) {
            const { limitPerSecond, incarnation, statedMs } = entry;
            const ageMs = this.#options.clock.monotonicMs() - statedMs;
            this.#options.share([{ key: nameKey(listed.id), incarnation, ageMs, limitPerSecond }]);
        }
    }
}

const isChanged = (previous: UpstreamStatement | undefined, { limitPerSecond }: UpstreamStatement): boolean => {
    const former = previous?.limitPerSecond;
    return former === undefined || limitPerSecond === undefined
        ? former !== limitPerSecond
        : Math.abs(limitPerSecond - former) > limitChange * former;
};
