/** Plans a change of the configuration. */
import { type FleetConfig, fleetConfigSchema } from "../config.js";
import { InvalidConfigurationError } from "../errors.js";
import type { PlatformObject, PlatformPort } from "../ports.js";
import { configObject } from "./configuration-store.js";
import { checkFleetConfig, type FleetProposal } from "./fleet-validation.js";
import { withdrawalsValueSchema } from "./messages.js";
import { type ConfigProblem, describeProblem } from "./problems.js";
import { withdrawalsObject } from "./withdrawals.js";

/** One difference between the configuration and a proposal. */
export interface PlannedDifference {
    readonly kind: "added" | "removed" | "changed";
    /** The differing field or entry, such as `route lookup-pet` or `organisation paws: ratePerSecond`. */
    readonly subject: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** A change that has been planned but not applied. */
export interface ChangePlan {
    /** Version of the platform object that the plan is based on; pass it to `applyChange`. */
    readonly baseVersion: number;
    readonly baseRevision: number;
    readonly differences: readonly PlannedDifference[];
    /** Problems of the change; it cannot be applied while there are any. */
    readonly problems: readonly ConfigProblem[];
}

/** The configuration object that a change is based on. */
export interface ChangeBase {
    readonly version: number;
    /** Undefined if there is no configuration yet. */
    readonly config: FleetConfig | undefined;
}

/**
 * Compares a proposal with the configuration on the platform.
 *
 * @throws PlatformUnavailableError
 * @throws InvalidConfigurationError when the platform's own value is malformed.
 * @example
 * const plan = await planChange(platform, proposal);
 * plan.differences.map(describeDifference);
 */
export const planChange = async (platform: PlatformPort, proposal: FleetProposal): Promise<ChangePlan> => {
    const base = await readChangeBase(platform);
    const withdrawn = withdrawalsValueSchema.safeParse((await platform.get(withdrawalsObject))?.value);
    return {
        baseVersion: base.version,
        baseRevision: base.config?.revision ?? 0,
        differences: configDifferences(base.config, proposal),
        problems: changeProblems(base.config, proposal, new Set(withdrawn.data?.keys)),
    };
};

/** Reads the configuration object that a change is based on. */
export const readChangeBase = async (platform: PlatformPort): Promise<ChangeBase> => {
    const object = await platform.get(configObject);
    return object === undefined ? { version: 0, config: undefined } : baseOf(object);
};

const baseOf = (object: PlatformObject): ChangeBase => {
    const checked = checkFleetConfig(object.value);
    if (checked.kind === "valid") {
        return { version: object.version, config: checked.value };
    }
    // A change can repair a value that is well-formed but fails a check across fields, because its revision is known.
    const parsed = fleetConfigSchema.safeParse(object.value);
    if (parsed.success) {
        return { version: object.version, config: parsed.data };
    }
    throw new InvalidConfigurationError(
        `the platform object "${configObject}" is malformed at version ${object.version}: ${
            describeProblem(checked.problems[0]!)
        }; write the last good configuration to it with a revision above the one that status shows`,
    );
};

/** Formats a difference as one line of text. */
export const describeDifference = ({ kind, subject, before, after }: PlannedDifference): string => {
    switch (kind) {
        case "added":
            return `+ ${subject}${after === undefined ? "" : ` = ${after}`}`;
        case "removed":
            return `- ${subject}${before === undefined ? "" : ` (was ${before})`}`;
        case "changed":
            return `~ ${subject}: ${before} -> ${after}`;
    }
};

interface Entry {
    readonly id: string;
}

/** Compares entries by id, so that reordering a list is not a difference. */
export const configDifferences = (
    before: FleetConfig | undefined,
    after: FleetProposal,
): readonly PlannedDifference[] => [
    ...fieldDifference("seats", before?.seats, after.seats),
    ...listDifferences("organisation", before?.organisations ?? [], after.organisations),
    ...listDifferences("service", before?.services ?? [], after.services),
    ...listDifferences("route", before?.routes ?? [], after.routes),
];

const listDifferences = (
    what: string,
    before: readonly Entry[],
    after: readonly Entry[],
): readonly PlannedDifference[] => {
    const old = new Map(before.map(entry => [entry.id, entry]));
    const kept = new Set(after.map(entry => entry.id));
    const removed = before.filter(entry => !kept.has(entry.id)).map(entry => ({
        kind: "removed" as const,
        subject: `${what} ${entry.id}`,
        before: formatEntry(entry),
        after: undefined,
    }));
    const rest = after.flatMap<PlannedDifference>(entry => {
        const previous = old.get(entry.id);
        if (previous === undefined) {
            const subject = `${what} ${entry.id}`;
            return [{ kind: "added", subject, before: undefined, after: formatEntry(entry) }];
        }
        return entryDifferences(`${what} ${entry.id}`, previous, entry);
    });
    return [...removed, ...rest];
};

const entryDifferences = (subject: string, before: Entry, after: Entry): readonly PlannedDifference[] => {
    const old = new Map<string, unknown>(Object.entries(before));
    const next = new Map<string, unknown>(Object.entries(after));
    return [...new Set([...old.keys(), ...next.keys()])].flatMap(field =>
        field === "keys"
            ? listDifferences(
                `${subject}: key`,
                old.get(field) as readonly Entry[],
                next.get(field) as readonly Entry[],
            )
            : fieldDifference(`${subject}: ${field}`, old.get(field), next.get(field))
    );
};

const fieldDifference = (subject: string, before: unknown, after: unknown): readonly PlannedDifference[] => {
    const [left, right] = [formatValue(before), formatValue(after)];
    if (left === right) {
        return [];
    }
    const kind = left === undefined ? "added" : right === undefined ? "removed" : "changed";
    return [{ kind, subject, before: left, after: right }];
};

const formatValue = (value: unknown): string | undefined =>
    value === undefined ? undefined : JSON.stringify(Array.isArray(value) ? [...value].sort() : value);

/** Formats all fields except the id. Of the hash of a key, only the start is shown. */
const formatEntry = (entry: Entry): string =>
    Object.entries(entry).filter(([name]) => name !== "id").map(([name, value]) => {
        if (name === "keys") {
            return `keys=${(value as readonly Entry[]).map(key => key.id).join(",") || "none"}`;
        }
        const text = name === "secretSha256" ? `${String(value).slice(0, 8)}...` : JSON.stringify(value);
        return `${name}=${text}`;
    }).join(" ");

/**
 * Problems that only a comparison with the current configuration shows. A key id must keep its organisation and its
 * secret: otherwise a request that was authenticated with the old one would pass the check before dispatch. A withdrawn
 * key id never becomes valid again.
 */
export const changeProblems = (
    before: FleetConfig | undefined,
    after: FleetProposal,
    withdrawn: ReadonlySet<string>,
): readonly ConfigProblem[] => {
    const old = new Map(
        (before?.organisations ?? []).flatMap(organisation =>
            organisation.keys.map(key => [key.id, { organisation: organisation.id, key }] as const)
        ),
    );
    return after.organisations.flatMap((organisation, index) =>
        organisation.keys.flatMap((key, keyIndex) => {
            const path = ["organisations", index, "keys", keyIndex, "id"];
            const previous = old.get(key.id);
            const remedy = "use a new key id";
            if (previous === undefined) {
                return withdrawn.has(key.id) ? [{ path, problem: `"${key.id}" has been withdrawn`, remedy }] : [];
            }
            if (previous.organisation !== organisation.id) {
                return [{ path, problem: `"${key.id}" belongs to "${previous.organisation}"`, remedy }];
            }
            return previous.key.secretSha256 === key.secretSha256
                ? []
                : [{ path, problem: `"${key.id}" has another secret now`, remedy }];
        })
    );
};
