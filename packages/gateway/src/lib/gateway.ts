/** One instance as a process: the decisions wired to sockets. */
import { id, incarnationMark } from "@sniperoad/core";
import type { Clock, InstanceId, LogPort, Random, Sha256, ZoneId } from "@sniperoad/core";
import { TcpPeers } from "@sniperoad/daemon";
import { FleetLoad } from "./balance/fleet-load.js";
import { RetryAllowance } from "./balance/retry-allowance.js";
import { UpstreamChooser } from "./balance/upstream-chooser.js";
import { Directory } from "./fleet/directory.js";
import type { DirectoryAnswer } from "./fleet/directory.js";
import { Gossip } from "./fleet/gossip.js";
import { Roster } from "./fleet/roster.js";
import { UdpDatagrams } from "./fleet/udp-datagrams.js";
import { GrayFilter } from "./health/gray-filter.js";
import { PathHealth } from "./health/path-health.js";
import { SharedOutcomes } from "./health/shared-outcomes.js";
import { defaultCallerLimits, FrontServer } from "./http/front-server.js";
import { openSideServer } from "./http/side-servers.js";
import type { SideServer } from "./http/side-servers.js";
import type { GatewayInstance } from "./model.js";
import { GatewayMetrics } from "./observe/metrics.js";
import { FleetRate } from "./rates/fleet-rate.js";
import { Attempts } from "./request/attempts.js";
import { CrashGuard } from "./request/crash-guard.js";
import type { HeaderDialect } from "./request/ports.js";
import { RequestHandler } from "./request/request-handler.js";
import { UpstreamConnections } from "./request/upstream-connections.js";
import { HeldConfig } from "./routing/held-config.js";
import type { GatewaySettings } from "./settings.js";
import { FleetState } from "./store/fleet-state.js";
import { HeldUpstreams } from "./store/held-upstreams.js";
import { InstanceRecords } from "./store/instance-records.js";
import type { StorePort } from "./store/ports.js";

/** How callers ask for the directory and the readiness check in a deployment. */
export interface SideDialect {
    readonly directoryPath: string;
    readonly readyPath: string;
    /** The zone in which a caller of the directory is. */
    readonly callerZone: (query: URLSearchParams) => ZoneId | undefined;
    readonly directoryBody: (answer: DirectoryAnswer) => unknown;
}

/** What {@link startGateway} needs. */
export interface GatewayOptions {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly log: LogPort;
    readonly droppedLogLines: () => number;
    readonly headers: HeaderDialect;
    readonly side: SideDialect;
    /** Opens the store; `onCall` counts its calls. */
    readonly openStore: (onCall: (call: string, result: string) => void) => StorePort;
}

/** A running instance. */
export interface Gateway {
    readonly self: GatewayInstance;
    /** Leaves the fleet: is no longer named, finishes its requests and closes. */
    stop(): Promise<void>;
}

const incarnationDigits = 6;
/** Where metrics are served, on the address of the readiness check. */
export const metricsPath = "/metrics";
/** Time for which callers are asked to keep a directory answer; some keep it three times as long. */
const directoryKeepMs = 1_000;
/** Part of the stop's grace for which a leaving instance still takes connections of callers with an old answer. */
const lingerShare = 0.58;
/** Part of the grace at which the process ends in any case. */
const endShare = 0.95;
/** Without a confirmation for longer than the time to apply a change, an instance cannot vouch for its keys. */
const unconfirmedFactor = 1;
/** How often stale state is dropped. */
const sweepIntervalMs = 1_000;

/**
 * Starts an instance.
 *
 * @throws Error when an address is in use
 * @example
 * const gateway = await startGateway(options);
 * process.once("SIGTERM", () => void gateway.stop());
 */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
    const parts = await createParts(options);
    parts.gossip.start();
    const review = (): void => {
        parts.state.review();
        parts.records.review();
        parts.roster.expire();
        timer = options.clock.after(reviewIntervalMs, review);
    };
    let timer = options.clock.after(reviewIntervalMs, review);
    options.log.event("start", {
        zone: options.settings.zone,
        callers: parts.self.callerAddress,
        peers: parts.self.peerAddress,
        seeds: options.settings.seedPeers.length,
    });
    return {
        self: parts.self,
        stop: () => leave(parts, options, () => timer.cancel()),
    };
};

/** How often an instance decides anew whether to read from the store. */
const reviewIntervalMs = 100;

interface Parts {
    readonly self: GatewayInstance;
    readonly flags: { isLeaving: boolean; };
    readonly roster: Roster;
    readonly gossip: Gossip;
    readonly state: FleetState;
    readonly records: InstanceRecords;
    readonly front: FrontServer;
    readonly sides: readonly SideServer[];
    readonly datagrams: UdpDatagrams;
    readonly peers: TcpPeers;
    readonly upstreams: UpstreamConnections;
    readonly load: FleetLoad;
}

const createParts = async (options: GatewayOptions): Promise<Parts> => {
    const { settings, clock, random, log } = options;
    const self = newInstance(settings, random);
    const flags = { isLeaving: false };
    const roster = new Roster(clock);
    const config = new HeldConfig(options.sha256);
    const held = new HeldUpstreams(clock);
    const gray = new GrayFilter(clock);
    const load = new FleetLoad();
    const rates = new FleetRate(clock, {
        windowMs: settings.rateWindowSeconds * 1_000,
        overage: settings.rateOverage,
        slack: settings.rateSlack,
    });
    const datagrams = await UdpDatagrams.open(settings.peerAddress, log);
    const peers = new TcpPeers({ self: self.id, clock, log });
    await peers.listen(...hostAndPort(settings.peerAddress));
    const announce = (): void => gossip.beatSoon();
    const outcomes = new SharedOutcomes({ clock, gray, announce });
    const crashes = new CrashGuard({ clock, announce });
    const isReady = (): boolean => state.isComplete && !flags.isLeaving;
    const metrics = new GatewayMetrics({
        configVersion: () => config.version,
        upstreams: () => held.size,
        instancesHeard: () => roster.live().length,
        isReady,
        inFlight: () => load.ownTotal(),
        droppedLogLines: options.droppedLogLines,
        openedConnections: () => upstreams.openedCount,
        sentDatagramBytes: () => datagrams.sentBytes,
    });
    const store = options.openStore((call, result) => metrics.storeCall(call, result));
    const state: FleetState = new FleetState({
        self,
        clock,
        random,
        log,
        store,
        peers,
        roster,
        config,
        upstreams: held,
        announce,
        sendToAll: datagram => gossip.sendToAll(datagram),
        onConfig: () => front.applyLimits(),
    });
    const gossip: Gossip = new Gossip({
        self,
        clock,
        random,
        log,
        datagrams,
        roster,
        seeds: settings.seedPeers,
        content: () => ({
            isReady: isReady(),
            isLeaving: flags.isLeaving,
            ...state.feeds(),
            usage: rates.report(),
            outcomes: outcomes.report(),
            crashes: crashes.report(),
            inFlight: load.own(),
        }),
        onBeat: (beat, former) => {
            state.noteBeat(beat);
            rates.noteReport(beat.id, beat.usage);
            outcomes.noteBeat(beat, former);
            crashes.noteBeat(beat);
            load.noteReport(beat.id, beat.inFlight);
        },
        onUpstreams: datagram => state.noteUpstreams(datagram),
    });
    const upstreams = new UpstreamConnections({ dialect: options.headers });
    const allowance = new RetryAllowance({ share: settings.retryShare, burst: settings.retryBurst });
    const paths = new PathHealth(clock);
    const fleetSize = () => ({ heard: roster.live().length + 1, known: roster.known().length + 1 });
    const attempts = new Attempts({
        clock,
        log,
        caller: upstreams,
        dialect: options.headers,
        chooser: new UpstreamChooser({ zone: settings.zone, clock, random, gray, paths, load }),
        load,
        paths,
        outcomes,
        allowance,
        candidates: service => held.ofService(service),
        crashes,
    });
    const handler = new RequestHandler({
        clock,
        random,
        sha256: options.sha256,
        log,
        config,
        rates,
        allowance,
        crashes,
        attempts,
        dialect: options.headers,
        fleetSize,
        whyUnconfirmed: () => whyUnconfirmed(settings, state),
        onDone: (route, status, tookMs) => metrics.request(route?.id, status, tookMs),
    });
    const front: FrontServer = await FrontServer.open({
        clock,
        log,
        address: settings.callerAddress,
        dialect: options.headers,
        limits: () => config.current?.config.limits ?? defaultCallerLimits,
        handle: received => handler.handle(received),
        isLeaving: () => flags.isLeaving,
    });
    const directory = new Directory({
        self,
        roster,
        clock,
        random,
        isReady,
        keepMs: Math.min(directoryKeepMs, settings.directoryTtlMaxSeconds * 1_000),
    });
    const sides = await openSides(options, { directory, isReady, metrics });
    const records = new InstanceRecords({
        self,
        clock,
        log,
        store,
        isReader: () => state.isReader,
        isAlone: () => roster.live().length === 0,
        isHeard: address => roster.isHeard(address),
        contact: address => gossip.contact(address),
    });
    const sweep = (): void => {
        const isListed = (upstream: Parameters<typeof held.get>[0]): boolean => held.get(upstream) !== undefined;
        gray.retain(isListed);
        upstreams.retain(isListed);
        const heard = new Set(roster.live().map(({ beat }) => beat.id));
        load.retain(instance => heard.has(instance));
        const known = new Set(roster.known().map(({ beat }) => beat.id));
        rates.retain(instance => known.has(instance));
        clock.after(sweepIntervalMs, sweep);
    };
    sweep();
    return { self, flags, roster, gossip, state, records, front, sides, datagrams, peers, upstreams, load };
};

const newInstance = (settings: GatewaySettings, random: Random): GatewayInstance => {
    const incarnation = Math.floor(random() * 36 ** incarnationDigits).toString(36);
    return {
        id: id<InstanceId>(`${settings.instance}${incarnationMark}${incarnation}`),
        zone: settings.zone,
        callerAddress: settings.callerAddress,
        peerAddress: settings.peerAddress,
    };
};

const hostAndPort = (address: string): [host: string, port: number] => {
    const split = address.lastIndexOf(":");
    return [address.slice(0, split), Number(address.slice(split + 1))];
};

const whyUnconfirmed = (settings: GatewaySettings, state: FleetState): string | undefined => {
    if (!settings.refuseWhenUnconfirmed) {
        return undefined;
    }
    const ageMs = state.confirmedAgeMs("config");
    return ageMs !== undefined && ageMs <= settings.configApplyMs * unconfirmedFactor
        ? undefined
        : `The configuration was last confirmed ${ageMs === undefined ? "never" : `${Math.round(ageMs)} ms ago`}.`;
};

interface SideParts {
    readonly directory: Directory;
    readonly isReady: () => boolean;
    readonly metrics: GatewayMetrics;
}

const openSides = ({ settings, side }: GatewayOptions, { directory, isReady, metrics }: SideParts) =>
    Promise.all([
        openSideServer(settings.directoryAddress, [{
            path: side.directoryPath,
            answer: query => Response.json(side.directoryBody(directory.answer(side.callerZone(query)))),
        }]),
        openSideServer(settings.readyAddress, [
            { path: side.readyPath, answer: () => new Response(null, { status: isReady() ? 200 : 503 }) },
            { path: metricsPath, answer: async () => new Response(await metrics.text()) },
        ]),
    ]);

const leave = async (parts: Parts, { clock, settings, log }: GatewayOptions, stopReview: () => void): Promise<void> => {
    const { flags, gossip, state, records, front, sides, datagrams, peers } = parts;
    const startMs = clock.monotonicMs();
    const graceMs = settings.stopGraceSeconds * 1_000;
    log.event("leave-begin", { inFlight: front.busyCount, graceSeconds: settings.stopGraceSeconds });
    flags.isLeaving = true;
    stopReview();
    state.stop();
    gossip.beatSoon();
    const wait = (untilMs: number) =>
        new Promise<void>(resolve => clock.after(Math.max(0, startMs + untilMs - clock.monotonicMs()), resolve));
    const recordGone = records.leave().catch((error: unknown) => {
        log.event("record-not-removed", { reason: String(error) });
    });
    await wait(graceMs * lingerShare);
    await Promise.race([front.close(), wait(graceMs * endShare)]);
    await Promise.race([recordGone, wait(graceMs * endShare)]);
    gossip.stop();
    sides.forEach(server => server.close());
    datagrams.close();
    peers.close();
    log.event("leave-end", { inFlight: front.busyCount, tookMs: Math.round(clock.monotonicMs() - startMs) });
};
