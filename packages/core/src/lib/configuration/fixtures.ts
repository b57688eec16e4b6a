/** Configurations and instances for the tests of this folder. */
import { createHash } from "node:crypto";
import type { FleetConfig } from "../config.js";
import type { PlatformPort } from "../ports.js";
import { FakeNetwork, FakePlatform, MemoryLog, seededRandom, VirtualClock } from "../testing/index.js";
import { id, type InstanceId, type InstanceInfo, type ZoneId } from "../types.js";
import { ConfigurationStore } from "./configuration-store.js";
import { checkFleetProposal, type FleetProposal } from "./fleet-validation.js";
import { Withdrawals } from "./withdrawals.js";

export const sha256 = (data: string | Uint8Array): string => createHash("sha256").update(data).digest("hex");

/** Proposal as plain values, as in a file. Tests modify single fields. */
export const plainProposal = () => ({
    seats: 3,
    organisations: [
        {
            id: "paws",
            keys: [{ id: "paws-1", secretSha256: sha256("secret-of-paws-1") }],
            ratePerSecond: 100,
            burst: 20,
        },
        {
            id: "tango",
            keys: [{ id: "tango.eu", secretSha256: sha256("secret-of-tango-eu") }],
            ratePerSecond: 5,
            burst: 5,
        },
    ],
    services: [{ id: "sightings", slotsPerUpstream: 3, floorSlots: 6 }],
    routes: [{
        id: "lookup",
        method: "GET",
        path: "/pets/:pet",
        service: "sightings",
        idempotent: true,
        timeoutMs: 1000,
        organisations: ["paws"],
    }],
});

/** A valid proposal with the given rate. */
export const proposalWithRate = (ratePerSecond: number): FleetProposal => {
    const plain = plainProposal();
    plain.organisations[0]!.ratePerSecond = ratePerSecond;
    const checked = checkFleetProposal(plain);
    if (checked.kind === "invalid") {
        throw new Error(JSON.stringify(checked.problems));
    }
    return checked.value;
};

export const configWithRevision = (revision: number): FleetConfig => ({
    revision,
    operations: [],
    ...proposalWithRate(100 + revision),
});

/** One process of an instance without membership; tests pass heartbeats by hand. */
export interface TestInstance {
    readonly id: InstanceId;
    readonly store: ConfigurationStore;
    readonly withdrawals: Withdrawals;
    readonly log: MemoryLog;
}

/** Instances that share a fake platform and a fake network. */
export class TestFleet {
    readonly clock = new VirtualClock();
    readonly random = seededRandom(11);
    readonly platform = new FakePlatform(this.clock);
    readonly network = new FakeNetwork({ clock: this.clock, random: this.random, delayMs: () => 1 });
    readonly live: InstanceInfo[] = [];

    start(name: string, change: (port: PlatformPort) => PlatformPort = port => port): TestInstance {
        const self = id<InstanceId>(name);
        const { peers, clock } = this.network.join(self);
        const log = new MemoryLog();
        const zone = id<ZoneId>("z1");
        this.live.push({ id: self, zone, address: "127.0.0.1:1", peerAddress: "127.0.0.1:2", state: "live" });
        const platform = change(this.platform.port(() => true, clock));
        const ports = { self, clock, random: this.random, sha256, peers, platform, log };
        const withdrawals = new Withdrawals({ ...ports, liveInstances: () => this.live });
        const store = new ConfigurationStore({ ...ports, withdrawals, isWatcher: () => true });
        store.start();
        withdrawals.start();
        return { id: self, store, withdrawals, log };
    }

    /** Advances the clock by at least the given time, until an asynchronous call has finished. */
    async finish<T>(work: Promise<T>, atLeastMs = 10_000): Promise<T> {
        let isDone = false;
        const outcome = work.then(value => ({ value }), (error: unknown) => ({ error })).finally(() => isDone = true);
        await this.clock.advance(atLeastMs);
        for (let waitedMs = 0; !isDone && waitedMs < 60_000; waitedMs += 100) {
            await this.clock.advance(100);
        }
        const result = await outcome;
        if ("error" in result) {
            throw result.error;
        }
        return result.value;
    }
}
