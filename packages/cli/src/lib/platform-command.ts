/** Base class and flags of the commands that use the platform. */
import { Flags } from "@oclif/core";
import { HttpPlatform } from "@sniperoad/operator";
import { BaseCommand } from "./base-command.js";

/** Flags for the platform's address. */
export const platformFlags = {
    platform: Flags.string({
        description: "base URL of the platform",
        env: "SNIPEROAD_PLATFORM",
        required: true,
    }),
    "timeout-ms": Flags.integer({ description: "timeout of each call", default: 2_000, min: 1, max: 60_000 }),
};

/** A command that uses the platform. */
export abstract class PlatformCommand extends BaseCommand {
    /** Opens a client of the platform, passes it to `work` and closes it afterwards. */
    protected async withPlatform<T>(
        flags: { readonly platform: string; readonly "timeout-ms": number; },
        work: (platform: HttpPlatform) => Promise<T>,
    ): Promise<T> {
        const platform = new HttpPlatform({ url: flags.platform, timeoutMs: flags["timeout-ms"] });
        try {
            return await work(platform);
        }
        finally {
            await platform.close();
        }
    }
}
