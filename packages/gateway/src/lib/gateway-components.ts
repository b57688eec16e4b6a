/** Builds the modules of an instance and connects them. */
import type { Clock, LogPort, Random, Sha256, UpstreamId, ZoneId } from "@sniperoad/core";
import { splitAddress, TcpPeers } from "@sniperoad/daemon";
import { FleetLoad } from "./balance/fleet-load.js";
import { RetryBudget } from "./balance/retry-budget.js";
import { UpstreamSelector } from "./balance/upstream-selector.js";
import type { DirectoryResponse } from "./fleet/directory.js";
import { Gossip } from "./fleet/gossip.js";
import type { Heartbeat } from "./fleet/heartbeat.js";
import { LoadReporter } from "./fleet/load-reporter.js";
import { Roster } from "./fleet/roster.js";
import { UdpDatagrams } from "./fleet/udp-datagrams.js";
import { GrayFailureEstimator } from "./health/gray-failure-estimator.js";
import { PathBackoff } from "./health/path-backoff.js";
import { SharedOutcomes } from "./health/shared-outcomes.js";
import { UpstreamFloor } from "./health/upstream-floor.js";
import type { GatewayInstance } from "./model.js";
import type { GatewayMetrics } from "./observe/metrics.js";
import { FleetRateLimiter } from "./rates/fleet-rate-limiter.js";
import { CrashTracker } from "./request/crash-tracker.js";
import type { HeaderCodec } from "./request/ports.js";
import { RequestHandler } from "./request/request-handler.js";
import type { UpstreamConnectionPool } from "./request/upstream-connection-pool.js";
import { UpstreamDispatcher } from "./request/upstream-dispatcher.js";
import { CurrentConfig } from "./routing/current-config.js";
import type { GatewaySettings } from "./settings.js";
import { FleetState } from "./store/fleet-state.js";
import { InstanceRecords } from "./store/instance-records.js";
import type { StorePort } from "./store/ports.js";
import { UpstreamRegistry } from "./store/upstream-registry.js";

/** How callers ask for the directory and the readiness check in a deployment. */
export interface EndpointDialect {
    readonly directoryPath: string;
    readonly readyPath: string;
    /** The zone in which a caller of the directory is. */
    readonly callerZone: (query: URLSearchParams) => ZoneId | undefined;
    readonly directoryBody: (answer: DirectoryResponse) => unknown;
}

/** What an instance is started with. */
export interface GatewayOptions {
    /** The settings in force; identity, addresses and store are read once. */
    readonly settings: () => GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly droppedLogLines: () => number;
    readonly headers: HeaderCodec;
    readonly endpoints: EndpointDialect;
    /** Opens the store; `onCall` counts its calls. */
    readonly openStore: (onCall: (call: string, result: string) => void) => StorePort;
}

/** What the instance has decided about itself. */
export interface GatewayFlags {
    isLeaving: boolean;
}

/** What instances tell each other, and the state that follows from it. */
export interface FleetComponents {
    readonly datagrams: UdpDatagrams;
    readonly peers: TcpPeers;
    readonly roster: Roster;
    readonly gossip: Gossip;
    readonly loadReporter: LoadReporter;
    readonly state: FleetState;
    readonly records: InstanceRecords;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    readonly gray: GrayFailureEstimator;
    readonly load: FleetLoad;
    readonly rates: FleetRateLimiter;
    readonly floor: UpstreamFloor;
    readonly outcomes: SharedOutcomes;
    readonly crashes: CrashTracker;
    /** Whether callers are taken. */
    readonly isReady: () => boolean;
}

/** What {@link createFleetComponents} needs besides the options. */
export interface FleetSetup {
    readonly self: GatewayInstance;
    readonly flags: GatewayFlags;
    readonly store: StorePort;
    readonly onConfig: () => void;
}

/**
 * Opens the sockets between instances and builds what depends on them.
 *
 * @throws Error when an address is in use
 */
export const createFleetComponents = async (options: GatewayOptions, setup: FleetSetup): Promise<FleetComponents> => {
    const { clock, random, log, sha256, settings } = options;
    const { self, flags, store, onConfig } = setup;
    const { host, port } = splitAddress(self.peerAddress);
    const datagrams = await UdpDatagrams.open(self.peerAddress, log);
    const peers = new TcpPeers({ self: self.id, clock, log });
    await peers.listen(host, port);
    const announce = (): void => gossip.sendHeartbeatSoon();
    const roster = new Roster(clock);
    const config = new CurrentConfig(sha256);
    const upstreams = new UpstreamRegistry(clock, upstream => forgetFormerProcess(upstream, evidence, log));
    const evidence: Evidence = createEvidence(options, upstreams, {
        announce,
        onLoad: () => loadReporter.scheduleReport(),
    });
    const { load } = evidence;
    const shared = shareByBeats(evidence);
    const isReady = (): boolean => state.isComplete && !flags.isLeaving;
    const state: FleetState = new FleetState({
        self,
        clock,
        random,
        log,
        store,
        peers,
        roster,
        config,
        upstreams,
        announce,
        sendToAll: datagram => gossip.sendToAll(datagram),
        onConfig,
    });
    const gossip: Gossip = new Gossip({
        self,
        clock,
        random,
        log,
        datagrams,
        roster,
        seeds: settings().seedPeers,
        payload: () => ({
            isReady: isReady(),
            isLeaving: flags.isLeaving,
            ...state.collectionStates(),
            ...shared.report(),
        }),
        onHeartbeat: (heartbeat, former) => {
            state.recordHeartbeat(heartbeat);
            shared.noteBeat(heartbeat, former);
        },
        onLoads: ({ reports, mustForward }) => loadReporter.receive(reports, mustForward),
        onUpstreams: datagram => state.receiveUpstreamChanges(datagram),
    });
    const loadReporter: LoadReporter = new LoadReporter({
        selfId: self.id,
        selfAddress: self.peerAddress,
        clock,
        datagrams,
        load,
        relayAddress: () => gossip.relayAddresses()[0],
        sameZoneAddresses: () => gossip.sameZoneAddresses(),
    });
    const records = new InstanceRecords({
        self,
        clock,
        log,
        store,
        isReader: () => state.isReader,
        isIsolated: () => roster.live().length === 0,
        isLive: address => roster.isLive(address),
        contact: address => gossip.contact(address),
    });
    return { datagrams, peers, roster, gossip, loadReporter, state, records, config, upstreams, ...evidence, isReady };
};

/** What an instance believes of upstreams, loads and rates, from its own requests and those of the others. */
type Evidence = Pick<FleetComponents, "gray" | "load" | "rates" | "floor" | "outcomes" | "crashes">;

const createEvidence = (
    { clock, random, settings }: GatewayOptions,
    held: UpstreamRegistry,
    { announce, onLoad }: { readonly announce: () => void; readonly onLoad: () => void; },
): Evidence => {
    const gray = new GrayFailureEstimator(clock);
    const serviceOf = (upstream: UpstreamId) => held.get(upstream)?.listed.service;
    const floor = new UpstreamFloor({ clock, random, floorShare: () => settings().floorShare, serviceOf });
    return {
        gray,
        floor,
        load: new FleetLoad(onLoad),
        rates: new FleetRateLimiter(clock, () => rateOptions(settings())),
        outcomes: new SharedOutcomes({ clock, gray, floor, announce }),
        crashes: new CrashTracker({ clock, announce }),
    };
};

const forgetFormerProcess = (upstream: UpstreamId, { gray }: Pick<Evidence, "gray">, log: LogPort): void => {
    log.event("upstream-restarted", { upstream });
    gray.reset(upstream);
};

/** What instances learn from each other's beats for their decisions on requests. */
const shareByBeats = (
    { rates, outcomes, crashes, load }: Pick<Evidence, "rates" | "outcomes" | "crashes" | "load">,
) => ({
    report: (): Pick<Heartbeat, "usage" | "outcomes" | "crashes" | "loadSequence" | "inFlight"> => ({
        usage: rates.report(),
        outcomes: outcomes.report(),
        crashes: crashes.report(),
        ...loadOf(load),
    }),
    noteBeat: (heartbeat: Heartbeat, former: Heartbeat | undefined): void => {
        rates.recordReport(heartbeat.id, heartbeat.usage);
        outcomes.recordHeartbeat(heartbeat, former);
        crashes.recordHeartbeat(heartbeat);
        load.recordReport({ id: heartbeat.id, sequence: heartbeat.loadSequence, inFlight: heartbeat.inFlight });
    },
});

const loadOf = (load: FleetLoad): Pick<Heartbeat, "loadSequence" | "inFlight"> => {
    const { sequence, inFlight } = load.report();
    return { loadSequence: sequence, inFlight };
};

/** What handles the requests of callers. */
export interface RequestComponents {
    readonly connections: UpstreamConnectionPool;
    readonly handler: RequestHandler;
    readonly metrics: GatewayMetrics;
}

/** Builds the path of a request. */
export const createRequestComponents = (
    options: GatewayOptions,
    fleet: FleetComponents,
    metrics: GatewayMetrics,
    connections: UpstreamConnectionPool,
): RequestComponents => {
    const { clock, random, log, sha256, headers, settings } = options;
    const { roster, upstreams, gray, load, outcomes, crashes, state, config, rates, floor } = fleet;
    const paths = new PathBackoff(clock);
    const retryBudget = new RetryBudget(() => {
        const { retryShare, retryBurst } = settings();
        return { share: retryShare, burst: retryBurst };
    });
    const dispatcher = new UpstreamDispatcher({
        clock,
        log,
        client: connections,
        codec: headers,
        selector: new UpstreamSelector({ zone: settings().zone, clock, random, gray, paths, load, floor }),
        load,
        paths,
        outcomes,
        floor,
        retryBudget,
        candidates: service => upstreams.forService(service),
        crashes,
    });
    const handler = new RequestHandler({
        clock,
        random,
        sha256,
        log,
        config,
        rates,
        retryBudget,
        crashes,
        dispatcher,
        codec: headers,
        isInitialized: () => state.isComplete,
        fleetSize: () => ({ heard: roster.live().length + 1, known: roster.known().length + 1 }),
        unconfirmedReason: () => whyUnconfirmed(settings(), state),
        onDone: (route, status, tookMs) => metrics.request(route?.id, status, tookMs),
    });
    return { connections, handler, metrics };
};

/** Forgets upstreams that are no longer listed and instances that are no longer heard. */
export const pruneState = (
    { upstreams, gray, floor, load, rates, roster }: FleetComponents,
    connections: UpstreamConnectionPool,
): void => {
    const isListed = (upstream: Parameters<UpstreamRegistry["get"]>[0]): boolean =>
        upstreams.get(upstream) !== undefined;
    gray.retain(isListed);
    floor.retain(isListed);
    connections.retain(isListed);
    const heard = new Set(roster.live().map(({ heartbeat }) => heartbeat.id));
    load.retain(instance => heard.has(instance));
    const known = new Set(roster.known().map(({ heartbeat }) => heartbeat.id));
    rates.retain(instance => known.has(instance));
};

const rateOptions = ({ rateWindowSeconds, rateOverage, rateSlack }: GatewaySettings) => ({
    windowMs: rateWindowSeconds * 1_000,
    overage: rateOverage,
    slack: rateSlack,
});

/** An instance vouches for keys as long as the time within which a change must be in force has not passed. */
const whyUnconfirmed = (settings: GatewaySettings, state: FleetState): string | undefined => {
    if (!settings.refuseWhenUnconfirmed) {
        return undefined;
    }
    const ageMs = state.confirmedAgeMs("config");
    return ageMs !== undefined && ageMs <= settings.configApplyMs
        ? undefined
        : `The configuration was last confirmed ${ageMs === undefined ? "never" : `${Math.round(ageMs)} ms ago`}.`;
};
