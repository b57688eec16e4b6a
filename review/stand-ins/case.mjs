/** Runs a case: starts the stand-ins and the fleet, writes `record.txt`, and exits with the result. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Fleet, loopback } from "./fleet.mjs";
import { UpstreamServer } from "./server.mjs";
import { Store } from "./store.mjs";

/** Address of the platform's store in the loopback network, and of the first server. */
const storeMachine = 100;
const firstServer = 101;
/** Exit codes of a case; `run.sh` maps them, since Node.js itself exits with 1 after an error. */
const exitCodes = { held: 0, broken: 3, notRun: 2 };
/** Time after which a case is given up. */
const maxDurationMs = 110_000;

/** Whether the run has the disruption of the case. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** What was sent, answered and run, in the order in which it was noted. */
class Journal {
    #lines = [];
    #startMs = Date.now();

    note(text, atMs = Date.now()) {
        this.#lines.push({ atMs, text });
    }

    write(path) {
        const lines = this.#lines
            .sort((left, right) => left.atMs - right.atMs)
            .map(({ atMs, text }) => `${((atMs - this.#startMs) / 1_000).toFixed(3)} s  ${text}`);
        writeFileSync(path, `${lines.join("\n")}\n`);
    }
}

const describe = ({ requestId, address, isKept, status, outcome, sizeBytes, isComplete, error, sentMs, endMs }) =>
    `answer to ${requestId} from ${address} on a ${isKept ? "kept" : "new"} connection: `
    + `${status ?? "none"}${outcome === undefined ? "" : ` (${outcome})`}, ${sizeBytes} bytes, `
    + `${isComplete ? "complete" : `not complete${error === undefined ? "" : ` (${error})`}`}, ${endMs - sentMs} ms`;

/**
 * Runs `play` with a store, servers and a fleet. `play` returns the violations of the rule, or throws `Error` if the
 * case could not run.
 */
export const runCase = async ({ recordPath, machineCount, config, servers, play }) => {
    const journal = new Journal();
    const store = new Store();
    const fleet = new Fleet();
    const upstreams = servers.map((options, index) =>
        new UpstreamServer({ host: loopback(firstServer + index), slots: 3, ...options })
    );
    const noteAnswer = answer => journal.note(describe(answer), answer.endMs);
    let exitCode = exitCodes.notRun;
    const giveUp = reason => {
        console.log(`the case was given up: ${reason}`);
        void fleet.close().then(() => process.exit(exitCodes.notRun));
    };
    const timer = setTimeout(() => giveUp("it took too long"), maxDurationMs);
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => giveUp(signal)));
    process.on("uncaughtException", error => giveUp(error.stack));
    try {
        await store.listen(loopback(storeMachine));
        store.write("config", "main", config);
        for (const upstream of upstreams) {
            await upstream.listen();
        }
        upstreams.forEach((upstream, index) => store.write("servers", servers[index].id, upstream.entry("zone-a")));
        await fleet.start(machineCount, store.address);
        journal.note(`${machineCount} machines are ready; disruption: ${hasTrouble ? "yes" : "no"}`);
        const violations = await play({ store, fleet, upstreams, journal, noteAnswer });
        violations.forEach(violation => console.log(violation));
        console.log(violations.length === 0 ? "the rule held" : `the rule was broken ${violations.length} times`);
        journal.note(violations.length === 0 ? "the rule held" : `violations:\n  ${violations.join("\n  ")}`);
        exitCode = violations.length === 0 ? exitCodes.held : exitCodes.broken;
    }
    catch (error) {
        console.log(`the case could not run: ${error.stack}`);
    }
    for (const upstream of upstreams) {
        upstream.runs.forEach(({ atMs, requestId, server, target, bodyBytes, state }) =>
            journal.note(`${server} began ${requestId} ${target}, body of ${bodyBytes} bytes; ${state}`, atMs)
        );
    }
    clearTimeout(timer);
    await fleet.close();
    upstreams.forEach(upstream => upstream.close());
    store.close();
    journal.write(recordPath);
    process.exit(exitCode);
};
