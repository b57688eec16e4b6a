/** Upstreams that have refused connections, as they may have restarted before their entries say so. */
import type { Clock, UpstreamId } from "@sniperoad/core";
import type { ListedUpstream } from "../model.js";
import { nameKey } from "../name-key.js";
import { incarnationOf } from "./upstream-statements.js";

/** An outage of an upstream as instances send it to each other. */
export interface SharedOutage {
    /** See `nameKey`. */
    readonly key: number;
    /** See `incarnationOf`. */
    readonly incarnation: number;
    /** Time since the upstream last refused a connection. */
    readonly refusedAgeMs: number;
    /** Time since it answered again; undefined: it has not. */
    readonly answeredAgeMs: number | undefined;
}

/** Time after which an outage that continues is sent again, for instances that have lost it. */
const repeatMs = 4_000;
/** Delay after which news is sent once more, as a datagram may be lost. */
const resendDelayMs = 250;
/** Time after which an upstream that nobody has reached again counts as any other; its entry has lapsed by then. */
const maxOutageMs = 30_000;

interface Outage {
    readonly incarnation: number;
    /** Monotonic time of the last refused connection. */
    readonly refusedMs: number;
    /** Monotonic time of the first answer after it. */
    readonly answeredMs: number | undefined;
    /** Monotonic time at which any instance sent it to the others, as far as this one knows. */
    readonly sharedMs: number;
}

/** Options of {@link UpstreamOutages}. */
export interface UpstreamOutagesOptions {
    readonly clock: Clock;
    /** Listed upstreams with a key; see `nameKey`. */
    readonly listedOf: (key: number) => readonly ListedUpstream[];
    /** Sends outages to all other instances. */
    readonly share: (outages: readonly SharedOutage[]) => void;
}

/**
 * Keeps the last outage of each upstream until its entry names another process. All instances hear of it, since few of
 * them notice a short one.
 *
 * @example
 * outages.recordRefused(listed);
 * outages.endMs(listed); // Infinity until an instance gets an answer of the upstream
 */
export class UpstreamOutages {
    readonly #options: UpstreamOutagesOptions;
    readonly #outages = new Map<UpstreamId, Outage>();

    constructor(options: UpstreamOutagesOptions) {
        this.#options = options;
    }

    /** Monotonic time at which the last outage of an upstream ended, Infinity if it lasts; undefined: it had none. */
    endMs(listed: ListedUpstream): number | undefined {
        const outage = this.#outageOf(listed);
        if (outage === undefined) {
            return undefined;
        }
        const hasLapsed = outage.answeredMs === undefined
            && this.#options.clock.monotonicMs() - outage.refusedMs > maxOutageMs;
        return hasLapsed ? undefined : outage.answeredMs ?? Infinity;
    }

    /** Records that an upstream refused a connection of this instance. */
    recordRefused(listed: ListedUpstream): void {
        const nowMs = this.#options.clock.monotonicMs();
        const previous = this.#outageOf(listed);
        const isNews = previous === undefined || previous.answeredMs !== undefined;
        const isShared = isNews || nowMs - previous.sharedMs >= repeatMs;
        this.#outages.set(listed.id, {
            incarnation: incarnationOf(listed),
            refusedMs: nowMs,
            answeredMs: undefined,
            sharedMs: isShared ? nowMs : previous.sharedMs,
        });
        this.#share(listed, isShared, isNews);
    }

    /** Records an answer of an upstream to a request that this instance sent at a monotonic time. */
    recordAnswered(listed: ListedUpstream, sentMs: number): void {
        const outage = this.#outageOf(listed);
        // A request that was sent before the outage was answered by the former process.
        if (outage === undefined || outage.answeredMs !== undefined || sentMs < outage.refusedMs) {
            return;
        }
        const nowMs = this.#options.clock.monotonicMs();
        this.#outages.set(listed.id, { ...outage, answeredMs: nowMs, sharedMs: nowMs });
        this.#share(listed, true, true);
    }

    /** Records outages that other instances have noticed. */
    recordShared(outages: readonly SharedOutage[]): void {
        const nowMs = this.#options.clock.monotonicMs();
        for (const { key, incarnation, refusedAgeMs, answeredAgeMs } of outages) {
            for (const listed of this.#options.listedOf(key)) {
                if (incarnationOf(listed) === incarnation) {
                    const refusedMs = nowMs - refusedAgeMs;
                    const answeredMs = answeredAgeMs === undefined ? undefined : nowMs - answeredAgeMs;
                    this.#outages.set(listed.id, {
                        ...latest(this.#outageOf(listed), { incarnation, refusedMs, answeredMs }),
                        sharedMs: nowMs,
                    });
                }
            }
        }
    }

    /** Forgets upstreams that are no longer listed. */
    retain(isListed: (upstream: UpstreamId) => boolean): void {
        [...this.#outages.keys()].filter(upstream => !isListed(upstream)).forEach(upstream =>
            this.#outages.delete(upstream)
        );
    }

    #outageOf(listed: ListedUpstream): Outage | undefined {
        const outage = this.#outages.get(listed.id);
        return outage?.incarnation === incarnationOf(listed) ? outage : undefined;
    }

    #share(listed: ListedUpstream, isShared: boolean, isNews: boolean): void {
        const { clock, share } = this.#options;
        const send = (): void => {
            const outage = this.#outageOf(listed);
            if (outage !== undefined) {
                share([sharedOf(listed.id, outage, clock.monotonicMs())]);
            }
        };
        if (isShared) {
            send();
        }
        if (isNews) {
            clock.after(resendDelayMs, send);
        }
    }
}

type OutageTimes = Omit<Outage, "sharedMs">;

/** Merges what two instances have seen: the last refusal, and the first answer after it. */
const latest = (held: OutageTimes | undefined, heard: OutageTimes): OutageTimes => {
    const refusedMs = Math.max(held?.refusedMs ?? -Infinity, heard.refusedMs);
    const answers = [held?.answeredMs, heard.answeredMs].filter(answeredMs =>
        answeredMs !== undefined && answeredMs >= refusedMs
    ) as number[];
    return { ...heard, refusedMs, answeredMs: answers.length === 0 ? undefined : Math.min(...answers) };
};

const sharedOf = (
    upstream: UpstreamId,
    { incarnation, refusedMs, answeredMs }: Outage,
    nowMs: number,
): SharedOutage => ({
    key: nameKey(upstream),
    incarnation,
    refusedAgeMs: nowMs - refusedMs,
    answeredAgeMs: answeredMs === undefined ? undefined : nowMs - answeredMs,
});
