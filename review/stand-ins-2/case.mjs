/** Frame of a case: the record, the exit code and the end of all that was started. */
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const limitMs = 110_000;

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** A generator of numbers from 0 to 1 with a fixed seed. */
export const seededRandom = seed => {
    let state = seed >>> 0;
    return () => {
        state = state + 0x6D2B79F5 >>> 0;
        let mixed = Math.imul(state ^ state >>> 15, 1 | state);
        mixed = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
        return ((mixed ^ mixed >>> 14) >>> 0) / 2 ** 32;
    };
};

/**
 * Runs a case. `play` gets the recorder and a list for functions that end what it started, and returns the verdict:
 * `{ isBroken, summary }`. Exit codes: 1 broken, 0 held, 2 the case could not run.
 */
export const runCase = async (moduleUrl, play) => {
    const startMs = performance.now();
    const lines = [];
    const record = (event, fields = {}) => {
        const atS = ((performance.now() - startMs) / 1_000).toFixed(3);
        const parts = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) =>
            `${name}=${JSON.stringify(value)}`
        );
        lines.push(`${atS} ${event} ${parts.join(" ")}`.trim());
    };
    const cleanups = [];
    let code = 2;
    const limit = setTimeout(() => fail("the time limit was reached"), limitMs);
    let isFinishing = false;
    const finish = async () => {
        if (isFinishing) {
            return;
        }
        isFinishing = true;
        clearTimeout(limit);
        for (const cleanup of cleanups.reverse()) {
            await Promise.resolve().then(cleanup).catch(error => record("cleanup-failed", { reason: error.message }));
        }
        writeFileSync(join(dirname(fileURLToPath(moduleUrl)), "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    const fail = reason => {
        code = 2;
        record("case-failed", { reason });
        void finish();
    };
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.once(signal, () => fail(signal)));
    process.on("uncaughtException", error => fail(error.stack));
    const isTroubled = process.env.TROUBLE !== "0";
    try {
        record("case", { trouble: isTroubled });
        const { isBroken, summary } = await play({ record, cleanups, isTroubled });
        if (isFinishing) {
            return;
        }
        code = isBroken ? 1 : 0;
        record("verdict", { rule: isBroken ? "broken" : "held" });
        summary.forEach(line => record("summary", { line }));
        process.stdout.write(`${isBroken ? "rule broken" : "rule held"}\n${summary.join("\n")}\n`);
    }
    catch (error) {
        code = 2;
        record("case-failed", { reason: error.stack });
        process.stderr.write(`the case could not run: ${error.stack}\n`);
    }
    await finish();
};
