import type { FleetConfig, InstanceInfo } from "@sniperoad/core";
import { muscatAbrazo, pawtrace, printFleet } from "@sniperoad/operator";
import { FakeHttpPlatform } from "@sniperoad/operator/testing";
import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const program = fileURLToPath(new URL("../../bin/run.js", import.meta.url));
const fakePlatform = new FakeHttpPlatform();
const servers: Server[] = [];
let url: string;
let folder: string;

test.before(async () => {
    url = await fakePlatform.start();
    folder = await mkdtemp(join(tmpdir(), "sniperoad-cli-"));
    await file("a.jsonc", printFleet(pawtrace));
    await file("b.jsonc", `// raised\n${printFleet(pawtrace).replace('"ratePerSecond": 900', '"ratePerSecond": 950')}`);
    await file("c.jsonc", printFleet(muscatAbrazo));
});
test.before.each(() => {
    fakePlatform.objects.clear();
    fakePlatform.failWith = undefined;
    fakePlatform.listing = { instances: [], upstreams: [] };
});
test.after(async () => {
    servers.forEach(server => server.close());
    await fakePlatform.stop();
    await rm(folder, { recursive: true });
});

const file = async (name: string, text: string): Promise<string> => {
    await writeFile(join(folder, name), text);
    return name;
};

/** Runs the program in the folder; returns its exit code, standard output and standard error. */
const run = (
    ...args: string[]
): Promise<{ readonly code: number | null; readonly out: string; readonly err: string; }> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [program, ...args], {
            cwd: folder,
            env: { PATH: process.env["PATH"], HOME: folder, SNIPEROAD_PLATFORM: url },
        });
        let [out, err] = ["", ""];
        child.stdout.on("data", data => out += data);
        child.stderr.on("data", data => err += data);
        child.on("close", code => resolve({ code, out, err }));
    });

const storedConfig = () => fakePlatform.objects.get("config")?.value as FleetConfig | undefined;

// Guards against sending invalid files to the platform, and against errors without file, line, field or remedy.
test("an invalid file ends each command with exit code 2", async () => {
    await file("faulty.jsonc", printFleet(pawtrace).replace('"floorSlots": 54', '"floorSlots": -1'));
    for (const command of ["validate", "plan", "apply"]) {
        const { code, err } = await run(command, "faulty.jsonc");
        assert.is(code, 2);
        assert.is(err, "faulty.jsonc:14: services[0].floorSlots: the value is too small; use at least 0\n");
    }
    assert.is(storedConfig(), undefined);
    assert.is((await run("validate", "missing.jsonc")).code, 2);
    assert.is((await run("validate")).code, 2);
    assert.is((await run("nonsense")).code, 2);
    const { code, out } = await run("validate", "a.jsonc");
    assert.equal([code, out], [0, "a.jsonc is valid: 8 organisations, 2 services, 10 routes\n"]);
});

// Guards against changes that are lost, applied twice, or applied to a version that the operator has not seen.
test("plan and apply change the configuration once", async () => {
    assert.match((await run("apply", "a.jsonc")).out, /accepted as revision 1/);
    const plan = await run("plan", "b.jsonc");
    assert.match(
        plan.out,
        /^~ organisation nordic-shelters: ratePerSecond: 900 -> 950\nwarning: .*\nwarning: .*\n1 diff/,
    );
    assert.match(plan.out, /sniperoad apply b\.jsonc --base-version 1\n$/);
    const unseen = await run("apply", "b.jsonc");
    assert.equal([unseen.code, /run sniperoad plan/.test(unseen.err)], [2, true]);
    fakePlatform.lostReplies = 1;
    const [first, second] = await Promise.all([
        run("apply", "b.jsonc", "--base-version", "1"),
        run("apply", "c.jsonc", "--base-version", "1"),
    ]);
    assert.equal([first.code, second.code].sort(), [0, 3]);
    assert.match(first.err + second.err, /another change came first.*plan again/);
    assert.is(storedConfig()?.revision, 2);
    const winner = first.code === 0 ? "b.jsonc" : "c.jsonc";
    assert.match((await run("apply", winner, "--base-version", "1")).out, /accepted before as revision 2/);
    assert.match((await run("plan", winner)).out, /no difference to revision 2/);
});

// Guards against reporting an outage as anything else, and against losing the operator's file.
test("an outage is reported with the way to retry", async () => {
    fakePlatform.failWith = response => void response.writeHead(503).end();
    const before = await readFile(join(folder, "a.jsonc"), "utf8");
    for (
        const args of [["plan", "a.jsonc"], ["apply", "a.jsonc", "--base-version", "0"], ["withdraw", "k"], ["status"]]
    ) {
        const { code, err } = await run(...args);
        assert.is(code, 4, args.join(" "));
        assert.match(err, /unavailable: it answered with status 503/);
    }
    assert.match((await run("apply", "a.jsonc", "--base-version", "0")).err, /--base-version 0 --operation change-/);
    assert.is(await readFile(join(folder, "a.jsonc"), "utf8"), before);
});

/** Starts a fake admin interface of an instance. */
const instance = async (id: string, status: object): Promise<InstanceInfo> => {
    const server = createServer((request, response) => {
        const withdrawal = { heldBy: 43, of: 44, missing: ["i9"], isOnPlatform: false };
        response.end(
            JSON.stringify(request.method === "POST" ? withdrawal : { instance: id, rosterVersion: 3, ...status }),
        );
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { id, zone: "z1", address, peerAddress: address, state: "live" } as unknown as InstanceInfo;
};

// Guards against withdrawals that depend on the platform, and against accepting secrets as key ids.
test("a key is withdrawn on the platform or at an instance", async () => {
    await run("apply", "a.jsonc");
    assert.equal((await run("withdraw", "chip-registry-1")).code, 0);
    assert.equal(fakePlatform.objects.get("withdrawals")?.value, { keys: ["chip-registry-1"] });
    assert.is((await run("withdraw", "chip-registry-1.example-secret")).code, 2);
    assert.is((await run("withdraw", "Not A Key")).code, 2);
    assert.match((await run("withdraw", "chip-registri-1")).err, /holds no key "chip-registri-1"; check the spelling/);
    fakePlatform.failWith = response => void response.destroy();
    const { address } = await instance("i1", {});
    const offline = await run("withdraw", "chip-registry-1", "--instance", address);
    assert.is(offline.out, `withdrawn at ${address}: held by 43 of 44 instances\nnot confirmed: i9\n`);
    assert.is(offline.code, 5);
    assert.is((await run("withdraw", "chip-registry-1", "--instance", "127.0.0.1:1")).code, 4);
});

// Guards against counting an instance as confirmed that is behind, not current, replaced or unreachable.
test("status lists each instance that is not confirmed, with the reason", async () => {
    await run("apply", "a.jsonc");
    const good = { configRevision: 1, isCurrent: true, withdrawals: 0 };
    const instances = [
        await instance("good", good),
        await instance("behind", { ...good, configRevision: 0 }),
        await instance("stale", { ...good, isCurrent: false }),
        await instance("new", good),
        await instance("odd", { configRevision: "x" }),
    ];
    const silent = { ...instances[0]!, id: "silent" as InstanceInfo["id"], address: "127.0.0.1:1" };
    fakePlatform.listing = {
        instances: [
            ...instances.slice(0, 3),
            { ...instances[3]!, id: "old" as InstanceInfo["id"] },
            instances[4]!,
            silent,
        ],
        upstreams: [],
    };
    const { code, out } = await run("status");
    assert.is(code, 5);
    assert.equal(out.replace(/127\.0\.0\.1:\d+/g, "A").split("\n"), [
        "accepted revision: 1",
        "in force on 1 of 6",
        "not confirmed: behind (A): holds revision 0, not 1",
        "not confirmed: stale (A): is not current and refuses guarded work",
        "not confirmed: old (A): the address is now used by new; the instance list lags",
        "not confirmed: odd (A): answered GET /admin/status in an unknown form; check that its version fits",
        "not confirmed: silent (A): no connection (ECONNREFUSED)",
        "withdrawn keys: 0, held by 4 of 6",
        "roster versions: 3",
        "",
    ]);
    fakePlatform.listing = { instances: [instances[0]!], upstreams: [] };
    assert.is((await run("status")).code, 0);
    fakePlatform.failWith = response => void response.destroy();
    const offline = await run("status", "--instance", instances[0]!.address);
    assert.match(offline.out, /^accepted revision: unknown\nin force on 1 of 1\n/);
    assert.is(offline.code, 4);
});

test.run();
