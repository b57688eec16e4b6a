/** `npm run restore-days -- FIRST_SEED COUNT [INSTANCES ZONES]`: days of `randomRestoreDay` outside CI. */
import { runDays } from "./days-command.js";
import { randomRestoreDay } from "./random-days.js";

await runDays("restore-days", randomRestoreDay);
