import type { InstanceInfo } from "@sniperoad/core";
import { FakeHttpPlatform } from "@sniperoad/operator/testing";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const program = fileURLToPath(new URL("../../bin/run.js", import.meta.url));
const token = "an-operators-secret";
const fingerprint = "0".repeat(32);
const fakePlatform = new FakeHttpPlatform();
let url: string;
let folder: string;

test.before(async () => {
    url = await fakePlatform.start();
    folder = await mkdtemp(join(tmpdir(), "sniperoad-run-"));
});
test.after(async () => {
    await fakePlatform.stop();
    await rm(folder, { recursive: true });
});

const start = (environment: Readonly<Record<string, string>>, ...args: string[]): ChildProcess =>
    spawn(process.execPath, [program, ...args], {
        cwd: folder,
        env: { PATH: process.env["PATH"], HOME: folder, SNIPEROAD_PLATFORM: url, ...environment },
        stdio: ["ignore", "pipe", "pipe"],
    });

/** Returns the exit code and the output of a program. */
const finish = async (child: ChildProcess): Promise<{ readonly code: number; readonly text: string; }> => {
    let text = "";
    child.stdout!.on("data", data => text += data);
    child.stderr!.on("data", data => text += data);
    const [code] = await once(child, "close");
    return { code, text };
};

const settingsFile = async (name: string, changes: object): Promise<string> => {
    const settings = {
        instance: "i1",
        zone: "z1",
        callerAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        platformUrl: url,
        lingerMs: 0,
        adminToken: token,
        ...changes,
    };
    await writeFile(join(folder, name), `// an instance\n${JSON.stringify(settings, undefined, 4)}`);
    return name;
};

// Guards against starting with invalid settings, and against errors without file or remedy.
test("invalid settings end run with exit code 2", async () => {
    const faulty = await finish(start({}, "run", await settingsFile("faulty.jsonc", { lingerMs: -1 })));
    assert.is(faulty.code, 2);
    assert.match(faulty.text, /^faulty\.jsonc:8: lingerMs: .*use at least 0\n$/);
    assert.is((await finish(start({}, "run"))).code, 2);
    const taken = await finish(
        start({}, "run", await settingsFile("taken.jsonc", { callerAddress: url.replace("http://", "") })),
    );
    assert.is(taken.code, 2);
    assert.match(taken.text, /taken\.jsonc: callerAddress or peerAddress cannot be used: .*EADDRINUSE/);
});

// Guards against an instance that does not leave on a signal, and against admin requests without the token.
test("an instance runs until a signal and accepts admin requests with its token", async () => {
    const child = start({}, "run", await settingsFile("good.jsonc", {}));
    const ended = finish(child);
    let output = "";
    const address = await new Promise<string>((resolve, reject) => {
        child.stdout!.on("data", data => {
            output += data;
            const found = /event=listening .*callers=(\S+)/.exec(output)?.[1];
            if (found !== undefined) {
                resolve(found);
            }
        });
        child.once("close", () => reject(new Error(output)));
    });
    const [id, zone] = ["i1", "z1"] as unknown as [InstanceInfo["id"], InstanceInfo["zone"]];
    fakePlatform.listing = { instances: [{ id, zone, address, peerAddress: address, state: "live" }], upstreams: [] };
    // The platform lists the name without the incarnation; the process responds with it.
    assert.not.match((await finish(start({}, "status"))).text, /the address is now used by/);
    const withdraw = ["withdraw", "city-shelters-1", "--instance", address];
    const refused = await finish(start({}, ...withdraw));
    assert.match(refused.text, /asks for its adminToken; give it with --token or SNIPEROAD_ADMIN_TOKEN; try another/);
    const wrong = await finish(start({}, ...withdraw, "--token", "not-the-operators-one"));
    assert.match(wrong.text, /did not accept the token/);
    const given = await finish(start({}, ...withdraw, "--token", token));
    assert.match(given.text, /withdrawn at .*: held by 1 of 1 instances/);
    const lift = ["lift-quarantine", fingerprint, "--instance", address];
    assert.is((await finish(start({}, ...lift))).code, 4);
    const unknown = await finish(start({ SNIPEROAD_ADMIN_TOKEN: token }, ...lift));
    assert.is(unknown.code, 2);
    assert.match(unknown.text, /has no quarantine for this fingerprint/);
    assert.is((await finish(start({}, "lift-quarantine", "x", "--instance", address))).code, 2);
    child.kill("SIGTERM");
    const { code, text } = await ended;
    assert.is(code, 0, text);
    assert.match(text, /event=leave-begin .*event=leave-end/s);
});

test.run();
