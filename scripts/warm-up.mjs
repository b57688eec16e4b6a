// Runs an instance of the bundle on loopback for a short time, with a second one as its peer, and ends it. The first one
// writes the code cache when it exits, which then also holds the functions that only requests use.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../platform/src/lib/testing/store-stand-in.ts";

const [program, ...nodeFlags] = process.argv.slice(2);
const address = "127.0.0.1";
const host = "warm-up.example";
const readyTimeoutMs = 10_000;
/** Enough that two instances exchange several digests. */
const requestCount = 90;
const requestPauseMs = 15;
const listenerNames = ["callerAddress", "directoryAddress", "readyAddress", "metricsAddress", "peerAddress"];

const openUpstream = async () => {
    let received = 0;
    const server = createServer((incoming, response) => {
        const headers = { "request-id": incoming.headers["request-id"], "server-seal": "s" };
        received++;
        if (received % 9 === 0) {
            response.writeHead(503, { ...headers, "not-executed": "1", "retry-after": "0.05" }).end();
        }
        else {
            response.writeHead(200, { ...headers, "server-limit": "1000" }).end("ok");
        }
    });
    server.listen(0, address);
    await once(server, "listening");
    return server;
};

const freePorts = async count => {
    const servers = Array.from({ length: count }, () => createTcpServer().listen(0, address));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return ports;
};

const send = (target, { path, headers = {}, method = "GET", body } = {}) =>
    new Promise(resolve => {
        const [hostname, port] = target.split(":");
        const outgoing = request({ hostname, port, path, method, headers, timeout: 2_000 }, response => {
            response.on("error", () => resolve(undefined));
            response.resume().on("end", () => resolve(response.statusCode));
        });
        outgoing.on("error", () => resolve(undefined));
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.end(body);
    });

const waitUntilReady = async readyAddress => {
    const endMs = performance.now() + readyTimeoutMs;
    while (await send(readyAddress, { path: "/v1/readyz" }) !== 200) {
        if (performance.now() > endMs) {
            throw new Error(`the instance was not ready within ${readyTimeoutMs} ms`);
        }
        await sleep(50);
    }
};

const folder = mkdtempSync(join(tmpdir(), "sniperoad-warm-up-"));
const children = [];
try {
    const upstreams = await Promise.all([1, 2, 3].map(openUpstream));
    const store = await StoreStandIn.open(address);
    const route = { timeout_ms: 2_000, target_latency_ms: 500, max_attempts: 2, priority: 1 };
    store.put("config", "main", {
        version: 1,
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "organisation", api_keys: ["key"], priority: 1, rate_per_s: 500, burst: 500 }],
        services: [{ name: "s", warmup_s: 0.1, warmup_per_s: 100 }],
        virtual_hosts: [{
            host,
            paths: [
                { ...route, name: "safe", path_prefix: "/safe/", kind: "safe", service: "s" },
                { ...route, name: "unsafe", path_prefix: "/unsafe/", kind: "unsafe", service: "s" },
            ],
        }],
    });
    upstreams.forEach((server, index) =>
        store.put("servers", `u-${index}`, {
            address: `${address}:${server.address().port}`,
            born: 1,
            info: { service: "s", zone: "z", slots: 3 },
            status: { state: "ready" },
        })
    );
    const ports = await freePorts(2 * listenerNames.length);
    const listeners = [0, 1].map(number =>
        Object.fromEntries(
            listenerNames.map((name, index) => [name, `${address}:${ports[number * listenerNames.length + index]}`]),
        )
    );
    const start = (own, number) => {
        const path = join(folder, `${number}.jsonc`);
        writeFileSync(
            path,
            JSON.stringify({
                ...own,
                instance: `warm-up-${number}`,
                zone: "z",
                seedPeers: listeners.map(({ peerAddress }) => peerAddress),
                storeAddress: store.address,
                directoryTtlMaxSeconds: 5,
                stopGraceSeconds: 1,
                configApplyMs: 2_000,
                refuseWhenUnconfirmed: false,
                retryShare: 0.2,
                retryBurst: 60,
                rateWindowSeconds: 5,
                rateOverage: 0.1,
                rateSlack: 20,
                memoryMb: 250,
                floorShare: 0.7,
            }),
        );
        const env = {
            ...process.env,
            // As in the deploy file.
            CBOR_NATIVE_ACCELERATION_DISABLED: "true",
            SNIPEROAD_NODE_FILE: path,
            SNIPEROAD_WRITE_CACHE: number === 0 ? "1" : "",
        };
        const child = spawn(process.execPath, [...nodeFlags, program], { env, stdio: "ignore" });
        children.push(child);
        return child;
    };
    const [measured] = listeners.map(start);
    const [{ callerAddress, directoryAddress, readyAddress, metricsAddress }] = listeners;
    await waitUntilReady(readyAddress);
    const headers = { host, "deadline-ms": "2000" };
    const calls = Array.from({ length: requestCount }, async (_item, index) => {
        await sleep(index * requestPauseMs);
        const path = index % 3 === 0 ? "/unsafe/1" : "/safe/1";
        const key = index % 10 === 9 ? "wrong" : "key";
        const method = index % 3 === 0 ? "POST" : "GET";
        const body = method === "POST" ? "body" : undefined;
        return send(callerAddress, {
            path,
            method,
            body,
            headers: { ...headers, credential: key, "request-id": `warm-up-${index}` },
        });
    });
    await Promise.all([
        ...calls,
        send(callerAddress, { path: "/unknown/1", headers }),
        send(directoryAddress, { path: "/v1/directory" }),
        send(metricsAddress, { path: "/metrics" }),
    ]);
    measured.kill("SIGTERM");
    await once(measured, "close");
}
finally {
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true, force: true });
}
// The servers would keep the process running.
process.exit(0);
