/** Child processes of demos and process tests: all are ended by their own id. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import process from "node:process";

/** A child that has announced that it is ready. */
export interface ReadyChild {
    readonly name: string;
    readonly child: ChildProcess;
    /** The line by which it announced itself. */
    readonly announcement: string;
    /** Lines of its log, newest last. */
    readonly lines: string[];
    /** Resolves with the exit code, or undefined when a signal ended it. */
    readonly ended: Promise<number | undefined>;
}

const readyTimeoutMs = 10_000;
const maxKeptLines = 20_000;

/**
 * Starts a Node.js script and waits for the first line of its output that contains a text.
 *
 * @example
 * const child = await startChild("upstream u1", script, ["u1", "0", "3", "5"], "listening ");
 */
export const startChild = (
    name: string,
    script: string,
    args: readonly string[],
    readyText: string,
): Promise<ReadyChild> =>
    new Promise((resolve, reject) => {
        const child = spawn(process.execPath, [script, ...args], { stdio: ["pipe", "pipe", "inherit"] });
        const lines: string[] = [];
        let rest = "";
        const ended = new Promise<number | undefined>(done => child.on("close", code => done(code ?? undefined)));
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(
                new Error(`${name} was not ready within ${readyTimeoutMs} ms; last line: ${lines.at(-1) ?? "none"}`),
            );
        }, readyTimeoutMs);
        child.stdout.on("data", data => {
            const parts = (rest + String(data)).split("\n");
            rest = parts.pop() ?? "";
            for (const line of parts) {
                lines.push(line);
                if (line.includes(readyText)) {
                    clearTimeout(timer);
                    resolve({ name, child, announcement: line, lines, ended });
                }
            }
            lines.splice(0, Math.max(0, lines.length - maxKeptLines));
        });
        void ended.then(code => reject(new Error(`${name} ended with ${code} before it was ready`)));
    });

/** Ends children that are still running. */
export const killChildren = async (children: readonly ReadyChild[]): Promise<void> => {
    for (const { child } of children) {
        if (child.exitCode === null && child.signalCode === null) {
            child.kill("SIGKILL");
        }
    }
    await Promise.all(children.map(({ ended }) => ended));
};
