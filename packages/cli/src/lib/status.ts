/** `sniperoad status` */
import { Flags } from "@oclif/core";
import { type FleetStatus, readFleetStatus } from "@sniperoad/operator";
import { exitCodes } from "./exit-code.js";
import { PlatformCommand, platformFlags } from "./platform-command.js";

/** Shows where the accepted configuration is in force. */
export class Status extends PlatformCommand {
    static override description =
        "Show the accepted revision, where it is in force, and which instances are not confirmed.";
    static override examples = ["sniperoad status --platform http://10.0.0.5:7000"];
    static override flags = {
        ...platformFlags,
        instance: Flags.string({
            description: "address of an instance to ask in addition; needed while the platform is unavailable",
            multiple: true,
        }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(Status);
        const status = await this.withPlatform(
            flags,
            platform => readFleetStatus({ platform, addresses: flags.instance, timeoutMs: flags["timeout-ms"] }),
        );
        describeStatus(status).forEach(line => this.log(line));
        if (status.platformProblem !== undefined) {
            this.logToStderr(status.platformProblem);
            this.exit(exitCodes.unavailable);
        }
        if (status.unconfirmed.length > 0) {
            this.exit(exitCodes.unconfirmed);
        }
    }
}

const describeStatus = (status: FleetStatus): readonly string[] => [
    `accepted revision: ${status.acceptedRevision ?? (status.platformProblem === undefined ? "none" : "unknown")}`,
    `in force on ${status.inForce} of ${status.instances}`,
    ...status.unconfirmed.map(({ instance, address, reason }) => `not confirmed: ${instance} (${address}): ${reason}`),
    `withdrawn keys: ${status.withdrawals}, held by ${status.withdrawalsHeldBy} of ${status.instances}`,
    `roster versions: ${status.rosterVersions.join(", ") || "unknown"}`,
];
