// All processes are killed at the same moment while one tenant sends many times its usual.
import { writeFileSync } from "node:fs";
import { bounds, Fleet, pause } from "../stand-ins-3/fleet.mjs";
import { Server } from "../stand-ins-3/servers.mjs";
import { Store } from "../stand-ins-3/store.mjs";
import { send } from "../stand-ins-3/client.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const network = `127.${64 + process.pid % 128}.${Math.floor(process.pid / 128) % 256}`;
const instanceCount = 6;
const tenant = { name: "clinic", api_keys: ["key-of-the-clinic"], priority: 1, rate_per_s: 69, burst: 69 };
// The limit of the example on the pages is 1.6 times the usual rate; `hot_tenant` multiplies the usual rate by 7.5.
const usualPerSecond = tenant.rate_per_s / 1.6;
const hotPerSecond = usualPerSecond * 7.5;
const leadMs = 10_000;
const hotFromMs = 5_000;
const killAtMs = 7_000;
const restartDelayMs = 500;
const hotForMs = 6_500;
const windowMs = bounds.quota_window_s * 1_000;
const startMs = performance.now();
const lines = [];
const note = text => lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} ${text}`);

const store = await Store.open(`${network}.200`);
const service = "sightings";
const host = "pets.example";
store.put("config", "main", {
    version: 7,
    base_version: 5,
    services: [{ name: service, health_path: "/healthz", max_conns: 390, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [tenant],
    virtual_hosts: [{
        host,
        paths: [{ name: "r-report", path_prefix: "/report/", kind: "unsafe", timeout_ms: 2_000, target_latency_ms: 600, priority: 1, service, max_attempts: 2, public: false }],
    }],
});

/** Ids of the requests that ran. */
const ran = new Set();
const record = ({ event, id }) => {
    if (event === "run") {
        ran.add(id);
    }
};
const servers = [];
for (let number = 1; number <= 28; number++) {
    const zone = `zone-${number % 2 + 1}`;
    const server = await new Server({ host: `${network}.${100 + number}`, id: `i-${number}`, service, zone, slots: 3, workMs: 60, record }).listen();
    servers.push(server);
    store.put("servers", server.id, server.entry());
}

const fleet = new Fleet({ network, zones: ["zone-1", "zone-2"], storeAddress: store.address });
let exitCode = 2;
try {
    await fleet.start(instanceCount);
    await pause(leadMs);
    note(`${instanceCount} instances are ready; traffic begins`);
    const beginMs = performance.now();
    const sentMs = new Map();
    const ends = {};
    const answers = [];
    let due = 0;
    let lastMs = 0;
    const restart = async () => {
        note("kill -9 to all instances");
        fleet.instances.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(fleet.instances.map(({ ended }) => ended));
        await pause(restartDelayMs);
        fleet.instances.forEach(instance => fleet.launch(instance));
        await fleet.waitUntilReady();
        note("all instances are ready again");
    };
    let restarted;
    while (performance.now() - beginMs < hotFromMs + hotForMs + windowMs) {
        const nowMs = performance.now() - beginMs;
        const isHot = nowMs >= hotFromMs && nowMs < hotFromMs + hotForMs;
        due += (nowMs - lastMs) * (isHot ? hotPerSecond : usualPerSecond) / 1_000;
        lastMs = nowMs;
        if (hasTrouble && nowMs >= killAtMs) {
            restarted ??= restart();
        }
        for (; due >= 1; due--) {
            const id = `r-${sentMs.size}`;
            sentMs.set(id, performance.now() - beginMs);
            const { listen } = fleet.instances[Math.floor(Math.random() * instanceCount)];
            answers.push(send({ address: listen.front, method: "POST", host, path: "/report/1", id, deadlineMs: 4_000, key: tenant.api_keys[0], body: "found" })
                .then(({ status, error }) => ends[status ?? error] = (ends[status ?? error] ?? 0) + 1));
        }
        await pause(5);
    }
    await Promise.all([restarted, ...answers]);
    const times = [...ran].map(id => sentMs.get(id)).sort((left, right) => left - right);
    let [most, fromMs] = [0, 0];
    for (let first = 0, last = 0; last < times.length; last++) {
        while (times[last] - times[first] > windowMs) {
            first++;
        }
        if (last - first + 1 > most) {
            [most, fromMs] = [last - first + 1, times[first]];
        }
    }
    for (let secondMs = 0; secondMs < lastMs; secondMs += 1_000) {
        const count = times.filter(atMs => atMs >= secondMs && atMs < secondMs + 1_000).length;
        const sentCount = [...sentMs.values()].filter(atMs => atMs >= secondMs && atMs < secondMs + 1_000).length;
        note(`second ${secondMs / 1_000}: ${sentCount} sent, ${count} of them run`);
    }
    const allowed = (tenant.rate_per_s * bounds.quota_window_s + tenant.burst) * (1 + bounds.quota_overage) + bounds.quota_slack;
    note(`${sentMs.size} sent, ${JSON.stringify(ends)}, ${ran.size} run; at most ${most} in ${windowMs} ms, sent from ${(fromMs / 1_000).toFixed(3)} s after the start of traffic; allowed ${Math.floor(allowed)}`);
    exitCode = most > allowed ? 1 : 0;
}
catch (error) {
    note(`could not run: ${error.stack}`);
}
finally {
    await fleet.close();
    store.close();
    servers.forEach(server => server.close());
    note(`result ${exitCode}`);
    writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
    process.exit(exitCode);
}
