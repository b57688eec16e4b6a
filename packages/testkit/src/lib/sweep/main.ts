/** `npm run sweep -- FIRST_SEED COUNT`: random fault schedules outside CI. */
import process from "node:process";
import { isWithinBound } from "../scenarios/scenario-dsl.js";
import { sweepSeed } from "./sweep.js";

const [first, count] = [process.argv[2] ?? "1", process.argv[3] ?? "20"].map(Number) as [number, number];
if (!Number.isInteger(first) || !Number.isInteger(count) || count < 1) {
    process.stderr.write("usage: npm run sweep -- FIRST_SEED COUNT; give two whole numbers\n");
    process.exit(2);
}
let failed = 0;
let answered = 0;
for (let seed = first; seed < first + count; seed++) {
    const result = await sweepSeed(seed);
    answered += result.measurements.find(({ name }) => name === "answered-%")!.value;
    if (!result.hasPassed) {
        failed++;
        const broken = result.measurements.filter(measurement => !isWithinBound(measurement)).map(({ name, value }) =>
            `${name}=${value}`
        );
        process.stdout.write(`FAILED seed ${seed}: ${broken.join(", ")}; faults: ${result.schedule}\n`);
    }
}
process.stdout.write(`seeds ${first} to ${first + count - 1}: answered ${(answered / count).toFixed(1)}% on average\n`);
process.stdout.write(`${count - failed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
