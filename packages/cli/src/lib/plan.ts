/** `sniperoad plan` */
import { Args } from "@oclif/core";
import {
    type ConfigProblem,
    describeDifference,
    describeProblem,
    type FleetProposal,
    floorWarnings,
    type InstanceListPort,
    InvalidConfigurationError,
    planChange,
    PlatformUnavailableError,
} from "@sniperoad/core";
import { readFleetFile } from "@sniperoad/operator";
import { PlatformCommand, platformFlags } from "./platform-command.js";

/** Shows what a configuration file would change. */
export class Plan extends PlatformCommand {
    static override description = "Show what a configuration file would change. Nothing is written.";
    static override examples = ["sniperoad plan fleet.jsonc --platform http://10.0.0.5:7000"];
    static override args = { file: Args.string({ required: true, description: "configuration file" }) };
    static override flags = platformFlags;

    async run(): Promise<void> {
        const { args, flags } = await this.parse(Plan);
        const proposal = await readFleetFile(args.file);
        await this.withPlatform(flags, async platform => {
            const plan = await planChange(platform, proposal);
            plan.differences.forEach(difference => this.log(describeDifference(difference)));
            (await floorMessages(platform, proposal)).forEach(message => this.log(`warning: ${message}`));
            if (plan.problems.length > 0) {
                throw new InvalidConfigurationError(describeProblems(args.file, plan.problems));
            }
            this.log(
                plan.differences.length === 0
                    ? `no difference to revision ${plan.baseRevision}`
                    : `${plan.differences.length} difference${
                        plan.differences.length === 1 ? "" : "s"
                    } to revision ${plan.baseRevision}; apply them with\n`
                        + `sniperoad apply ${args.file} --base-version ${plan.baseVersion}`,
            );
        });
    }
}

const describeProblems = (file: string, problems: readonly ConfigProblem[]): string =>
    problems.map(problem => `${file}: ${describeProblem(problem)}`).join("\n");

/** Compares floors with the listed upstreams; a plan does not fail if the list is unavailable. */
const floorMessages = async (platform: InstanceListPort, proposal: FleetProposal): Promise<readonly string[]> => {
    try {
        return floorWarnings(proposal, await platform.list()).map(describeProblem);
    }
    catch (error) {
        if (error instanceof PlatformUnavailableError) {
            return ["floors were not compared with the upstreams: the instance list is unavailable"];
        }
        throw error;
    }
};
