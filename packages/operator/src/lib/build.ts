/** Builders for configurations. They take objects where the file has ids, so that a wrong reference does not compile. */
import {
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
    validateFleetProposal,
} from "@sniperoad/core";

/** Options of {@link organisation}. */
export interface OrganisationOptions {
    readonly keys: readonly KeyConfig[];
    /** Requests a second over the whole fleet, retries included. */
    readonly ratePerSecond: number;
    /** Requests that may come at once; default: one second of the rate, at least 20. */
    readonly burst?: number;
}

/** Options of {@link service}. */
export interface ServiceOptions {
    /** Requests that one upstream runs at the same time. */
    readonly slotsPerUpstream: number;
    /** Slots that ejection always leaves. */
    readonly floorSlots: number;
}

/** Options of {@link route}. */
export interface RouteOptions {
    readonly service: ServiceConfig;
    readonly timeoutMs: number;
    /** Whether a request may run twice without harm; default: true for GET and HEAD only. */
    readonly idempotent?: boolean;
    /** Who may use the route; default: every organisation with a key. */
    readonly organisations?: readonly OrganisationConfig[];
}

/** The parts of a fleet. */
export interface FleetOptions {
    /** Seats of the roster when it is created; default 44. */
    readonly seats?: number;
    readonly organisations: readonly OrganisationConfig[];
    readonly services: readonly ServiceConfig[];
    readonly routes: readonly RouteConfig[];
}

const defaultSeats = 44;
/** With a smaller burst the bucket cannot be split into shares. */
const smallestDefaultBurst = 20;

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
    burst: options.burst ?? Math.max(smallestDefaultBurst, Math.ceil(options.ratePerSecond)),
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
 * Puts the parts together and checks them.
 *
 * @throws InvalidConfigurationError with every fault, each with its field and remedy.
 * @example
 * const proposal = fleet({ organisations: [shelters], services: [sightings], routes });
 */
export const fleet = (options: FleetOptions): FleetProposal => {
    const checked = validateFleetProposal({ seats: defaultSeats, ...options });
    if (checked.kind === "invalid") {
        throw new InvalidConfigurationError(checked.problems.map(describeProblem).join("\n"));
    }
    return checked.value;
};

/**
 * The configuration as a file for `sniperoad plan`: one line for each organisation, service and route, so that a person
 * can read it and a version control system shows small differences.
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
