/** A fleet of memberships on fake ports, for tests. */
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
    isCutOffFromPlatform: boolean;
    /**
     * Receives no rosters from the platform or from peers, but continues its heartbeats, so that versions spread
     * slowly.
     */
    dropsRosters: boolean;
    revision: number;
}

/** Options of {@link TestFleet}. */
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

/** Keys that are checked for having at most one coordinator. */
export const testKeys = Array.from({ length: 12 }, (_, index) => `rate/${index}`);

/** Instances connected through a fake network and a fake platform. */
export class TestFleet {
    readonly clock = new VirtualClock();
    readonly log = new MemoryLog();
    readonly network: FakeNetwork;
    readonly platform = new FakePlatform(this.clock);
    readonly instances: TestInstance[] = [];
    /** Safety violations found by {@link checkSafety}. */
    readonly violations: string[] = [];
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

    /** Starts an instance with the running instances as seed peers. */
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
        const driftingClock: Clock = {
            now: () => clock.now(),
            monotonicMs: () => clock.monotonicMs() * (1 + drift),
            after: (delayMs, task) => clock.after(delayMs / (1 + drift), task),
        };
        const port = this.platform.port(() => !instance.isCutOffFromPlatform && !instance.dropsRosters, clock);
        const membership = new FleetMembership({
            info,
            clock: driftingClock,
            random: seededRandom((this.#options.seed ?? 1) * 1_000 + index),
            peers: {
                ...peers,
                call: (to, method, body, timeoutMs) =>
                    instance.dropsRosters && method.name === rosterMethod.name
                        ? Promise.reject(new PeerUnavailableError("the test drops roster replies; clear dropsRosters"))
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
            isCutOffFromPlatform: false,
            dropsRosters: false,
            revision: 0,
        };
        // The process continues for a while after its stop notice, as it does when it has claims to hand over.
        membership.onHandover(() => new Promise(resolve => void driftingClock.after(handoverDelayMs, resolve)));
        this.instances.push(instance);
        this.#publishListing();
        membership.start();
        return instance;
    }

    /** Starts instances i0, i1, ... together and waits until they have seats and leases. */
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
        this.#publishListing();
    }

    /** Starts to leave; the process is killed when the instance has left. */
    beginLeave(instance: TestInstance): void {
        instance.isLeaving = true;
        void instance.membership.leave().then(() => this.kill(instance));
    }

    /** Starts to leave and pauses the process `afterMs` later; `resume` continues it. */
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

    /** Drops messages between two groups in both directions, or only from the first to the second. */
    partition(from: readonly TestInstance[], to: readonly TestInstance[], isOneWay = false): void {
        for (const left of from) {
            for (const right of to) {
                this.network.dropMessages(left.name, right.name);
                if (!isOneWay) {
                    this.network.dropMessages(right.name, left.name);
                }
            }
        }
    }

    /** Advances time and checks safety in small steps. Paused processes are checked too: they may act at any time. */
    async run(durationMs: number, stepMs = 50): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            await this.clock.advance(stepMs);
            this.checkSafety();
        }
    }

    checkSafety(): void {
        const running = this.instances.filter(instance => instance.isRunning);
        for (const { name, membership } of running) {
            const { version } = membership.roster();
            if (version < (this.#versions.get(name) ?? 0)) {
                this.violations.push(`${this.clock.monotonicMs()} roster version of ${name} decreased to ${version}`);
            }
            this.#versions.set(name, version);
        }
        for (const key of testKeys) {
            const coordinators = running.filter(({ membership }) => membership.coordinatorTerm(key) !== undefined);
            if (coordinators.length > 1) {
                this.violations.push(
                    `${this.clock.monotonicMs()} ${key} at ${
                        coordinators.map(coordinator => coordinator.name).join(" ")
                    }`,
                );
            }
        }
    }

    /** Name of the running instance that may act as coordinator of a key. */
    coordinatorOf(key: string): string | undefined {
        return this.instances.find(({ isRunning, isPaused, membership }) =>
            isRunning && !isPaused && membership.coordinatorTerm(key) !== undefined
        )?.name;
    }

    seatedCount(): number {
        const roster = this.instances.find(instance => instance.isRunning)!.membership.roster();
        return roster.seats.filter(seat => seat.holder !== undefined).length;
    }

    #publishListing(): void {
        const instances = this.instances.filter(({ isRunning }) => isRunning).map(({ info }) => info);
        this.platform.setListing({ instances, upstreams: [] });
    }
}
