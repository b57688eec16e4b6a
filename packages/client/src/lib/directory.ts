/** The directory: which instances a caller should use. */
import type { Clock, Random } from "@sniperoad/core";
import { request } from "undici";

/** Answer of `GET /directory`. */
export interface DirectoryResponse {
    /** `host:port` of instances to use. */
    readonly addresses: readonly string[];
    /** How long the answer may be kept. */
    readonly keepMs: number;
    /** The fleet's time, from which idempotency keys are made. */
    readonly time: string;
}

/** Settings of a {@link Directory}. */
export interface DirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** `host:port` of a few instances to ask first. */
    readonly seeds: readonly string[];
    /** The caller's availability zone, to be served nearby. */
    readonly zone?: string;
    readonly timeoutMs?: number;
}

/**
 * Keeps the directory's answer while it may be kept, and avoids instances that have just failed.
 *
 * @example
 * const directory = new Directory({ clock, random, seeds: ["10.0.0.1:8080"] });
 * const address = await directory.pick([]);
 */
export class Directory {
    readonly #options: DirectoryOptions;
    #answer: DirectoryResponse | undefined;
    #keepUntilMs = 0;
    #timeOffsetMs = 0;
    readonly #avoidUntilMs = new Map<string, number>();

    constructor(options: DirectoryOptions) {
        this.#options = options;
    }

    /** The fleet's time as far as the last answer told it. */
    fleetTime(): Date {
        return new Date(this.#options.clock.now().getTime() + this.#timeOffsetMs);
    }

    /** An instance to use, not one of `tried` if there is another; undefined when none is known. */
    async pick(tried: readonly string[]): Promise<string | undefined> {
        const addresses = await this.#addresses();
        const nowMs = this.#options.clock.monotonicMs();
        const isUsable = (address: string) => (this.#avoidUntilMs.get(address) ?? 0) <= nowMs;
        const preferred = [
            addresses.filter(address => isUsable(address) && !tried.includes(address)),
            addresses.filter(address => !tried.includes(address)),
            addresses,
        ].find(list => list.length > 0) ?? [];
        return preferred[Math.floor(this.#options.random() * preferred.length)];
    }

    /** Leaves out an instance that failed or is leaving, and asks the directory again. */
    avoid(address: string): void {
        this.#avoidUntilMs.set(address, this.#options.clock.monotonicMs() + avoidMs);
        this.#keepUntilMs = 0;
    }

    async #addresses(): Promise<readonly string[]> {
        if (this.#answer === undefined || this.#options.clock.monotonicMs() >= this.#keepUntilMs) {
            await this.#refresh();
        }
        return this.#answer?.addresses ?? this.#options.seeds;
    }

    /** Asks known instances and seeds in random order until one answers; keeps the old answer if none does. */
    async #refresh(): Promise<void> {
        const known = this.#answer?.addresses ?? [];
        const nowMs = this.#options.clock.monotonicMs();
        const candidates = shuffled([...new Set([...known, ...this.#options.seeds])], this.#options.random)
            .sort((left, right) =>
                Number((this.#avoidUntilMs.get(left) ?? 0) > nowMs)
                - Number((this.#avoidUntilMs.get(right) ?? 0) > nowMs)
            );
        for (const address of candidates) {
            const answer = await this.#ask(address);
            if (answer !== undefined && answer.addresses.length > 0) {
                this.#answer = answer;
                this.#keepUntilMs = this.#options.clock.monotonicMs() + answer.keepMs;
                this.#timeOffsetMs = new Date(answer.time).getTime() - this.#options.clock.now().getTime();
                return;
            }
        }
        this.#keepUntilMs = this.#options.clock.monotonicMs() + retryDirectoryMs;
    }

    async #ask(address: string): Promise<DirectoryResponse | undefined> {
        const query = this.#options.zone === undefined ? "" : `?zone=${encodeURIComponent(this.#options.zone)}`;
        try {
            const response = await request(`http://${address}/directory${query}`, {
                signal: AbortSignal.timeout(this.#options.timeoutMs ?? 1_000),
            });
            const body = await response.body.json();
            return response.statusCode === 200 ? body as DirectoryResponse : undefined;
        }
        catch {
            // The next candidate is asked.
            return undefined;
        }
    }
}

/** How long an instance that failed is left out. */
const avoidMs = 5_000;
/** Pause before the directory is asked again when no instance answered. */
const retryDirectoryMs = 200;

const shuffled = <T>(items: readonly T[], random: Random): T[] =>
    items.map(item => ({ item, rank: random() })).sort((left, right) => left.rank - right.rank).map(({ item }) => item);
