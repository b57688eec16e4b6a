/** Runs all scenarios, or those whose name contains the argument, and prints one line for each. */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import process from "node:process";
import { runScenario } from "./run-scenario.js";
import { isWithinBound } from "./scenario-dsl.js";
import type { Measurement, Scenario } from "./scenario-dsl.js";
import { scenarios } from "./scenarios.js";

const formatMeasurement = (measurement: Measurement): string => {
    const { name, value, bound } = measurement;
    if (bound === undefined) {
        return `${name}=${value}`;
    }
    return `${name}=${value} (${bound.kind} ${bound.value}${isWithinBound(measurement) ? "" : ", BROKEN"})`;
};

const printResult = (verdict: string, name: string, measurements: readonly Measurement[]): void =>
    void process.stdout.write(`${verdict} ${name}: ${measurements.map(formatMeasurement).join(", ")}\n`);

/** Runs one scenario and its baseline, if any; true if the scenario passes and the baseline fails. */
const runWithBaseline = async (scenario: Scenario): Promise<boolean> => {
    const result = await runScenario(scenario);
    printResult(
        result.hasPassed ? "HOLDS " : "FAILED",
        `${scenario.name} [${scenario.guarantees}]`,
        result.measurements,
    );
    if (scenario.baseline === undefined) {
        return result.hasPassed;
    }
    const baselineResult = await runScenario(scenario, true);
    // A baseline that passes would show that the scenario cannot detect the failure.
    printResult(
        baselineResult.hasPassed ? "FAILED" : "breaks",
        `${scenario.name} with ${scenario.baseline.name}`,
        baselineResult.measurements,
    );
    return result.hasPassed && !baselineResult.hasPassed;
};

interface ProcessOutcome {
    readonly output: string;
    readonly isGood: boolean;
}

/** Runs each scenario in its own process and prints the results in the order of the list. */
const runInProcesses = async (names: readonly string[]): Promise<readonly boolean[]> => {
    const waiting: (() => void)[] = [];
    let freeProcesses = maxProcesses;
    const runWhenFree = async (name: string): Promise<ProcessOutcome> => {
        if (freeProcesses === 0) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        else {
            freeProcesses--;
        }
        const outcome = await runInProcess(name);
        const next = waiting.shift();
        freeProcesses += next === undefined ? 1 : 0;
        next?.();
        return outcome;
    };
    const results: boolean[] = [];
    for (const outcome of names.map(runWhenFree)) {
        const { output, isGood } = await outcome;
        process.stdout.write(output);
        results.push(isGood);
    }
    return results;
};

const runInProcess = (name: string): Promise<ProcessOutcome> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [process.argv[1]!, "--only", name], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        let output = "";
        child.stdout.on("data", data => output += String(data));
        child.on("close", code => resolve({ output, isGood: code === 0 }));
    });

/** Scenarios listed in KNOWN-RED.txt (lines `scenario: <name>`): they run and are printed, but do not fail CI. */
const readKnownRed = (): ReadonlySet<string> => {
    try {
        const text = readFileSync("KNOWN-RED.txt", "utf8");
        return new Set([...text.matchAll(/^scenario: (\S+)/gm)].map(match => match[1]!));
    }
    catch {
        return new Set();
    }
};

const maxProcesses = Math.max(1, Math.min(4, availableParallelism() - 1));
const [first, second] = process.argv.slice(2);
if (first === "--only") {
    process.exit(await runWithBaseline(scenarios.find(({ name }) => name === second)!) ? 0 : 1);
}
const selectedNames = scenarios.map(({ name }) => name).filter(name => name.includes(first ?? ""));
const results = await runInProcesses(selectedNames);
const passed = results.filter(isGood => isGood).length;
const knownRedNames = readKnownRed();
const knownFailures = selectedNames.filter((name, index) => results[index] !== true && knownRedNames.has(name));
knownFailures.forEach(name => process.stdout.write(`known red: ${name}\n`));
process.stdout.write(`${passed} passed, ${results.length - passed} failed, ${knownFailures.length} of them known\n`);
process.exitCode = passed + knownFailures.length === results.length && results.length > 0 ? 0 : 1;
