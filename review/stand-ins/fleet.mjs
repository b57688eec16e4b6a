/** Starts the project's program with the command of the deploy file, as the platform does. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Values of the users' settings, as `fleetbench wire` shows them for the sites of 44 machines. */
const deployment = {
    limits: { cpu_share: 0.54, cpu_cores: 1, memory_mb: 350, link_mbps: 1_000 },
    bounds: {
        stable_window_ms: 3_000,
        grace_s: 6,
        loss_slack_ms: 200,
        config_apply_ms: 2_000,
        strict_revoke: false,
        retry_budget_ratio: 0.2,
        retry_budget_burst: 62,
        budget_window_s: 10,
        quota_window_s: 5,
        quota_overage: 0.1,
        quota_slack: 20,
        ttl_max_s: 5,
        floor_share: 0.7,
    },
};
export const { limits, bounds } = deployment;

/** Limits on what clients may send, as `fleetbench wire` shows them. */
export const callerLimits = {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

export const delay = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** A loopback network of this run; each machine has an address of its own in it. */
const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`;
export const loopback = machine => `${network}.${machine}`;

const freePort = host =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of a template. */
const render = (template, values) =>
    template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_whole, path, isJson) => {
        const value = path.split(".").reduce((part, name) => part?.[name], values);
        return isJson ? JSON.stringify(value ?? null) : String(value ?? "");
    });

const deployFile = () => {
    const text = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    const field = name => new RegExp(`^${name} = "(.*)"$`, "m").exec(text)[1];
    const env = /^env = \{ (\w+) = "(.*)" \}$/m.exec(text);
    return {
        run: field("run").split(" "),
        template: readFileSync(join(repository, field("template")), "utf8"),
        env: env === null ? {} : { [env[1]]: env[2] },
    };
};

const isReady = address =>
    new Promise(resolve => {
        const request = get(`http://${address}/v1/readyz`, { agent: false, timeout: 500 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.on("error", () => resolve(false));
        request.on("timeout", () => request.destroy());
    });

/** A machine with one process of the project. */
class Machine {
    constructor(name, settings, folder, deploy) {
        const path = join(folder, `${name}.settings`);
        writeFileSync(path, render(deploy.template, settings));
        const { PATH, HOME, LANG } = process.env;
        const [program, ...parameters] = deploy.run;
        this.name = name;
        this.front = settings.listen.front;
        this.ready = settings.listen.ready;
        this.process = spawn(program, parameters, {
            cwd: repository,
            env: { PATH, HOME, LANG, ...deploy.env, SNIPEROAD_NODE_FILE: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(folder, `${name}.log`));
        this.process.stdout.pipe(log, { end: false });
        this.process.stderr.pipe(log, { end: false });
        this.exited = new Promise(resolve => {
            this.process.once("exit", (code, signal) => {
                this.end = { atMs: Date.now(), code, signal };
                resolve();
            });
        });
    }

    /** Private memory of the process, without files that are mapped; undefined once it has ended. */
    privateMemoryMb() {
        try {
            const status = readFileSync(`/proc/${this.process.pid}/status`, "utf8");
            return Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)[1]) / 1_024;
        }
        catch {
            return undefined;
        }
    }
}

/** The machines of a small deployment. */
export class Fleet {
    #folder = mkdtempSync(join(tmpdir(), "sniperoad-review-"));
    machines = [];

    /** Starts machines at the same time and waits until all are ready. */
    async start(count, storeAddress) {
        const deploy = deployFile();
        const ports = {};
        for (const name of ["front", "ready", "control", "directory"]) {
            ports[name] = await freePort(loopback(1));
        }
        const settings = Array.from({ length: count }, (_item, index) => {
            const ip = loopback(index + 1);
            const listen = Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${ip}:${port}`]));
            return { ...deployment, node: `front-a-${index + 1}`, zone: "zone-a", ip, listen };
        });
        const seeds = settings.slice(0, 3).map(({ listen }) => listen.control);
        this.machines = settings.map(values =>
            new Machine(values.node, { ...values, seeds, platform: { address: storeAddress } }, this.#folder, deploy)
        );
        const endMs = Date.now() + 20_000;
        for (const machine of this.machines) {
            while (!await isReady(machine.ready)) {
                if (Date.now() > endMs) {
                    throw new Error(`${machine.name} was not ready within 20 s`);
                }
                await delay(50);
            }
        }
    }

    /** Ends all processes that were started and removes their files. */
    async close() {
        for (const machine of this.machines) {
            if (machine.end === undefined) {
                machine.process.kill("SIGKILL");
            }
            await machine.exited;
        }
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.#folder, { recursive: true, force: true });
        }
    }
}
