/** What upstreams state about themselves in their answers, as all instances have heard it. */
import type { Clock, LogPort, Random, UpstreamId } from "@sniperoad/core";
import type { ListedUpstream, UpstreamStatement } from "../model.js";
import { nameKey } from "../name-key.js";

/** What a statement says to all instances. */
type FleetStatement = Pick<UpstreamStatement, "limitPerSecond" | "isLeaving">;

/** A statement of an upstream as instances send it to each other. */
export interface SharedStatement extends FleetStatement {
    /** See `nameKey`. */
    readonly key: number;
    /** See {@link incarnationOf}. */
    readonly incarnation: number;
    /** Time since the answer that contained it. */
    readonly ageMs: number;
}

/** How long the statement of an upstream that leaves is kept after it is no longer listed, as its entry may reappear. */
const leavingKeptMs = 600_000;
/**
 * Time after which a statement is sent again that no answer has renewed, for instances that have started since. It is
 * spread at random, so that one instance sends it and the others see that.
 */
const renewMs = 5_000;
/** Longest pause that an upstream can ask for, so that an absurd value does not exclude it for good. */
const maxPauseMs = 60_000;
/** Relative change of a limit from which it is sent to the other instances at once. */
const limitChange = 0.05;
/**
 * Time after which a statement that continues is sent again, for instances that have started or lost it. Whoever receives
 * an answer first sends it, and the others see that.
 */
const repeatMs = 2_000;
/** Delay after which a changed statement is sent once more, as a datagram may be lost. */
const resendDelayMs = 250;

interface Entry extends FleetStatement {
    readonly incarnation: number;
    /** Monotonic time of the answer. */
    readonly statedMs: number;
    /** Monotonic time at which any instance sent it to the others, as far as this one knows. */
    readonly sharedMs: number;
}

/** Options of {@link UpstreamStatements}. */
export interface UpstreamStatementsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: LogPort;
    /** Listed upstreams with a key; see `nameKey`. */
    readonly listedOf: (key: number) => readonly ListedUpstream[];
    /** Sends statements to all other instances. */
    readonly share: (statements: readonly SharedStatement[]) => void;
}

interface Pause {
    readonly incarnation: number;
    /** Monotonic time from which the upstream takes requests again. */
    readonly endMs: number;
}

/** Number of statements that are sent together, which then fit into a packet of common links. */
const maxShared = 60;

/** Distinguishes the processes that run under the id of an upstream one after the other. */
export const incarnationOf = ({ startedMs }: ListedUpstream): number => startedMs % 2 ** 32;

/**
 * Keeps the newest statement of each upstream until it states something else, its process is replaced, or it is no
 * longer listed. The statement is not limited in time, since an upstream that gets no request cannot repeat it.
 *
 * @example
 * statements.recordAnswer(listed, { limitPerSecond: 5, isLeaving: false, retryAfterMs: undefined });
 * statements.limitOf(listed); // 5
 */
export class UpstreamStatements {
    readonly #options: UpstreamStatementsOptions;
    readonly #entries = new Map<UpstreamId, Entry>();
    /** Upstreams that want no request from this instance for a while. */
    readonly #pauses = new Map<UpstreamId, Pause>();

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
        this.#recordPause(listed, statement.retryAfterMs);
        const previous = this.#entryOf(listed);
        const hasChanged = isChanged(previous, statement);
        const isRepeatDue = previous !== undefined
            && isAnything(statement)
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

    /** Whether the process of an upstream has stated that it leaves. */
    isLeaving(listed: ListedUpstream): boolean {
        return this.#entryOf(listed)?.isLeaving === true;
    }

    /** Time for which an upstream wants no request from this instance; 0 if it takes one. */
    pausedForMs(listed: ListedUpstream): number {
        const pause = this.#pauses.get(listed.id);
        return pause?.incarnation === incarnationOf(listed)
            ? Math.max(0, pause.endMs - this.#options.clock.monotonicMs())
            : 0;
    }

    /** Sends statements again that were not sent for a while; call it periodically. */
    renew(): void {
        const { clock, random, share } = this.#options;
        const sentBeforeMs = clock.monotonicMs() - renewMs;
        const due = [...this.#entries].filter(([, entry]) =>
            isAnything(entry) && entry.sharedMs < sentBeforeMs - renewMs * random()
        );
        for (const [upstream, entry] of due) {
            this.#entries.set(upstream, { ...entry, sharedMs: clock.monotonicMs() });
        }
        for (let start = 0; start < due.length; start += maxShared) {
            share(due.slice(start, start + maxShared).map(([upstream, entry]) => this.#sharedOf(upstream, entry)));
        }
    }

    /** Records statements that other instances have heard; older ones than the held one change nothing. */
    recordShared(statements: readonly SharedStatement[]): void {
        const nowMs = this.#options.clock.monotonicMs();
        for (const { key, incarnation, ageMs, ...statement } of statements) {
            for (const listed of this.#options.listedOf(key)) {
                const previous = this.#entryOf(listed);
                const statedMs = nowMs - ageMs;
                if (incarnationOf(listed) !== incarnation) {
                    continue;
                }
                if (previous === undefined || statedMs > previous.statedMs) {
                    this.#set(listed, statement, statedMs, nowMs);
                }
                else {
                    this.#entries.set(listed.id, {
                        ...previous,
                        isLeaving: previous.isLeaving || statement.isLeaving,
                        sharedMs: nowMs,
                    });
                }
            }
        }
    }

    /** Removes the statements of upstreams that are no longer listed; those that leave are kept for a while. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#pauses.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#pauses.delete(upstream)
        );
        const keptSinceMs = this.#options.clock.monotonicMs() - leavingKeptMs;
        for (const [upstream, { isLeaving, statedMs }] of this.#entries) {
            if (!isListed(upstream) && !(isLeaving && statedMs >= keptSinceMs)) {
                this.#entries.delete(upstream);
            }
        }
    }

    #recordPause(listed: ListedUpstream, retryAfterMs: number | undefined): void {
        if (retryAfterMs === undefined) {
            return;
        }
        const { clock, log } = this.#options;
        const pausedForMs = Math.min(maxPauseMs, retryAfterMs);
        if (this.pausedForMs(listed) === 0) {
            log.event("upstream-paused", { upstream: listed.id, forMs: Math.round(pausedForMs) });
        }
        // Answers to requests that were sent together may name different times.
        const endMs = clock.monotonicMs() + Math.max(pausedForMs, this.pausedForMs(listed));
        this.#pauses.set(listed.id, { incarnation: incarnationOf(listed), endMs });
    }

    #entryOf(listed: ListedUpstream): Entry | undefined {
        const entry = this.#entries.get(listed.id);
        return entry?.incarnation === incarnationOf(listed) ? entry : undefined;
    }

    #set(listed: ListedUpstream, statement: FleetStatement, statedMs: number, sharedMs: number): void {
        const previous = this.#entryOf(listed);
        // Leaving is final, but an answer that was on its way may not contain it yet.
        const isLeaving = statement.isLeaving || previous?.isLeaving === true;
        const { limitPerSecond } = statement;
        if (isChanged(previous, { limitPerSecond, isLeaving })) {
            this.#options.log.event("upstream-stated", { upstream: listed.id, limitPerSecond, isLeaving });
        }
        const incarnation = incarnationOf(listed);
        this.#entries.set(listed.id, { limitPerSecond, isLeaving, incarnation, statedMs, sharedMs });
    }

    #share(listed: ListedUpstream): void {
        const entry = this.#entryOf(listed);
        if (entry !== undefined) {
            this.#options.share([this.#sharedOf(listed.id, entry)]);
        }
    }

    #sharedOf(upstream: UpstreamId, { limitPerSecond, isLeaving, incarnation, statedMs }: Entry): SharedStatement {
        const ageMs = this.#options.clock.monotonicMs() - statedMs;
        return { key: nameKey(upstream), incarnation, ageMs, limitPerSecond, isLeaving };
    }
}

/** Whether a statement says more than that all is well. */
const isAnything = ({ limitPerSecond, isLeaving }: FleetStatement): boolean =>
    limitPerSecond !== undefined || isLeaving;

const isChanged = (previous: FleetStatement | undefined, statement: FleetStatement): boolean =>
    statement.isLeaving && previous?.isLeaving !== true
    || hasLimitChanged(previous?.limitPerSecond, statement.limitPerSecond);

const hasLimitChanged = (former: number | undefined, limit: number | undefined): boolean =>
    former === undefined || limit === undefined ? former !== limit : Math.abs(limit - former) > limitChange * former;
