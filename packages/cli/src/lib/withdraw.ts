/** `sniperoad withdraw` */
import { Args, Flags } from "@oclif/core";
import {
    InvalidConfigurationError,
    type KeyId,
    keyIndexOf,
    PlatformUnavailableError,
    readChangeBase,
} from "@sniperoad/core";
import { type HttpPlatform, parseKeyId, withdrawAtInstance, withdrawOnPlatform } from "@sniperoad/operator";
import { tokenFlag } from "./admin-token.js";
import { exitCodes } from "./exit-code.js";
import { PlatformCommand, platformFlags } from "./platform-command.js";

/** Stops a key for good. */
export class Withdraw extends PlatformCommand {
    static override description = "Stop a key for good, within seconds. It may be repeated and cannot be undone.";
    static override examples = [
        "sniperoad withdraw city-shelters-1 --platform http://10.0.0.5:7000",
        "sniperoad withdraw city-shelters-1 --platform http://10.0.0.5:7000 --instance 10.0.0.17:8080",
    ];
    static override args = { key: Args.string({ required: true, description: "key id, without the secret" }) };
    static override flags = {
        ...platformFlags,
        instance: Flags.string({
            description: "address of an instance that tells the others; needed while the platform is unavailable",
            multiple: true,
        }),
        ...tokenFlag,
    };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(Withdraw);
        const key = parseKeyId(args.key);
        const missing: (readonly string[])[] = [];
        for (const address of flags.instance ?? []) {
            missing.push(...await this.#atInstance(address, key, flags.token));
        }
        const isStored = await this.withPlatform(flags, platform => this.#onPlatform(platform, key));
        if (isStored) {
            return;
        }
        if (missing.length === 0) {
            this.logToStderr("not withdrawn; give the address of any instance with --instance, or repeat later");
            this.exit(exitCodes.unavailable);
        }
        // The instances that hold it tell the rest and the platform when these can be reached again.
        if (missing.every(instances => instances.length > 0)) {
            this.exit(exitCodes.unconfirmed);
        }
    }

    /** A list with the instances that have not confirmed; nothing if this instance gave no answer. */
    async #atInstance(
        address: string,
        key: KeyId,
        token: string | undefined,
    ): Promise<readonly (readonly string[])[]> {
        try {
            const report = await withdrawAtInstance(address, key, token);
            this.log(`withdrawn at ${address}: held by ${report.heldBy} of ${report.of} instances`);
            report.missing.forEach(instance => this.log(`not confirmed: ${instance}`));
            return [report.missing];
        }
        catch (error) {
            this.logToStderr(`${address}: ${(error as Error).message}; try another instance`);
            return [];
        }
    }

    /** False: the platform is unavailable; the instances write the withdrawal to it when it returns. */
    async #onPlatform(platform: HttpPlatform, key: KeyId): Promise<boolean> {
        try {
            await this.#checkKnown(platform, key);
            const size = await withdrawOnPlatform(platform, key);
            this.log(
                `withdrawn on the platform, whose set now has size ${size}; sniperoad status shows how many instances hold it`,
            );
            return true;
        }
        catch (error) {
            if (error instanceof PlatformUnavailableError) {
                this.logToStderr(error.message);
                return false;
            }
            throw error;
        }
    }

    async #checkKnown(platform: HttpPlatform, key: KeyId): Promise<void> {
        const { config } = await readChangeBase(platform);
        const known = config === undefined ? undefined : keyIndexOf(config);
        const shorter = key.slice(0, key.lastIndexOf(".")) as KeyId;
        if (known === undefined || known.has(key)) {
            return;
        }
        if (known.has(shorter)) {
            throw new InvalidConfigurationError(
                "this is a whole key with its secret; give only the part before its last dot",
            );
        }
        this.logToStderr(`warning: the configuration holds no key "${key}"; check the spelling`);
    }
}
