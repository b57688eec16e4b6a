/** A fleet of memberships over the fakes, for tests. */
import { PeerUnavailableError } from "../errors.js";
import type { Clock } from "../ports.js";
import { FakeNetwork, FakePlatform, MemoryLog, noopMetrics, seededRandom, VirtualClock } from "../testing/index.js";
import type { InstanceId, InstanceInfo, ZoneId } from "../types.js";
import { FleetMembership } from "./fleet-membership.js";
import { rosterMethod } from "./messages.js";
import type { MembershipOptions } from "./options.js";

/** One instance of the fleet. */
export interface TestInstance {
    readonly name: string;
    readonly info: InstanceInfo;
    readonly membership: FleetMembership;
    isRunning: boolean;
    isLeaving: boolean;
    isPaused: boolean;
    isCutFromPlatform: boolean;
    /** Gets no rosters, from the platform or from peers, while its heartbeats go on: versions spread slowly. */
    isRosterLost: boolean;
    revision: number;
}

/** What a test may vary. */
export interface TestFleetOptions {
    readonly seed?: number;
    readonly seats?: number;
    readonly exclusionQuorum?: MembershipOptions["exclusionQuorum"];
    readonly isActingAfterStop?: boolean;
    /** Relative error of an instance's monotonic clock. */
    readonly drift?: (index: number) => number;
    readonly settings?: MembershipOptions["settings"];
}

const handoverDelayMs = 300;

/** Keys that are checked for two homes. */
export const testKeys = Array.from({ length: 12 }, (_, index) => `rate/${index}`);

/** Instances with the fakes between them. */
export class TestFleet {
    readonly clock = new VirtualClock();
    readonly log = new MemoryLog();
    readonly network: FakeNetwork;
    readonly platform = new FakePlatform(this.clock);
    readonly instances: TestInstance[] = [];
    /** Faults of safety found by {@link run}. */
    readonly faults: string[] = [];
    readonly #options: TestFleetOptions;
    readonly #random;
    readonly #versions = new Map<string, number>();

    constructor(options: TestFleetOptions = {}) {
        this.#options = options;
        this.#random = seededRandom(options.seed ?? 1);
        this.network = new FakeNetwork({
            clock: this.clock,
            random: this.#random,
            delayMs: (_from, _to, random) => 0.5 + random() * 4,
        });
    }

    /** Starts an instance; seeds are the instances that run. */
    start(name: string, zone?: ZoneId): TestInstance {
        const index = this.instances.length;
        const self = name as InstanceId;
        const info: InstanceInfo = {
            id: self,
            zone: zone ?? `z${index % 3}` as ZoneId,
            address: `10.0.0.${index}:80`,
            peerAddress: `10.0.0.${index}:81`,
            state: "live",
        };
        const { peers, clock } = this.network.join(self);
        const drift = this.#options.drift?.(index) ?? 0;
        const own: Clock = {
            now: () => clock.now(),
            monotonicMs: () => clock.monotonicMs() * (1 + drift),
            after: (delayMs, task) => clock.after(delayMs / (1 + drift), task),
        };
        const port = this.platform.port(() => !instance.isCutFromPlatform && !instance.isRosterLost, clock);
        const membership = new FleetMembership({
            info,
            clock: own,
            random: seededRandom((this.#options.seed ?? 1) * 1_000 + index),
            peers: {
                ...peers,
                call: (to, method, body, timeoutMs) =>
                    instance.isRosterLost && method.name === rosterMethod.name
                        ? Promise.reject(new PeerUnavailableError("the test loses rosters; end the fault"))
                        : peers.call(to, method, body, timeoutMs),
            },
            platform: port,
            instanceList: port,
            configuration: {
                revision: () => instance.revision,
                withdrawals: () => 0,
                refresh: async () => {
                    const object = await port.get("config");
                    instance.revision = Math.max(instance.revision, object?.version ?? 0);
                },
                onPeerMismatch: (_peer, revision) => {
                    instance.revision = Math.max(instance.revision, revision);
                },
            },
            log: this.log,
            metrics: noopMetrics,
            seedPeers: this.instances.filter(peer => peer.isRunning).map(peer => peer.info),
            settings: { seats: this.#options.seats ?? 7, ...this.#options.settings },
            exclusionQuorum: this.#options.exclusionQuorum,
            isActingAfterStop: this.#options.isActingAfterStop,
        });
        const instance: TestInstance = {
            name,
            info,
            membership,
            isRunning: true,
            isLeaving: false,
            isPaused: false,
            isCutFromPlatform: false,
            isRosterLost: false,
            revision: 0,
        };
        // A leaver is still there after its word, as with claims to hand over.
        membership.onHandover(() => new Promise(resolve => void own.after(handoverDelayMs, resolve)));
        this.instances.push(instance);
        this.#list();
        membership.start();
        return instance;
    }

    /** Starts instances i0, i1, ... together and lets them take their seats and leases. */
    static async ready(count: number, options: TestFleetOptions = {}): Promise<TestFleet> {
        const fleet = new TestFleet({ seats: count, ...options });
        for (let index = 0; index < count; index++) {
            fleet.start(`i${index}`);
        }
        await fleet.run(9_000);
        return fleet;
    }

    kill(instance: TestInstance): void {
        instance.isRunning = false;
        this.network.kill(instance.name);
        this.#list();
    }

    /** The instance ends once it has left. */
    beginLeave(instance: TestInstance): void {
        instance.isLeaving = true;
        void instance.membership.leave().then(() => this.kill(instance));
    }

    /** Begins to leave and pauses the process `afterMs` later; `resume` lets it go on. */
    pauseInLeave(instance: TestInstance, afterMs: number): void {
        this.beginLeave(instance);
        this.clock.after(afterMs, () => this.pause(instance));
    }

    async leave(instance: TestInstance): Promise<void> {
        this.beginLeave(instance);
        await this.run(1_500);
    }

    pause(instance: TestInstance): void {
        instance.isPaused = true;
        this.network.pause(instance.name);
    }

    resume(instance: TestInstance): void {
        instance.isPaused = false;
        this.network.resume(instance.name);
    }

    /** Cuts both ways, or one way, between two groups. */
    cut(from: readonly TestInstance[], to: readonly TestInstance[], isOneWay = false): void {
        for (const left of from) {
            for (const right of to) {
                this.network.dropMessages(left.name, right.name);
                if (!isOneWay) {
                    this.network.dropMessages(right.name, left.name);
                }
            }
        }
    }

    /** Lets time pass and checks safety in small steps. Paused processes are asked too: they may act at any moment. */
    async run(durationMs: number, stepMs = 50): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            await this.clock.advance(stepMs);
            this.check();
        }
    }

    check(): void {
        const running = this.instances.filter(instance => instance.isRunning);
        for (const { name, membership } of running) {
            const { version } = membership.roster();
            if (version < (this.#versions.get(name) ?? 0)) {
                this.faults.push(`${this.clock.monotonicMs()} roster of ${name} fell to ${version}`);
            }
            this.#versions.set(name, version);
        }
        for (const key of testKeys) {
            const homes = running.filter(({ membership }) => membership.coordinatorTerm(key) !== undefined);
            if (homes.length > 1) {
                this.faults.push(`${this.clock.monotonicMs()} ${key} at ${homes.map(home => home.name).join(" ")}`);
            }
        }
    }

    /** Name of the instance that may act as home of a key. */
    homeOf(key: string): string | undefined {
        return this.instances.find(({ isRunning, isPaused, membership }) =>
            isRunning && !isPaused && membership.coordinatorTerm(key) !== undefined
        )?.name;
    }

    seated(): number {
        const roster = this.instances.find(instance => instance.isRunning)!.membership.roster();
        return roster.seats.filter(seat => seat.holder !== undefined).length;
    }

    #list(): void {
        const instances = this.instances.filter(({ isRunning }) => isRunning).map(({ info }) => info);
        this.platform.setListing({ instances, upstreams: [] });
    }
}
