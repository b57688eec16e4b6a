/** Base class of all commands: prints expected errors to standard error and sets the exit code. */
import { Command } from "@oclif/core";
import { exitCodeOf } from "./exit-code.js";

/** A command whose expected errors are printed without a stack. */
export abstract class BaseCommand extends Command {
    protected override async catch(error: Error & { exitCode?: number; }): Promise<unknown> {
        const code = exitCodeOf(error);
        if (code === undefined) {
            return super.catch(error);
        }
        this.logToStderr(error.message);
        return this.exit(code);
    }
}
