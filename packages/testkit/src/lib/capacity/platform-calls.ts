/** Counts the platform calls of whole fleets with a fake platform. */
import { configObject, rosterObject, withdrawalsObject } from "@sniperoad/core";
import type { PlatformPort } from "@sniperoad/core";
import { allowAllRateLimiter, roundRobinChooser } from "@sniperoad/core/testing";
import { pawtraceDeployment } from "../scenarios/deployments.js";
import { FleetSimulation } from "../scenarios/fleet-simulation.js";
import type { Probe } from "./probe.js";
import { fullSize } from "./sizes.js";

const virtualSeconds = 40;
/** Names of the platform objects that instances read. */
export const objectNames = [configObject, rosterObject, withdrawalsObject];
const restarts = 3;
/** Time by which a new instance has taken a seat. */
const restartSeconds = 15;

/** Platform calls of one fleet. */
interface PlatformCount {
    listReads: number;
    readonly reads: Map<string, number>;
    writes: number;
    /** Watches that are open now. */
    openWatches: number;
}

/** Counts the calls of all instances by kind and object. */
const countCalls = (simulation: FleetSimulation): PlatformCount => {
    const count: PlatformCount = { listReads: 0, reads: new Map(), writes: 0, openWatches: 0 };
    const makePort = simulation.platform.port.bind(simulation.platform);
    simulation.platform.port = (...options) => {
        const port = makePort(...options);
        const watch: PlatformPort["watch"] = (...call) => {
            count.openWatches++;
            return port.watch(...call).finally(() => count.openWatches--);
        };
        return {
            watch,
            get: name => {
                count.reads.set(name, (count.reads.get(name) ?? 0) + 1);
                return port.get(name);
            },
            put: (...call) => (count.writes++, port.put(...call)),
            list: () => (count.listReads++, port.list()),
        };
    };
    return count;
};

/** Starts a fleet. The stages of a request make no platform calls, so the simplest ones are used. */
const startFleet = async (instances: number) => {
    // As many seats as instances, as in both deployments of scenarios/deployments.ts.
    const config = { ...pawtraceDeployment.config, seats: instances };
    const simulation = new FleetSimulation({ ...pawtraceDeployment, config, instances }, 5, {
        rates: allowAllRateLimiter,
        chooser: roundRobinChooser,
    });
    const count = countCalls(simulation);
    await simulation.start();
    return { simulation, count };
};

/** Calls per second of an idle fleet. It runs in virtual time with a fixed seed, so one sample is exact. */
export const platformProbe: Probe = {
    mechanism:
        "pollers (3), each instance's reads of the list, watches of the configuration; FleetSimulation at rest, 40 s",
    per: "instance",
    sizes: [11, 22, 44],
    fullSize: fullSize.instances,
    outputs: [
        { name: "platform list reads", unit: "calls/s" },
        ...objectNames.map(name => ({ name: `platform reads of ${name}`, unit: "calls/s" as const })),
        { name: "platform writes at rest", unit: "calls/s" },
        { name: "platform watches waiting", unit: "calls/s" },
    ],
    sample: async size => {
        const { simulation, count } = await startFleet(size);
        const before = { ...count, reads: new Map(count.reads) };
        await simulation.clock.advance(virtualSeconds * 1_000);
        const readsOf = (name: string) =>
            ((count.reads.get(name) ?? 0) - (before.reads.get(name) ?? 0)) / virtualSeconds;
        return [
            (count.listReads - before.listReads) / virtualSeconds,
            ...objectNames.map(readsOf),
            (count.writes - before.writes) / virtualSeconds,
            count.openWatches,
        ];
    },
};

/**
 * Returns the mean number of platform writes per graceful restart of an instance with a seat. This number does not
 * depend on the fleet size.
 */
export const writesOfRestart = async (instances: number): Promise<number> => {
    const { simulation, count } = await startFleet(instances);
    const before = count.writes;
    for (let index = 1; index <= restarts; index++) {
        const departure = simulation.leave(`entry-${index}`);
        await simulation.clock.advance(1_000);
        simulation.join(`entry-${instances + index}`);
        await simulation.clock.advance(restartSeconds * 1_000);
        await departure;
    }
    return (count.writes - before) / restarts;
};
