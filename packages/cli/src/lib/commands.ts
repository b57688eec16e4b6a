/** Commands of the `sniperoad` program; oclif loads them from this map. */
import { Apply } from "./apply.js";
import { LiftQuarantine } from "./lift-quarantine.js";
import { Plan } from "./plan.js";
import { Run } from "./run.js";
import { Status } from "./status.js";
import { Story } from "./story.js";
import { Summary } from "./summary.js";
import { Validate } from "./validate.js";
import { Withdraw } from "./withdraw.js";

export const COMMANDS = {
    apply: Apply,
    "lift-quarantine": LiftQuarantine,
    plan: Plan,
    run: Run,
    status: Status,
    story: Story,
    summary: Summary,
    validate: Validate,
    withdraw: Withdraw,
};
