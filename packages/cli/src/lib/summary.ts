/** `sniperoad summary` */
import { Flags } from "@oclif/core";
import { stdin } from "node:process";
import { BaseCommand } from "./base-command.js";
import { exitCodes } from "./exit-code.js";
import { summarizeLogs, summaryChart } from "./logs/log-summary.js";
import type { CountedName } from "./logs/log-summary.js";
import { readLogLines } from "./logs/read-lines.js";

/** Maximum number of rows that are printed of each table. */
const maxRows = 20;

/** Summarizes the logs on standard input. */
export class Summary extends BaseCommand {
    static override description = "Summarize the logs on standard input: requests by time, their causes, other events.";
    static override examples = ["cat logs/*.log | sniperoad summary --interval-seconds 10"];
    static override flags = {
        "interval-seconds": Flags.integer({ description: "length of an interval", default: 2, min: 1 }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(Summary);
        const lines = await readLogLines(stdin);
        if (lines.length === 0) {
            this.logToStderr("standard input contains no logged event; pass the logs of the instances");
            return this.exit(exitCodes.invalid);
        }
        const { intervals, causes, events } = summarizeLogs(lines, flags["interval-seconds"]);
        this.log("requests by time (# answered, x failed, - refused):");
        summaryChart(intervals).forEach(line => this.log(line));
        this.#table("outcomes:", causes);
        this.#table("other events:", events);
    }

    #table(title: string, rows: readonly CountedName[]): void {
        this.log(`\n${title}`);
        rows.slice(0, maxRows).forEach(({ name, count }) => this.log(`${String(count).padStart(8)}  ${name}`));
    }
}
