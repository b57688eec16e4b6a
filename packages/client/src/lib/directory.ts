/** Client of the directory, which lists the instances that a caller should use. */
import type { Clock, Random } from "@sniperoad/core";
import { request } from "undici";

/** Response of `GET /directory`. */
export interface DirectoryResponse {
    /** `host:port` of instances to use. */
    readonly addresses: readonly string[];
    /** How long the response may be cached. */
    readonly keepMs: number;
    /** The fleet's time, from which idempotency keys are created. */
    readonly time: string;
}

/** Options of a {@link Directory}. */
export interface DirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** `host:port` of a few instances to contact first. */
    readonly seeds: readonly string[];
    /** The caller's availability zone; the response lists instances in it if there are enough. */
    readonly zone?: string;
    readonly timeoutMs?: number;
}

/**
 * Caches the directory's response, and avoids instances that have just failed.
 *
 * @example
 * const directory = new Directory({ clock, random, seeds: ["10.0.0.1:8080"] });
 * const address = await directory.pick([]);
 */
export class Directory {
    readonly #options: DirectoryOptions;
    #response: DirectoryResponse | undefined;
    #expiresMs = 0;
    #timeOffsetMs = 0;
    readonly #avoidUntilMs = new Map<string, number>();

    constructor(options: DirectoryOptions) {
        this.#options = options;
    }

    /** The fleet's time, estimated from the last response. */
    fleetTime(): Date {
        return new Date(this.#options.clock.now().getTime() + this.#timeOffsetMs);
    }

    /** Picks an instance at random, one of `tried` only if there is no other; undefined if there is none at all. */
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

    /** Avoids an instance that failed or is leaving, and makes the next request refresh the directory. */
    avoid(address: string): void {
        this.#avoidUntilMs.set(address, this.#options.clock.monotonicMs() + avoidMs);
        this.#expiresMs = 0;
    }

    async #addresses(): Promise<readonly string[]> {
        if (this.#response === undefined || this.#options.clock.monotonicMs() >= this.#expiresMs) {
            await this.#refresh();
        }
        return this.#response?.addresses ?? this.#options.seeds;
    }

    /** Queries known instances and seeds in random order, avoided ones last. If none responds, nothing changes. */
    async #refresh(): Promise<void> {
        const known = this.#response?.addresses ?? [];
        const nowMs = this.#options.clock.monotonicMs();
        const candidates = shuffled([...new Set([...known, ...this.#options.seeds])], this.#options.random)
            .sort((left, right) =>
                Number((this.#avoidUntilMs.get(left) ?? 0) > nowMs)
                - Number((this.#avoidUntilMs.get(right) ?? 0) > nowMs)
            );
        for (const address of candidates) {
            const response = await this.#query(address);
            if (response !== undefined && response.addresses.length > 0) {
                this.#response = response;
                this.#expiresMs = this.#options.clock.monotonicMs() + response.keepMs;
                this.#timeOffsetMs = new Date(response.time).getTime() - this.#options.clock.now().getTime();
                return;
            }
        }
        this.#expiresMs = this.#options.clock.monotonicMs() + retryDelayMs;
    }

    async #query(address: string): Promise<DirectoryResponse | undefined> {
        const query = this.#options.zone === undefined ? "" : `?zone=${encodeURIComponent(this.#options.zone)}`;
        try {
            const response = await request(`http://${address}/directory${query}`, {
                signal: AbortSignal.timeout(this.#options.timeoutMs ?? 1_000),
            });
            const body = await response.body.json();
            return response.statusCode === 200 ? body as DirectoryResponse : undefined;
        }
        catch {
            // The next candidate is queried.
            return undefined;
        }
    }
}

/** How long an instance that failed or is leaving is avoided. */
const avoidMs = 5_000;
/** Delay before the next query when no instance responded. */
const retryDelayMs = 200;

const shuffled = <T>(items: readonly T[], random: Random): T[] =>
    items.map(item => ({ item, rank: random() })).sort((left, right) => left.rank - right.rank).map(({ item }) => item);
