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

/** Withdraws a key permanently. */
export class Withdraw extends PlatformCommand {
    static override description =
        "Withdraw a key permanently, within seconds. It may be repeated and cannot be undone.";
    static override examples = [
        "sniperoad withdraw city-shelters-1 --platform http://10.0.0.5:7000",
        "sniperoad withdraw city-shelters-1 --platform http://10.0.0.5:7000 --instance 10.0.0.17:8080",
    ];
    static override args = { key: Args.string({ required: true, description: "key id, without the secret" }) };
    static override flags = {
        ...platformFlags,
        instance: Flags.string({
            description: "address of an instance that informs the others; needed while the platform is unavailable",
            multiple: true,
        }),
        ...tokenFlag,
    };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(Withdraw);
        const key = parseKeyId(args.key);
        const missingByInstance: (readonly string[])[] = [];
        for (const address of flags.instance ?? []) {
            missingByInstance.push(...await this.#withdrawAtInstance(address, key, flags.token));
        }
        const isStored = await this.withPlatform(flags, platform => this.#withdrawOnPlatform(platform, key));
        if (isStored) {
            return;
        }
        if (missingByInstance.length === 0) {
            this.logToStderr("not withdrawn; give the address of any instance with --instance, or retry later");
            this.exit(exitCodes.unavailable);
        }
        // The instances that hold the withdrawal forward it to the others and to the platform when these are reachable
        // again, so one report without missing instances is enough.
        if (missingByInstance.every(instances => instances.length > 0)) {
            this.exit(exitCodes.unconfirmed);
        }
    }

    /** Returns one list, of the instances that have not confirmed; no list if this instance did not respond. */
    async #withdrawAtInstance(
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

    /** Returns false if the platform is unavailable; the instances store the withdrawal there when it recovers. */
    async #withdrawOnPlatform(platform: HttpPlatform, key: KeyId): Promise<boolean> {
        try {
            await this.#checkKeyExists(platform, key);
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

    /** Rejects a complete key with its secret; prints a warning if the configuration does not contain the key. */
    async #checkKeyExists(platform: HttpPlatform, key: KeyId): Promise<void> {
        const { config } = await readChangeBase(platform);
        const known = config === undefined ? undefined : keyIndexOf(config);
        const withoutSecret = key.slice(0, key.lastIndexOf(".")) as KeyId;
        if (known === undefined || known.has(key)) {
            return;
        }
        if (known.has(withoutSecret)) {
            throw new InvalidConfigurationError(
                "this is a complete key with its secret; give only the part before its last dot",
            );
        }
        this.logToStderr(`warning: the configuration holds no key "${key}"; check the spelling`);
    }
}
