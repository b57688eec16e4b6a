/** Flag of commands that change the state of an instance. */
import { Flags } from "@oclif/core";

/** The environment variable keeps the token out of the process list and the shell history. */
export const tokenFlag = {
    token: Flags.string({
        description: "adminToken of the instance's settings",
        env: "SNIPEROAD_ADMIN_TOKEN",
    }),
};
