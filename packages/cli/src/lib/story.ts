/** `sniperoad story` */
import { Args } from "@oclif/core";
import { stdin } from "node:process";
import { BaseCommand } from "./base-command.js";
import { exitCodes } from "./exit-code.js";
import { readLogLines } from "./logs/read-lines.js";
import { requestTimeline } from "./logs/request-timeline.js";

/** Prints the log lines on standard input about one request. */
export class Story extends BaseCommand {
    static override description =
        "Print the log lines on standard input about a request, and about its upstreams at that time.";
    static override examples = ["cat logs/*.log | sniperoad story 9fd43f0a5aa578d8"];
    static override args = { request: Args.string({ required: true, description: "id of the request" }) };

    async run(): Promise<void> {
        const { args } = await this.parse(Story);
        const { lines, upstreams } = requestTimeline(await readLogLines(stdin), args.request);
        if (lines.length === 0) {
            this.logToStderr(`no log line contains the request ${args.request}; pass the logs of all instances`);
            return this.exit(exitCodes.invalid);
        }
        lines.forEach(({ text }) => this.log(text));
        for (const { upstream, lines: upstreamLines } of upstreams) {
            this.log(`\nupstream ${upstream} at about the same time:`);
            upstreamLines.forEach(({ text }) => this.log(text));
        }
    }
}
