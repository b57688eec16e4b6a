/** `sniperoad validate` */
import { Args } from "@oclif/core";
import { readFleetFile } from "@sniperoad/operator";
import { BaseCommand } from "./base-command.js";

/** Checks a configuration file without the platform. */
export class Validate extends BaseCommand {
    static override description = "Check a configuration file without the platform.";
    static override examples = ["sniperoad validate fleet.jsonc"];
    static override args = { file: Args.string({ required: true, description: "configuration file" }) };

    async run(): Promise<void> {
        const { args } = await this.parse(Validate);
        const { organisations, services, routes } = await readFleetFile(args.file);
        this.log(
            `${args.file} is valid: ${organisations.length} organisations, ${services.length} services, `
                + `${routes.length} routes`,
        );
    }
}
