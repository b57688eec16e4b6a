/** `sniperoad run` */
import { Args } from "@oclif/core";
import { InvalidConfigurationError } from "@sniperoad/core";
import { type Daemon, type Settings, settingsSchema, startDaemon } from "@sniperoad/daemon";
import { bySchema, readSettings } from "@sniperoad/operator";
import process from "node:process";
import { BaseCommand } from "./base-command.js";
import { exitCodes } from "./exit-code.js";

/** Runs one entry instance in the foreground. */
export class Run extends BaseCommand {
    static override description =
        "Run one entry instance in the foreground. SIGTERM or SIGINT makes it leave the fleet and exit.";
    static override examples = ["sniperoad run instance.jsonc"];
    static override args = { file: Args.string({ required: true, description: "settings file of the instance" }) };

    async run(): Promise<void> {
        const { args } = await this.parse(Run);
        const daemon = await start(args.file, await readSettings(args.file, bySchema(settingsSchema)));
        await new Promise<void>(resolve => {
            process.once("SIGTERM", resolve);
            process.once("SIGINT", resolve);
        });
        await daemon.stop();
        this.exit(exitCodes.done);
    }
}

/** System errors that a change of the settings fixes. */
const addressErrors = new Set(["EADDRINUSE", "EADDRNOTAVAIL", "EACCES"]);

const start = async (file: string, settings: Settings): Promise<Daemon> => {
    try {
        return await startDaemon(settings);
    }
    catch (error) {
        const { code, message } = error as NodeJS.ErrnoException;
        if (!addressErrors.has(String(code))) {
            throw error;
        }
        throw new InvalidConfigurationError(
            `${file}: callerAddress or peerAddress cannot be used: ${message}; give an address of this machine with a `
                + "free port",
            { cause: error },
        );
    }
};
