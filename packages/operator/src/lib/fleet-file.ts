/** Configuration files. */
import { checkFleetProposal, type FleetProposal } from "@sniperoad/core";
import { createHash } from "node:crypto";
import { parseSettings, readSettings } from "./settings-file.js";

/**
 * Reads a configuration file.
 *
 * @throws InvalidConfigurationError with a line `file:line: field: problem; remedy` for each problem.
 * @example
 * const proposal = await readFleetFile("fleet.jsonc");
 */
export const readFleetFile = (file: string): Promise<FleetProposal> => readSettings(file, checkFleetProposal);

/** Parses and validates the text of a configuration file. */
export const parseFleetFile = (text: string, file: string): FleetProposal =>
    parseSettings(text, file, checkFleetProposal);

/**
 * Derives an operation id from the change, so that repeating the same command after a lost reply uses the same id and
 * the operator does not have to record it.
 */
export const operationIdOf = (proposal: FleetProposal, baseVersion: number): string => {
    const digest = createHash("sha256").update(`${baseVersion} ${JSON.stringify(proposal)}`).digest("hex");
    return `change-${digest.slice(0, 20)}`;
};
