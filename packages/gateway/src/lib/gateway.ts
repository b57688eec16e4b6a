/** Starts and stops an instance with its servers. */
import { id, incarnationSeparator } from "@sniperoad/core";
import type { InstanceId, Random } from "@sniperoad/core";
import { pressureIntervalMs } from "./admission/service-pressure.js";
import { errorMessage } from "./errors.js";
import { Directory } from "./fleet/directory.js";
import { createFleetComponents } from "./gateway-components.js";
import type { FleetComponents, GatewayFlags, GatewayOptions } from "./gateway-components.js";
import { openAuxiliaryServer } from "./http/auxiliary-server.js";
import type { AuxiliaryRoute, AuxiliaryServer } from "./http/auxiliary-server.js";
import type { OtherPort } from "./http/caller-bounds.js";
import { createCallerBudgets } from "./http/caller-budgets.js";
import type { CallerBudgets } from "./http/caller-budgets.js";
import { CallerServer, defaultCallerLimits } from "./http/caller-server.js";
import type { GatewayInstance } from "./model.js";
import { GatewayMetrics } from "./observe/metrics.js";
import { pruneState } from "./prune-state.js";
import { createRequestComponents } from "./request-components.js";
import { bufferedBytesFor, UpstreamConnectionPool } from "./request/upstream-connection-pool.js";
import type { GatewaySettings } from "./settings.js";
import { reviewIntervalMs } from "./store/fleet-state.js";

/** A running instance. */
export interface Gateway {
    readonly self: GatewayInstance;
    /** Leaves the fleet: announces it, finishes requests in flight and closes. */
    stop(): Promise<void>;
}

/** Path of the metrics endpoint. */
const metricsPath = "/metrics";

/** Maximum length of the incarnation in an instance id, in base-36 digits. */
const incarnationDigits = 6;
/** Time for which callers are asked to cache a directory response; some cache it three times as long. */
const directoryKeepMs = 1_000;
/** Interval at which the state of removed upstreams and instances is deleted. */
const pruneIntervalMs = 1_000;
/** Fraction of the grace period for which a leaving instance still accepts callers with a cached directory response. */
const lingerShare = 0.58;
/** Fraction of the grace period after which the instance stops even if requests are in flight. */
const exitShare = 0.95;

/**
 * Starts an instance.
 *
 * @throws Error if an address is in use
 * @example
 * const gateway = await startGateway(options);
 * process.once("SIGTERM", () => void gateway.stop());
 */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
    const { clock, log, settings, headers, heapMb } = options;
    const self = newInstance(settings(), options.random);
    const { memoryMb, maxDescriptors } = settings();
    const budgets = createCallerBudgets({
        clock,
        log,
        limits: { memoryMb, heapMb, maxDescriptors },
        upstreamBytes: () => connections.bufferedBytes,
        onRejection: reason => metrics.recordCallerRejection(reason),
    });
    const flags: GatewayFlags = { isLeaving: false, endsAtMs: undefined };
    const connections: UpstreamConnectionPool = new UpstreamConnectionPool({
        clock,
        codec: headers,
        maxBufferedBytes: bufferedBytesFor(memoryMb),
        memory: budgets.budget,
    });
    const metrics: GatewayMetrics = new GatewayMetrics({
        configVersion: () => fleet.config.version,
        configBehindSeconds: () => fleet.state.behindMs("config") / 1_000,
        upstreams: () => fleet.upstreams.size,
        evacuatedZones: () => fleet.evacuations?.size ?? 0,
        coldUpstreams: () => fleet.cold.count,
        instancesHeard: () => fleet.roster.live().length,
        isReady: () => fleet.isReady(),
        inFlight: () => fleet.load.localInFlight(),
        droppedLogLines: options.droppedLogLines,
        openedConnections: () => connections.openedCount,
        sentDatagramBytes: () => fleet.datagrams.sentBytes,
        admissionLevel: () => requests.pressures.highestLevel,
    });
    const store = options.openStore((call, result) => metrics.recordStoreCall(call, result));
    const fleet = await createFleetComponents(options, {
        self,
        flags,
        store,
        onConfig: () => front.applyLimits(),
        maxPeerConnections: budgets.bounds.maxOtherConnections.peers,
    });
    const requests = createRequestComponents(options, fleet, metrics, connections);
    const front = await CallerServer.open({
        clock,
        log,
        address: self.callerAddress,
        codec: headers,
        limits: () => fleet.config.current?.config.limits ?? defaultCallerLimits,
        ...budgets,
        isRepeatable: ({ host, target }) => fleet.config.current?.routes.find(host, target)?.isIdempotent === true,
        organisationOf: ({ key }) => key === undefined ? undefined : fleet.config.current?.keys.find(key)?.id,
        handle: received => requests.handler.handle(received),
        isLeaving: () => flags.isLeaving,
    });
    const auxiliaryServers = await openAuxiliaryServers(options, { self, fleet, metrics, budgets });
    fleet.exchange.start();
    const stopTimers = startTimers(options, fleet, connections, requests.review);
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
            flags.endsAtMs = clock.monotonicMs() + settings().stopGraceSeconds * 1_000 * exitShare;
            return leave(options, { fleet, front, auxiliaryServers, stopTimers });
        },
    };
};

/** Processor and link of a machine of the smallest size class. */
const smallestMachine = { processorCores: 0.25, linkMbps: 7 };
/** Highest size class; larger machines gain nothing as aggregators. */
const maxCapacity = 3;

/** Size class of the machine: the number of times that its processor and its link are twice the smallest ones. */
const capacityOf = ({ processorShare, processorSpeed, linkMbps }: GatewaySettings): number => {
    const ratio = Math.min(
        processorShare * processorSpeed / smallestMachine.processorCores,
        linkMbps / smallestMachine.linkMbps,
    );
    return Math.min(maxCapacity, Math.floor(Math.log2(Math.max(1, ratio))));
};

const newInstance = (settings: GatewaySettings, random: Random): GatewayInstance => {
    const incarnation = Math.floor(random() * 36 ** incarnationDigits).toString(36);
    return {
        id: id<InstanceId>(`${settings.instance}${incarnationSeparator}${incarnation}`),
        zone: settings.zone,
        callerAddress: settings.callerAddress,
        peerAddress: settings.peerAddress,
        capacity: capacityOf(settings),
    };
};

interface AuxiliaryParts {
    readonly self: GatewayInstance;
    readonly fleet: FleetComponents;
    readonly metrics: GatewayMetrics;
    readonly budgets: CallerBudgets;
}

const openAuxiliaryServers = (
    { settings, endpoints, clock, random }: GatewayOptions,
    { self, fleet: { roster, isReady }, metrics, budgets }: AuxiliaryParts,
): Promise<AuxiliaryServer[]> => {
    const { directoryAddress, readyAddress, metricsAddress, directoryTtlMaxSeconds } = settings();
    const keepMs = Math.min(directoryKeepMs, directoryTtlMaxSeconds * 1_000);
    const directory = new Directory({ self, roster, clock, random, isReady, keepMs });
    const open = (port: OtherPort, address: string, route: AuxiliaryRoute): Promise<AuxiliaryServer> => {
        const maxConnections = budgets.bounds.maxOtherConnections[port];
        const bounds = { ...budgets.bounds, maxConnections, maxEarlyRequests: 0 };
        return openAuxiliaryServer({ ...budgets, clock, address, routes: [route], bounds });
    };
    return Promise.all([
        open("directory", directoryAddress, {
            path: endpoints.directoryPath,
            answer: query => Response.json(endpoints.directoryBody(directory.answer(endpoints.callerZone(query)))),
        }),
        open("ready", readyAddress, {
            path: endpoints.readyPath,
            answer: () => new Response(null, { status: isReady() ? 200 : 503 }),
        }),
        open("metrics", metricsAddress, {
            path: metricsPath,
            answer: async () => new Response(await metrics.text()),
        }),
    ]);
};

/** Starts periodic tasks; the returned function stops them. */
const startTimers = (
    { clock }: GatewayOptions,
    fleet: FleetComponents,
    connections: UpstreamConnectionPool,
    reviewPressure: () => void,
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
    every(pressureIntervalMs, reviewPressure);
    every(pruneIntervalMs, () => pruneState(fleet, connections));
    return () => {
        run.isEnded = true;
    };
};

/** Components that a leaving instance stops. */
interface LeavingComponents {
    readonly fleet: FleetComponents;
    readonly front: CallerServer;
    readonly auxiliaryServers: readonly AuxiliaryServer[];
    readonly stopTimers: () => void;
}

/** Announces that the instance leaves, waits for requests in flight, and closes all sockets. */
const leave = async ({ clock, settings, log }: GatewayOptions, parts: LeavingComponents): Promise<void> => {
    const { fleet, front, auxiliaryServers, stopTimers } = parts;
    const startMs = clock.monotonicMs();
    const graceMs = settings().stopGraceSeconds * 1_000;
    const wait = (untilMs: number) =>
        new Promise<void>(resolve => clock.after(Math.max(0, startMs + untilMs - clock.monotonicMs()), resolve));
    log.event("leave-begin", { inFlight: front.activeRequestCount, graceMs });
    stopTimers();
    fleet.state.stop();
    fleet.exchange.sendHeartbeatSoon();
    const recordRemoval = fleet.records.leave().catch((error: unknown) => {
        log.event("record-not-removed", { reason: errorMessage(error) });
    });
    await wait(graceMs * lingerShare);
    await Promise.race([front.close(), wait(graceMs * exitShare)]);
    await Promise.race([recordRemoval, wait(graceMs * exitShare)]);
    fleet.exchange.stop();
    auxiliaryServers.forEach(server => server.close());
    fleet.datagrams.close();
    fleet.peers.close();
    log.event("leave-end", { inFlight: front.activeRequestCount, tookMs: Math.round(clock.monotonicMs() - startMs) });
};
