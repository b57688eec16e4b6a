/** Validation of a configuration, including checks across fields. */
import { type FleetConfig, fleetConfigSchema } from "../config.js";
import type { InstanceListing } from "../ports.js";
import { type ConfigProblem, schemaProblems } from "./problems.js";
import { routePathProblem, routePattern } from "./route-path.js";

/** Schema of the part of the configuration that operators write; `apply` sets the rest. */
export const fleetProposalSchema = fleetConfigSchema.omit({ revision: true, operations: true });

/** Configuration as an operator proposes it, without revision and operations. */
export type FleetProposal = Omit<FleetConfig, "revision" | "operations">;

/** Result of validating a value. */
export type ValidationResult<T> =
    | { readonly kind: "valid"; readonly value: T; }
    | { readonly kind: "invalid"; readonly problems: readonly ConfigProblem[]; };

/**
 * Above the number of upstreams of any service in the deployments or at the projected size, so a larger floor is a
 * typing error.
 */
const maxUpstreamsOfService = 1_000;

/**
 * Validates a configuration from the platform or a peer.
 *
 * @example
 * const checked = checkFleetConfig(object.value);
 * if (checked.kind === "valid") use(checked.value);
 */
export const checkFleetConfig = (value: unknown): ValidationResult<FleetConfig> =>
    validateParsed(fleetConfigSchema.safeParse(value));

/** Validates a configuration as an operator proposes it. */
export const checkFleetProposal = (value: unknown): ValidationResult<FleetProposal> => {
    const checked = validateParsed(fleetProposalSchema.safeParse(value));
    if (checked.kind === "valid") {
        return checked;
    }
    return { kind: "invalid", problems: checked.problems.map(explainManagedField) };
};

const validateParsed = <T extends FleetProposal>(
    parsed: ReturnType<typeof fleetConfigSchema.safeParse> | ReturnType<typeof fleetProposalSchema.safeParse>,
): ValidationResult<T> => {
    if (!parsed.success) {
        return { kind: "invalid", problems: schemaProblems(parsed.error) };
    }
    const problems = crossFieldProblems(parsed.data);
    return problems.length > 0 ? { kind: "invalid", problems } : { kind: "valid", value: parsed.data as T };
};

const explainManagedField = (problem: ConfigProblem): ConfigProblem =>
    problem.path.length === 1 && (problem.path[0] === "revision" || problem.path[0] === "operations")
        ? { ...problem, problem: "the field is set by apply", remedy: "remove it from the file" }
        : problem;

/**
 * Problems that involve more than one field: unknown references, duplicates, implausible floors.
 *
 * @example
 * crossFieldProblems(proposal).map(describeProblem);
 */
export const crossFieldProblems = (config: FleetProposal): readonly ConfigProblem[] => [
    ...duplicates(config.organisations.map(entry => entry.id), index => ["organisations", index, "id"]),
    ...duplicates(config.services.map(entry => entry.id), index => ["services", index, "id"]),
    ...duplicates(config.routes.map(entry => entry.id), index => ["routes", index, "id"]),
    ...keyProblems(config),
    ...routeProblems(config),
    ...floorProblems(config),
];

const duplicates = (
    values: readonly string[],
    pathOf: (index: number) => ConfigProblem["path"],
): readonly ConfigProblem[] => {
    const seen = new Set<string>();
    return values.flatMap((value, index) => {
        if (!seen.has(value)) {
            seen.add(value);
            return [];
        }
        return [{ path: pathOf(index), problem: `"${value}" is already used`, remedy: "give it an id of its own" }];
    });
};

const keyProblems = (config: FleetProposal): readonly ConfigProblem[] => {
    const places = config.organisations.flatMap((organisation, index) =>
        organisation.keys.map((key, keyIndex) => ({
            id: key.id,
            path: ["organisations", index, "keys", keyIndex, "id"],
        }))
    );
    return duplicates(places.map(place => place.id), index => places[index]!.path);
};

const routeProblems = (config: FleetProposal): readonly ConfigProblem[] => {
    const services = new Set(config.services.map(service => service.id));
    const organisations = new Set(config.organisations.map(organisation => organisation.id));
    const patterns = new Map<string, string>();
    return config.routes.flatMap((route, index) => {
        const problems: ConfigProblem[] = [];
        const add = (field: readonly (string | number)[], problem: string, remedy: string) =>
            problems.push({ path: ["routes", index, ...field], problem, remedy });
        const pathProblem = routePathProblem(route.path);
        if (pathProblem !== undefined) {
            add(["path"], pathProblem.problem, pathProblem.remedy);
        }
        if (!services.has(route.service)) {
            add(["service"], `there is no service "${route.service}"`, "declare it under services or correct the name");
        }
        route.organisations?.forEach((organisation, place) => {
            if (!organisations.has(organisation)) {
                add(
                    ["organisations", place],
                    `there is no organisation "${organisation}"`,
                    "declare it under organisations or correct the name",
                );
            }
        });
        const pattern = `${route.method} /${routePattern(route.path).join("/")}`;
        const other = patterns.get(pattern);
        if (other !== undefined) {
            add(["path"], `route "${other}" matches the same requests`, "remove one of them or change method or path");
        }
        patterns.set(pattern, other ?? route.id);
        return problems;
    });
};

const floorProblems = (config: FleetProposal): readonly ConfigProblem[] =>
    config.services.flatMap((service, index) => {
        const mostSlots = service.slotsPerUpstream * maxUpstreamsOfService;
        if (service.floorSlots <= mostSlots) {
            return [];
        }
        return [{
            path: ["services", index, "floorSlots"],
            problem: `${service.floorSlots} slots are more than ${maxUpstreamsOfService} upstreams have`,
            remedy: `use at most ${mostSlots}; 60 % of the service's slots is a usual floor`,
        }];
    });

/**
 * Warns of floors that allow no ejection with the upstreams that the platform lists now. These are not errors, because
 * a configuration may be applied before its upstreams exist.
 */
export const floorWarnings = (config: FleetProposal, listing: InstanceListing): readonly ConfigProblem[] =>
    config.services.flatMap((service, index) => {
        const upstreams = listing.upstreams.filter(upstream => upstream.service === service.id).length;
        const slots = upstreams * service.slotsPerUpstream;
        if (service.floorSlots < slots || service.floorSlots === 0) {
            return [];
        }
        return [{
            path: ["services", index, "floorSlots"],
            problem: `the ${upstreams} listed upstreams have ${slots} slots, so none can be ejected`,
            remedy: "lower the floor or add upstreams",
        }];
    });
