/** Builders for configurations. They take objects instead of ids, so that invalid references do not compile. */
import {
    checkFleetProposal,
    describeProblem,
    type FleetProposal,
    id,
    InvalidConfigurationError,
    type KeyConfig,
    type OrganisationConfig,
    type OrganisationId,
    type RouteConfig,
    type RouteId,
    type ServiceConfig,
    type ServiceId,
} from "@sniperoad/core";

/** Options of {@link organisation}. */
export interface OrganisationOptions {
    readonly keys: readonly KeyConfig[];
    /** Requests per second across the whole fleet, including retries. */
    readonly ratePerSecond: number;
    /** Number of requests that may arrive at once; default: one second of the rate, at least 20. */
    readonly burst?: number;
}

/** Options of {@link service}. */
export interface ServiceOptions {
    /** Number of requests that one upstream runs concurrently. */
    readonly slotsPerUpstream: number;
    /** Number of slots that ejections always leave available. */
    readonly floorSlots: number;
}

/** Options of {@link route}. */
export interface RouteOptions {
    readonly service: ServiceConfig;
    readonly timeoutMs: number;
    /** Whether a request may safely run more than once; default: true for GET and HEAD only. */
    readonly idempotent?: boolean;
    /** Organisations that may use the route; default: every organisation with a key. */
    readonly organisations?: readonly OrganisationConfig[];
}

/** The parts of a fleet. */
export interface FleetOptions {
    /** Number of seats of a new roster; default 44. */
    readonly seats?: number;
    readonly organisations: readonly OrganisationConfig[];
    readonly services: readonly ServiceConfig[];
    readonly routes: readonly RouteConfig[];
}

const defaultSeats = 44;
/** A bucket with a smaller burst cannot be split into shares. */
const minDefaultBurst = 20;

/**
 * Declares an organisation.
 *
 * @example
 * const shelters = organisation("city-shelters", { ratePerSecond: 900, keys: [key("city-shelters-1", secret)] });
 */
export const organisation = (name: string, options: OrganisationOptions): OrganisationConfig => ({
    id: id<OrganisationId>(name),
    keys: [...options.keys],
    ratePerSecond: options.ratePerSecond,
    burst: options.burst ?? Math.max(minDefaultBurst, Math.ceil(options.ratePerSecond)),
});

/**
 * Declares a service.
 *
 * @example
 * const sightings = service("sightings-svc", { slotsPerUpstream: 3, floorSlots: 54 });
 */
export const service = (name: string, options: ServiceOptions): ServiceConfig => ({
    id: id<ServiceId>(name),
    ...options,
});

/**
 * Declares a route. A route that is not idempotent needs an `Idempotency-Key` from its callers and runs at most once.
 *
 * @example
 * route("pet", "GET", "/pets/:pet", { service: sightings, timeoutMs: 1_000 });
 */
export const route = (
    name: string,
    method: RouteConfig["method"],
    path: string,
    options: RouteOptions,
): RouteConfig => ({
    id: id<RouteId>(name),
    method,
    path,
    service: options.service.id,
    idempotent: options.idempotent ?? (method === "GET" || method === "HEAD"),
    timeoutMs: options.timeoutMs,
    ...(options.organisations === undefined ? {} : { organisations: options.organisations.map(entry => entry.id) }),
});

/**
 * Builds a configuration from its parts and validates it.
 *
 * @throws InvalidConfigurationError with the field and remedy of every problem.
 * @example
 * const proposal = fleet({ organisations: [shelters], services: [sightings], routes });
 */
export const fleet = (options: FleetOptions): FleetProposal => {
    const checked = checkFleetProposal({ seats: defaultSeats, ...options });
    if (checked.kind === "invalid") {
        throw new InvalidConfigurationError(checked.problems.map(describeProblem).join("\n"));
    }
    return checked.value;
};

/**
 * Prints the configuration as a file for `sniperoad plan`. Each organisation, service and route is on its own line, so
 * that the file is readable and version control shows small differences.
 *
 * @example
 * await writeFile("fleet.jsonc", printFleet(proposal));
 */
export const printFleet = (proposal: FleetProposal): string => {
    const list = (name: string, entries: readonly unknown[]) =>
        `    "${name}": [${entries.map(entry => `\n        ${printEntry(entry)}`).join(",")}${
            entries.length === 0 ? "" : "\n    "
        }]`;
    const sections = [
        `    "seats": ${proposal.seats}`,
        list("organisations", proposal.organisations),
        list("services", proposal.services),
        list("routes", proposal.routes),
    ];
    return `{\n${sections.join(",\n")}\n}\n`;
};

const printEntry = (value: unknown): string => {
    if (Array.isArray(value)) {
        return `[${value.map(printEntry).join(", ")}]`;
    }
    if (typeof value === "object" && value !== null) {
        return `{ ${
            Object.entries(value).map(([name, field]) => `${JSON.stringify(name)}: ${printEntry(field)}`).join(", ")
        } }`;
    }
    return JSON.stringify(value);
};
