/** One instance's copy of the platform's instance list. */
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

const textSchema = z.string().min(1).max(200);
const upstreamSchema = z.strictObject({
    id: textSchema,
    service: textSchema,
    zone: textSchema,
    address: textSchema,
    state: z.enum(["live", "leaving"]),
}) as unknown as z.ZodType<Upstream>;

const replySchema = z.strictObject({
    digest: z.number().int(),
    /** Time since the platform was read; absent if it has never responded. */
    ageMs: z.number().min(0).optional(),
    /** Absent if the requesting instance already holds the same list. */
    upstreams: z.array(upstreamSchema).optional(),
});

/** Requests the upstreams that a peer has listed. */
const upstreamsMethod: PeerMethod<{ readonly digest: number; }, z.output<typeof replySchema>> = {
    name: "instance.upstreams",
    request: z.strictObject({ digest: z.number().int() }),
    reply: replySchema,
};

/** Options of {@link UpstreamList}. */
export interface UpstreamListOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly source: InstanceListPort;
    readonly log: LogPort;
    readonly peers: PeerPort;
    /**
     * Instances that read the platform's list. The others query one of them, so that reads do not grow with the fleet.
     */
    readonly readers: () => readonly InstanceId[];
    readonly self: InstanceId;
}

/** Timeout of a request for a reader's list. */
const peerTimeoutMs = 500;
/** Age of the held list after which a non-reader reads the platform itself if its reader does not reply. */
const directReadAfterMs = 5_000;
/**
 * Mean interval between refreshes. Together with the list's own lag, it limits how long a leaving upstream still
 * receives requests.
 */
const refreshIntervalMs = 2_000;

const digestOf = (upstreams: readonly Upstream[]): number =>
    hash32(
        upstreams.map(({ id, service, zone, address, state }) => [id, service, zone, address, state].join(" ")).join(
            "\n",
        ),
    );

/**
 * Reads the list periodically and keeps the last one while the platform is unavailable. Other modules get the list from
 * here, so that each instance reads it only once.
 *
 * @example
 * const list = new UpstreamList({ clock, random, source: platform, log, peers, readers, self });
 * list.start();
 * list.upstreams();
 */
export class UpstreamList implements InstanceListPort {
    readonly #options: UpstreamListOptions;
    #listing: InstanceListing = { instances: [], upstreams: [] };
    #digest = digestOf([]);
    /** When the held list was read from the platform, by this instance or by the reader that sent it. */
    #readMs = -Infinity;
    /** Start of this instance's own last read of the platform. */
    #directReadMs = -Infinity;
    #pendingRead: Promise<InstanceListing> | undefined;
    #timer: Timer | undefined;
    #isRunning = false;

    constructor(options: UpstreamListOptions) {
        this.#options = options;
        options.peers.handle(upstreamsMethod, (_from, { digest }) => this.#composeReply(digest));
    }

    /** All listed upstreams. Returns the same array until the list changes. */
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

    /** Returns the held list if this instance read it within the last refresh interval; otherwise reads it again. */
    list(): Promise<InstanceListing> {
        return this.#options.clock.monotonicMs() - this.#directReadMs < refreshIntervalMs
            ? Promise.resolve(this.#listing)
            : this.#read();
    }

    #refresh(): void {
        this.#refreshOnce().finally(() => {
            if (this.#isRunning) {
                const { clock, random } = this.#options;
                this.#timer = clock.after(refreshIntervalMs * (0.75 + random() / 2), () => this.#refresh());
            }
        });
    }

    async #refreshOnce(): Promise<void> {
        const { self, readers } = this.#options;
        const otherReaders = readers().filter(reader => reader !== self);
        const isReader = otherReaders.length === 0 || readers().includes(self);
        if (!isReader && await this.#fetchFromReader(otherReaders)) {
            return;
        }
        if (isReader || this.#ageMs() > directReadAfterMs) {
            await this.#read().catch(() => this.#fetchFromReader(otherReaders));
        }
    }

    /** Fetches the list from a random reader and accepts it if it is newer. Returns false if there was no reply. */
    async #fetchFromReader(readers: readonly InstanceId[]): Promise<boolean> {
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
        // An instance without a list accepts one of any age, because the platform may be unavailable.
        const readMs = reply.ageMs === undefined ? -Infinity : startedMs - reply.ageMs;
        const isNewer = readMs > this.#readMs || this.#listing.upstreams.length === 0;
        if (reply.upstreams !== undefined && isNewer) {
            this.#setUpstreams(reply.upstreams);
            log.event("upstreams", { count: reply.upstreams.length, from: peer });
        }
        this.#readMs = Math.max(this.#readMs, readMs);
        return true;
    }

    #composeReply(digest: number): z.output<typeof replySchema> {
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
        this.#pendingRead ??= this.#readOnce().finally(() => this.#pendingRead = undefined);
        return this.#pendingRead;
    }

    async #readOnce(): Promise<InstanceListing> {
        const startedMs = this.#options.clock.monotonicMs();
        const listing = await this.#options.source.list();
        this.#readMs = Math.max(this.#readMs, startedMs);
        this.#directReadMs = startedMs;
        this.#listing = { instances: listing.instances, upstreams: this.#listing.upstreams };
        if (digestOf(listing.upstreams) !== this.#digest) {
            this.#setUpstreams(listing.upstreams);
            const leaving = listing.upstreams.filter(upstream => upstream.state === "leaving").length;
            this.#options.log.event("upstreams", { count: listing.upstreams.length, leaving });
        }
        return this.#listing;
    }
}
