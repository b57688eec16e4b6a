/** `npm run config-days -- FIRST_SEED COUNT [INSTANCES ZONES]`: days of `playConfigDay` outside CI. */
import process from "node:process";
import { playConfigDay, randomConfigDay } from "./config-days.js";

const [first = 1, count = 50, instances = 44, zoneCount = 4] = process.argv.slice(2).map(Number);
if (![first, count, instances, zoneCount].every(value => Number.isInteger(value) && value > 0)) {
    process.stderr.write(
        "usage: npm run config-days -- FIRST_SEED COUNT [INSTANCES ZONES]; give whole numbers above 0\n",
    );
    process.exit(2);
}
let failed = 0;
for (let seed = first; seed < first + count; seed++) {
    const day = { ...randomConfigDay(seed), instances, zoneCount };
    const late = await playConfigDay(day);
    if (late.length > 0) {
        failed++;
        const faults = day.faults.map(({ kind, atMs, forMs, share }) => `${kind} ${atMs}+${forMs} ${share.toFixed(2)}`);
        process.stdout.write(
            `FAILED seed ${seed}: ${late.length} late, first ${JSON.stringify(late[0])}; faults: ${
                faults.join(", ")
            }\n`,
        );
    }
}
process.stdout.write(`${count - failed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
