/** `sniperoad lift-quarantine` */
import { Args, Flags } from "@oclif/core";
import { InvalidConfigurationError } from "@sniperoad/core";
import { liftQuarantineAtInstance } from "@sniperoad/operator";
import { tokenFlag } from "./admin-token.js";
import { BaseCommand } from "./base-command.js";
import { exitCodes } from "./exit-code.js";

/** Lets a quarantined request run again. */
export class LiftQuarantine extends BaseCommand {
    static override description =
        "Let a request that crashed two upstreams run again. The instance informs the others.";
    static override examples = [
        "sniperoad lift-quarantine 0f3a5d1c9b7e2468ace013579bdf2468 --instance 10.0.0.17:8080",
    ];
    static override args = {
        fingerprint: Args.string({ required: true, description: "fingerprint from the log line crash-suspect" }),
    };
    static override flags = {
        instance: Flags.string({ description: "address of an instance", required: true }),
        ...tokenFlag,
    };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(LiftQuarantine);
        if (await this.#lift(args.fingerprint, flags.instance, flags.token)) {
            this.log(`quarantine lifted at ${flags.instance}, which informs the other instances`);
            return;
        }
        throw new InvalidConfigurationError(
            `${flags.instance} has no quarantine for this fingerprint. The quarantine may have expired; otherwise try `
                + "another instance.",
        );
    }

    async #lift(fingerprint: string, address: string, token: string | undefined): Promise<boolean> {
        try {
            return await liftQuarantineAtInstance(address, fingerprint, token);
        }
        catch (error) {
            if (error instanceof InvalidConfigurationError) {
                throw error;
            }
            this.logToStderr(`quarantine not lifted: ${address}: ${(error as Error).message}`);
            return this.exit(exitCodes.unavailable);
        }
    }
}
