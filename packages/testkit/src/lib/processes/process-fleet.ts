/** A fleet of separate processes on loopback, with stand-ins for the platform and the upstreams. */
import type { FleetConfig, InstanceInfo, Upstream } from "@sniperoad/core";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { startPlatform } from "../stand-ins/platform.js";
import type { PlatformStandIn } from "../stand-ins/platform.js";
import type { RunRecord, UpstreamFaults } from "../stand-ins/upstream.js";
import { killChildren, startChild } from "./child-processes.js";
import type { ReadyChild } from "./child-processes.js";

/** Options of {@link ProcessFleet.start}. */
export interface ProcessFleetOptions {
    readonly config: FleetConfig;
    readonly instances: number;
    /** Upstreams to start for each service. */
    readonly upstreams: readonly { readonly service: string; readonly count: number; readonly serviceMs: number; }[];
    readonly zones: readonly string[];
}

/** A running entry instance. */
export interface EntryProcess extends ReadyChild {
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly zone: string;
}

/** A running upstream. */
export interface UpstreamProcess extends ReadyChild {
    readonly upstream: Upstream;
}

const daemonScript = fileURLToPath(import.meta.resolve("@sniperoad/daemon/main"));
const upstreamScript = fileURLToPath(new URL("../stand-ins/upstream-main.js", import.meta.url));
/** Admin token of the entry instances of a process fleet. */
export const fleetAdminToken = "loopback-operator-token";

/**
 * Runs a platform stand-in, upstreams and entry instances; `close` stops them all.
 *
 * @example
 * const fleet = await ProcessFleet.start({ config, instances: 5, upstreams, zones: ["z1", "z2", "z3"] });
 */
export class ProcessFleet {
    readonly platform: PlatformStandIn;
    readonly entries: EntryProcess[] = [];
    readonly upstreams: UpstreamProcess[] = [];
    readonly #folder: string;
    readonly #options: ProcessFleetOptions;

    private constructor(platform: PlatformStandIn, folder: string, options: ProcessFleetOptions) {
        this.platform = platform;
        this.#folder = folder;
        this.#options = options;
    }

    static async start(options: ProcessFleetOptions): Promise<ProcessFleet> {
        const platform = await startPlatform(0);
        const fleet = new ProcessFleet(platform, await mkdtemp(join(tmpdir(), "sniperoad-")), options);
        try {
            await platform.platform.port().put("config", options.config, 0);
            await Promise.all(
                options.upstreams.flatMap(({ service, count, serviceMs }) =>
                    Array.from({ length: count }, (_, index) => fleet.#startUpstream(service, index, serviceMs))
                ),
            );
            fleet.publish();
            await Promise.all(
                Array.from({ length: options.instances }, (_, index) => fleet.startEntry(`entry-${index + 1}`)),
            );
            await fleet.#waitUntilCurrent();
            return fleet;
        }
        catch (error) {
            await fleet.close();
            throw error;
        }
    }

    /** Caller addresses of all entry instances that were started. */
    get seeds(): readonly string[] {
        return this.entries.map(entry => entry.callerAddress);
    }

    /** Starts one more entry instance. */
    async startEntry(name: string): Promise<EntryProcess> {
        const { zones } = this.#options;
        const zone = zones[this.entries.length % zones.length]!;
        const file = join(this.#folder, `${name}.jsonc`);
        const settings = {
            instance: name,
            zone,
            callerAddress: "127.0.0.1:0",
            peerAddress: "127.0.0.1:0",
            platformUrl: this.platform.url,
            adminToken: fleetAdminToken,
        };
        await writeFile(file, `// Settings of one entry instance.\n${JSON.stringify(settings, undefined, 4)}\n`);
        const ready = await startChild(name, daemonScript, [file], "event=listening");
        const field = (key: string) => new RegExp(`${key}=(\\S+)`).exec(ready.readyLine)![1]!;
        const entry = { ...ready, callerAddress: field("callers"), peerAddress: field("peers"), zone };
        this.entries.push(entry);
        this.publish();
        return entry;
    }

    /** Sets the platform's instance list to the running processes. */
    publish(): void {
        const alive = (child: ReadyChild) => child.child.exitCode === null && child.child.signalCode === null;
        this.platform.platform.setListing({
            instances: this.entries.filter(alive).map(entry => ({
                id: entry.name as InstanceInfo["id"],
                zone: entry.zone as InstanceInfo["zone"],
                address: entry.callerAddress,
                peerAddress: entry.peerAddress,
                state: "live",
            })),
            upstreams: this.upstreams.filter(alive).map(({ upstream }) => upstream),
        });
    }

    /** Sets faults of a running upstream. */
    async control(upstream: UpstreamProcess, faults: Partial<UpstreamFaults>): Promise<void> {
        const url = `http://${upstream.upstream.address}/_control`;
        await (await request(url, { method: "POST", body: JSON.stringify(faults) })).body.dump();
    }

    /** Returns the requests that a running upstream has run. */
    async record(upstream: UpstreamProcess): Promise<readonly RunRecord[]> {
        const response = await request(`http://${upstream.upstream.address}/_record`);
        return await response.body.json() as RunRecord[];
    }

    /** Kills all processes of the fleet, and removes their settings files. */
    async close(): Promise<void> {
        await killChildren([...this.entries, ...this.upstreams]);
        await this.platform.close();
        await rm(this.#folder, { recursive: true, force: true });
    }

    async #startUpstream(service: string, index: number, serviceMs: number): Promise<void> {
        const upstreamId = `${service}-${index + 1}`;
        const { config, zones } = this.#options;
        const slots = config.services.find(candidate => candidate.id === service)?.slotsPerUpstream ?? 1;
        const args = [upstreamId, "0", String(slots), String(serviceMs)];
        const ready = await startChild(upstreamId, upstreamScript, args, "listening ");
        this.upstreams.push({
            ...ready,
            upstream: {
                id: upstreamId as Upstream["id"],
                service: service as Upstream["service"],
                zone: zones[index % zones.length] as Upstream["zone"],
                address: ready.readyLine.slice("listening ".length),
                state: "live",
            },
        });
    }

    /** Waits until every entry instance is current and has a seat. */
    async #waitUntilCurrent(): Promise<void> {
        const endMs = Date.now() + 20_000;
        while (Date.now() < endMs) {
            const statuses = await Promise.all(this.entries.map(entry => readStatus(entry.callerAddress)));
            if (statuses.every(status => status?.isCurrent === true && status.hasSeat)) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        throw new Error("the entry instances did not become current within 20 s; see their logs");
    }
}

/** Fields of `GET /admin/status` that demos and tests read. */
export interface EntryStatus {
    readonly instance: string;
    readonly isCurrent: boolean;
    readonly hasSeat: boolean;
    readonly configRevision: number;
}

/** Reads the status of an entry instance; undefined if it does not respond. */
export const readStatus = async (address: string): Promise<EntryStatus | undefined> => {
    try {
        const response = await request(`http://${address}/admin/status`, { signal: AbortSignal.timeout(500) });
        return await response.body.json() as EntryStatus;
    }
    catch {
        return undefined;
    }
};
