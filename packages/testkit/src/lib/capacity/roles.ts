/** Computes the cost of each role at one instance from the measured slopes. */
import { formatNumber, growth, markdownTable, projected } from "./cost-table.js";
import type { CostRow } from "./cost-table.js";
import { budget } from "./sizes.js";
import type { FleetSize } from "./sizes.js";

/** Cost of a role at the instance that holds it. */
export interface RoleCost {
    /** Messages sent and received a second, including replies. */
    readonly messages: number;
    /** Share of a core. */
    readonly core: number;
    /** Bytes sent a second; about as many are received. */
    readonly bytes: number;
    /** Bytes. */
    readonly memory: number;
}

/** A role with the computation of its cost. */
export interface Role {
    readonly name: string;
    readonly state: string;
    readonly mechanism: string;
    /** The computation in words, with the names of the rows. */
    readonly arithmetic: string;
    /** Control traffic of every instance, further control traffic of coordinators and pollers, or the requests. */
    readonly kind: "control" | "coordinator" | "request";
    readonly cost: (size: FleetSize, model: CostModel) => RoleCost;
}

/** Measured slopes and bases by the name of their row. */
export class CostModel {
    readonly #rows: ReadonlyMap<string, CostRow>;

    constructor(rows: readonly CostRow[]) {
        this.#rows = new Map(rows.map(row => [row.name, row]));
    }

    /** @throws RangeError for a row that was not measured. */
    slope(name: string): number {
        return growth(this.#row(name).line);
    }

    /** @throws RangeError for a row that was not measured. */
    at(name: string, size: number): number {
        return projected(this.#row(name), size);
    }

    #row(name: string): CostRow {
        const row = this.#rows.get(name);
        if (row === undefined) {
            throw new RangeError(`no row "${name}" was measured`);
        }
        return row;
    }
}

const heartbeatsPerSecond = 2.5;
const digestsPerSecond = 4;
const digestLeaseSeconds = 3;
const retentionSeconds = 900;
const holders = 3;
const secondsPerDay = 86_400;
/** Share of a core that one microsecond of CPU time per second takes. */
const perSecond = 1e-6;
/** Number of keys whose rankings membership caches. */
const cachedRankings = 20_000;
/** Assumptions, since the design page gives no values. */
const suspectsPerDay = 1_000;
const directoryShare = 0.001;

const perInstance = ({ requestsPerSecond, instances }: FleetSize): number => requestsPerSecond / instances;

/** Share of the services for which an instance had a request within a digest lease. */
const busyShare = (size: FleetSize): number => 1 - Math.exp(-perInstance(size) / size.services * digestLeaseSeconds);

/** Number of entries of a digest. It cannot exceed the number of requests in the interval of the digest. */
const digestEntries = (size: FleetSize): number =>
    Math.min(
        size.upstreams / size.services * (size.routes / size.services),
        perInstance(size) / size.services / digestsPerSecond / busyShare(size),
    );

/** CPU time of the coordinator for one digest. Its rows are measured with digests of 10 entries and 44 instances. */
const digestMicros = (size: FleetSize, model: CostModel): number =>
    Math.max(
        0,
        model.slope("digest CPU at the home, instances")
            + (digestEntries(size) - 10) * model.slope("digest CPU at the home, upstreams") / 44,
    );

/** Share of requests whose organisation has no cached ranking, with requests spread evenly over organisations. */
const rankingMissShare = ({ organisations }: FleetSize): number => Math.max(0, 1 - cachedRankings / organisations);

const validationMicros = ({ organisations, routes }: FleetSize, model: CostModel): number =>
    model.slope("configuration check CPU, organisations") * organisations
    + model.slope("configuration check CPU, routes") * routes;

const objectBytes = ({ organisations, routes }: FleetSize, model: CostModel): number =>
    model.slope("configuration object bytes, organisations") * organisations
    + model.slope("configuration object bytes, routes") * routes;

const configurationRoles: readonly Role[] = [
    {
        name: "configuration holder",
        state: "organisations, key index, route table, withdrawals",
        mechanism: "config.fetch from a peer that is ahead, check, key index, route table",
        arithmetic:
            "memory: (organisations + key index) × organisations + route table × routes; a change: object bytes, "
            + "check, index build and table build, × changes/86,400 s",
        kind: "control",
        cost: (size, model) => {
            const changes = size.changesPerDay / secondsPerDay;
            const micros = validationMicros(size, model) + model.slope("key index build CPU") * size.organisations
                + model.slope("route table build CPU") * size.routes;
            return {
                messages: 2 * changes,
                core: changes * micros * perSecond,
                bytes: changes * objectBytes(size, model),
                memory: (model.slope("organisations memory") + model.slope("key index memory")) * size.organisations
                    + model.slope("route table memory") * size.routes,
            };
        },
    },
    {
        name: "poller",
        state: "object versions",
        mechanism: "3 pollers read config, roster and withdrawals each second; a version of config is checked once",
        arithmetic: "none: the check is in the row of the configuration holder, the calls are in the platform table; "
            + "parsing the replies is not measured",
        kind: "coordinator",
        cost: () => ({ messages: 0, core: 0, bytes: 0, memory: 0 }),
    },
];

const membershipRoles: readonly Role[] = [
    {
        name: "member",
        state: "one entry for each other instance",
        mechanism: "membership.heartbeat, all to all, every 400 ms",
        arithmetic: "2.5/s × (base + slope × instances) of the heartbeat rows; messages 2 × 2.5/s × (instances − 1)",
        kind: "control",
        cost: ({ instances }, model) => ({
            messages: 2 * heartbeatsPerSecond * (instances - 1),
            core: heartbeatsPerSecond * model.at("heartbeat CPU", instances) * perSecond,
            bytes: heartbeatsPerSecond * model.at("heartbeat bytes sent", instances),
            memory: model.slope("peer table memory") * instances,
        }),
    },
    {
        name: "voter (seat holder)",
        state: "grants and exclusions for each seat",
        mechanism: "fields grant and excludes of heartbeats; no messages of its own",
        arithmetic: "2.5/s × roster CPU × seats",
        kind: "control",
        cost: ({ seats }, model) => ({
            messages: 0,
            core: Math.max(0, heartbeatsPerSecond * model.slope("roster CPU a round") * seats * perSecond),
            bytes: 0,
            memory: model.slope("roster reply bytes") * seats,
        }),
    },
    {
        name: "directory",
        state: "load and zone of each instance, from heartbeats",
        mechanism: "GET /directory from the peer table",
        arithmetic: "requests/s an instance × 0.001 (assumed) × (base + slope × instances) of directory CPU",
        kind: "control",
        cost: (size, model) => ({
            messages: 0,
            core: perInstance(size) * directoryShare * model.at("directory CPU an answer", size.instances) * perSecond,
            bytes: 0,
            memory: 0,
        }),
    },
];

const requestRoles: readonly Role[] = [
    {
        name: "caller's entry (request path)",
        state: "requests in flight",
        mechanism: "pipeline, authenticator, route table",
        arithmetic: "requests/s an instance × (pipeline + authentication + route match); not control cost",
        kind: "request",
        cost: (size, model) => ({
            messages: 0,
            core: perInstance(size) * perSecond
                * (model.slope("pipeline CPU") + model.at("authentication CPU a request", size.organisations)
                    + model.at("route match CPU a request", size.routes)),
            bytes: 0,
            memory: 0,
        }),
    },
    {
        name: "drawing side",
        state: "tokens of organisations in use",
        mechanism: "rate.draw, one for each request (upper bound: no batch)",
        arithmetic: "requests/s an instance × (drawing CPU of both sides (upper bound) + ranking of keys "
            + "beyond the 20,000 cached); 2 messages; half of rate home bytes",
        kind: "control",
        cost: (size, model) => ({
            messages: 2 * perInstance(size),
            core: perInstance(size) * perSecond
                * (model.slope("drawing CPU of both sides, requests")
                    + rankingMissShare(size) * model.at("ranking CPU a key", size.seats)),
            bytes: perInstance(size) * model.slope("rate home bytes") / 2,
            // Entries are kept for a minute, so an organisation counts at most once for each of its requests.
            memory: Math.min(size.organisations, perInstance(size) * 60)
                * model.slope("drawing memory of both sides, organisations"),
        }),
    },
    {
        name: "rate home",
        state: "buckets of the shares whose coordinator is this instance",
        mechanism: "rate.draw and rate.return; coordinators by rendezvous over seats",
        arithmetic: "requests/s ÷ seats × rate home CPU and half of its bytes; organisations ÷ seats × drawing memory",
        kind: "coordinator",
        cost: (size, model) => {
            const tokenRequests = size.requestsPerSecond / size.seats;
            return {
                messages: 2 * tokenRequests,
                core: tokenRequests * model.slope("rate home CPU") * perSecond,
                bytes: tokenRequests * model.slope("rate home bytes") / 2,
                memory: size.organisations / size.seats * model.slope("drawing memory of both sides, organisations"),
            };
        },
    },
    {
        name: "slots (both sides)",
        state: "slots in use and queues of each service",
        mechanism: "slots.ask and slots.release at the coordinator of the service",
        arithmetic:
            "requests/s an instance × (base + slope × listed upstreams) of slot CPU; 3 messages and half of slot bytes",
        kind: "control",
        cost: (size, model) => ({
            messages: 3 * perInstance(size),
            core: perInstance(size) * model.at("slot CPU of both sides", size.upstreams) * perSecond,
            bytes: perInstance(size) * model.at("slot bytes", size.upstreams) / 2,
            memory: 0,
        }),
    },
    {
        name: "claim holder",
        state: "claims of 15 minutes",
        mechanism: "claim.record, claim.resolve at three seats",
        arithmetic:
            "requests/s × 5% (assumed) × 3 holders ÷ seats × claim rows (bytes of record requests only); memory × 900 s without stored answers",
        kind: "coordinator",
        cost: (size, model) => {
            const claims = size.requestsPerSecond * size.claimShare * holders / size.seats;
            return {
                messages: claims / holders * model.slope("claim messages") * 2,
                core: claims * model.slope("claim holder CPU") * perSecond,
                bytes: claims * model.slope("claim record bytes"),
                memory: claims * retentionSeconds * model.slope("claim holder memory"),
            };
        },
    },
];

const healthRoles: readonly Role[] = [
    {
        name: "digest sender",
        state: "observations of upstreams in use",
        mechanism: "health.digest every 250 ms to the coordinator of each service in use within 3 s",
        arithmetic: "4/s × services × busy share; bytes: base + slope × entries of digest bytes; CPU: codec CPU",
        kind: "control",
        cost: (size, model) => {
            const digests = digestsPerSecond * size.services * busyShare(size);
            return {
                messages: 2 * digests,
                core: digests * model.slope("codec CPU") * perSecond,
                bytes: digests * model.at("digest bytes, upstreams", digestEntries(size)),
                memory: 0,
            };
        },
    },
    {
        name: "service home",
        state: "evidence by instance, upstream and route; ejections",
        mechanism: "health.digest in, decisions in the reply",
        arithmetic:
            "services ÷ seats × instances × busy share × 4/s × (digest CPU, instances + (entries − 10) × digest CPU, "
            + "upstreams ÷ 44); bytes: replies of digest reply bytes; memory: evidence × instances × services ÷ seats",
        kind: "coordinator",
        cost: (size, model) => {
            const coordinatedServices = size.services / size.seats;
            const digests = coordinatedServices * size.instances * busyShare(size) * digestsPerSecond;
            return {
                messages: 2 * digests,
                core: digests * digestMicros(size, model) * perSecond,
                bytes: digests * model.at("digest reply bytes, upstreams", size.upstreams / size.services),
                memory: coordinatedServices * size.instances * busyShare(size)
                    * model.slope("evidence memory, instances"),
            };
        },
    },
    {
        name: "suspicion (every instance, suspect home)",
        state: "suspicion table of at most 1,000 requests; permits in use",
        mechanism: "crash.suspect to all instances, crash.permit at the coordinator",
        arithmetic:
            "1,000 suspects a day (assumed) × suspicion merge CPU; memory × 1,000; a suspect is one message to each "
            + "instance, sent by one of them",
        kind: "control",
        cost: (_size, model) => ({
            messages: suspectsPerDay / secondsPerDay,
            core: suspectsPerDay / secondsPerDay * model.slope("suspicion merge CPU") * perSecond,
            bytes: suspectsPerDay / secondsPerDay * model.slope("suspicion sync bytes"),
            memory: 1_000 * model.slope("suspicion memory"),
        }),
    },
];

export const roles: readonly Role[] = [...membershipRoles, ...configurationRoles, ...requestRoles, ...healthRoles];

const controlRoles = roles.filter(({ kind }) => kind === "control");
const coordinatorRoles = roles.filter(({ kind }) => kind === "coordinator");

/** Sum of the control roles of every instance. */
export const controlTotal = (size: FleetSize, model: CostModel): RoleCost => sum(controlRoles, size, model);

const sum = (summed: readonly Role[], size: FleetSize, model: CostModel): RoleCost =>
    summed.map(({ cost }) => cost(size, model)).reduce((total, cost) => ({
        messages: total.messages + cost.messages,
        core: total.core + cost.core,
        bytes: total.bytes + cost.bytes,
        memory: total.memory + cost.memory,
    }));

const cells = ({ messages, core, bytes, memory }: RoleCost): string[] => [
    formatNumber(messages),
    `${formatNumber(core * 100)}%`,
    formatNumber(bytes / 1e3),
    formatNumber(memory / 1e6),
    `${formatNumber(Math.max(core / budget.coreShare, bytes / budget.bytesPerSecond, memory / budget.memoryBytes))}×`,
];

export const roleTable = (size: FleetSize, model: CostModel): string =>
    markdownTable(["role", "messages/s", "core", "KB/s sent", "MB", "largest share of the budget"], [
        ...roles.map(({ name, cost }) => [name, ...cells(cost(size, model))]),
        ["**control at every instance**", ...cells(sum(controlRoles, size, model))],
        ["**control at a seat holder that polls**", ...cells(sum([...controlRoles, ...coordinatorRoles], size, model))],
    ]);

export const arithmeticTable = (): string =>
    markdownTable(
        ["role", "state", "mechanism", "arithmetic (computed from measured rows)"],
        roles.map(({ name, state, mechanism, arithmetic }) => [name, state, mechanism, arithmetic]),
    );
