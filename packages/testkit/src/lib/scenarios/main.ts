/** Runs all scenarios, or those whose name contains the argument, and prints a line for each. */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import process from "node:process";
import { runScenario } from "./run-scenario.js";
import { isWithinBound } from "./scenario-dsl.js";
import type { Measurement, Scenario } from "./scenario-dsl.js";
import { scenarios } from "./scenarios.js";

const describe = (figure: Measurement): string => {
    const { name, value, bound } = figure;
    if (bound === undefined) {
        return `${name}=${value}`;
    }
    return `${name}=${value} (${bound.kind} ${bound.value}${isWithinBound(figure) ? "" : ", BROKEN"})`;
};

const line = (verdict: string, name: string, figures: readonly Measurement[]): void =>
    void process.stdout.write(`${verdict} ${name}: ${figures.map(describe).join(", ")}\n`);

/** Runs one scenario and, where it has one, its baseline; true if the first holds and the second breaks. */
const runOne = async (scenario: Scenario): Promise<boolean> => {
    const result = await runScenario(scenario);
    line(result.hasPassed ? "HOLDS " : "FAILED", `${scenario.name} [${scenario.guarantees}]`, result.measurements);
    if (scenario.baseline === undefined) {
        return result.hasPassed;
    }
    const without = await runScenario(scenario, true);
    // A baseline that holds would show that the scenario cannot fail.
    line(
        without.hasPassed ? "FAILED" : "breaks",
        `${scenario.name} with ${scenario.baseline.name}`,
        without.measurements,
    );
    return result.hasPassed && !without.hasPassed;
};

interface ProcessOutcome {
    readonly output: string;
    readonly isGood: boolean;
}

/** Each scenario in a process of its own; their lines come in the order of the list. */
const runInProcesses = async (names: readonly string[]): Promise<readonly boolean[]> => {
    const waiting: (() => void)[] = [];
    let free = maxProcesses;
    const runWhenFree = async (name: string): Promise<ProcessOutcome> => {
        if (free === 0) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        else {
            free--;
        }
        const outcome = await runInProcess(name);
        const next = waiting.shift();
        free += next === undefined ? 1 : 0;
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

/** Scenarios named in KNOWN-RED.txt (lines `scenario: <name>`): run, printed, and not counted as failures of CI. */
const knownRed = (): ReadonlySet<string> => {
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
    process.exit(await runOne(scenarios.find(({ name }) => name === second)!) ? 0 : 1);
}
const chosen = scenarios.map(({ name }) => name).filter(name => name.includes(first ?? ""));
const results = await runInProcesses(chosen);
const passed = results.filter(isGood => isGood).length;
const listed = knownRed();
const known = chosen.filter((name, index) => results[index] !== true && listed.has(name));
known.forEach(name => process.stdout.write(`known red: ${name}\n`));
process.stdout.write(`${passed} passed, ${results.length - passed} failed, ${known.length} of them known\n`);
process.exitCode = passed + known.length === results.length && results.length > 0 ? 0 : 1;
