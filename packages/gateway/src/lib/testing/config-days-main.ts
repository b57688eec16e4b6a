/** `npm run config-days -- FIRST_SEED COUNT [INSTANCES ZONES]`: days of `randomConfigDay` outside CI. */
import { runDays } from "./days-command.js";
import { randomConfigDay } from "./random-days.js";

await runDays("config-days", randomConfigDay);
