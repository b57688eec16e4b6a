// A request that crashes its servers comes again while the instances are restarted one after the other.
import { writeFileSync } from "node:fs";
import { bounds, Fleet, pause } from "../stand-ins-3/fleet.mjs";
import { Server } from "../stand-ins-3/servers.mjs";
import { Store } from "../stand-ins-3/store.mjs";
import { send } from "../stand-ins-3/client.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const network = `127.${64 + process.pid % 128}.${Math.floor(process.pid / 128) % 256}`;
const instanceCount = 4;
const serverCount = 10;
const downMs = 3_000;
const allowedRetries = 3;
const startMs = performance.now();
const lines = [];
const note = text => lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} ${text}`);

const store = await Store.open(`${network}.200`);
const service = "sightings";
const host = "pets.example";
const key = "key-of-the-clinic";
store.put("config", "main", {
    version: 7,
    base_version: 5,
    services: [{ name: service, health_path: "/healthz", max_conns: 390, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "clinic", api_keys: [key], priority: 1, rate_per_s: 200, burst: 200 }],
    virtual_hosts: [{
        host,
        paths: [
            { name: "r-lookup", path_prefix: "/lookup/", kind: "safe", timeout_ms: 3_000, target_latency_ms: 600, priority: 2, service, max_attempts: 2, public: false },
            { name: "r-report", path_prefix: "/report/", kind: "unsafe", timeout_ms: 4_000, target_latency_ms: 600, priority: 1, service, max_attempts: 2, public: false },
        ],
    }],
});

const arrivals = [];
const behave = (_request, body, server) => {
    if (body.toString() !== "poison") {
        return undefined;
    }
    setTimeout(() => void server.listen().then(() => {
        server.born = Date.now();
        store.put("servers", server.id, server.entry());
        note(`server ${server.id} is back`);
    }), downMs);
    return "crash";
};
const record = event => {
    if (event.event === "crashed") {
        arrivals.push({ atMs: performance.now(), id: event.id, server: event.server });
        note(`server ${event.server} begins ${event.id} and crashes`);
    }
};
const servers = [];
for (let number = 1; number <= serverCount; number++) {
    const zone = `zone-${number % 2 + 1}`;
    const server = await new Server({ host: `${network}.${100 + number}`, id: `i-${number}`, service, zone, workMs: 100, behave, record }).listen();
    servers.push(server);
    store.put("servers", server.id, server.entry());
}

const fleet = new Fleet({ network, zones: ["zone-1", "zone-2"], storeAddress: store.address });
let exitCode = 2;
try {
    await fleet.start(instanceCount);
    await pause(bounds.stable_window_ms + 500);
    note(`${instanceCount} instances are ready`);
    let isEnded = false;
    let ordinary = { sent: 0, served: 0 };
    /** Time from which each instance is in touch; undefined while it is stopped. */
    const touchFromMs = new Map(fleet.instances.map(({ number }) => [number, performance.now()]));
    const available = () => fleet.instances.filter(({ number }) => touchFromMs.has(number));

    const sendOrdinary = async () => {
        for (let number = 0; !isEnded; number++) {
            const instance = available()[number % available().length];
            ordinary.sent++;
            void send({ address: instance.listen.front, host, path: `/lookup/${number}`, id: `o-${number}`, deadlineMs: 3_000, key })
                .then(({ status }) => ordinary.served += status === 200 ? 1 : 0);
            await pause(50);
        }
    };
    const sent = new Map();
    const sendPoison = async () => {
        for (let number = 0; !isEnded; number++) {
            // Only machines in touch count, so the caller waits until a restarted one is.
            const instances = available().filter(each => performance.now() >= touchFromMs.get(each.number));
            const instance = instances[Math.floor(Math.random() * instances.length)];
            const id = `p-${number}`;
            sent.set(id, { instance: instance.number, isInTouch: performance.now() >= touchFromMs.get(instance.number) });
            const { status, error } = await send({ address: instance.listen.front, method: "POST", host, path: "/report/7", id, deadlineMs: 4_000, key, body: "poison" });
            note(`${id} at instance ${instance.number}: ${status ?? error}`);
            await pause(500);
        }
    };
    const senders = [sendOrdinary(), sendPoison()];
    const waitEndMs = performance.now() + 20_000;
    while (arrivals.length < 3 && performance.now() < waitEndMs) {
        await pause(50);
    }
    const thirdMs = arrivals[2]?.atMs;
    if (thirdMs === undefined) {
        throw new Error("the request has not crashed three servers");
    }
    await pause(bounds.stable_window_ms + 2_000);
    for (const instance of fleet.instances) {
        if (hasTrouble) {
            note(`SIGTERM to instance ${instance.number}`);
            touchFromMs.delete(instance.number);
            instance.child.kill("SIGTERM");
            await instance.ended;
            fleet.launch(instance);
            await fleet.waitUntilReady([instance]);
            note(`instance ${instance.number} is ready again`);
            touchFromMs.set(instance.number, instance.startedMs + bounds.stable_window_ms);
        }
        else {
            await pause(5_000);
        }
        await pause(1_000);
    }
    await pause(15_000);
    isEnded = true;
    await Promise.all(senders);
    const late = arrivals.filter(({ atMs, id }) => atMs > thirdMs + bounds.stable_window_ms && sent.get(id).isInTouch);
    note(`ordinary requests: ${ordinary.sent} sent, ${ordinary.served} served`);
    note(`poison: ${sent.size} sent, ${arrivals.length} reached a server, ${late.length} of them in touch and later than ${bounds.stable_window_ms} ms after the third crash; allowed ${allowedRetries}`);
    exitCode = late.length > allowedRetries ? 1 : 0;
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
