/** What each role costs one instance, worked out from the slopes. */
import { formatNumber, growth, markdownTable, projected } from "./cost-table.js";
import type { CostRow } from "./cost-table.js";
import { budget } from "./sizes.js";
import type { FleetSize } from "./sizes.js";

/** Cost of a role to the instance that holds it. */
export interface RoleCost {
    /** Messages sent and received, replies included. */
    readonly messages: number;
    /** Share of a core. */
    readonly core: number;
    /** Bytes sent a second; about as many are received. */
    readonly bytes: number;
    readonly memory: number;
}

/** One role with its arithmetic. */
export interface Role {
    readonly name: string;
    readonly state: string;
    readonly mechanism: string;
    /** The arithmetic in words, with the names of the rows. */
    readonly arithmetic: string;
    /** Control of every instance, control of homes and pollers on top of it, or work on requests itself. */
    readonly kind: "control" | "home" | "request";
    readonly cost: (size: FleetSize, rows: CostModel) => RoleCost;
}

/** Slopes and bases by the name of their row. */
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
const perSecond = 1e-6;
/** Membership keeps the rankings of this many keys. */
const cachedRankings = 20_000;
/** Assumptions that the design page does not give. */
const suspectsPerDay = 1_000;
const directoryShare = 0.001;

const perInstance = ({ requestsPerSecond, instances }: FleetSize): number => requestsPerSecond / instances;

/** Share of the services of which an instance has had a request within a digest lease. */
const busyShare = (size: FleetSize): number => 1 - Math.exp(-perInstance(size) / size.services * digestLeaseSeconds);

/** Entries of a digest: at most one for each request in its interval. */
const digestEntries = (size: FleetSize): number =>
    Math.min(
        size.upstreams / size.services * (size.routes / size.services),
        perInstance(size) / size.services / digestsPerSecond / busyShare(size),
    );

const digestMicros = (size: FleetSize, rows: CostModel): number =>
    Math.max(
        0,
        rows.slope("digest CPU at the home, instances")
            + (digestEntries(size) - 10) * rows.slope("digest CPU at the home, upstreams") / 44,
    );

/** Share of requests whose organisation has no cached ranking; requests spread evenly over organisations. */
const missShare = ({ organisations }: FleetSize): number => Math.max(0, 1 - cachedRankings / organisations);

const checkMicros = ({ organisations, routes }: FleetSize, rows: CostModel): number =>
    rows.slope("configuration check CPU, organisations") * organisations
    + rows.slope("configuration check CPU, routes") * routes;

const objectBytes = ({ organisations, routes }: FleetSize, rows: CostModel): number =>
    rows.slope("configuration object bytes, organisations") * organisations
    + rows.slope("configuration object bytes, routes") * routes;

const configurationRoles: readonly Role[] = [
    {
        name: "configuration holder",
        state: "organisations, key index, route table, withdrawals",
        mechanism: "config.fetch from a peer that is ahead, check, key index, route table",
        arithmetic:
            "memory: (organisations + key index) × organisations + route table × routes; a change: object bytes, "
            + "check, index build and table build, × changes/86,400 s",
        kind: "control",
        cost: (size, rows) => {
            const changes = size.changesPerDay / secondsPerDay;
            const micros = checkMicros(size, rows) + rows.slope("key index build CPU") * size.organisations
                + rows.slope("route table build CPU") * size.routes;
            return {
                messages: 2 * changes,
                core: changes * micros * perSecond,
                bytes: changes * objectBytes(size, rows),
                memory: (rows.slope("organisations memory") + rows.slope("key index memory")) * size.organisations
                    + rows.slope("route table memory") * size.routes,
            };
        },
    },
    {
        name: "poller",
        state: "object versions",
        mechanism: "3 pollers read config, roster and withdrawals each second; a version of config is checked once",
        arithmetic: "none: the check is in the row of the configuration holder, the calls are in the platform table; "
            + "parsing the replies is not measured",
        kind: "home",
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
        cost: ({ instances }, rows) => ({
            messages: 2 * heartbeatsPerSecond * (instances - 1),
            core: heartbeatsPerSecond * rows.at("heartbeat CPU", instances) * perSecond,
            bytes: heartbeatsPerSecond * rows.at("heartbeat bytes sent", instances),
            memory: rows.slope("peer table memory") * instances,
        }),
    },
    {
        name: "voter (seat holder)",
        state: "grants and exclusions for each seat",
        mechanism: "fields grant and excludes of heartbeats; no messages of its own",
        arithmetic: "2.5/s × roster CPU × seats",
        kind: "control",
        cost: ({ seats }, rows) => ({
            messages: 0,
            core: Math.max(0, heartbeatsPerSecond * rows.slope("roster CPU a round") * seats * perSecond),
            bytes: 0,
            memory: rows.slope("roster reply bytes") * seats,
        }),
    },
    {
        name: "directory",
        state: "load and zone of each instance, from heartbeats",
        mechanism: "GET /directory from the peer table",
        arithmetic: "requests/s an instance × 0.001 (assumed) × (base + slope × instances) of directory CPU",
        kind: "control",
        cost: (size, rows) => ({
            messages: 0,
            core: perInstance(size) * directoryShare * rows.at("directory CPU an answer", size.instances) * perSecond,
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
        cost: (size, rows) => ({
            messages: 0,
            core: perInstance(size) * perSecond
                * (rows.slope("pipeline CPU") + rows.at("authentication CPU a request", size.organisations)
                    + rows.at("route match CPU a request", size.routes)),
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
        cost: (size, rows) => ({
            messages: 2 * perInstance(size),
            core: perInstance(size) * perSecond
                * (rows.slope("drawing CPU of both sides, requests")
                    + missShare(size) * rows.at("ranking CPU a key", size.seats)),
            bytes: perInstance(size) * rows.slope("rate home bytes") / 2,
            // Entries live for a minute, so an organisation counts once for each of its requests at most.
            memory: Math.min(size.organisations, perInstance(size) * 60)
                * rows.slope("drawing memory of both sides, organisations"),
        }),
    },
    {
        name: "rate home",
        state: "buckets of the organisations whose share has its home here",
        mechanism: "rate.draw and rate.return; homes by rendezvous over seats",
        arithmetic: "requests/s ÷ seats × rate home CPU and half of its bytes; organisations ÷ seats × drawing memory",
        kind: "home",
        cost: (size, rows) => {
            const draws = size.requestsPerSecond / size.seats;
            return {
                messages: 2 * draws,
                core: draws * rows.slope("rate home CPU") * perSecond,
                bytes: draws * rows.slope("rate home bytes") / 2,
                memory: size.organisations / size.seats * rows.slope("drawing memory of both sides, organisations"),
            };
        },
    },
    {
        name: "slots (both sides)",
        state: "slots in use and queues of each service",
        mechanism: "slots.ask and slots.release at the service's home",
        arithmetic:
            "requests/s an instance × (base + slope × listed upstreams) of slot CPU; 3 messages and half of slot bytes",
        kind: "control",
        cost: (size, rows) => ({
            messages: 3 * perInstance(size),
            core: perInstance(size) * rows.at("slot CPU of both sides", size.upstreams) * perSecond,
            bytes: perInstance(size) * rows.at("slot bytes", size.upstreams) / 2,
            memory: 0,
        }),
    },
    {
        name: "claim holder",
        state: "claims of 15 minutes",
        mechanism: "claim.record, claim.resolve at three seats",
        arithmetic:
            "requests/s × 5% (assumed) × 3 holders ÷ seats × claim rows (bytes of record requests only); memory × 900 s without stored answers",
        kind: "home",
        cost: (size, rows) => {
            const claims = size.requestsPerSecond * size.claimShare * holders / size.seats;
            return {
                messages: claims / holders * rows.slope("claim messages") * 2,
                core: claims * rows.slope("claim holder CPU") * perSecond,
                bytes: claims * rows.slope("claim record bytes"),
                memory: claims * retentionSeconds * rows.slope("claim holder memory"),
            };
        },
    },
];

const healthRoles: readonly Role[] = [
    {
        name: "digest sender",
        state: "observations of upstreams in use",
        mechanism: "health.digest every 250 ms to the home of each service in use within 3 s",
        arithmetic: "4/s × services × busy share; bytes: base + slope × entries of digest bytes; CPU: codec CPU",
        kind: "control",
        cost: (size, rows) => {
            const digests = digestsPerSecond * size.services * busyShare(size);
            return {
                messages: 2 * digests,
                core: digests * rows.slope("codec CPU") * perSecond,
                bytes: digests * rows.at("digest bytes, upstreams", digestEntries(size)),
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
        kind: "home",
        cost: (size, rows) => {
            const homed = size.services / size.seats;
            const digests = homed * size.instances * busyShare(size) * digestsPerSecond;
            return {
                messages: 2 * digests,
                core: digests * digestMicros(size, rows) * perSecond,
                bytes: digests * rows.at("digest reply bytes, upstreams", size.upstreams / size.services),
                memory: homed * size.instances * busyShare(size) * rows.slope("evidence memory, instances"),
            };
        },
    },
    {
        name: "suspicion (every instance, suspect home)",
        state: "suspicion table of at most 1,000 requests; permits in use",
        mechanism: "crash.suspect to all instances, crash.permit at the home",
        arithmetic:
            "1,000 suspects a day (assumed) × suspicion merge CPU; memory × 1,000; a suspect is one message to each "
            + "instance, sent by one of them",
        kind: "control",
        cost: (_size, rows) => ({
            messages: suspectsPerDay / secondsPerDay,
            core: suspectsPerDay / secondsPerDay * rows.slope("suspicion merge CPU") * perSecond,
            bytes: suspectsPerDay / secondsPerDay * rows.slope("suspicion sync bytes"),
            memory: 1_000 * rows.slope("suspicion memory"),
        }),
    },
];

/** All roles. */
export const roles: readonly Role[] = [...membershipRoles, ...configurationRoles, ...requestRoles, ...healthRoles];

const controlRoles = roles.filter(({ kind }) => kind === "control");
const homeRoles = roles.filter(({ kind }) => kind === "home");

/** Sum of the control roles that every instance has. */
export const controlTotal = (size: FleetSize, rows: CostModel): RoleCost => sum(controlRoles, size, rows);

const sum = (summed: readonly Role[], size: FleetSize, rows: CostModel): RoleCost =>
    summed.map(({ cost }) => cost(size, rows)).reduce((total, cost) => ({
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

/** The roles at one size. */
export const roleTable = (size: FleetSize, rows: CostModel): string =>
    markdownTable(["role", "messages/s", "core", "KB/s sent", "MB", "largest share of the budget"], [
        ...roles.map(({ name, cost }) => [name, ...cells(cost(size, rows))]),
        ["**control at every instance**", ...cells(sum(controlRoles, size, rows))],
        ["**control at a seat holder that polls**", ...cells(sum([...controlRoles, ...homeRoles], size, rows))],
    ]);

/** State, mechanism and arithmetic of each role. */
export const arithmeticTable = (): string =>
    markdownTable(
        ["role", "state", "mechanism", "arithmetic (computed from measured rows)"],
        roles.map(({ name, state, mechanism, arithmetic }) => [name, state, mechanism, arithmetic]),
    );
