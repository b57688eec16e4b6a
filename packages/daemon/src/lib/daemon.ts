/** Runs an entry instance as a process, connecting the core to sockets. */
import { EntryInstance, id, incarnationSeparator } from "@sniperoad/core";
import type { InstanceId, InstanceInfo, KeyId, LogPort, ZoneId } from "@sniperoad/core";
import { HttpPlatform } from "@sniperoad/operator";
import { createEventLog } from "./event-log.js";
import { startHttpServer } from "./http-server.js";
import type { HttpServer } from "./http-server.js";
import { HttpUpstreams } from "./http-upstream.js";
import { IdentifiedInstanceList, identifySeeds } from "./identified-instance-list.js";
import { splitAddress } from "./settings.js";
import type { Settings } from "./settings.js";
import { createStatsdMetrics, noMetrics } from "./statsd-metrics.js";
import { systemClock, systemRandom, systemSha256 } from "./system-ports.js";
import { TcpPeers } from "./tcp-peers.js";

/** A running daemon. */
export interface Daemon {
    readonly info: InstanceInfo;
    /** Leaves the fleet: finishes requests in flight, hands over state and closes. */
    stop(): Promise<void>;
}

/** Options for tests and embedding. */
export interface DaemonOptions {
    readonly log?: LogPort;
}

const gaugeIntervalMs = 5_000;
/** Base-36 digits of the random incarnation, which tells processes of the same instance name apart. */
const incarnationDigits = 8;

/**
 * Starts an entry instance from validated settings.
 *
 * @throws Error if an address is in use.
 * @example
 * const daemon = await startDaemon(settings);
 * process.once("SIGTERM", () => void daemon.stop());
 */
export const startDaemon = async (settings: Settings, options: DaemonOptions = {}): Promise<Daemon> => {
    const incarnation = Math.floor(systemRandom() * 36 ** incarnationDigits).toString(36);
    const self = id<InstanceId>(`${settings.instance}${incarnationSeparator}${incarnation}`);
    const log = options.log ?? createEventLog({ instance: self });
    const statsd = settings.statsd === undefined
        ? { metrics: noMetrics, close: () => {} }
        : createStatsdMetrics({ ...settings.statsd, instance: settings.instance, zone: settings.zone });
    const peers = new TcpPeers({ self, clock: systemClock, log });
    const platform = new HttpPlatform({ url: settings.platformUrl });
    const upstreams = new HttpUpstreams();
    const peerBind = splitAddress(settings.peerAddress);
    const peerPort = await peers.listen(peerBind.host, peerBind.port);
    // The instance requires its addresses, so the servers listen first; a request fails until the instance exists.
    const started: { instance?: EntryInstance; } = {};
    const server = await startHttpServer(
        httpContext(settings, self, () => started.instance!),
        ...hostAndPort(settings),
    );
    const info: InstanceInfo = {
        id: self,
        zone: id<ZoneId>(settings.zone),
        address: `${splitAddress(settings.callerAddress).host}:${server.port}`,
        peerAddress: `${peerBind.host}:${peerPort}`,
        state: "live",
    };
    const instance = new EntryInstance({
        info,
        clock: systemClock,
        random: systemRandom,
        sha256: systemSha256,
        peers,
        platform,
        instanceList: new IdentifiedInstanceList({ info, source: platform, peers }),
        upstreams,
        runProbe: upstream => upstreams.probe(upstream),
        log,
        metrics: statsd.metrics,
        seedPeers: await identifySeeds(peers, settings.seedPeers),
    });
    started.instance = instance;
    instance.start();
    log.event("listening", { callers: info.address, peers: info.peerAddress, zone: settings.zone });
    const running = { settings, log, server, peers, platform, upstreams, instance };
    const gaugeTimer = setInterval(() => reportGauges(running, statsd.metrics), gaugeIntervalMs);
    return {
        info,
        stop: async () => {
            clearInterval(gaugeTimer);
            await stopDaemon(running);
            statsd.close();
        },
    };
};

const hostAndPort = (settings: Settings): [host: string, port: number] => {
    const { host, port } = splitAddress(settings.callerAddress);
    return [host, port];
};

const httpContext = (settings: Settings, self: InstanceId, instance: () => EntryInstance) => ({
    instance: self,
    random: systemRandom,
    maxBodyBytes: settings.maxBodyBytes,
    adminToken: settings.adminToken,
    handle: (request: Parameters<EntryInstance["handle"]>[0]) => instance().handle(request),
    directory: (zone: string | undefined) => ({
        ...instance().directory(zone === undefined ? undefined : id<ZoneId>(zone)),
        time: new Date().toISOString(),
    }),
    status: () => instance().status(),
    withdraw: (keyId: string) => instance().withdraw(id<KeyId>(keyId)),
    liftQuarantine: (fingerprint: string) => instance().liftQuarantine(fingerprint),
    isLeaving: () => instance().isLeaving,
});

interface RunningDaemon {
    readonly settings: Settings;
    readonly log: LogPort;
    readonly server: HttpServer;
    readonly peers: TcpPeers;
    readonly platform: HttpPlatform;
    readonly upstreams: HttpUpstreams;
    readonly instance: EntryInstance;
}

const reportGauges = ({ instance, peers }: RunningDaemon, metrics: typeof noMetrics): void => {
    const status = instance.status();
    metrics.gauge("sniperoad.current", status.isCurrent ? 1 : 0);
    metrics.gauge("sniperoad.config.revision", status.configRevision);
    metrics.gauge("sniperoad.requests.in_flight", status.requestsInFlight);
    metrics.gauge("sniperoad.peers.sent_bytes", peers.sentBytes);
    metrics.gauge("sniperoad.memory.rss_bytes", process.memoryUsage.rss());
};

const stopDaemon = async (
    { settings, log, server, peers, platform, upstreams, instance }: RunningDaemon,
): Promise<void> => {
    log.event("leave-begin", { inFlight: instance.status().requestsInFlight, lingerMs: settings.lingerMs });
    instance.announceLeave();
    // During this time callers on open connections receive `Connection: close`, and no request is interrupted.
    await new Promise(resolve => setTimeout(resolve, settings.lingerMs));
    const closed = server.close();
    await instance.leave();
    await closed;
    upstreams.close();
    peers.close();
    await platform.close();
    log.event("leave-end", {});
};
