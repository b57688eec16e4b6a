/** One instance as a process: the decisions wired to sockets. */
import { id, incarnationSeparator } from "@sniperoad/core";
import type { InstanceId, Random } from "@sniperoad/core";
import { errorMessage } from "./errors.js";
import { Directory } from "./fleet/directory.js";
import { createFleetComponents, createRequestComponents, pruneState } from "./gateway-components.js";
import type { FleetComponents, GatewayOptions } from "./gateway-components.js";
import { openAuxiliaryServer } from "./http/auxiliary-server.js";
import type { AuxiliaryServer } from "./http/auxiliary-server.js";
import { CallerServer, defaultCallerLimits } from "./http/caller-server.js";
import type { GatewayInstance } from "./model.js";
import { GatewayMetrics } from "./observe/metrics.js";
import { UpstreamConnectionPool } from "./request/upstream-connection-pool.js";
import type { GatewaySettings } from "./settings.js";

/** A running instance. */
export interface Gateway {
    readonly self: GatewayInstance;
    /** Leaves the fleet: is no longer named, finishes its requests and closes. */
    stop(): Promise<void>;
}

/** Path of the metrics on their address. */
const metricsPath = "/metrics";

const incarnationDigits = 6;
/** Time for which callers are asked to keep a directory answer; some keep it three times as long. */
const directoryKeepMs = 1_000;
/** How often an instance decides anew whether to read from the store. */
const reviewIntervalMs = 100;
/** How often state of upstreams and instances that are gone is dropped. */
const sweepIntervalMs = 1_000;
/** Part of the stop's grace for which a leaving instance still takes connections of callers with an old answer. */
const lingerShare = 0.58;
/** Part of the grace at which the process ends in any case. */
const endShare = 0.95;

/**
 * Starts an instance.
 *
 * @throws Error when an address is in use
 * @example
 * const gateway = await startGateway(options);
 * process.once("SIGTERM", () => void gateway.stop());
 */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
    const { clock, log, settings, headers } = options;
    const self = newInstance(settings(), options.random);
    const flags = { isLeaving: false };
    const connections = new UpstreamConnectionPool({ clock, codec: headers });
    const metrics: GatewayMetrics = new GatewayMetrics({
        configVersion: () => fleet.config.version,
        upstreams: () => fleet.upstreams.size,
        instancesHeard: () => fleet.roster.live().length,
        isReady: () => fleet.isReady(),
        inFlight: () => fleet.load.localInFlight(),
        droppedLogLines: options.droppedLogLines,
        openedConnections: () => connections.openedCount,
        sentDatagramBytes: () => fleet.datagrams.sentBytes,
    });
    const store = options.openStore((call, result) => metrics.recordStoreCall(call, result));
    const fleet = await createFleetComponents(options, { self, flags, store, onConfig: () => front.applyLimits() });
    const { handler } = createRequestComponents(options, fleet, metrics, connections);
    const front = await CallerServer.open({
        clock,
        log,
        address: self.callerAddress,
        codec: headers,
        limits: () => fleet.config.current?.config.limits ?? defaultCallerLimits,
        handle: received => handler.handle(received),
        isLeaving: () => flags.isLeaving,
    });
    const sides = await openSides(options, self, fleet, metrics);
    fleet.gossip.start();
    const stopTimers = startTimers(options, fleet, connections);
    log.event("start", {
        zone: self.zone,
        callers: self.callerAddress,
        peers: self.peerAddress,
        seeds: settings().seedPeers.length,
    });
    return {
        self,
        stop: () => {
            flags.isLeaving = true;
            return leave(options, { fleet, front, sides, stopTimers });
        },
    };
};

const newInstance = (settings: GatewaySettings, random: Random): GatewayInstance => {
    const incarnation = Math.floor(random() * 36 ** incarnationDigits).toString(36);
    return {
        id: id<InstanceId>(`${settings.instance}${incarnationSeparator}${incarnation}`),
        zone: settings.zone,
        callerAddress: settings.callerAddress,
        peerAddress: settings.peerAddress,
    };
};

const openSides = (
    { settings, endpoints: side, clock, random }: GatewayOptions,
    self: GatewayInstance,
    { roster, isReady }: FleetComponents,
    metrics: GatewayMetrics,
): Promise<AuxiliaryServer[]> => {
    const { directoryAddress, readyAddress, metricsAddress, directoryTtlMaxSeconds } = settings();
    const keepMs = Math.min(directoryKeepMs, directoryTtlMaxSeconds * 1_000);
    const directory = new Directory({ self, roster, clock, random, isReady, keepMs });
    return Promise.all([
        openAuxiliaryServer(directoryAddress, [{
            path: side.directoryPath,
            answer: query => Response.json(side.directoryBody(directory.answer(side.callerZone(query)))),
        }]),
        openAuxiliaryServer(readyAddress, [
            { path: side.readyPath, answer: () => new Response(null, { status: isReady() ? 200 : 503 }) },
        ]),
        openAuxiliaryServer(metricsAddress, [
            { path: metricsPath, answer: async () => new Response(await metrics.text()) },
        ]),
    ]);
};

/** Starts what is done at intervals; the returned function ends it. */
const startTimers = (
    { clock }: GatewayOptions,
    fleet: FleetComponents,
    connections: UpstreamConnectionPool,
): () => void => {
    const run = { isEnded: false };
    const every = (intervalMs: number, task: () => void): void => {
        clock.after(intervalMs, () => {
            if (!run.isEnded) {
                task();
                every(intervalMs, task);
            }
        });
    };
    every(reviewIntervalMs, () => {
        fleet.state.review();
        fleet.records.review();
    });
    every(sweepIntervalMs, () => pruneState(fleet, connections));
    return () => {
        run.isEnded = true;
    };
};

interface Leaving {
    readonly fleet: FleetComponents;
    readonly front: CallerServer;
    readonly sides: readonly AuxiliaryServer[];
    readonly stopTimers: () => void;
}

const leave = async ({ clock, settings, log }: GatewayOptions, parts: Leaving): Promise<void> => {
    const { fleet, front, sides, stopTimers } = parts;
    const startMs = clock.monotonicMs();
    const graceMs = settings().stopGraceSeconds * 1_000;
    const wait = (untilMs: number) =>
        new Promise<void>(resolve => clock.after(Math.max(0, startMs + untilMs - clock.monotonicMs()), resolve));
    log.event("leave-begin", { inFlight: front.activeRequestCount, graceMs });
    stopTimers();
    fleet.state.stop();
    fleet.gossip.sendHeartbeatSoon();
    const recordGone = fleet.records.leave().catch((error: unknown) => {
        log.event("record-not-removed", { reason: errorMessage(error) });
    });
    await wait(graceMs * lingerShare);
    await Promise.race([front.close(), wait(graceMs * endShare)]);
    await Promise.race([recordGone, wait(graceMs * endShare)]);
    fleet.gossip.stop();
    fleet.loadReporter.stop();
    sides.forEach(server => server.close());
    fleet.datagrams.close();
    fleet.peers.close();
    log.event("leave-end", { inFlight: front.activeRequestCount, tookMs: Math.round(clock.monotonicMs() - startMs) });
};
