/** The platform's instance list as one instance keeps it. */
import * as z from "zod";
import type {
    Clock,
    InstanceListing,
    InstanceListPort,
    LogPort,
    PeerMethod,
    PeerPort,
    Random,
    Timer,
} from "../ports.js";
import { hash32 } from "../rendezvous.js";
import type { InstanceId, Upstream } from "../types.js";

const text = z.string().min(1).max(200);
const upstreamSchema = z.strictObject({
    id: text,
    service: text,
    zone: text,
    address: text,
    state: z.enum(["live", "leaving"]),
}) as unknown as z.ZodType<Upstream>;

const replySchema = z.strictObject({
    digest: z.number().int(),
    /** Time since the platform was asked; absent if it never answered. */
    ageMs: z.number().min(0).optional(),
    /** Absent if the asker holds the same. */
    upstreams: z.array(upstreamSchema).optional(),
});

/** Asks a peer for the upstreams that it has listed. */
const upstreamsMethod: PeerMethod<{ readonly digest: number; }, z.output<typeof replySchema>> = {
    name: "instance.upstreams",
    request: z.strictObject({ digest: z.number().int() }),
    reply: replySchema,
};

/** What an {@link UpstreamList} is built from. */
export interface UpstreamListOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly source: InstanceListPort;
    readonly log: LogPort;
    readonly peers: PeerPort;
    /** Instances that read the platform's list; the others ask one of them, so reads do not grow with the fleet. */
    readonly readers: () => readonly InstanceId[];
    readonly self: InstanceId;
}

const peerTimeoutMs = 500;
/** An instance whose readers hold no newer list than this reads by itself. */
const ownReadAfterMs = 5_000;
/** Time between two reads; with the list's own lag it bounds how long a leaving upstream gets new work. */
const refreshMs = 2_000;

const digestOf = (upstreams: readonly Upstream[]): number =>
    hash32(
        upstreams.map(({ id, service, zone, address, state }) => [id, service, zone, address, state].join(" ")).join(
            "\n",
        ),
    );

/**
 * Reads the list at intervals and keeps the last one while the platform is away. Other modules that need the list read
 * it here, so that an instance reads it once.
 *
 * @example
 * const list = new UpstreamList({ clock, random, source: platform, log });
 * list.start();
 * list.upstreams();
 */
export class UpstreamList implements InstanceListPort {
    readonly #options: UpstreamListOptions;
    #listing: InstanceListing = { instances: [], upstreams: [] };
    #digest = digestOf([]);
    /** When the platform was asked for what is held, by this instance or by the reader that it came from. */
    #readMs = -Infinity;
    #ownReadMs = -Infinity;
    #reading: Promise<InstanceListing> | undefined;
    #timer: Timer | undefined;
    #isRunning = false;

    constructor(options: UpstreamListOptions) {
        this.#options = options;
        options.peers.handle(upstreamsMethod, (_from, { digest }) => this.#reply(digest));
    }

    /** All listed upstreams: the same array until the list changes. */
    upstreams(): readonly Upstream[] {
        return this.#listing.upstreams;
    }

    start(): void {
        this.#isRunning = true;
        this.#refresh();
    }

    stop(): void {
        this.#isRunning = false;
        this.#timer?.cancel();
    }

    /** A list that is at most one interval old. */
    list(): Promise<InstanceListing> {
        return this.#options.clock.monotonicMs() - this.#ownReadMs < refreshMs
            ? Promise.resolve(this.#listing)
            : this.#read();
    }

    #refresh(): void {
        this.#refreshOnce().finally(() => {
            if (this.#isRunning) {
                const { clock, random } = this.#options;
                this.#timer = clock.after(refreshMs * (0.75 + random() / 2), () => this.#refresh());
            }
        });
    }

    async #refreshOnce(): Promise<void> {
        const { self, readers } = this.#options;
        const others = readers().filter(reader => reader !== self);
        const isReader = others.length === 0 || readers().includes(self);
        if (!isReader && await this.#askPeer(others)) {
            return;
        }
        if (isReader || this.#ageMs() > ownReadAfterMs) {
            await this.#read().catch(() => this.#askPeer(others));
        }
    }

    /** Takes a reader's list if it is newer than the held one; false if there was no answer. */
    async #askPeer(readers: readonly InstanceId[]): Promise<boolean> {
        const { peers, random, clock, log } = this.#options;
        const peer = readers[Math.floor(random() * readers.length)];
        if (peer === undefined) {
            return false;
        }
        const startedMs = clock.monotonicMs();
        const reply = await peers.call(peer, upstreamsMethod, { digest: this.#digest }, peerTimeoutMs)
            .catch(() => undefined);
        if (reply === undefined) {
            return false;
        }
        // Without any list an instance takes one whatever its age; the platform may be away.
        const readMs = reply.ageMs === undefined ? -Infinity : startedMs - reply.ageMs;
        const isNewer = readMs > this.#readMs || this.#listing.upstreams.length === 0;
        if (reply.upstreams !== undefined && isNewer) {
            this.#setUpstreams(reply.upstreams);
            log.event("upstreams", { count: reply.upstreams.length, from: peer });
        }
        this.#readMs = Math.max(this.#readMs, readMs);
        return true;
    }

    #reply(digest: number): z.output<typeof replySchema> {
        return {
            digest: this.#digest,
            ...(Number.isFinite(this.#readMs) ? { ageMs: Math.max(0, this.#ageMs()) } : {}),
            ...(digest === this.#digest ? {} : { upstreams: [...this.#listing.upstreams] }),
        };
    }

    #ageMs(): number {
        return this.#options.clock.monotonicMs() - this.#readMs;
    }

    #setUpstreams(upstreams: readonly Upstream[]): void {
        this.#listing = { instances: this.#listing.instances, upstreams };
        this.#digest = digestOf(upstreams);
    }

    #read(): Promise<InstanceListing> {
        this.#reading ??= this.#readOnce().finally(() => this.#reading = undefined);
        return this.#reading;
    }

    async #readOnce(): Promise<InstanceListing> {
        const startedMs = this.#options.clock.monotonicMs();
        const listing = await this.#options.source.list();
        this.#readMs = Math.max(this.#readMs, startedMs);
        this.#ownReadMs = startedMs;
        this.#listing = { instances: listing.instances, upstreams: this.#listing.upstreams };
        if (digestOf(listing.upstreams) !== this.#digest) {
            this.#setUpstreams(listing.upstreams);
            const leaving = listing.upstreams.filter(upstream => upstream.state === "leaving").length;
            this.#options.log.event("upstreams", { count: listing.upstreams.length, leaving });
        }
        return this.#listing;
    }
}
