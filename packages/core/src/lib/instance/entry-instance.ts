/** One entry instance: assembles its decision modules from ports. */
import { FairUpstreamChooser } from "../balance/index.js";
import { startClaims } from "../claims/index.js";
import type { Claims } from "../claims/index.js";
import { ConfigurationStore, isConfigWatcher, Withdrawals } from "../configuration/index.js";
import type { WithdrawalReport } from "../configuration/index.js";
import type { InstanceContext } from "../context.js";
import { FleetCrashGuard } from "../crash/index.js";
import { FleetHealth } from "../health/index.js";
import type { RunProbe } from "../health/index.js";
import type { Ejection } from "../health/messages.js";
import type { Membership } from "../membership.js";
import { FleetMembership } from "../membership/index.js";
import type { DirectoryResponse, MembershipSettings } from "../membership/index.js";
import { createRequestRules, RequestPipeline } from "../pipeline/index.js";
import type { PipelineContext } from "../pipeline/index.js";
import type {
    Clock,
    InstanceListPort,
    LogPort,
    MetricsPort,
    PeerPort,
    PlatformPort,
    Random,
    Sha256,
    UpstreamPort,
} from "../ports.js";
import { DistributedRateLimiter, RateCoordinator } from "../rates/index.js";
import type { ClaimGate, CrashGuard, RateLimiter, UpstreamChooser } from "../stages.js";
import type {
    CallerRequest,
    HttpResponse,
    InstanceId,
    InstanceInfo,
    KeyId,
    ServiceId,
    Upstream,
    ZoneId,
} from "../types.js";
import { UpstreamList } from "./upstream-list.js";

/** Stages that replace the instance's default ones, for baselines and tests. */
export interface StageOverrides {
    readonly rates?: RateLimiter;
    readonly claims?: ClaimGate;
    readonly chooser?: (upstreams: () => readonly Upstream[]) => UpstreamChooser;
    readonly crashes?: CrashGuard;
}

/** Options of {@link EntryInstance}. */
export interface EntryInstanceOptions {
    readonly info: InstanceInfo;
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly instanceList: InstanceListPort;
    readonly upstreams: UpstreamPort;
    /** Probes an ejected upstream. Without it, ejected upstreams return after a fixed time only. */
    readonly runProbe?: RunProbe;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    /** Initial peers from the settings, used if the platform is unavailable at startup. */
    readonly seedPeers?: readonly InstanceInfo[];
    readonly membershipSettings?: Partial<MembershipSettings>;
    readonly stages?: StageOverrides;
}

/** Status of an instance, as reported to operators. */
export interface InstanceStatusReport {
    readonly instance: string;
    readonly zone: string;
    readonly configRevision: number;
    readonly rosterVersion: number;
    readonly isCurrent: boolean;
    readonly hasSeat: boolean;
    readonly isLeaving: boolean;
    readonly withdrawals: number;
    readonly requestsInFlight: number;
    readonly liveInstances: number;
    readonly upstreams: number;
}

/**
 * The decision logic of one entry instance. It performs no I/O itself: tests run many instances in one process on fake
 * ports, and the daemon runs one on sockets.
 *
 * @example
 * const instance = new EntryInstance(options);
 * instance.start();
 * const response = await instance.handle(callerRequest);
 */
export class EntryInstance {
    readonly #options: EntryInstanceOptions;
    readonly #upstreamList: UpstreamList;
    readonly #withdrawals: Withdrawals;
    readonly #config: ConfigurationStore;
    readonly #membership: FleetMembership;
    readonly #claims: Claims;
    readonly #rateCoordinator: RateCoordinator;
    readonly #rateLimiter: RateLimiter;
    readonly #health: FleetHealth;
    readonly #crashGuard: FleetCrashGuard;
    readonly #chooser: UpstreamChooser;
    readonly #pipeline: RequestPipeline;
    #isLeaving = false;

    constructor(options: EntryInstanceOptions) {
        this.#options = options;
        const { info, clock, random, peers, platform, log, metrics, sha256, stages = {} } = options;
        this.#upstreamList = new UpstreamList({
            clock,
            random,
            source: options.instanceList,
            log,
            peers,
            self: info.id,
            readers: () => this.#listReaders(),
        });
        this.#withdrawals = new Withdrawals({
            self: info.id,
            clock,
            random,
            sha256,
            peers,
            platform,
            log,
            liveInstances: () => this.#membership.liveInstances(),
        });
        this.#config = new ConfigurationStore({
            clock,
            random,
            peers,
            platform,
            log,
            withdrawals: this.#withdrawals,
            isWatcher: () => isConfigWatcher(this.#membership),
        });
        this.#membership = this.#createMembership();
        const context: InstanceContext = {
            clock,
            random,
            sha256,
            peers,
            log,
            metrics,
            membership: this.#membership,
            config: this.#config,
        };
        this.#claims = startClaims(context);
        this.#crashGuard = new FleetCrashGuard(context);
        this.#rateCoordinator = new RateCoordinator(context);
        this.#rateLimiter = stages.rates ?? new DistributedRateLimiter(context, this.#rateCoordinator);
        const upstreams = () => this.#upstreamList.upstreams();
        this.#health = new FleetHealth({
            context,
            upstreams,
            ...(options.runProbe === undefined ? {} : { runProbe: options.runProbe }),
        });
        this.#chooser = stages.chooser?.(upstreams)
            ?? new FairUpstreamChooser({ context, health: this.#health, upstreams });
        this.#pipeline = new RequestPipeline(this.#pipelineContext(context));
        this.#membership.onBeforeStop(async successor => {
            const { seats } = this.#membership.roster();
            const epoch = successor === undefined ? seats.find(seat => seat.holder === info.id)?.epoch : undefined;
            await this.#rateCoordinator.handOver(key => successor ?? this.#membership.nextCoordinator(key), epoch);
        });
        this.#membership.onHandover(async successor => {
            await this.#claims.handOver(successor);
        });
    }

    /** Starts joining the fleet. Requests are refused until this instance is current. */
    start(): void {
        this.#upstreamList.start();
        this.#config.start();
        this.#withdrawals.start();
        this.#membership.start();
        this.#options.clock.after(crashSyncDelayMs, () => void this.#crashGuard.synchronise());
    }

    /** Handles a caller's request. */
    handle(request: CallerRequest): Promise<HttpResponse> {
        return this.#pipeline.handle(request);
    }

    /** Returns the instances that a caller in a zone should use. */
    directory(zone?: ZoneId): DirectoryResponse {
        return this.#membership.directory({ zone });
    }

    status(): InstanceStatusReport {
        const roster = this.#membership.roster();
        const { info } = this.#options;
        return {
            instance: info.id,
            zone: info.zone,
            configRevision: this.#config.revision,
            rosterVersion: roster.version,
            isCurrent: this.#membership.isCurrent(),
            hasSeat: roster.seats.some(seat => seat.holder === info.id),
            isLeaving: this.#isLeaving,
            withdrawals: this.#withdrawals.size,
            requestsInFlight: this.#pipeline.inFlight,
            liveInstances: this.#membership.liveInstances().length,
            upstreams: this.#upstreamList.upstreams().length,
        };
    }

    /** Withdraws a key at all reachable instances; it does not need the platform. */
    withdraw(key: KeyId): Promise<WithdrawalReport> {
        return this.#withdrawals.withdraw(key);
    }

    /** Lifts the quarantine of a request. Returns false if there is none. */
    liftQuarantine(fingerprint: string): boolean {
        return this.#crashGuard.lift(fingerprint);
    }

    /** This instance's view of the fleet, for embedding and diagnostics. */
    get membership(): Membership {
        return this.#membership;
    }

    /** Ejections that this instance enforces for a service. */
    ejections(service: ServiceId): readonly Ejection[] {
        return this.#health.ejections(service);
    }

    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** Removes this instance from directory responses. It still handles requests. */
    announceLeave(): void {
        this.#isLeaving = true;
        this.#membership.announceLeave();
    }

    /** Finishes the requests in flight, hands over this instance's state and stops. */
    async leave(): Promise<void> {
        this.announceLeave();
        await this.#pipeline.drain();
        await this.#membership.leave();
        this.stop();
    }

    /** Stops without a handover. */
    stop(): void {
        this.#upstreamList.stop();
        this.#config.stop();
        this.#withdrawals.stop();
        this.#membership.stop();
        this.#health.stop();
    }

    /** A few live seat holders chosen by rendezvous hashing; all live instances if there are none. */
    #listReaders(): readonly InstanceId[] {
        const live = new Set(this.#membership.liveInstances().map(({ id }) => id));
        const seats = this.#membership.replicaSeats("instances/list", listReaderCount);
        const readers = seats.flatMap(({ holder }) => holder !== undefined && live.has(holder) ? [holder] : []);
        return readers.length > 0 ? readers : [...live];
    }

    #createMembership(): FleetMembership {
        const { info, clock, random, peers, platform, log, metrics, membershipSettings, seedPeers } = this.#options;
        return new FleetMembership({
            info,
            clock,
            random,
            peers,
            platform,
            instanceList: this.#upstreamList,
            log,
            metrics,
            load: () => this.#chooser.load(),
            seats: () => this.#config.current()?.seats,
            configuration: {
                revision: () => this.#config.revision,
                withdrawals: () => this.#withdrawals.size,
                isBehind: () => this.#config.isBehind(),
                refresh: async () => {
                    await this.#config.refresh();
                },
                onPeerMismatch: (peer, revision, withdrawals) => {
                    this.#config.observePeerRevision(peer, revision);
                    this.#withdrawals.observePeerSize(peer, withdrawals);
                },
            },
            ...(seedPeers === undefined ? {} : { seedPeers }),
            ...(membershipSettings === undefined ? {} : { settings: membershipSettings }),
        });
    }

    #pipelineContext(context: InstanceContext): PipelineContext {
        const { upstreams, stages = {} } = this.#options;
        return {
            ...context,
            upstreams,
            rules: createRequestRules(this.#config, context.sha256),
            rates: this.#rateLimiter,
            claims: stages.claims ?? this.#claims.gate,
            chooser: this.#chooser,
            crashes: stages.crashes ?? this.#crashGuard,
        };
    }
}

/** Number of instances that read the platform's list. */
const listReaderCount = 3;
/** Delay after startup by which a joining instance has usually received heartbeats of its peers. */
const crashSyncDelayMs = 1_500;
