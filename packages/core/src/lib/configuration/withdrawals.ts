/** Withdrawn keys: a grow-only set that is replicated to all instances and the platform. */
import type { Clock, LogPort, PeerPort, PlatformPort, Random, Sha256, Timer } from "../ports.js";
import type { InstanceId, InstanceInfo, KeyId } from "../types.js";
import { configWithdraw, keyIdSchema, maxWithdrawals, withdrawalsValueSchema } from "./messages.js";

/** Name of the platform object that holds the withdrawn keys. */
export const withdrawalsObject = "withdrawals";

/** Options of {@link Withdrawals}. */
export interface WithdrawalsOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly log: LogPort;
    /** Instances with recent heartbeats that are not leaving. */
    readonly liveInstances: () => readonly InstanceInfo[];
}

/** Spread of a withdrawal when {@link Withdrawals.withdraw} returns. */
export interface WithdrawalReport {
    /** Number of instances that hold it, including this one. */
    readonly heldBy: number;
    /** Number of live instances, including this one. */
    readonly of: number;
    /** Instances that have not confirmed it; they receive it when they can be reached again. */
    readonly missing: readonly InstanceId[];
    /** Whether the platform object holds it. */
    readonly isOnPlatform: boolean;
}

/** Timeout of an exchange with a peer. */
const peerTimeoutMs = 1_000;
/** Mean interval between comparisons with a random peer. They detect different sets of equal size. */
const compareIntervalMs = 1_000;
/** Time for which the larger set of a peer counts after the peer's last heartbeat; equal to `currentWindowMs`. */
const largerSetTtlMs = 3_000;
/** Maximum number of attempts to write the set while other writers conflict; the next refresh continues. */
const maxWriteAttempts = 5;

/**
 * The withdrawal set of one instance. It works without the platform: each withdrawal is sent to the peers immediately,
 * and written to the platform object when the platform can be reached.
 *
 * @example
 * const report = await withdrawals.withdraw(id<KeyId>("paws-1"));
 * // { heldBy: 44, of: 44, missing: [], isOnPlatform: true }
 */
export class Withdrawals {
    readonly #options: WithdrawalsOptions;
    readonly #keys = new Set<KeyId>();
    readonly #comparing = new Set<InstanceId>();
    #digest: string;
    #reportedVersion = 0;
    #largerPeerSet: { readonly size: number; readonly untilMs: number; } | undefined;
    #timer: Timer | undefined;

    constructor(options: WithdrawalsOptions) {
        this.#options = options;
        this.#digest = options.sha256("");
        options.peers.handle(configWithdraw, (from, { keys, digest }) => {
            this.#merge(keys ?? [], from);
            const digestNow = this.#digest;
            return digest === digestNow ? { digest: digestNow } : { digest: digestNow, keys: [...this.#keys] };
        });
    }

    /** Number of withdrawn keys. Heartbeats carry it. */
    get size(): number {
        return this.#keys.size;
    }

    has(key: KeyId): boolean {
        return this.#keys.has(key);
    }

    /**
     * Whether a peer recently had a larger set than this instance. The instance must not count as current then, because
     * it might admit a withdrawn key, for example after a restart. The condition expires when heartbeats
     * from that peer stop, because the missing withdrawal may have been lost with the peer.
     */
    isBehind(): boolean {
        const { clock } = this.#options;
        return this.#largerPeerSet !== undefined && this.#largerPeerSet.size > this.size
            && clock.monotonicMs() < this.#largerPeerSet.untilMs;
    }

    /** Starts to compare the set with other instances periodically. */
    start(): void {
        this.#timer ??= this.#scheduleComparison();
    }

    stop(): void {
        this.#timer?.cancel();
        this.#timer = undefined;
    }

    /**
     * Withdraws a key at every instance that can be reached. It returns when each has confirmed or the call has timed
     * out, and the platform object has been updated or a platform call has failed.
     *
     * @throws RangeError when the key id is malformed or the set is full.
     */
    async withdraw(key: KeyId): Promise<WithdrawalReport> {
        const parsed = keyIdSchema.safeParse(key);
        if (!parsed.success) {
            throw new RangeError(`"${key}" is not a key id; ${parsed.error.issues[0]?.message}`);
        }
        if (!this.#keys.has(key) && this.#keys.size >= maxWithdrawals) {
            throw new RangeError(
                `${maxWithdrawals} keys are withdrawn already; remove the key from the configuration instead`,
            );
        }
        this.#merge([key], this.#options.self);
        const others = this.#options.liveInstances().map(info => info.id).filter(other => other !== this.#options.self);
        const [confirmed, isOnPlatform] = await Promise.all([
            Promise.all(others.map(other => this.#sendWithdrawal(other, key))),
            this.synchronise().catch(() => false),
        ]);
        const missing = others.filter((_, index) => !confirmed[index]);
        const report = { heldBy: others.length + 1 - missing.length, of: others.length + 1, missing, isOnPlatform };
        this.#options.log.event("config.withdrawal.told", { key, heldBy: report.heldBy, of: report.of, isOnPlatform });
        return report;
    }

    /** Call it when a heartbeat carries the size of a peer's set. */
    observePeerSize(peer: InstanceId, size: number): void {
        if (size > this.size && (!this.isBehind() || size >= this.#largerPeerSet!.size)) {
            this.#largerPeerSet = { size, untilMs: this.#options.clock.monotonicMs() + largerSetTtlMs };
        }
        if (size !== this.#keys.size) {
            void this.#exchange(peer);
        }
    }

    /**
     * Merges the platform object into the set, and writes the set to the platform if the object lacks keys. Returns
     * whether the platform holds the whole set.
     *
     * @throws PlatformUnavailableError
     */
    async synchronise(): Promise<boolean> {
        for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
            const object = await this.#options.platform.get(withdrawalsObject);
            const parsed = withdrawalsValueSchema.safeParse(object?.value ?? { keys: [] });
            if (!parsed.success) {
                // Not overwritten, because the object may contain withdrawals that this instance does not have.
                this.#reportMalformed(object?.version ?? 0, parsed.error.issues[0]?.message);
                return false;
            }
            this.#merge(parsed.data.keys, "platform");
            if (this.#keys.size === new Set(parsed.data.keys).size) {
                return true;
            }
            const value = { keys: [...this.#keys].sort() };
            const result = await this.#options.platform.put(withdrawalsObject, value, object?.version ?? 0);
            if (result.kind === "stored") {
                return true;
            }
        }
        return false;
    }

    /** Reports a malformed object only once, although each poll reads it again. */
    #reportMalformed(version: number, problem: string | undefined): void {
        if (version === this.#reportedVersion) {
            return;
        }
        this.#reportedVersion = version;
        this.#options.log.event("config.withdrawals.rejected", {
            level: "error",
            version,
            problem,
            remedy: 'write {"keys": [...]} with the withdrawn key ids to the object',
        });
    }

    async #sendWithdrawal(peer: InstanceId, key: KeyId): Promise<boolean> {
        try {
            const body = { keys: [key], digest: this.#digest };
            const reply = await this.#options.peers.call(peer, configWithdraw, body, peerTimeoutMs);
            this.#merge(reply.keys ?? [], peer);
            return true;
        }
        catch {
            return false;
        }
    }

    /** Merges the sets of this instance and a peer into each other. At most one exchange with a peer runs at a time. */
    async #exchange(peer: InstanceId): Promise<void> {
        if (this.#comparing.has(peer)) {
            return;
        }
        this.#comparing.add(peer);
        try {
            const { peers } = this.#options;
            const reply = await peers.call(peer, configWithdraw, { digest: this.#digest }, peerTimeoutMs);
            this.#merge(reply.keys ?? [], peer);
            if (reply.digest !== this.#digest) {
                const body = { keys: [...this.#keys], digest: this.#digest };
                await peers.call(peer, configWithdraw, body, peerTimeoutMs);
            }
        }
        catch {
            // The next heartbeat or comparison retries.
        }
        finally {
            this.#comparing.delete(peer);
        }
    }

    #scheduleComparison(): Timer {
        const { clock, random, self, liveInstances } = this.#options;
        return clock.after(compareIntervalMs * (0.5 + random()), () => {
            const others = liveInstances().filter(info => info.id !== self);
            const peer = others[Math.floor(random() * others.length)];
            // An empty set differs from another one in size, which heartbeats show.
            if (peer !== undefined && this.#keys.size > 0) {
                void this.#exchange(peer.id);
            }
            this.#timer = this.#scheduleComparison();
        });
    }

    #merge(keys: readonly KeyId[], from: string): void {
        const added = [...new Set(keys)].filter(key => !this.#keys.has(key)).slice(0, maxWithdrawals - this.#keys.size);
        added.forEach(key => this.#keys.add(key));
        if (added.length === 0) {
            return;
        }
        this.#digest = this.#options.sha256([...this.#keys].sort().join(" "));
        for (const key of added) {
            this.#options.log.event("config.key.withdrawn", { key, from, size: this.#keys.size });
        }
    }
}
