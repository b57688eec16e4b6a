// Runs each compiled uvu test file in its own process, so that test files do not share state, and ends with a line of
// totals that CI reads.
import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import process from "node:process";

/** Marks test files that run one at a time, after all others: their load would disturb other tests, and these theirs. */
const aloneMarker = ".alone.test.js";

const filter = process.argv[2] ?? "";
const knownFailures = readKnownFailures();
const files = testFiles().filter(file => file.includes(filter));
let passed = 0;
let failed = 0;
let skipped = 0;

/** Tests listed in KNOWN-RED.txt (lines `test: <path> "<name>"`); their failures are printed, but do not fail CI. */
function readKnownFailures() {
    try {
        const text = readFileSync("KNOWN-RED.txt", "utf8");
        return new Set([...text.matchAll(/^test: (\S+ ".*")/gm)].map(match => match[1]));
    }
    catch {
        return new Set();
    }
}

/** Test files in the build output of each package, in a fixed order. */
function testFiles() {
    return [...readdirSync("packages").map(name => join("packages", name)), "platform"]
        .flatMap(folder => filesBelow(join(folder, "dist")))
        .filter(file => file.endsWith(".test.js"))
        .sort();
}

function filesBelow(folder) {
    if (!existsSync(folder)) {
        return [];
    }
    return readdirSync(folder, { recursive: true }).map(name => join(folder, name));
}

function runFile(file) {
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--enable-source-maps", file], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", data => output += data);
        child.stderr.on("data", data => output += data);
        child.on("close", code => resolve({ code, output }));
    });
}

function count(output, label) {
    const match = output.match(new RegExp(`${label}:\\s+(\\d+)`));
    return match ? Number(match[1]) : 0;
}

async function runQueue(queue) {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
        const { code, output } = await runFile(file);
        const source = file.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
        const total = count(output, "Total");
        const passedInFile = count(output, "Passed");
        passed += passedInFile;
        if (code === 0 && total > 0) {
            continue;
        }
        const failures = [...output.matchAll(/^ *FAIL +(".*")$/gm)].map(match => `${source} ${match[1]}`);
        // uvu states a failure for each test that did not pass; a file that ends early states fewer.
        const isExplained = failures.length > 0 && failures.length === total - passedInFile;
        if (isExplained && failures.every(failure => knownFailures.has(failure))) {
            skipped += failures.length;
            console.log(`KNOWN RED ${source}\n${output}`);
            continue;
        }
        failed += Math.max(1, total - passedInFile);
        console.log(`FAILED ${source}\n${output}`);
    }
}

const isAlone = file => file.endsWith(aloneMarker);
const shared = files.filter(file => !isAlone(file));
await Promise.all(Array.from({ length: Math.min(4, availableParallelism()) }, () => runQueue(shared)));
await runQueue(files.filter(isAlone));
console.log(`${files.length} test files`);
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
