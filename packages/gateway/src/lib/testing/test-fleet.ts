/** A fleet for tests: gossip and state of each instance, over one network and store on a virtual clock. */
import { id } from "@sniperoad/core";
import type { InstanceId, ZoneId } from "@sniperoad/core";
import { FakeNetwork, seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { Gossip } from "../fleet/gossip.js";
import { Roster } from "../fleet/roster.js";
import type { GatewayInstance } from "../model.js";
import { CurrentConfig } from "../routing/current-config.js";
import { FleetState } from "../store/fleet-state.js";
import { InstanceRecords } from "../store/instance-records.js";
import { UpstreamRegistry } from "../store/upstream-registry.js";
import { idlePayload, testHash } from "./fixtures.js";
import { MemoryDatagrams } from "./memory-datagrams.js";
import { MemoryStore } from "./memory-store.js";

/** One instance of a {@link TestFleet}. */
export interface TestInstance {
    readonly self: GatewayInstance;
    readonly roster: Roster;
    readonly gossip: Gossip;
    readonly state: FleetState;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    /** Whether the instance can reach the store; tests change it. */
    readonly reach: { store: boolean; };
    /** Announces to the others that it leaves. */
    leave(): void;
    /** Stops the instance without announcing it. */
    end(): void;
}

const reviewIntervalMs = 100;

/**
 * A fleet whose instances start when they are added.
 *
 * @example
 * const fleet = new TestFleet();
 * fleet.add(44);
 * await fleet.clock.advance(3_000);
 */
export class TestFleet {
    readonly clock = new VirtualClock();
    readonly random = seededRandom(7);
    readonly datagrams = new MemoryDatagrams(this.clock, this.random);
    readonly store = new MemoryStore(this.clock);
    readonly network = new FakeNetwork({ clock: this.clock, random: this.random, delayMs: () => 1 });
    readonly instances: TestInstance[] = [];
    #startedCount = 0;

    add(count: number, seeds: readonly string[] = ["10.0.0.0:7000", "10.0.0.1:7000"]): void {
        for (let added = 0; added < count; added++) {
            this.instances.push(this.#start(this.#startedCount++, seeds));
        }
    }

    /** Stops and removes instances without announcing it, as if their processes were killed. */
    kill(killed: readonly TestInstance[]): void {
        killed.forEach(instance => {
            instance.end();
            this.datagrams.remove(instance.self.peerAddress);
            this.instances.splice(this.instances.indexOf(instance), 1);
        });
    }

    #start(number: number, seeds: readonly string[]): TestInstance {
        const { clock, random, datagrams, store } = this;
        const self: GatewayInstance = {
            id: id<InstanceId>(`entry-${number}~0`),
            zone: id<ZoneId>(`zone-${number % 3}`),
            callerAddress: `10.0.0.${number}:8000`,
            peerAddress: `10.0.0.${number}:7000`,
        };
        const log = { event: () => {} };
        const reach = { store: true };
        const flags = { isLeaving: false };
        const roster = new Roster(clock);
        const config = new CurrentConfig(testHash);
        const upstreams = new UpstreamRegistry(clock);
        const port = store.port(() => reach.store);
        const { peers } = this.network.join(self.id);
        const state: FleetState = new FleetState({
            self,
            clock,
            random,
            log,
            store: port,
            peers,
            roster,
            config,
            upstreams,
            announce: () => gossip.sendHeartbeatSoon(),
            sendToAll: datagram => gossip.sendToAll(datagram),
            onConfig: () => {},
        });
        const gossip: Gossip = new Gossip({
            self,
            clock,
            random,
            log,
            datagrams: datagrams.port(self.peerAddress),
            roster,
            seeds,
            payload: () => ({ ...idlePayload, isReady: state.isComplete, ...flags, ...state.collectionStates() }),
            onHeartbeat: heartbeat => state.recordHeartbeat(heartbeat),
            onLoads: () => {},
            onUpstreams: datagram => state.receiveUpstreamChanges(datagram),
        });
        const records = new InstanceRecords({
            self,
            clock,
            log,
            store: port,
            isReader: () => state.isReader,
            isIsolated: () => roster.live().length === 0,
            isLive: address => roster.isLive(address),
            contact: address => gossip.contact(address),
        });
        gossip.start();
        const run = { isEnded: false };
        const review = (): void => {
            if (!run.isEnded) {
                state.review();
                records.review();
                clock.after(reviewIntervalMs, review);
            }
        };
        review();
        const leave = (): void => {
            flags.isLeaving = true;
            gossip.sendHeartbeatSoon();
        };
        const end = (): void => {
            run.isEnded = true;
            state.stop();
            gossip.stop();
        };
        return { self, roster, gossip, state, config, upstreams, reach, leave, end };
    }
}
