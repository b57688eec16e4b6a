/** Configuration files. */
import { type FleetProposal, validateFleetProposal } from "@sniperoad/core";
import { createHash } from "node:crypto";
import { parseSettings, readSettings } from "./settings-file.js";

/**
 * Reads a configuration file.
 *
 * @throws InvalidConfigurationError with a line `file:line: field: problem; remedy` for each fault.
 * @example
 * const proposal = await readFleetFile("fleet.jsonc");
 */
export const readFleetFile = (file: string): Promise<FleetProposal> => readSettings(file, validateFleetProposal);

/** Checks the text of a configuration file. */
export const parseFleetFile = (text: string, file: string): FleetProposal =>
    parseSettings(text, file, validateFleetProposal);

/**
 * An operation id that follows from the change itself: repeating the same command after a lost reply gives the same id
 * without the operator keeping one.
 */
export const operationIdOf = (proposal: FleetProposal, baseVersion: number): string => {
    const digest = createHash("sha256").update(`${baseVersion} ${JSON.stringify(proposal)}`).digest("hex");
    return `change-${digest.slice(0, 20)}`;
};
