/** Measures route matching, authentication and the size of the configuration object. */
import {
    Authenticator,
    checkFleetConfig,
    type ConfigView,
    type FleetConfig,
    type FleetProposal,
    type Headers,
    id,
    type KeyId,
    keyIndexOf,
    RouteTable,
    utf8ByteLength,
} from "@sniperoad/core";
import { seededRandom } from "@sniperoad/core/testing";
import { createHash } from "node:crypto";
import { cpuUsage } from "node:process";
import { organisation, route, service } from "../build.js";
import { muscatAbrazo } from "../examples/muscat-abrazo.js";
import { pawtrace } from "../examples/pawtrace.js";

/** Number of routes to design for. */
export const projectedRoutes = 17_000;
/** Number of organisations to design for. */
export const projectedOrganisations = 360_000;
const projectedServices = 1_100;
const defaultRequests = 100_000;
const seed = 20_261_204;

const sha256 = (data: string | Uint8Array): string => createHash("sha256").update(data).digest("hex");
const sharedService = service("svc-0", { slotsPerUpstream: 3, floorSlots: 54 });

/** CPU time of this process, which is less affected by other processes than wall-clock time. */
const cpuMicros = (): number => {
    const { user, system } = cpuUsage();
    return user + system;
};

/** Heap bytes in use after garbage collection; only approximate without --expose-gc. */
const heapBytes = (): number => {
    globalThis.gc?.();
    // The second collection frees objects that weak maps and finalizers kept alive during the first.
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
};

/** CPU time of one call in microseconds: the median of five rounds after a warm-up round. */
const microsPerCall = (count: number, work: (index: number) => void): number => {
    const rounds = Array.from({ length: 6 }, () => {
        const start = cpuMicros();
        for (let index = 0; index < count; index++) {
            work(index);
        }
        return (cpuMicros() - start) / count;
    });
    return rounds.slice(1).sort((left, right) => left - right)[2]!;
};

/** CPU and memory of a route table. */
export interface RouteCost {
    readonly matchMicros: number;
    readonly missMicros: number;
    readonly buildMicros: number;
    readonly heapBytes: number;
}

/**
 * Measures building a table of `count` routes and matching targets.
 *
 * @example
 * measureRoutes(17_000).matchMicros;
 */
export const measureRoutes = (count: number, requests = defaultRequests): RouteCost => {
    const routes = Array.from({ length: count }, (_, index) => {
        const name = `route-${index}`;
        const path = `/svc-${index % projectedServices}/v1/items-${index}/:item/${index % 3 === 0 ? "*" : "view"}`;
        return route(name, index % 2 === 0 ? "GET" : "POST", path, { service: sharedService, timeoutMs: 1_000 });
    });
    const before = heapBytes();
    const start = cpuMicros();
    const table = new RouteTable(routes);
    const buildMicros = cpuMicros() - start;
    const bytes = heapBytes() - before;
    const random = seededRandom(seed);
    const targets = Array.from({ length: requests }, () => {
        const wanted = routes[Math.floor(random() * count)]!;
        return { method: wanted.method, target: wanted.path.replace(":item", "4711").replace("*", "a/b") + "?x=1" };
    });
    const matchMicros = microsPerCall(requests, index => {
        const { method, target } = targets[index]!;
        if (table.match(method, target).kind !== "route") {
            throw new Error(`${method} ${target} has no route`);
        }
    });
    const missMicros = microsPerCall(requests, index => table.match("GET", `/svc-1/v1/unknown/${index}`));
    return { matchMicros, missMicros, buildMicros, heapBytes: bytes };
};

/** CPU and memory of the organisations and their key index. */
export interface KeyCost {
    readonly authenticateMicros: number;
    readonly checkMicros: number;
    readonly buildMicros: number;
    readonly indexBytes: number;
    readonly configurationBytes: number;
}

/**
 * Measures building the key index of `count` organisations with one key each and authenticating callers.
 *
 * @example
 * measureKeys(360_000).authenticateMicros;
 */
export const measureKeys = (count: number, requests = defaultRequests): KeyCost => {
    const empty = heapBytes();
    const secret = (index: number) => `secret-number-${index}-of-the-measurement`;
    const config: FleetConfig = {
        revision: 1,
        operations: [],
        seats: 44,
        services: [],
        routes: [],
        organisations: Array.from({ length: count }, (_, index) => {
            const keys = [{ id: id<KeyId>(`organisation-${index}-1`), secretSha256: sha256(secret(index)) }];
            return organisation(`organisation-${index}`, { ratePerSecond: 10, keys });
        }),
    };
    const before = heapBytes();
    const start = cpuMicros();
    keyIndexOf(config);
    const buildMicros = cpuMicros() - start;
    const bytes = heapBytes() - before;
    const view: ConfigView = { current: () => config, isWithdrawn: () => false, onChange: () => {} };
    const authenticator = new Authenticator(view, sha256);
    const random = seededRandom(seed);
    const callers = Array.from({ length: requests }, (): Headers => {
        const index = Math.floor(random() * count);
        return [["host", "a"], ["accept", "*/*"], ["x-api-key", `organisation-${index}-1.${secret(index)}`]];
    });
    const authenticateMicros = microsPerCall(requests, index => {
        if (authenticator.authenticate(callers[index]!, "/pets/17?full=1").kind !== "authenticated") {
            throw new Error("not authenticated");
        }
    });
    const keys = callers.map(headers => id<KeyId>(headers[2]![1].split(".")[0]!));
    const checkMicros = microsPerCall(requests, index => authenticator.isStillValid(keys[index]!));
    return { authenticateMicros, checkMicros, buildMicros, indexBytes: bytes, configurationBytes: before - empty };
};

/** The configuration object as stored by `apply`, with the maximum number of operations. */
const storedConfig = (proposal: FleetProposal): FleetConfig => ({
    revision: 100_000,
    operations: Array.from({ length: 200 }, (_, index) => `change-${sha256(`${index}`).slice(0, 20)}`),
    ...proposal,
});
const sizeOf = (proposal: FleetProposal): number => utf8ByteLength(JSON.stringify(storedConfig(proposal)));

/** Size of the configuration object and CPU time of its validation. */
export interface ObjectCost {
    readonly examples: readonly { readonly name: string; readonly bytes: number; readonly operationBytes: number; }[];
    readonly bytesPerOrganisation: number;
    readonly bytesPerRoute: number;
    readonly checkedBytes: number;
    readonly checkMicros: number;
}

const generateProposal = (organisations: number, routes: number): FleetProposal => {
    const secretSha256 = sha256("secret");
    return {
        ...pawtrace,
        services: [sharedService],
        organisations: Array.from({ length: organisations }, (_, index) =>
            organisation(`organisation-${index}`, {
                ratePerSecond: 10,
                keys: [{ id: id<KeyId>(`organisation-${index}-1`), secretSha256 }],
            })),
        routes: Array.from(
            { length: routes },
            (_, index) =>
                route(`route-${index}`, "GET", `/items-${index}/:item/view`, {
                    service: sharedService,
                    timeoutMs: 1_000,
                }),
        ),
    };
};

/**
 * Measures the CPU time of the validation that each instance performs on a configuration of this size.
 *
 * @example
 * measureCheck(2_500, 2_500).micros;
 */
export const measureCheck = (organisations: number, routes: number): { micros: number; bytes: number; } => {
    const config = storedConfig(generateProposal(organisations, routes));
    const micros = microsPerCall(5, () => {
        if (checkFleetConfig(config).kind !== "valid") {
            throw new Error("the large configuration is not valid");
        }
    });
    return { micros, bytes: utf8ByteLength(JSON.stringify(config)) };
};

/** Measures the sizes of the two examples, the growth per entry, and the validation of a large object. */
export const measureObject = (): ObjectCost => {
    const base = sizeOf(generateProposal(1_000, 1_000));
    const check = measureCheck(2_500, 2_500);
    return {
        examples: ([["pawtrace", pawtrace], ["muscat-abrazo", muscatAbrazo]] as const).map(([name, example]) => {
            const bytes = sizeOf(example);
            const withoutOperations = utf8ByteLength(JSON.stringify({ ...storedConfig(example), operations: [] }));
            return { name, bytes, operationBytes: bytes - withoutOperations };
        }),
        bytesPerOrganisation: (sizeOf(generateProposal(2_000, 1_000)) - base) / 1_000,
        bytesPerRoute: (sizeOf(generateProposal(1_000, 2_000)) - base) / 1_000,
        checkedBytes: check.bytes,
        checkMicros: check.micros,
    };
};
