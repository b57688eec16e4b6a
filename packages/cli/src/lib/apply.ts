/** `sniperoad apply` */
import { Args, Flags } from "@oclif/core";
import {
    applyChange,
    type ApplyResult,
    type FleetProposal,
    InvalidConfigurationError,
    planChange,
    type PlatformPort,
    VersionConflictError,
} from "@sniperoad/core";
import { operationIdOf, readFleetFile } from "@sniperoad/operator";
import { PlatformCommand, platformFlags } from "./platform-command.js";

/** Applies a configuration file. */
export class Apply extends PlatformCommand {
    static override description =
        "Apply a configuration file. Repeat the same command after any failure: it takes effect at most once.";
    static override examples = ["sniperoad apply fleet.jsonc --base-version 12 --platform http://10.0.0.5:7000"];
    static override args = { file: Args.string({ required: true, description: "configuration file" }) };
    static override flags = {
        ...platformFlags,
        "base-version": Flags.integer({
            description: "version that the plan was made on; may be left out for the first configuration",
            min: 0,
        }),
        operation: Flags.string({ description: "id of this change; default: derived from file and base version" }),
    };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(Apply);
        const proposal = await readFleetFile(args.file);
        const result = await this.withPlatform(flags, async platform => {
            const baseVersion = flags["base-version"] ?? await defaultBaseVersion(platform, proposal);
            const operation = flags.operation ?? operationIdOf(proposal, baseVersion);
            return applyChange(platform, { proposal, baseVersion, operation });
        });
        this.log(describe(result));
    }
}

/**
 * Determines the base version if none is given. A change of an existing configuration requires the version that the
 * operator has seen: with the current version it could silently undo another operator's change.
 */
const defaultBaseVersion = async (platform: PlatformPort, proposal: FleetProposal): Promise<number> => {
    const plan = await planChange(platform, proposal);
    if (plan.baseVersion === 0 || plan.differences.length === 0) {
        return plan.baseVersion;
    }
    throw new InvalidConfigurationError(
        `--base-version is missing and there is a configuration (revision ${plan.baseRevision}); `
            + "run sniperoad plan and give the version that it prints",
    );
};

const describe = (result: ApplyResult): string => {
    switch (result.kind) {
        case "applied":
            return result.isRepeat
                ? `accepted before as revision ${result.revision}; nothing was written again`
                : `accepted as revision ${result.revision}; sniperoad status shows where it is in force`;
        case "unchanged":
            return `no difference to revision ${result.revision}; nothing was written`;
        case "conflict":
            throw new VersionConflictError(`nothing was written: ${result.remedy}`);
    }
};
