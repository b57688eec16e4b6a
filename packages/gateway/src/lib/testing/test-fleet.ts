/** A fleet for tests: exchange and state of each instance, over one network and store on a virtual clock. */
import { id } from "@sniperoad/core";
import type { InstanceId, Random, ZoneId } from "@sniperoad/core";
import { FakeNetwork, seededRandom, VirtualClock } from "@sniperoad/core/testing";
import { systemSha256 } from "@sniperoad/daemon";
import type { DigestCount, DistributedOutcome } from "../fleet/digest.js";
import { FleetExchange } from "../fleet/fleet-exchange.js";
import type { HeartbeatPayload } from "../fleet/fleet-exchange.js";
import { Roster } from "../fleet/roster.js";
import type { GatewayInstance } from "../model.js";
import { CurrentConfig } from "../routing/current-config.js";
import type { SharedOutage } from "../statements/upstream-outages.js";
import type { SharedStatement } from "../statements/upstream-statements.js";
import { FleetState, reviewIntervalMs } from "../store/fleet-state.js";
import { InstanceRecords } from "../store/instance-records.js";
import { UpstreamRegistry } from "../store/upstream-registry.js";
import { EvacuationRegistry } from "../store/zone-evacuations.js";
import { idlePayload, testHash } from "./fixtures.js";
import { MemoryDatagrams } from "./memory-datagrams.js";
import { MemoryStore } from "./memory-store.js";

/** The instances write no log. */
const log = { event: () => {} };

/** One instance of a {@link TestFleet}. */
export interface TestInstance {
    readonly self: GatewayInstance;
    readonly roster: Roster;
    readonly exchange: FleetExchange;
    readonly state: FleetState;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    /** Undefined unless the fleet has a bound for evacuations. */
    readonly evacuations: EvacuationRegistry | undefined;
    /** Whether the instance can reach the store, and whether its calls get no answer; tests change it. */
    readonly reach: { store: boolean; isStoreSilent: boolean; };
    /** Additions to the payload of the next heartbeat; tests change it. */
    readonly payload: { next: () => Partial<HeartbeatPayload>; };
    /** What was received from the others. */
    readonly received: {
        readonly outcomes: DistributedOutcome[];
        readonly successes: DigestCount[];
        readonly statements: SharedStatement[];
        readonly outages: SharedOutage[];
    };
    /** Announces to the others that it leaves. */
    leave(): void;
    /** Stops the instance without announcing it. */
    end(): void;
}

const usageWindowMs = 5_000;

/** Options of {@link TestFleet}. */
export interface TestFleetOptions {
    readonly zoneCount?: number;
    readonly seed?: number;
    /** Bound of evacuations; undefined: the fleet does not read them. */
    readonly zoneEvacuationMs?: number;
}

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
    readonly random: Random;
    readonly datagrams: MemoryDatagrams;
    readonly store = new MemoryStore(this.clock);
    readonly network: FakeNetwork;
    readonly instances: TestInstance[] = [];
    /** Bytes per second that each instance may send in transfers; tests change it. */
    transferBytesPerSecond = 50_000_000;
    readonly #zoneCount: number;
    readonly #zoneEvacuationMs: number | undefined;
    #startedCount = 0;

    constructor({ zoneCount = 3, seed = 7, zoneEvacuationMs }: TestFleetOptions = {}) {
        this.#zoneCount = zoneCount;
        this.#zoneEvacuationMs = zoneEvacuationMs;
        this.random = seededRandom(seed);
        this.datagrams = new MemoryDatagrams(this.clock, this.random);
        this.network = new FakeNetwork({ clock: this.clock, random: this.random, delayMs: () => 1 });
    }

    /** Zone of the instance at a peer address. */
    zoneAt(peerAddress: string): string {
        return `zone-${Number(peerAddress.split(/[.:]/)[3]) % this.#zoneCount}`;
    }

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
            this.network.kill(instance.self.id);
            this.instances.splice(this.instances.indexOf(instance), 1);
        });
    }

    /** Stops an instance and starts another process at its address. */
    replace(replaced: TestInstance): void {
        this.kill([replaced]);
        this.restart(replaced);
    }

    /** Starts another process at the address of an instance that was killed. */
    restart({ self }: TestInstance): void {
        const number = Number(self.peerAddress.split(/[.:]/)[3]);
        const incarnation = Number(self.id.split("~")[1]) + 1;
        const seeds = this.instances.slice(0, 2).map(instance => instance.self.peerAddress);
        this.instances.push(this.#start(number, seeds, incarnation));
    }

    #identity(number: number, incarnation: number): GatewayInstance {
        return {
            id: id<InstanceId>(`entry-${number}~${incarnation}`),
            zone: id<ZoneId>(`zone-${number % this.#zoneCount}`),
            callerAddress: `10.0.0.${number}:8000`,
            peerAddress: `10.0.0.${number}:7000`,
            capacity: 0,
        };
    }

    /** Reviews periodically until the returned function is called. */
    #review(parts: readonly { review(): void; }[]): () => void {
        const run = { isEnded: false };
        const review = (): void => {
            if (!run.isEnded) {
                parts.forEach(part => part.review());
                this.clock.after(reviewIntervalMs, review);
            }
        };
        review();
        return () => {
            run.isEnded = true;
        };
    }

    #createEvacuations(): EvacuationRegistry | undefined {
        const boundMs = this.#zoneEvacuationMs;
        return boundMs === undefined
            ? undefined
            : new EvacuationRegistry({ clock: this.clock, log, boundMs });
    }

    #start(number: number, seeds: readonly string[], incarnation = 0): TestInstance {
        const { clock, random, datagrams, store } = this;
        const self = this.#identity(number, incarnation);
        const reach = { store: true, isStoreSilent: false };
        const payload = { next: (): Partial<HeartbeatPayload> => ({}) };
        const received: TestInstance["received"] = { outcomes: [], successes: [], statements: [], outages: [] };
        const flags = { isLeaving: false };
        const roster = new Roster(clock);
        const config = new CurrentConfig(testHash);
        const upstreams = new UpstreamRegistry(clock);
        const evacuations = this.#createEvacuations();
        const port = store.port(() => reach.store, () => reach.isStoreSilent);
        const { peers } = this.network.join(self.id);
        const state: FleetState = new FleetState({
            self,
            clock,
            random,
            sha256: systemSha256,
            log,
            store: port,
            peers,
            roster,
            config,
            upstreams,
            evacuations,
            announce: () => announceState(exchange),
            sendToAll: message => exchange.sendToAll(message),
            digestIntervalMs: () => exchange.digestIntervalMs(),
            transferBytesPerSecond: () => this.transferBytesPerSecond,
            onConfig: () => {},
        });
        const exchange: FleetExchange = new FleetExchange({
            self,
            clock,
            random,
            log,
            datagrams: datagrams.port(self.peerAddress),
            roster,
            seeds,
            usageWindowMs: () => usageWindowMs,
            takePayload: () => ({
                ...idlePayload,
                isReady: state.isComplete,
                ...flags,
                ...state.collectionStates(),
                ...payload.next(),
            }),
            collections: () => state.collectionStates(),
            onOutcomes: batch => received.outcomes.push(...batch.outcomes),
            onSuccesses: successes => received.successes.push(...successes),
            onRevision: (collection, revision, ageMs) => state.recordRevision(collection, revision, ageMs),
            onUpstreams: message => state.receiveUpstreamChanges(message),
            onStatements: statements => received.statements.push(...statements),
            onOutages: outages => received.outages.push(...outages),
        });
        const records = new InstanceRecords({
            self,
            clock,
            log,
            random,
            store: port,
            epoch: () => state.epoch,
            isReader: () => state.isReader,
            isIsolated: () => roster.live().length === 0,
            isLive: address => roster.isLive(address),
            contact: address => exchange.contact(address),
        });
        exchange.start();
        const endReviews = this.#review([state, records]);
        const leave = (): void => {
            flags.isLeaving = true;
            exchange.sendHeartbeatSoon();
        };
        const end = (): void => {
            endReviews();
            state.stop();
            exchange.stop();
        };
        return { self, roster, exchange, state, config, upstreams, evacuations, reach, payload, received, leave, end };
    }
}

const announceState = (exchange: FleetExchange): void => {
    exchange.sendHeartbeatSoon();
    exchange.announceState();
};
