/** An in-memory platform with fault injection. */
import { PlatformUnavailableError } from "../errors.js";
import type { Clock, InstanceListing, InstanceListPort, PlatformObject, PlatformPort, PutResult } from "../ports.js";

/** Faults to inject; all are off by default. */
export interface PlatformFaults {
    /** Every call fails. */
    isUnavailable: boolean;
    /** Additional delay of each call. */
    delayMs: number;
    /** Number of next writes that take effect although their replies are lost. */
    lostReplies: number;
    /**
     * Watches return no new version while this is set. A watch that is pending when it is cleared returns the version
     * only at the next write or at the end of its timeout.
     */
    isWatchBroken: boolean;
    /** Watches return the oldest retained version of the object; the last ten are retained. */
    isWatchStale: boolean;
    /** Age of the returned instance list. */
    listLagMs: number;
}

/** Time after which a call to the unavailable platform fails. */
const unavailableDelayMs = 1_000;

/**
 * Fakes the platform's object API and instance list in tests.
 *
 * @example
 * const platform = new FakePlatform(clock);
 * platform.faults.isUnavailable = true;
 */
export class FakePlatform {
    readonly faults: PlatformFaults = {
        isUnavailable: false,
        delayMs: 0,
        lostReplies: 0,
        isWatchBroken: false,
        isWatchStale: false,
        listLagMs: 0,
    };
    /** Number of calls by kind, for measurements. */
    readonly calls = { reads: 0, writes: 0, watches: 0 };
    readonly #clock: Clock;
    readonly #objects = new Map<string, PlatformObject[]>();
    readonly #watchers = new Set<() => void>();
    #listings: { atMs: number; listing: InstanceListing; }[] = [];

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Returns a port for one client; `isReachable` controls whether this client can reach the platform. */
    port(isReachable: () => boolean = () => true, clock: Clock = this.#clock): PlatformPort & InstanceListPort {
        const run = <T>(work: () => T | Promise<T>): Promise<T> => this.#run(clock, isReachable, work);
        return {
            get: name => run(() => this.#get(name)),
            put: (name, value, expectedVersion) => run(() => this.#put(name, value, expectedVersion)),
            watch: (name, afterVersion, timeoutMs) => run(() => this.#watch(name, afterVersion, timeoutMs)),
            list: () => run(() => this.#list()),
        };
    }

    /** Returns the newest version of an object without counting a call. */
    peek(name: string): PlatformObject | undefined {
        return this.#objects.get(name)?.at(-1);
    }

    setListing(listing: InstanceListing): void {
        this.#listings.push({ atMs: this.#clock.monotonicMs(), listing });
    }

    async #run<T>(clock: Clock, isReachable: () => boolean, work: () => T | Promise<T>): Promise<T> {
        if (this.faults.isUnavailable || !isReachable()) {
            await new Promise<void>(resolve => clock.after(unavailableDelayMs, resolve));
            throw new PlatformUnavailableError("the platform did not respond; retry later");
        }
        await new Promise<void>(resolve => clock.after(this.faults.delayMs + 1, resolve));
        return work();
    }

    #get(name: string): PlatformObject | undefined {
        this.calls.reads++;
        return this.peek(name);
    }

    #put(name: string, value: unknown, expectedVersion: number): PutResult {
        this.calls.writes++;
        const versions = this.#objects.get(name) ?? [];
        const version = versions.at(-1)?.version ?? 0;
        if (version !== expectedVersion) {
            return { kind: "conflict", version };
        }
        this.#objects.set(name, [...versions.slice(-9), { version: version + 1, value: structuredClone(value) }]);
        this.#watchers.forEach(wake => wake());
        if (this.faults.lostReplies > 0) {
            this.faults.lostReplies--;
            throw new PlatformUnavailableError(
                "the reply to a write was lost; read the object to find out whether it was written",
            );
        }
        return { kind: "stored", version: version + 1 };
    }

    async #watch(name: string, afterVersion: number, timeoutMs: number): Promise<PlatformObject | undefined> {
        this.calls.watches++;
        const endMs = this.#clock.monotonicMs() + timeoutMs;
        for (;;) {
            const found = this.peek(name);
            if (found !== undefined && found.version > afterVersion && !this.faults.isWatchBroken) {
                return this.faults.isWatchStale ? this.#objects.get(name)![0] : found;
            }
            const leftMs = endMs - this.#clock.monotonicMs();
            if (leftMs <= 0) {
                return undefined;
            }
            await this.#wait(leftMs);
        }
    }

    #wait(leftMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                this.#watchers.delete(wake);
                timer.cancel();
                resolve();
            };
            const timer = this.#clock.after(leftMs, wake);
            this.#watchers.add(wake);
        });
    }

    #list(): InstanceListing {
        this.calls.reads++;
        const listedAtMs = this.#clock.monotonicMs() - this.faults.listLagMs;
        const latest = this.#listings.filter(entry => entry.atMs <= listedAtMs).at(-1) ?? this.#listings[0];
        return latest?.listing ?? { instances: [], upstreams: [] };
    }
}
