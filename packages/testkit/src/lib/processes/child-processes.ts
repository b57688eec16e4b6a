/** Child processes of demos and process tests. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import process from "node:process";

/** A child process that has reported that it is ready. */
export interface ReadyChild {
    readonly name: string;
    readonly child: ChildProcess;
    /** The output line that reported the process ready. */
    readonly readyLine: string;
    /** Last {@link maxLines} lines of the standard output, newest last. */
    readonly lines: string[];
    /** Resolves with the exit code, or undefined if a signal ended the process. */
    readonly ended: Promise<number | undefined>;
}

const readyTimeoutMs = 10_000;
/** Maximum number of output lines kept for each process. */
const maxLines = 20_000;

/**
 * Starts a Node.js script and waits for the first output line that contains `readyText`.
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
        let partialLine = "";
        const ended = new Promise<number | undefined>(done => child.on("close", code => done(code ?? undefined)));
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(
                new Error(`${name} was not ready within ${readyTimeoutMs} ms; last line: ${lines.at(-1) ?? "none"}`),
            );
        }, readyTimeoutMs);
        child.stdout.on("data", data => {
            const parts = (partialLine + String(data)).split("\n");
            partialLine = parts.pop() ?? "";
            for (const line of parts) {
                lines.push(line);
                if (line.includes(readyText)) {
                    clearTimeout(timer);
                    resolve({ name, child, readyLine: line, lines, ended });
                }
            }
            lines.splice(0, Math.max(0, lines.length - maxLines));
        });
        void ended.then(code => reject(new Error(`${name} ended with ${code} before it was ready`)));
    });

/** Kills the child processes that are still running, and waits until they have ended. */
export const killChildren = async (children: readonly ReadyChild[]): Promise<void> => {
    for (const { child } of children) {
        if (child.exitCode === null && child.signalCode === null) {
            child.kill("SIGKILL");
        }
    }
    await Promise.all(children.map(({ ended }) => ended));
};
