/** Creates the components of an instance and connects them. */
import type { Clock, LogPort, Random, Sha256, UpstreamId, ZoneId } from "@sniperoad/core";
import { splitAddress, TcpPeers } from "@sniperoad/daemon";
import { createAttemptLimits, joinUsage } from "./attempt-limits.js";
import { FleetLoad } from "./balance/fleet-load.js";
import type { RemoteLoads } from "./balance/fleet-load.js";
import type { RemoteAttempts, RetryBudget } from "./balance/retry-budget.js";
import type { DirectoryResponse } from "./fleet/directory.js";
import { FleetExchange } from "./fleet/fleet-exchange.js";
import { Roster } from "./fleet/roster.js";
import { UdpDatagrams } from "./fleet/udp-datagrams.js";
import { defaultGrayFailureModel, GrayFailureEstimator } from "./health/gray-failure-estimator.js";
import { GrayModelLearner } from "./health/gray-model-learner.js";
import type { RejectionMonitor } from "./health/rejection-monitor.js";
import { SharedOutcomes } from "./health/shared-outcomes.js";
import { UpstreamFloor } from "./health/upstream-floor.js";
import type { GatewayInstance } from "./model.js";
import { instanceKey, nameKey } from "./name-key.js";
import { FleetRateLimiter } from "./rates/fleet-rate-limiter.js";
import type { FleetSize, RemoteRates } from "./rates/fleet-rate-limiter.js";
import { CrashTracker } from "./request/crash-tracker.js";
import type { HeaderCodec } from "./request/ports.js";
import { CurrentConfig } from "./routing/current-config.js";
import type { GatewaySettings } from "./settings.js";
import { createSlowStart } from "./slow-start-components.js";
import type { ColdUpstreams } from "./statements/cold-upstreams.js";
import { LimitMeters } from "./statements/limit-meters.js";
import { UpstreamOutages } from "./statements/upstream-outages.js";
import type { SharedOutage } from "./statements/upstream-outages.js";
import { UpstreamStatements } from "./statements/upstream-statements.js";
import type { SharedStatement } from "./statements/upstream-statements.js";
import type { WarmupPermits } from "./statements/warmup-permits.js";
import { FleetState } from "./store/fleet-state.js";
import { InstanceRecords } from "./store/instance-records.js";
import type { StorePort } from "./store/ports.js";
import { UpstreamRegistry } from "./store/upstream-registry.js";
import { EvacuationRegistry } from "./store/zone-evacuations.js";

const bytesPerMegabit = 125_000;

/** HTTP interface of the directory and the readiness check in a deployment. */
export interface EndpointProtocol {
    readonly directoryPath: string;
    readonly readyPath: string;
    /** Zone of a caller of the directory. */
    readonly callerZone: (query: URLSearchParams) => ZoneId | undefined;
    readonly directoryBody: (response: DirectoryResponse) => unknown;
}

/** Options of an instance. */
export interface GatewayOptions {
    /** The settings in force; identity, addresses and store address are read only at startup. */
    readonly settings: () => GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    /** Limit of the old generation of the JavaScript heap; undefined: as much as the memory. */
    readonly heapMb?: number;
    readonly droppedLogLines: () => number;
    readonly headers: HeaderCodec;
    readonly endpoints: EndpointProtocol;
    /** Opens the store, which reports each of its calls to `onCall`. */
    readonly openStore: (onCall: (call: string, result: string) => void) => StorePort;
}

/** Mutable lifecycle state of an instance. */
export interface GatewayFlags {
    isLeaving: boolean;
    /** Monotonic time at which a leaving process ends. */
    endsAtMs: number | undefined;
}

/** Components for communication between instances, and the state that is derived from it. */
export interface FleetComponents {
    readonly datagrams: UdpDatagrams;
    readonly peers: TcpPeers;
    readonly roster: Roster;
    readonly exchange: FleetExchange;
    readonly state: FleetState;
    readonly records: InstanceRecords;
    readonly config: CurrentConfig;
    readonly upstreams: UpstreamRegistry;
    /** Undefined where zones are not evacuated. */
    readonly evacuations: EvacuationRegistry | undefined;
    readonly gray: GrayFailureEstimator;
    readonly load: FleetLoad;
    readonly rates: FleetRateLimiter;
    readonly retryBudget: RetryBudget;
    readonly rejections: RejectionMonitor;
    readonly floor: UpstreamFloor;
    readonly outcomes: SharedOutcomes;
    readonly crashes: CrashTracker;
    readonly statements: UpstreamStatements;
    readonly meters: LimitMeters;
    readonly outages: UpstreamOutages;
    readonly permits: WarmupPermits;
    readonly cold: ColdUpstreams;
    /** Adds a function that is called with the requests of other instances that an upstream has ended. */
    readonly onCompleted: (listener: (upstream: UpstreamId, count: number) => void) => void;
    /** Whether requests from callers are accepted. */
    readonly isReady: () => boolean;
    /** Monotonic time at which the process ends; undefined unless it is leaving. */
    readonly endsAtMs: () => number | undefined;
    readonly fleetSize: () => FleetSize;
}

/** Arguments of {@link createFleetComponents} besides the options. */
export interface FleetSetup {
    readonly self: GatewayInstance;
    readonly flags: GatewayFlags;
    readonly store: StorePort;
    readonly onConfig: () => void;
    /** Connections that other instances may open. */
    readonly maxPeerConnections: number;
}

/**
 * Opens the sockets for communication between instances and creates the components that depend on them.
 *
 * @throws Error if an address is in use
 */
export const createFleetComponents = async (options: GatewayOptions, setup: FleetSetup): Promise<FleetComponents> => {
    const { clock, random, log, sha256, settings } = options;
    const { self, flags, store, onConfig } = setup;
    const { datagrams, peers } = await openSockets(options, setup);
    const announce = (): void => exchange.sendHeartbeatSoon();
    const roster = new Roster(clock);
    const fleetSize = (): FleetSize => ({ live: roster.live().length + 1, known: roster.known().length + 1 });
    const config = new CurrentConfig(sha256);
    const upstreams = new UpstreamRegistry(clock, upstream => resetUpstream(upstream, evidence, log));
    const evacuations = createEvacuations(options);
    const evidence: Evidence = createEvidence(options, upstreams, {
        ownKey: instanceKey(self.id),
        announce,
        onLoad: () => exchange.sendLoadsSoon(),
        remoteLoads: { inFlight: key => exchange.view.inFlight(key), loads: () => exchange.view.loads() },
        remoteRates: remoteRatesOf(() => exchange),
        fleetSize,
        shareStatements: heard => exchange.sendToAll({ kind: "statements", statements: heard }),
        shareOutages: outages => exchange.sendToAll({ kind: "outages", outages }),
    });
    const { outcomes, crashes, rates, load, statements } = evidence;
    const isReady = (): boolean => state.isComplete && !flags.isLeaving;
    const common = { self, clock, random, sha256, log, roster };
    const state: FleetState = new FleetState({
        ...common,
        store,
        peers,
        config,
        upstreams,
        evacuations,
        announce: () => announceState(exchange),
        sendToAll: message => exchange.sendToAll(message),
        digestIntervalMs: () => exchange.digestIntervalMs(),
        transferBytesPerSecond: () => settings().linkMbps * bytesPerMegabit * settings().transferLinkShare,
        onConfig,
    });
    const exchange: FleetExchange = new FleetExchange({
        ...common,
        datagrams,
        seeds: settings().seedPeers,
        usageWindowMs: () => settings().rateWindowSeconds * 1_000,
        takePayload: () => ({
            isReady: isReady(),
            isLeaving: flags.isLeaving,
            ...state.collectionStates(),
            ...joinUsage(evidence, rates.take()),
            inFlight: load.report(),
            ...outcomes.take(),
            crashes: crashes.report(),
        }),
        collections: () => state.collectionStates(),
        onOutcomes: batch => {
            outcomes.recordDistributed(batch.outcomes);
            crashes.recordDistributed(batch.crashes);
        },
        onSuccesses: successes => outcomes.recordSuccesses(successes),
        onRevision: (collection, revision, ageMs) => state.recordRevision(collection, revision, ageMs),
        onUpstreams: message => state.receiveUpstreamChanges(message),
        onStatements: heard => statements.recordShared(heard),
        onOutages: outages => evidence.outages.recordShared(outages),
    });
    const records = createRecords(options, setup, { roster, exchange, state });
    return {
        datagrams,
        peers,
        roster,
        exchange,
        state,
        records,
        config,
        upstreams,
        evacuations,
        ...evidence,
        ...createSlowStart(options, setup, { roster, config, upstreams, evacuations, outages: evidence.outages }),
        isReady,
        endsAtMs: () => flags.endsAtMs,
        fleetSize,
    };
};

/** Notifies the other instances immediately of a new state, also as an aggregator. */
const announceState = (exchange: FleetExchange): void => {
    exchange.sendHeartbeatSoon();
    exchange.announceState();
};

const createEvacuations = ({ clock, log, settings }: GatewayOptions): EvacuationRegistry | undefined => {
    const boundMs = settings().zoneEvacuationMs;
    return boundMs === undefined ? undefined : new EvacuationRegistry({ clock, log, boundMs });
};

const openSockets = async (
    { clock, log }: GatewayOptions,
    { self, maxPeerConnections }: FleetSetup,
): Promise<Pick<FleetComponents, "datagrams" | "peers">> => {
    const { host, port } = splitAddress(self.peerAddress);
    const datagrams = await UdpDatagrams.open(self.peerAddress, log);
    const peers = new TcpPeers({ self: self.id, clock, log, maxIncoming: maxPeerConnections });
    await peers.listen(host, port);
    return { datagrams, peers };
};

const createRecords = (
    { clock, log, random }: GatewayOptions,
    { self, store }: FleetSetup,
    { roster, exchange, state }: Pick<FleetComponents, "roster" | "exchange" | "state">,
): InstanceRecords =>
    new InstanceRecords({
        self,
        clock,
        log,
        random,
        store,
        epoch: () => state.epoch,
        isReader: () => state.isReader,
        isIsolated: () => roster.live().length === 0,
        isLive: address => roster.isLive(address),
        contact: address => exchange.contact(address),
    });

const remoteRatesOf = (exchange: () => FleetExchange): RemoteRates & RemoteAttempts => ({
    usage: key => exchange().view.usage(key),
    reportDelayMs: () => exchange().reportDelayMs(),
    uncoveredShare: (windowMs?: number) => exchange().view.uncoveredShare(windowMs),
    onScarce: () => exchange().sendUsageSoon(),
});

/** State about upstreams, loads and rates, derived from the requests of all instances. */
type Evidence = Pick<
    FleetComponents,
    | "gray"
    | "load"
    | "rates"
    | "retryBudget"
    | "rejections"
    | "floor"
    | "outcomes"
    | "crashes"
    | "statements"
    | "meters"
    | "outages"
    | "onCompleted"
>;

const createEvidence = (
    options: GatewayOptions,
    upstreams: UpstreamRegistry,
    { ownKey, announce, onLoad, remoteLoads, remoteRates, shareStatements, shareOutages, fleetSize }: EvidenceSetup,
): Evidence => {
    const { clock, random, settings, log } = options;
    const learner = new GrayModelLearner(
        clock,
        defaultGrayFailureModel,
        model => log.event("gray-model-changed", { ...model }),
    );
    const gray = new GrayFailureEstimator(clock, learner);
    const serviceOf = (upstream: UpstreamId) => upstreams.get(upstream)?.listed.service;
    const upstreamsOf = (key: number) => upstreams.idsOf(key);
    const floor = new UpstreamFloor({ clock, random, floorShare: () => settings().floorShare, serviceOf });
    const listedOf = (key: number) => upstreamsOf(key).flatMap(upstream => upstreams.get(upstream)?.listed ?? []);
    const meters = new LimitMeters({
        clock,
        remoteInFlight: upstream => remoteLoads.inFlight(nameKey(upstream)),
        reach: fleetSize,
    });
    const listeners: ((upstream: UpstreamId, count: number) => void)[] = [];
    const onRemote = (upstream: UpstreamId, count: number) => {
        meters.recordRemote(upstream, count);
        listeners.forEach(listener => listener(upstream, count));
    };
    const outcomes = new SharedOutcomes({ clock, gray, floor, ownKey, upstreamsOf, announce, onRemote });
    return {
        onCompleted: listener => listeners.push(listener),
        gray,
        floor,
        meters,
        statements: new UpstreamStatements({ clock, random, log, listedOf, share: shareStatements }),
        outages: new UpstreamOutages({ clock, listedOf, share: shareOutages }),
        load: new FleetLoad(onLoad, remoteLoads),
        rates: new FleetRateLimiter({ clock, random, limits: () => rateOptions(settings()), remote: remoteRates }),
        ...createAttemptLimits(options, { remote: remoteRates, reach: fleetSize, outcomes }),
        outcomes,
        crashes: new CrashTracker({ clock, ownKey, upstreamsOf, announce }),
    };
};

/** How the evidence is connected to that of the other instances. */
interface EvidenceSetup {
    readonly ownKey: number;
    /** Sends a heartbeat immediately. */
    readonly announce: () => void;
    /** Called when the requests in flight change. */
    readonly onLoad: () => void;
    readonly remoteLoads: RemoteLoads;
    readonly remoteRates: RemoteRates & RemoteAttempts;
    readonly fleetSize: () => FleetSize;
    /** Sends statements of upstreams to all other instances. */
    readonly shareStatements: (statements: readonly SharedStatement[]) => void;
    /** Sends outages of upstreams to all other instances. */
    readonly shareOutages: (outages: readonly SharedOutage[]) => void;
}

/** Resets what was measured of the previous process of an upstream. */
const resetUpstream = (upstream: UpstreamId, { gray }: Pick<Evidence, "gray">, log: LogPort): void => {
    log.event("upstream-restarted", { upstream });
    gray.reset(upstream);
};

const rateOptions = ({ rateWindowSeconds, rateOverage, rateSlack }: GatewaySettings) => ({
    windowMs: rateWindowSeconds * 1_000,
    overage: rateOverage,
    slack: rateSlack,
});
