/** Plays days outside CI, as the arguments of the process name them. */
import process from "node:process";
import { playConfigDay } from "./config-days.js";
import type { ConfigDay } from "./random-days.js";

/**
 * Plays the days of the seeds `FIRST_SEED COUNT [INSTANCES ZONES]`, prints each failed one, and sets the exit code.
 *
 * @example
 * await runDays("config-days", randomConfigDay);
 */
export const runDays = async (command: string, createDay: (seed: number) => ConfigDay): Promise<void> => {
    const [first = 1, count = 50, ...size] = process.argv.slice(2).map(Number);
    if (![first, count, ...size].every(value => Number.isInteger(value) && value > 0)) {
        process.stderr.write(
            `usage: npm run ${command} -- FIRST_SEED COUNT [INSTANCES ZONES]; give whole numbers above 0\n`,
        );
        process.exit(2);
    }
    let failed = 0;
    for (let seed = first; seed < first + count; seed++) {
        const usual = createDay(seed);
        const { instances, zoneCount } = usual;
        const day = { ...usual, instances: size[0] ?? instances, zoneCount: size[1] ?? zoneCount };
        const late = await playConfigDay(day);
        if (late.length > 0) {
            failed++;
            const faults = day.faults.map(({ kind, atMs, forMs, share }) =>
                `${kind} ${atMs}+${forMs} ${share.toFixed(2)}`
            );
            process.stdout.write(
                `FAILED seed ${seed}: ${late.length} late, first ${JSON.stringify(late[0])}; faults: ${
                    faults.join(", ")
                }\n`,
            );
        }
    }
    process.stdout.write(`${count - failed} passed, ${failed} failed\n`);
    process.exitCode = failed === 0 ? 0 : 1;
};
