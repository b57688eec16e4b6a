/** Simulates a whole fleet in one process: the cores of 44 instances with fake ports, in virtual time. */
import { EntryInstance, header, id, outcomeHeader } from "@sniperoad/core";
import type {
    FleetConfig,
    HttpResponse,
    InstanceId,
    InstanceInfo,
    KeyId,
    Outcome,
    Random,
    RequestId,
    StageOverrides,
    Upstream,
    UpstreamRequest,
    UpstreamResult,
    ZoneId,
} from "@sniperoad/core";
import { FakeNetwork, FakePlatform, MemoryLog, noopMetrics, seededRandom, VirtualClock } from "@sniperoad/core/testing";
import type { PausableClock } from "@sniperoad/core/testing";
import { createHash } from "node:crypto";
import type { CallRecord, CallSpec } from "./calls.js";
import { SimulatedUpstream } from "./simulated-upstream.js";
import type { SimulatedRun } from "./simulated-upstream.js";

/** A deployment to simulate, at its real size. */
export interface Deployment {
    readonly config: FleetConfig;
    readonly instances: number;
    readonly zones: readonly string[];
    readonly zoneDelayMs: number;
    readonly upstreams: readonly { readonly service: string; readonly count: number; readonly serviceMs: number; }[];
    /** Secrets of the callers by key id. */
    readonly secrets: Readonly<Record<string, string>>;
}

interface SimulatedInstance {
    readonly core: EntryInstance;
    readonly info: InstanceInfo;
    readonly clock: PausableClock;
    readonly zone: string;
    state: "running" | "paused" | "stopped";
}

/** Instances receive seats within a few seconds; about 10 s later, claim holders have complete records of new keys. */
const warmUpMs = 20_000;

const sha256 = (data: string | Uint8Array): string => createHash("sha256").update(data).digest("hex");

/**
 * The fleet with its platform, upstreams and network, and a record of all calls and runs.
 *
 * @example
 * const simulation = new FleetSimulation(deployment, 7);
 * await simulation.start();
 * const record = await simulation.call("entry-1", { organisation: "org-1", method: "GET", target: "/x" });
 */
export class FleetSimulation {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly network: FakeNetwork;
    readonly platform: FakePlatform;
    readonly log = new MemoryLog();
    readonly upstreams = new Map<string, SimulatedUpstream>();
    readonly runs: SimulatedRun[] = [];
    readonly calls: CallRecord[] = [];
    readonly #deployment: Deployment;
    readonly #instances = new Map<string, SimulatedInstance>();
    readonly #platformCuts = new Set<string>();
    readonly #droppedResponses = new Set<string>();
    readonly #stages: StageOverrides | undefined;
    #sequence = 0;

    constructor(deployment: Deployment, seed: number, stages?: StageOverrides) {
        this.#deployment = deployment;
        this.#stages = stages;
        this.random = seededRandom(seed);
        this.platform = new FakePlatform(this.clock);
        const zoneOf = (name: string) => this.#instances.get(name)?.zone;
        this.network = new FakeNetwork({
            clock: this.clock,
            random: this.random,
            // Whole milliseconds let many deliveries share one turn of the event loop.
            delayMs: (from, to, random) =>
                zoneOf(from) === zoneOf(to) ? Math.round(random()) : Math.round(deployment.zoneDelayMs + random()),
        });
        this.#createUpstreams();
    }

    get config(): FleetConfig {
        return this.platform.peek("config")!.value as FleetConfig;
    }

    /** Names of the running instances. */
    running(): readonly string[] {
        return [...this.#instances].filter(([, instance]) => instance.state === "running").map(([name]) => name);
    }

    core(name: string): EntryInstance {
        return this.#instances.get(name)!.core;
    }

    /** Starts all instances and waits until they are current and can record claims of new keys. */
    async start(): Promise<void> {
        const stored = this.platform.port().put("config", this.#deployment.config, 0);
        this.publish();
        await this.clock.advance(5);
        await stored;
        for (let index = 1; index <= this.#deployment.instances; index++) {
            this.join(`entry-${index}`);
        }
        await this.clock.advance(warmUpMs);
    }

    /** Starts one more instance. */
    join(name: string): void {
        const { zones } = this.#deployment;
        const zone = zones[this.#instances.size % zones.length]!;
        const self = id<InstanceId>(name);
        const { peers, clock } = this.network.join(self);
        const port = this.platform.port(() => !this.#platformCuts.has(name), clock);
        const info: InstanceInfo = {
            id: self,
            zone: id<ZoneId>(zone),
            address: name,
            peerAddress: name,
            state: "live",
        };
        const core = new EntryInstance({
            info,
            clock,
            random: this.random,
            sha256,
            peers,
            platform: port,
            instanceList: port,
            upstreams: { send: (upstream, request) => this.#send(name, clock, upstream, request) },
            log: this.log,
            metrics: noopMetrics,
            seedPeers: [...this.#instances.values()].filter(({ state }) => state === "running").slice(-3).map((
                { info: seed },
            ) => seed),
            ...(this.#stages === undefined ? {} : { stages: this.#stages }),
        });
        this.#instances.set(name, { core, info, clock, zone, state: "running" });
        this.publish();
        core.start();
    }

    kill(name: string): void {
        this.#instances.get(name)!.state = "stopped";
        this.network.kill(name);
        this.publish();
    }

    pause(name: string): void {
        this.#instances.get(name)!.state = "paused";
        this.network.pause(name);
    }

    resume(name: string): void {
        this.#instances.get(name)!.state = "running";
        this.network.resume(name);
    }

    /** Shuts an instance down gracefully; resolves when its process would exit. */
    async leave(name: string): Promise<void> {
        const instance = this.#instances.get(name)!;
        await instance.core.leave();
        instance.state = "stopped";
        this.publish();
    }

    /** Drops the messages that an instance sends to its peers, and the responses that upstreams send to it. */
    cutOutbound(name: string): void {
        [...this.#instances.keys()].filter(other => other !== name).forEach(other =>
            this.network.dropMessages(name, other)
        );
        [...this.upstreams.keys()].forEach(upstream => this.#droppedResponses.add(`${name}>${upstream}`));
    }

    cutPlatform(name: string): void {
        this.#platformCuts.add(name);
    }

    /** Cuts a zone from the other zones and from the platform. */
    cutZone(zone: string): void {
        for (const [name, instance] of this.#instances) {
            if (instance.zone !== zone) {
                continue;
            }
            this.cutPlatform(name);
            [...this.#instances].filter(([, other]) => other.zone !== zone).forEach(([other]) => {
                this.network.dropMessages(name, other);
                this.network.dropMessages(other, name);
            });
        }
    }

    /** Ends all cuts. */
    heal(): void {
        this.network.heal();
        this.#platformCuts.clear();
        this.#droppedResponses.clear();
    }

    /** Publishes the current instance list. */
    publish(): void {
        const instances = [...this.#instances].filter(([, instance]) => instance.state !== "stopped").map((
            [name, instance],
        ) => ({
            id: id<InstanceId>(name),
            zone: id<ZoneId>(instance.zone),
            address: name,
            peerAddress: name,
            state: "live" as const,
        }));
        this.platform.setListing({ instances, upstreams: [...this.upstreams.values()].map(({ listed }) => listed) });
    }

    /** Creates an idempotency key with the current time. */
    newKey(): string {
        const time = this.clock.now().getTime().toString(16).padStart(12, "0");
        const counter = (++this.#sequence).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${counter}`;
    }

    /** Sends one call to an instance; undefined if the instance is stopped or the caller times out first. */
    async call(name: string, spec: CallSpec): Promise<CallRecord | undefined> {
        const instance = this.#instances.get(name)!;
        const atMs = this.clock.monotonicMs();
        const timeoutMs = spec.deadlineMs ?? 3_000;
        const response = await Promise.race([
            instance.state === "stopped" ? this.#sleep(1) : this.#handle(instance, spec),
            this.#sleep(timeoutMs),
        ]);
        if (response === undefined) {
            return undefined;
        }
        const body = response.status >= 400 ? new TextDecoder().decode(response.body) : "";
        const record: CallRecord = {
            atMs,
            organisation: spec.organisation,
            route: spec.target.split("/")[1]!,
            idempotencyKey: spec.idempotencyKey,
            status: response.status,
            outcome: (header(response.headers, outcomeHeader) ?? "unknown") as Outcome,
            refusalType: /"type":"[^"]*\/([a-z-]+)"/.exec(body)?.[1] ?? "",
            endedMs: this.clock.monotonicMs(),
        };
        this.calls.push(record);
        return record;
    }

    after(delayMs: number, work: () => void): void {
        this.clock.after(delayMs, work);
    }

    #sleep(durationMs: number): Promise<undefined> {
        return new Promise(resolve => this.clock.after(durationMs, () => resolve(undefined)));
    }

    #handle(instance: SimulatedInstance, spec: CallSpec): Promise<HttpResponse> {
        const key = this.config.organisations.find(({ id: known }) => known === spec.organisation)?.keys[0]?.id;
        const keyId = key ?? id<KeyId>(spec.organisation);
        const headers: [string, string][] = [
            ["authorization", `Bearer ${keyId}.${this.#deployment.secrets[keyId] ?? "none"}`],
            ["sniperoad-deadline-ms", String(spec.deadlineMs ?? 3_000)],
        ];
        if (spec.idempotencyKey !== undefined) {
            headers.push(["idempotency-key", spec.idempotencyKey]);
        }
        if (spec.isFirstAttempt === true) {
            headers.push(["sniperoad-attempt", "1"]);
        }
        return new Promise(resolve => {
            // A paused process receives the request only after it resumes.
            instance.clock.run(() => {
                void instance.core.handle({
                    id: id<RequestId>(`r${++this.#sequence}`),
                    method: spec.method,
                    target: spec.target,
                    headers,
                    body: new Uint8Array(0),
                    signal: new AbortController().signal,
                }).then(resolve);
            });
        });
    }

    /** Sends a request to an upstream with the network delays and the timeout of the request. */
    #send(
        name: string,
        clock: PausableClock,
        upstream: Upstream,
        request: UpstreamRequest,
    ): Promise<UpstreamResult> {
        const server = this.upstreams.get(upstream.id);
        return new Promise(resolve => {
            const timer = clock.after(request.timeoutMs, () => resolve({ kind: "timeout" }));
            this.clock.after(1, () => {
                void (server?.run(request) ?? Promise.resolve<UpstreamResult>({ kind: "refused" })).then(result => {
                    if (this.#droppedResponses.has(`${name}>${upstream.id}`)) {
                        return;
                    }
                    this.clock.after(1, () =>
                        clock.run(() => {
                            timer.cancel();
                            resolve(result);
                        }));
                });
            });
        });
    }

    #createUpstreams(): void {
        const { upstreams, config, zones } = this.#deployment;
        for (const { service, count, serviceMs } of upstreams) {
            const slots = config.services.find(candidate => candidate.id === service)!.slotsPerUpstream;
            for (let index = 0; index < count; index++) {
                const name = `${service}-${index + 1}`;
                const listed: Upstream = {
                    id: id(name),
                    service: id(service),
                    zone: id(zones[index % zones.length]!),
                    address: name,
                    state: "live",
                };
                const onRun = (run: SimulatedRun) => void this.runs.push(run);
                const options = { clock: this.clock, random: this.random, slots, serviceMs, onRun };
                this.upstreams.set(name, new SimulatedUpstream(listed, options));
            }
        }
    }
}
