/** Withdrawn keys: a grow-only set that all instances and the platform come to hold. */
import type { Clock, LogPort, PeerPort, PlatformPort, Random, Sha256, Timer } from "../ports.js";
import type { InstanceId, InstanceInfo, KeyId } from "../types.js";
import { configWithdraw, keyIdSchema, maxWithdrawals, withdrawalsValueSchema } from "./messages.js";

/** Name of the platform object. */
export const withdrawalsObject = "withdrawals";

/** What {@link Withdrawals} is built from. */
export interface WithdrawalsOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly log: LogPort;
    /** Instances that are heard now. */
    readonly liveInstances: () => readonly InstanceInfo[];
}

/** Who holds a withdrawal when {@link Withdrawals.withdraw} returns. */
export interface WithdrawalReport {
    /** Instances that hold it, this one included. */
    readonly heldBy: number;
    /** Instances that are heard, this one included. */
    readonly of: number;
    /** Instances that have not confirmed it; they get it when they are heard again. */
    readonly missing: readonly InstanceId[];
    readonly isOnPlatform: boolean;
}

const peerTimeoutMs = 1_000;
/** Each instance compares its set with one other this often, which finds equal-sized sets that differ. */
const comparePeriodMs = 1_000;
/** How long a larger set of a peer counts after its last heartbeat; the same as the window of currency. */
const behindWindowMs = 3_000;
/** Writers that conflict merge and try again; after this many conflicts the next refresh goes on. */
const maxWriteAttempts = 5;

/**
 * The withdrawal set of one instance. It works without the platform: peers get each withdrawal at once, and the platform
 * object follows when it can be reached.
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
    #larger: { readonly size: number; readonly untilMs: number; } | undefined;
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

    /** Keys held; heartbeats carry it. */
    get size(): number {
        return this.#keys.size;
    }

    has(key: KeyId): boolean {
        return this.#keys.has(key);
    }

    /**
     * Whether a peer has lately shown a larger set than this one. The instance must not count as current then: it might
     * admit a withdrawn key, for example after a restart. It ends by itself when that peer is no longer heard, since the
     * missing withdrawal may have been lost with it.
     */
    isBehind(): boolean {
        const { clock } = this.#options;
        return this.#larger !== undefined && this.#larger.size > this.size
            && clock.monotonicMs() < this.#larger.untilMs;
    }

    /** Begins to compare the set with other instances at intervals. */
    start(): void {
        this.#timer ??= this.#scheduleComparison();
    }

    stop(): void {
        this.#timer?.cancel();
        this.#timer = undefined;
    }

    /**
     * Withdraws a key at every instance that can be reached. It returns when each has confirmed or `timeoutMs` of the
     * peer call has passed; the platform is waited for no longer than that call's own timeout.
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
            Promise.all(others.map(other => this.#tell(other, key))),
            this.synchronise().catch(() => false),
        ]);
        const missing = others.filter((_, index) => !confirmed[index]);
        const report = { heldBy: others.length + 1 - missing.length, of: others.length + 1, missing, isOnPlatform };
        this.#options.log.event("config.withdrawal.told", { key, heldBy: report.heldBy, of: report.of, isOnPlatform });
        return report;
    }

    /** Call it when a heartbeat shows the size of a peer's set. */
    observePeerSize(peer: InstanceId, size: number): void {
        if (size > this.size && (!this.isBehind() || size >= this.#larger!.size)) {
            this.#larger = { size, untilMs: this.#options.clock.monotonicMs() + behindWindowMs };
        }
        if (size !== this.#keys.size) {
            void this.#exchange(peer);
        }
    }

    /**
     * Merges the platform object into the set and the set into the platform object. True: the platform holds the whole set.
     *
     * @throws PlatformUnavailableError
     */
    async synchronise(): Promise<boolean> {
        for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
            const object = await this.#options.platform.get(withdrawalsObject);
            const parsed = withdrawalsValueSchema.safeParse(object?.value ?? { keys: [] });
            if (!parsed.success) {
                // Not overwritten: the object may hold withdrawals that this instance does not know.
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

    /** Each poll reads a malformed object again; it is reported once. */
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

    async #tell(peer: InstanceId, key: KeyId): Promise<boolean> {
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

    /** Brings both sets to their union; one exchange with a peer at a time. */
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
            // The next heartbeat or comparison tries again.
        }
        finally {
            this.#comparing.delete(peer);
        }
    }

    #scheduleComparison(): Timer {
        const { clock, random, self, liveInstances } = this.#options;
        return clock.after(comparePeriodMs * (0.5 + random()), () => {
            const others = liveInstances().filter(info => info.id !== self);
            const peer = others[Math.floor(random() * others.length)];
            // An empty set is seen by its size in heartbeats.
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
